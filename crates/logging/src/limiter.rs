//! Limits each event to one line a second.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Shortest time between two lines of an event.
pub(crate) const MIN_LINE_INTERVAL: Duration = Duration::from_secs(1);

/// The state of the limit for each event name. Its size is bounded by the number of events in the
/// program's source.
#[derive(Default)]
pub(crate) struct Limiter {
    events: Mutex<BTreeMap<&'static str, EventLines>>,
}

/// The lines of one event.
struct EventLines {
    last_line_at: Instant,
    /// Lines that were left out since the last line.
    suppressed: u64,
}

impl Limiter {
    /// Returns how many lines of this event were left out since its last line, or `None` if this
    /// line has to be left out too.
    pub(crate) fn admit(&self, event: &'static str, now: Instant) -> Option<u64> {
        let mut events = self.events.lock().ok()?;
        let Some(lines) = events.get_mut(event) else {
            let first_line = EventLines {
                last_line_at: now,
                suppressed: 0,
            };
            events.insert(event, first_line);
            return Some(0);
        };
        if now.saturating_duration_since(lines.last_line_at) < MIN_LINE_INTERVAL {
            lines.suppressed += 1;
            return None;
        }
        lines.last_line_at = now;
        Some(std::mem::take(&mut lines.suppressed))
    }
}
