//! The format and the level of the log, which can change while the program runs.

use crate::Format;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use tracing::Level;

/// All levels. [`LEVEL_INDEX`] is an index into this array.
const LEVELS: [Level; 5] = [
    Level::ERROR,
    Level::WARN,
    Level::INFO,
    Level::DEBUG,
    Level::TRACE,
];
/// Index of [`Level::INFO`] in [`LEVELS`].
const DEFAULT_LEVEL_INDEX: u8 = 2;

static IS_JSON: AtomicBool = AtomicBool::new(false);
static LEVEL_INDEX: AtomicU8 = AtomicU8::new(DEFAULT_LEVEL_INDEX);

/// Sets the format and the level for all later events.
pub(crate) fn set(format: Format, level: Level) {
    IS_JSON.store(format == Format::Json, Ordering::Relaxed);
    let index = LEVELS.iter().position(|candidate| *candidate == level);
    let index = index.map_or(DEFAULT_LEVEL_INDEX, |index| index as u8);
    LEVEL_INDEX.store(index, Ordering::Relaxed);
}

/// Returns the format of log lines.
pub(crate) fn format() -> Format {
    if IS_JSON.load(Ordering::Relaxed) {
        Format::Json
    } else {
        Format::Logfmt
    }
}

/// Returns the most verbose level that is logged.
pub(crate) fn level() -> Level {
    let index = usize::from(LEVEL_INDEX.load(Ordering::Relaxed));
    LEVELS[index.min(LEVELS.len() - 1)]
}
