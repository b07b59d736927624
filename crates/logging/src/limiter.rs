//! Limits each event to one line per second.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Minimum time between two lines of an event.
pub(crate) const MIN_LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Limits the number of lines of each event. Its size is bounded by the number of events in
/// the program's source.
#[derive(Default)]
pub(crate) struct Limiter {
    events: Mutex<BTreeMap<&'static str, EventState>>,
}

/// The state of the limit for one event.
struct EventState {
    /// Time at which the last line was written.
    last_line_at: Instant,
    /// Number of lines that were left out since the last line.
    suppressed: u64,
}

impl Limiter {
    /// Decides whether a line of `event` is written at `now`. Returns the number of lines of the
    /// event that were left out since its last line, or `None` if this line has to be left out too.
    pub(crate) fn admit(&self, event: &'static str, now: Instant) -> Option<u64> {
        let mut events = self.events.lock().ok()?;
        let Some(state) = events.get_mut(event) else {
            let first_state = EventState {
                last_line_at: now,
                suppressed: 0,
            };
            events.insert(event, first_state);
            return Some(0);
        };
        if now.saturating_duration_since(state.last_line_at) < MIN_LINE_INTERVAL {
            state.suppressed += 1;
            return None;
        }
        state.last_line_at = now;
        Some(std::mem::take(&mut state.suppressed))
    }
}
