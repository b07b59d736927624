//! State of one connection to a data server.

use super::send_queue::SendQueue;
use async_executor::Task;
use broker_types::query::AttemptId;
use broker_types::server::NodeId;
use broker_types::time::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Number of cancelled parts that are remembered for each connection, because the server may still respond to
/// them. A slow server holds more of them than may be in flight at once; 256 is the project's own choice.
const MAX_CANCELLED_PARTS: usize = 256;

/// Number of a connection to a data server. It is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerConnectionId(pub u64);

/// A connection to a data server, open or being opened.
pub(super) struct PooledConnection {
    /// Server that the connection leads to.
    pub(super) server: NodeId,
    /// Frames to be written.
    pub(super) send_queue: Rc<SendQueue>,
    /// Task that runs the socket. Dropping it closes the socket.
    _socket_task: Task<()>,
    /// Attempts in flight on this connection by the id of their part on the wire.
    pub(super) in_flight: BTreeMap<String, AttemptId>,
    /// Ids of parts that were cancelled after they had been written, the latest last.
    cancelled: VecDeque<String>,
    /// When an incomplete frame last grew, while there is one.
    partial_frame_since: Option<Micros>,
    /// When the socket task last reported anything.
    last_event: Micros,
    /// When an attempt was last sent or last ended here.
    pub(super) last_used: Micros,
    /// Whether it accepts no further attempts and is closed once none is in flight.
    pub(super) is_draining: bool,
}

impl PooledConnection {
    /// A connection that begins to open now.
    pub(super) fn new(
        now: Micros,
        server: NodeId,
        send_queue: Rc<SendQueue>,
        socket_task: Task<()>,
    ) -> Self {
        PooledConnection {
            server,
            send_queue,
            _socket_task: socket_task,
            in_flight: BTreeMap::new(),
            cancelled: VecDeque::new(),
            partial_frame_since: None,
            last_event: now,
            last_used: now,
            is_draining: false,
        }
    }

    /// Whether no attempt is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Whether `parts` more parts may be sent, of which at most `max_in_flight` may be in flight.
    pub(super) fn has_capacity(&self, parts: usize, max_in_flight: usize) -> bool {
        !self.is_draining && self.in_flight.len() + parts <= max_in_flight
    }

    /// Whether a response may arrive, be it to a cancelled part.
    pub(super) fn expects_response(&self) -> bool {
        !self.in_flight.is_empty() || !self.cancelled.is_empty()
    }

    /// Notes that the socket task has reported something.
    pub(super) fn on_event(&mut self, now: Micros) {
        self.last_event = now;
        self.partial_frame_since = None;
    }

    /// Notes that an incomplete frame has grown.
    pub(super) fn on_partial_frame(&mut self, now: Micros) {
        self.partial_frame_since = Some(now);
    }

    /// Remembers that a part was cancelled after it had been written. The oldest one is forgotten if there are
    /// too many.
    pub(super) fn remember_cancelled(&mut self, wire_id: String) {
        if self.cancelled.len() >= MAX_CANCELLED_PARTS {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back(wire_id);
    }

    /// Forgets a cancelled part because its response has arrived. False: no such part is remembered.
    pub(super) fn forget_cancelled(&mut self, wire_id: &str) -> bool {
        match self.cancelled.iter().position(|id| id == wire_id) {
            Some(index) => self.cancelled.remove(index).is_some(),
            None => false,
        }
    }

    /// Whether nothing has been reported since an attempt was sent.
    pub(super) fn is_silent_since(&self, sent_at: Micros) -> bool {
        self.last_event <= sent_at
    }

    /// Whether the connection is idle, and draining or unused for `max_idle`.
    pub(super) fn is_expired(&self, now: Micros, max_idle: Micros) -> bool {
        let is_unused = now.saturating_sub(self.last_used) >= max_idle;
        self.is_idle() && (self.is_draining || is_unused)
    }

    /// When an incomplete frame will have made no progress for `timeout`, while there is one.
    pub(super) fn stalls_at(&self, timeout: Micros) -> Option<Micros> {
        Some(self.partial_frame_since? + timeout)
    }

    /// Whether an incomplete frame has made no progress for `timeout`.
    pub(super) fn is_stalled(&self, now: Micros, timeout: Micros) -> bool {
        self.partial_frame_since
            .is_some_and(|since| now.saturating_sub(since) >= timeout)
    }
}
