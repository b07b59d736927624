//! Gossip from another aggregator.

use serde::Deserialize;
use wire_fields::{text, whole_number};

/// The contents of a gossip message.
#[derive(Debug, Deserialize)]
pub(crate) struct GossipContentsWire {
    /// Encoded message, as pairs of hexadecimal digits.
    #[serde(rename = "Contents", deserialize_with = "text")]
    contents: String,
}

impl GossipContentsWire {
    /// Returns the decoded bytes, or `None` if the contents are not pairs of hexadecimal digits.
    pub(crate) fn bytes(&self) -> Option<Vec<u8>> {
        hex::decode(&self.contents).ok()
    }
}

/// The sender of a gossip message: the number of an aggregator.
#[derive(Debug, Deserialize)]
pub(crate) struct GossipSenderWire {
    #[serde(rename = "Who", deserialize_with = "whole_number")]
    aggregator: u64,
}

impl From<GossipSenderWire> for usize {
    fn from(wire: GossipSenderWire) -> Self {
        wire.aggregator as usize
    }
}
