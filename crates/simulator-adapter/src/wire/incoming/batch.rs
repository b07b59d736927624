//! The message that begins a batch.

use fanout_policy::api::Ms;
use serde::Deserialize;
use wire_fields::{number, whole_number};

/// The number of a batch, from the message that begins it. It is decoded separately from the time,
/// so that an error about the time can name the batch.
#[derive(Debug, Deserialize)]
pub(crate) struct BatchNumberWire {
    #[serde(rename = "n", deserialize_with = "whole_number")]
    batch: u64,
}

impl From<BatchNumberWire> for u64 {
    fn from(wire: BatchNumberWire) -> Self {
        wire.batch
    }
}

/// The simulated time of a batch in milliseconds, from the message that begins it.
#[derive(Debug, Deserialize)]
pub(crate) struct BatchTimeWire {
    #[serde(rename = "Moment", deserialize_with = "number")]
    now_ms: f64,
}

impl From<BatchTimeWire> for Ms {
    fn from(wire: BatchTimeWire) -> Self {
        wire.now_ms
    }
}
