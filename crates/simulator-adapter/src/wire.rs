//! The simulator's messages on the wire: the only place with the names of their fields.

mod incoming;
mod outgoing;

pub(crate) use incoming::{
    ArrivalWire, AttemptEndedWire, BatchNumberWire, BatchTimeWire, ClientDisconnectedWire,
    DeclaredListWire, GossipContentsWire, GossipSenderWire, InstanceWire, LaunchWire,
    ListReferenceWire, ListUpdateWire, MessageKind, MessageTypeWire, PartWire, QueryWire,
    TimerFiredWire,
};
pub(crate) use outgoing::{ActionWire, EndOfBatchWire};
