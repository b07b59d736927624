//! Queue of the frames to be written to one connection.

use super::attempt::OutgoingPart;
use async_channel::{Receiver, Sender};
use broker_types::time::Timestamp;
use server_protocol::broker::{PartRequest, encode_call, encode_cancel};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Minimum time that must be left until a part's deadline when the part is sent. A frame contains
/// the time left in whole milliseconds, so any shorter time would be sent as zero.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// A frame to be written to a connection.
pub(super) enum OutgoingFrame {
    /// A call with these parts.
    Call(Vec<OutgoingPart>),
    /// The cancellation of the part with this id.
    Cancel(Rc<str>),
}

impl OutgoingFrame {
    /// Returns the parts of a call. A cancellation has none.
    fn parts(&self) -> &[OutgoingPart] {
        match self {
            OutgoingFrame::Call(parts) => parts,
            OutgoingFrame::Cancel(_) => &[],
        }
    }

    /// Encodes the frame. For each part, a call contains the time between `now` and the deadline.
    fn encode(&self, now: Timestamp) -> Vec<u8> {
        match self {
            OutgoingFrame::Cancel(wire_id) => encode_cancel(wire_id),
            OutgoingFrame::Call(parts) => encode_call(parts.iter().map(|part| PartRequest {
                id: &part.wire_id,
                shard: part.shard,
                wait_ms: part.deadline.saturating_since(now).as_millis() as u64,
                idempotency_key: part.idempotency_key.as_deref(),
                text: &part.text,
            })),
        }
    }
}

/// A frame that is being written.
pub(super) struct StartedFrame {
    /// The frame, which is put back into the queue if the socket accepts none of its bytes.
    frame: OutgoingFrame,
    /// The encoded frame.
    bytes: Vec<u8>,
}

impl StartedFrame {
    /// Returns the encoded frame.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the encoded frame and drops the original, which can no longer be put back into the
    /// queue.
    pub(super) fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }
}

/// Queue of the frames to be written to one connection. A part can be withdrawn until the socket
/// has accepted the first byte of its frame. An id names one part, because no part is assigned to the
/// connection while another one with its id is outstanding. The length of the queue is bounded by the maximum
/// number of attempts in flight on the connection.
pub(super) struct SendQueue {
    frames: RefCell<VecDeque<OutgoingFrame>>,
    /// Ids of the parts that expired before they were written and have not been withdrawn yet.
    expired: RefCell<BTreeSet<Rc<str>>>,
    /// Ids of the parts of the frame that is being written. `None` if no frame is being written.
    writing: RefCell<Option<Vec<Rc<str>>>>,
    /// Whether the socket accepts no data at present.
    is_socket_full: Cell<bool>,
    /// Whether the connection was ever established.
    was_connected: Cell<bool>,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

impl Default for SendQueue {
    fn default() -> Self {
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        SendQueue {
            frames: RefCell::default(),
            expired: RefCell::default(),
            writing: RefCell::default(),
            is_socket_full: Cell::new(false),
            was_connected: Cell::new(false),
            wake_sender,
            wake_receiver,
        }
    }
}

impl SendQueue {
    /// Appends a frame and wakes the socket task.
    pub(super) fn push(&self, frame: OutgoingFrame) {
        self.frames.borrow_mut().push_back(frame);
        // If the channel is full, the socket task has already been woken.
        let _ = self.wake_sender.try_send(());
    }

    /// Removes a part unless any byte of it was written. Returns whether the part was removed.
    pub(super) fn try_withdraw(&self, wire_id: &str) -> bool {
        let mut is_withdrawn = self.expired.borrow_mut().remove(wire_id);
        self.frames.borrow_mut().retain_mut(|frame| {
            let OutgoingFrame::Call(parts) = frame else {
                return true;
            };
            let parts_before = parts.len();
            parts.retain(|part| *part.wire_id != *wire_id);
            is_withdrawn |= parts.len() < parts_before;
            !parts.is_empty()
        });
        is_withdrawn
    }

    /// Removes all parts of which no byte was written and returns their ids.
    pub(super) fn withdraw_all(&self) -> Vec<Rc<str>> {
        let expired = std::mem::take(&mut *self.expired.borrow_mut());
        let mut withdrawn: Vec<Rc<str>> = expired.into_iter().collect();
        self.frames.borrow_mut().retain_mut(|frame| {
            let OutgoingFrame::Call(parts) = frame else {
                return true;
            };
            withdrawn.extend(parts.drain(..).map(|part| part.wire_id));
            false
        });
        withdrawn
    }

    /// Returns the ids of the parts whose frames were not written completely.
    pub(super) fn unwritten_parts(&self) -> BTreeSet<Rc<str>> {
        let frames = self.frames.borrow();
        let queued = frames.iter().flat_map(OutgoingFrame::parts);
        let (writing, expired) = (self.writing.borrow(), self.expired.borrow());
        queued
            .map(|part| &part.wire_id)
            .chain(writing.iter().flatten())
            .chain(expired.iter())
            .cloned()
            .collect()
    }

    /// Records that the connection is established.
    pub(super) fn on_connected(&self) {
        self.was_connected.set(true);
    }

    /// Returns whether the connection was ever established. Stays true after its loss.
    pub(super) fn was_connected(&self) -> bool {
        self.was_connected.get()
    }

    /// Records that the socket accepts no data at present.
    pub(super) fn on_socket_full(&self) {
        self.is_socket_full.set(true);
    }

    /// Records that the socket accepts data again.
    pub(super) fn on_socket_writable(&self) {
        self.is_socket_full.set(false);
    }

    /// Returns whether frames are held up at present because the socket accepts no more data.
    ///
    /// The socket task runs between event loop iterations and then writes as much as the socket
    /// accepts. A frame that is still being written during an iteration is therefore held up by the
    /// socket.
    pub(super) fn is_blocked(&self) -> bool {
        self.is_socket_full.get() || self.writing.borrow().is_some()
    }

    /// Waits until the queue holds a frame.
    pub(super) async fn wait_for_frame(&self) {
        while self.frames.borrow().is_empty() {
            let _ = self.wake_receiver.recv().await;
        }
    }

    /// Removes the next frame from the queue and encodes it for being written at the time `now`.
    /// Omits the parts that have expired, and skips a call if all its parts have expired. Returns
    /// `None` if no frame is left.
    pub(super) fn start_frame(&self, now: Timestamp) -> Option<StartedFrame> {
        loop {
            let mut frame = self.frames.borrow_mut().pop_front()?;
            if let OutgoingFrame::Call(parts) = &mut frame {
                self.remove_expired(now, parts);
                if parts.is_empty() {
                    continue;
                }
            }
            let bytes = frame.encode(now);
            let wire_ids = frame.parts().iter().map(|part| part.wire_id.clone());
            *self.writing.borrow_mut() = Some(wire_ids.collect());
            return Some(StartedFrame { frame, bytes });
        }
    }

    /// Removes the parts of a call that must no longer be sent or whose deadline is less than
    /// [`MIN_TIME_LEFT`] away, and records them as expired.
    fn remove_expired(&self, now: Timestamp, parts: &mut Vec<OutgoingPart>) {
        let is_expired = |part: &mut OutgoingPart| {
            part.deadline < now + MIN_TIME_LEFT || part.send_before.is_some_and(|at| at <= now)
        };
        let expired = parts.extract_if(.., is_expired);
        let expired_ids = expired.map(|part| part.wire_id);
        self.expired.borrow_mut().extend(expired_ids);
    }

    /// Records that the started frame was written completely.
    pub(super) fn finish_frame(&self) {
        *self.writing.borrow_mut() = None;
    }

    /// Puts the started frame back to the front of the queue, because the socket has accepted none
    /// of its bytes.
    pub(super) fn requeue(&self, started: StartedFrame) {
        *self.writing.borrow_mut() = None;
        self.frames.borrow_mut().push_front(started.frame);
    }
}
