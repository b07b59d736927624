//! The JSON form of the messages from and to the simulator. The names of message types and fields
//! appear only in this module.

mod incoming;
mod outgoing;

pub(crate) use incoming::{
    ArrivalWire, AttemptEndedWire, BatchNumberWire, BatchTimeWire, ClientDisconnectedWire,
    DeclaredListWire, GossipContentsWire, GossipSenderWire, InstanceNumberWire, LaunchWire,
    ListReferenceWire, ListUpdateWire, MessageKind, MessageTypeWire, PartWire, QueryWire,
    TimerFiredWire,
};
pub(crate) use outgoing::{ActionWire, EndOfBatchWire};
