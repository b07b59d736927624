//! The firing of a timer.

use fanout_policy::api::Event;
use serde::Deserialize;
use wire_fields::whole_number;

/// The firing of a timer.
#[derive(Debug, Deserialize)]
pub(crate) struct TimerFiredWire {
    /// Number of the timer. It is checked but not used: each instance has only one timer, so the
    /// adapter gives all timers the same number.
    #[serde(rename = "Ref", deserialize_with = "whole_number")]
    _timer: u64,
}

impl From<TimerFiredWire> for Event {
    fn from(_: TimerFiredWire) -> Self {
        Event::TimerFired
    }
}
