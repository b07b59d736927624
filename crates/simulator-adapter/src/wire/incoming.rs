//! Messages from the simulator, one module for each kind of message.

mod arrival;
mod attempt_ended;
mod batch;
mod client_disconnected;
mod endpoint_list;
mod gossip;
mod launch;
mod message_kind;
mod timer_fired;

pub(crate) use arrival::{ArrivalWire, PartWire, QueryWire};
pub(crate) use attempt_ended::AttemptEndedWire;
pub(crate) use batch::{BatchNumberWire, BatchTimeWire};
pub(crate) use client_disconnected::ClientDisconnectedWire;
pub(crate) use endpoint_list::{DeclaredListWire, ListReferenceWire, ListUpdateWire};
pub(crate) use gossip::{GossipContentsWire, GossipSenderWire};
pub(crate) use launch::{InstanceNumberWire, LaunchWire};
pub(crate) use message_kind::{MessageKind, MessageTypeWire};
pub(crate) use timer_fired::TimerFiredWire;
