//! The type of a message, and the kinds of messages that the protocol has.

use serde::Deserialize;
use wire_fields::{text, variant_with_name};

/// The field that every message has: its type.
#[derive(Debug, Deserialize)]
pub(crate) struct MessageTypeWire {
    #[serde(rename = "t", deserialize_with = "text")]
    message_type: String,
}

/// The kinds of messages from the simulator. Their names on the wire are the message types.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub(crate) enum MessageKind {
    /// The beginning of a batch.
    #[serde(rename = "Tick")]
    BatchBegin,
    /// The end of a batch.
    #[serde(rename = "EofBatch")]
    BatchEnd,
    /// The launch of an instance.
    #[serde(rename = "Launch")]
    Launch,
    /// The destruction of an instance, with its queries in flight.
    #[serde(rename = "Destroy")]
    Destroy,
    /// The declaration of an endpoint list, to which updates refer later.
    #[serde(rename = "Ledger")]
    ListDeclaration,
    /// An update of an instance's endpoint list.
    #[serde(rename = "PeersKnown")]
    ListUpdate,
    /// The arrival of a query or of a part.
    #[serde(rename = "Order")]
    Arrival,
    /// The end of an attempt.
    #[serde(rename = "ReportBack")]
    AttemptEnded,
    /// The disconnect of the client of a query.
    #[serde(rename = "Dropped")]
    ClientDisconnected,
    /// The firing of a timer.
    #[serde(rename = "DeadlineHit")]
    TimerFired,
    /// A gossip message from another aggregator.
    #[serde(rename = "Memo")]
    Gossip,
    /// The beginning of a streamed answer. It is ignored, since no class streams answers.
    #[serde(rename = "Begun")]
    StreamStarted,
    /// The answer to a load probe. It is ignored, since the adapter sends no probes.
    #[serde(rename = "Probed")]
    ProbeAnswered,
}

impl MessageKind {
    /// Returns the kind of messages with this type, or `None` if the protocol has none.
    pub(crate) fn from_type_name(message_type: &str) -> Option<MessageKind> {
        variant_with_name(message_type)
    }
}

impl From<MessageTypeWire> for String {
    fn from(wire: MessageTypeWire) -> Self {
        wire.message_type
    }
}
