//! Connection slots of a listener: their number, and which connections are evicted when they run
//! out.
//!
//! [`ConnectionSlots`] counts the slots. A connection owns its [`Slot`] and frees it by dropping
//! it; while it may be evicted it holds an [`Evictable`], whose drop ends that.

use crate::notify::Notify;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::warn;

/// Idle timeout of an HTTP/1.1 connection that has served a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The same while more than one slot in [`HIGH_USAGE_DIVISOR`] is in use. Clients that send one
/// request and never close their connection hold file descriptors here and on their side, which
/// other clients need.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(250);
/// Divisor of the number of slots above which [`SHORT_IDLE_TIMEOUT`] applies.
const HIGH_USAGE_DIVISOR: usize = 4;
/// Longest wait for an evicted connection to free its slot before the next one is evicted.
const EVICTION_WAIT: Duration = Duration::from_millis(5);
/// Longest wait for a slot while no connection can be evicted. A client that is rejected after it
/// can use another broker.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(250);
/// Most connections that are being closed outside the slots. The file descriptors reserved for the
/// program itself suffice for them.
const MAX_CLOSING_OUTSIDE_SLOTS: usize = 16;

/// Order in which connections are evicted: the first variant goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionPriority {
    /// No valid request has been received.
    Unused,
    /// Idle after a valid request: its client can open another connection.
    Idle,
    /// Receiving its first request. Eviction fails the request of a client that is merely slow, but
    /// incomplete requests must not hold all slots.
    ReceivingFirstRequest,
}

/// Identifies an evictable connection. The order is that of eviction: by priority, then by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    priority: EvictionPriority,
    /// Number of the registration.
    number: u64,
}

/// The connection slots of one listener.
pub(super) struct ConnectionSlots {
    capacity: usize,
    in_use: Cell<usize>,
    /// Connections that are being closed outside the slots.
    closing_outside: Cell<usize>,
    next_eviction_number: Cell<u64>,
    /// Connections that may be evicted, which dropping the sender does.
    evictable: RefCell<BTreeMap<EvictionKey, Sender<()>>>,
    /// Since when a new connection has been waiting for a slot, or clients have been rejected.
    exhausted_since: Cell<Option<Instant>>,
    /// Notified when a slot is freed.
    slot_freed: Notify,
}

/// A slot, which is freed on drop.
pub(super) struct Slot(Rc<ConnectionSlots>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
        self.0.slot_freed.notify_one();
    }
}

impl Slot {
    /// Marks the connection as being closed, which frees its slot early if possible.
    pub(super) fn close(self) -> ClosingConnection {
        self.0
            .close_outside_slots()
            .unwrap_or(ClosingConnection::InSlot(self))
    }
}

/// Counts a connection that is being closed, until dropped.
pub(super) enum ClosingConnection {
    /// It has no slot any more.
    OutsideSlots(Rc<ConnectionSlots>),
    /// It keeps its slot, because too many connections are being closed outside the slots.
    InSlot(#[expect(dead_code, reason = "held for its drop")] Slot),
}

impl Drop for ClosingConnection {
    fn drop(&mut self) {
        if let ClosingConnection::OutsideSlots(slots) = self {
            slots.closing_outside.set(slots.closing_outside.get() - 1);
        }
    }
}

/// Registration of a connection that may be evicted, until dropped.
pub(super) struct Evictable<'a> {
    slots: &'a ConnectionSlots,
    key: EvictionKey,
    evicted: Receiver<()>,
}

impl Evictable<'_> {
    /// Waits until the connection is evicted.
    pub(super) async fn evicted(&self) {
        let _: Result<(), _> = self.evicted.recv().await;
    }
}

impl Drop for Evictable<'_> {
    fn drop(&mut self) {
        self.slots.evictable.borrow_mut().remove(&self.key);
    }
}

impl ConnectionSlots {
    /// Creates the given number of free slots.
    pub(super) fn new(capacity: usize) -> Rc<Self> {
        Rc::new(ConnectionSlots {
            capacity,
            in_use: Cell::new(0),
            closing_outside: Cell::new(0),
            next_eviction_number: Cell::new(0),
            evictable: RefCell::default(),
            exhausted_since: Cell::new(None),
            slot_freed: Notify::new(),
        })
    }

    /// Number of open connections, including those that are being closed.
    pub(super) fn open_connections(&self) -> usize {
        self.in_use.get() + self.closing_outside.get()
    }

    /// Registers a connection that is closed without a slot, unless there are too many of them.
    pub(super) fn close_outside_slots(self: &Rc<Self>) -> Option<ClosingConnection> {
        if self.closing_outside.get() >= MAX_CLOSING_OUTSIDE_SLOTS {
            return None;
        }
        self.closing_outside.set(self.closing_outside.get() + 1);
        Some(ClosingConnection::OutsideSlots(self.clone()))
    }

    /// Takes a slot, without regard to the capacity.
    pub(super) fn take(self: &Rc<Self>) -> Slot {
        self.in_use.set(self.in_use.get() + 1);
        Slot(self.clone())
    }

    /// Takes a slot if one is free.
    pub(super) fn try_take(self: &Rc<Self>) -> Option<Slot> {
        (self.in_use.get() < self.capacity).then(|| self.take())
    }

    /// Waits for a free slot, evicting connections if necessary, and takes it. Returns `None` if
    /// none becomes free: after one such wait, further connections are rejected at once until a
    /// slot is free or a connection can be evicted.
    pub(super) async fn wait_for_slot(self: &Rc<Self>) -> Option<Slot> {
        while self.in_use.get() >= self.capacity {
            // This notification, if any, is from before the slots were exhausted.
            self.slot_freed.clear();
            let evicted = self.evict_one();
            warn!(name: "connection_slots_exhausted", in_use = self.in_use.get(), evicted);
            let exhausted_since = self.exhausted_since.get().unwrap_or_else(Instant::now);
            self.exhausted_since.set(Some(exhausted_since));
            if !evicted && exhausted_since.elapsed() >= MAX_SLOT_WAIT {
                return None;
            }
            // The evicted connection stays open if it received a request at the same moment, so the
            // wait is limited.
            let timeout = async { _ = Timer::after(EVICTION_WAIT).await };
            self.slot_freed.notified().or(timeout).await;
        }
        self.exhausted_since.set(None);
        Some(self.take())
    }

    /// Evicts the first connection in the order of eviction, and returns whether there was one.
    fn evict_one(&self) -> bool {
        self.evictable.borrow_mut().pop_first().is_some()
    }

    /// Allows the connection to be evicted.
    pub(super) fn evictable(&self, priority: EvictionPriority) -> Evictable<'_> {
        let number = self.next_eviction_number.get();
        self.next_eviction_number.set(number + 1);
        let key = EvictionKey { priority, number };
        let (keep_open, evicted) = async_channel::bounded(1);
        self.evictable.borrow_mut().insert(key, keep_open);
        Evictable {
            slots: self,
            key,
            evicted,
        }
    }

    /// Closes all idle connections. Those that are receiving a request stay open.
    pub(super) fn close_idle(&self) {
        self.evictable
            .borrow_mut()
            .retain(|key, _| key.priority == EvictionPriority::ReceivingFirstRequest);
    }

    /// Idle timeout of an HTTP/1.1 connection that has served a request.
    pub(super) fn idle_timeout(&self) -> Duration {
        if self.in_use.get() * HIGH_USAGE_DIVISOR > self.capacity {
            SHORT_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        }
    }
}

#[cfg(test)]
mod tests;
