//! Connection slots of a listener. They limit the number of its connections, and determine which
//! connections are evicted (closed in favour of a new one) when no slot is free.
//!
//! [`ConnectionSlots`] counts the slots in use. Each connection owns a [`Slot`], which is freed
//! when it is dropped. While a connection may be evicted, it also holds an [`Evictable`].

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
/// Idle timeout of an HTTP/1.1 connection that has served a request, while many slots are in use.
/// Clients that send one request and never close their connection hold file descriptors of the
/// broker and of their own host, which other clients need.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(250);
/// [`SHORT_IDLE_TIMEOUT`] applies while the number of slots in use is more than the number of all
/// slots divided by this.
const HIGH_USAGE_DIVISOR: usize = 4;
/// Maximum time to wait for an evicted connection to free its slot before the next one is evicted.
const EVICTION_WAIT: Duration = Duration::from_millis(5);
/// Maximum time from the arrival of a connection until it has a slot. Its client is rejected after
/// that, so that it can use another broker, and the connections behind it do not wait any longer. A
/// request that waits unread has to be answered at the latest half a second after its time.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(250);
/// Maximum number of connections that are being closed and hold no slot. They use file descriptors
/// that are reserved for the program itself, which suffice for this many.
const MAX_CLOSING_WITHOUT_SLOT: usize = 16;

/// Priority with which a connection is evicted. Connections with the first variant are evicted
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionPriority {
    /// The connection is idle, and no valid request has been received on it.
    Unused,
    /// The connection is idle after a valid request. Its client can open another connection.
    Idle,
    /// The connection is receiving its first request. Eviction makes the request fail even if its
    /// client is merely slow, but clients that send incomplete requests must not occupy all slots.
    ReceivingFirstRequest,
}

/// Identifies an evictable connection. Keys are ordered by priority and then by the time of their
/// registration, which is the order in which connections are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    priority: EvictionPriority,
    /// Sequence number of the registration.
    registration: u64,
}

/// The connection slots of one listener.
pub(super) struct ConnectionSlots {
    /// Number of slots.
    capacity: usize,
    /// Number of slots that are in use.
    in_use: Cell<usize>,
    /// Number of connections that are being closed and hold no slot.
    closing_without_slot: Cell<usize>,
    next_registration: Cell<u64>,
    /// The connections that may be evicted. Dropping a connection's sender evicts it.
    evictable: RefCell<BTreeMap<EvictionKey, Sender<()>>>,
    /// Time at which a new connection first found all slots in use. `None` if
    /// [`Self::wait_for_slot`] has returned a slot since then.
    exhausted_since: Cell<Option<Instant>>,
    /// Notified when a slot is freed.
    slot_freed: Notify,
}

/// A slot in use, which is freed on drop.
pub(super) struct Slot(Rc<ConnectionSlots>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
        self.0.slot_freed.notify_one();
    }
}

impl Slot {
    /// Registers that the slot's connection is being closed. The slot is freed immediately, unless
    /// [`MAX_CLOSING_WITHOUT_SLOT`] connections are being closed without a slot already.
    pub(super) fn close(self) -> ClosingConnection {
        self.0
            .try_close_without_slot()
            .unwrap_or(ClosingConnection::HoldingSlot(self))
    }
}

/// Registration of a connection that is being closed, until dropped.
pub(super) enum ClosingConnection {
    /// The connection holds no slot.
    WithoutSlot(Rc<ConnectionSlots>),
    /// The connection keeps its slot until it is closed, because [`MAX_CLOSING_WITHOUT_SLOT`]
    /// connections are being closed without one.
    HoldingSlot(#[expect(dead_code, reason = "held for its drop")] Slot),
}

impl Drop for ClosingConnection {
    fn drop(&mut self) {
        if let ClosingConnection::WithoutSlot(slots) = self {
            slots
                .closing_without_slot
                .set(slots.closing_without_slot.get() - 1);
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
    /// Creates `capacity` free slots.
    pub(super) fn new(capacity: usize) -> Rc<Self> {
        Rc::new(ConnectionSlots {
            capacity,
            in_use: Cell::new(0),
            closing_without_slot: Cell::new(0),
            next_registration: Cell::new(0),
            evictable: RefCell::default(),
            exhausted_since: Cell::new(None),
            slot_freed: Notify::new(),
        })
    }

    /// Returns the number of open connections, including those that are being closed.
    pub(super) fn open_connections(&self) -> usize {
        self.in_use.get() + self.closing_without_slot.get()
    }

    /// Registers a connection that is being closed and holds no slot. Returns `None` if there are
    /// [`MAX_CLOSING_WITHOUT_SLOT`] of them already.
    pub(super) fn try_close_without_slot(self: &Rc<Self>) -> Option<ClosingConnection> {
        if self.closing_without_slot.get() >= MAX_CLOSING_WITHOUT_SLOT {
            return None;
        }
        self.closing_without_slot
            .set(self.closing_without_slot.get() + 1);
        Some(ClosingConnection::WithoutSlot(self.clone()))
    }

    /// Takes a slot without a check of the limit: the caller must have checked that one is free.
    pub(super) fn take(self: &Rc<Self>) -> Slot {
        self.in_use.set(self.in_use.get() + 1);
        Slot(self.clone())
    }

    /// Takes a slot if one is free.
    pub(super) fn try_take(self: &Rc<Self>) -> Option<Slot> {
        (self.in_use.get() < self.capacity).then(|| self.take())
    }

    /// Takes a slot for a connection that arrived at `arrived_at`. If none is free, evicts
    /// connections and waits until one is.
    ///
    /// Returns `None` if no slot has become free within [`MAX_SLOT_WAIT`] of the arrival. Also
    /// returns `None` if no connection can be evicted and none could be for [`MAX_SLOT_WAIT`].
    /// Further calls then return `None` without waiting, until a slot is free or a connection can be
    /// evicted.
    pub(super) async fn wait_for_slot(self: &Rc<Self>, arrived_at: Instant) -> Option<Slot> {
        while self.in_use.get() >= self.capacity {
            let waited = arrived_at.elapsed();
            if waited >= MAX_SLOT_WAIT {
                warn!(
                    name: "connection_rejected", in_use = self.in_use.get(),
                    waited_ms = waited.as_millis() as u64
                );
                return None;
            }
            // A stored notification is outdated, because the slot that it reported has been taken
            // again: all slots are in use now.
            self.slot_freed.clear();
            let evicted = self.evict_one();
            warn!(
                name: "connection_slots_exhausted", in_use = self.in_use.get(), evicted,
                waited_ms = waited.as_millis() as u64
            );
            let exhausted_since = self.exhausted_since.get().unwrap_or_else(Instant::now);
            self.exhausted_since.set(Some(exhausted_since));
            if !evicted && exhausted_since.elapsed() >= MAX_SLOT_WAIT {
                return None;
            }
            // An evicted connection that receives a request at the same moment stays open and keeps
            // its slot, so the wait has a time limit.
            let timeout = async { _ = Timer::after(EVICTION_WAIT).await };
            self.slot_freed.notified().or(timeout).await;
        }
        self.exhausted_since.set(None);
        Some(self.take())
    }

    /// Evicts the connection that is first in the order of [`EvictionKey`]. Returns `false` if no
    /// connection may be evicted.
    fn evict_one(&self) -> bool {
        self.evictable.borrow_mut().pop_first().is_some()
    }

    /// Registers a connection that may be evicted with the given priority.
    pub(super) fn evictable(&self, priority: EvictionPriority) -> Evictable<'_> {
        let registration = self.next_registration.get();
        self.next_registration.set(registration + 1);
        let key = EvictionKey {
            priority,
            registration,
        };
        let (keep_open, evicted) = async_channel::bounded(1);
        self.evictable.borrow_mut().insert(key, keep_open);
        Evictable {
            slots: self,
            key,
            evicted,
        }
    }

    /// Evicts all idle connections. Connections that are receiving a request stay open.
    pub(super) fn close_idle(&self) {
        self.evictable
            .borrow_mut()
            .retain(|key, _| key.priority == EvictionPriority::ReceivingFirstRequest);
    }

    /// Returns the idle timeout of an HTTP/1.1 connection that has served a request.
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
