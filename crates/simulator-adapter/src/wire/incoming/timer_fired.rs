//! The firing of a timer.

use fanout_policy::api::Event;
use serde::Deserialize;
use wire_fields::whole_number;

/// The firing of a timer.
#[derive(Debug, Deserialize)]
pub(crate) struct TimerFiredWire {
    /// Number of the timer. All timers of the adapter have the same.
    #[serde(rename = "Ref", deserialize_with = "whole_number")]
    _timer: u64,
}

impl From<TimerFiredWire> for Event {
    fn from(_: TimerFiredWire) -> Self {
        Event::TimerFired
    }
}
