//! Writes `tracing` events as lines on standard error, in logfmt or JSON.
//!
//! An event is identified by its name (`tracing::warn!(name: "connection_slots_exhausted", open)`),
//! for which operators search the log. Each event is limited to one line per second, so that a
//! repeated fault cannot flood the log; the next line of the event states how many lines were left
//! out. Field values are quoted and escaped where necessary, so that text from clients or servers
//! cannot forge a field or a line. Only events of the packages in `layer::LOGGED_PACKAGES` are
//! logged; events of libraries are left out at every level.

mod layer;
mod limiter;
mod line;
mod mode;

use layer::LineLayer;
use std::sync::OnceLock;
use tracing::Level;
use tracing_subscriber::layer::SubscriberExt;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// `key=value` pairs.
    #[default]
    Logfmt,
    /// One JSON object per line.
    Json,
}

/// Starts logging to standard error for the whole process. Later calls only change the format and
/// the level.
pub fn init(format: Format, level: Level) {
    static INSTALLED: OnceLock<()> = OnceLock::new();
    reconfigure(format, level);
    INSTALLED.get_or_init(|| {
        let subscriber = tracing_subscriber::registry().with(LineLayer::new(std::io::stderr()));
        let _ = tracing::subscriber::set_global_default(subscriber);
    });
}

/// Changes the format and the level of the log while the program runs.
pub fn reconfigure(format: Format, level: Level) {
    mode::set(format, level);
    tracing::callsite::rebuild_interest_cache();
}
