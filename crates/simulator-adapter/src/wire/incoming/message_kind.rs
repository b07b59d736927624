//! The kind of a message.

use serde::Deserialize;
use wire_fields::{text, variant_with_name};

/// The type of any message.
#[derive(Debug, Deserialize)]
pub(crate) struct MessageTypeWire {
    #[serde(rename = "t", deserialize_with = "text")]
    message_type: String,
}

/// What a message says.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub(crate) enum MessageKind {
    /// A batch begins.
    #[serde(rename = "Tick")]
    BatchBegin,
    /// A batch ends.
    #[serde(rename = "EofBatch")]
    BatchEnd,
    /// An instance is launched.
    #[serde(rename = "Launch")]
    Launch,
    /// An instance is destroyed.
    #[serde(rename = "Destroy")]
    Destroy,
    /// An endpoint list is declared.
    #[serde(rename = "Ledger")]
    ListDeclaration,
    /// The endpoint list of an instance is updated.
    #[serde(rename = "PeersKnown")]
    ListUpdate,
    /// A query or part arrives.
    #[serde(rename = "Order")]
    Arrival,
    /// An attempt has ended.
    #[serde(rename = "ReportBack")]
    AttemptEnded,
    /// The client of a query has disconnected.
    #[serde(rename = "Dropped")]
    ClientDisconnected,
    /// A timer has fired.
    #[serde(rename = "DeadlineHit")]
    TimerFired,
    /// Gossip from another aggregator.
    #[serde(rename = "Memo")]
    Gossip,
    /// A streamed answer has begun. No class is streamed.
    #[serde(rename = "Begun")]
    StreamStarted,
    /// A load probe was answered. The adapter sends none.
    #[serde(rename = "Probed")]
    ProbeAnswered,
}

impl MessageKind {
    /// The kind of messages of this type, if the protocol has any.
    pub(crate) fn of_type(message_type: &str) -> Option<MessageKind> {
        variant_with_name(message_type)
    }
}

impl From<MessageTypeWire> for String {
    fn from(wire: MessageTypeWire) -> Self {
        wire.message_type
    }
}
