//! Writes `tracing` events as lines on standard error, in logfmt or JSON.
//!
//! An event is known by its name (`tracing::warn!(name: "connection_slots_exhausted", open)`),
//! which operators search for. Each event is limited to one line a second, so that a fault that
//! repeats cannot flood the log; the next line of the event says how many were left out. Text from
//! outside cannot forge a field or a line. Only events of the project's own packages are logged;
//! those of libraries are left out at every level.

mod layer;
mod limiter;
mod line;
mod mode;

use layer::LineLayer;
use std::sync::OnceLock;
use tracing::Level;
use tracing_subscriber::layer::SubscriberExt;

/// The format of the lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// `key=value` pairs.
    #[default]
    Logfmt,
    /// One JSON object a line.
    Json,
}

/// Logs to standard error from now on, for the whole process. Later calls change only the format
/// and the level.
pub fn init(format: Format, level: Level) {
    static INSTALLED: OnceLock<()> = OnceLock::new();
    reconfigure(format, level);
    INSTALLED.get_or_init(|| {
        let subscriber = tracing_subscriber::registry().with(LineLayer::new(std::io::stderr()));
        let _ = tracing::subscriber::set_global_default(subscriber);
    });
}

/// Changes the format and the level while the program runs.
pub fn reconfigure(format: Format, level: Level) {
    mode::set(format, level);
    tracing::callsite::rebuild_interest_cache();
}
