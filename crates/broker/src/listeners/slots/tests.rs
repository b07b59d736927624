//! Tests of the idle timeout, and of the order in which connections are evicted.

use super::*;

/// Clients that send one request and never close their connection also hold file descriptors of
/// their own host. Those run out before the broker's, and the clients can then open no further
/// connections. Closing idle connections sooner prevents this.
#[test]
fn idle_timeout_is_shorter_when_many_slots_are_in_use() {
    let slots = ConnectionSlots::new(100);
    let timeouts = [0, 25, 26, 100].map(|in_use| {
        slots.in_use.set(in_use);
        slots.idle_timeout()
    });
    assert_eq!(
        timeouts,
        [
            IDLE_TIMEOUT,
            IDLE_TIMEOUT,
            SHORT_IDLE_TIMEOUT,
            SHORT_IDLE_TIMEOUT
        ]
    );
}

/// A flood of connections that send nothing must not cause the eviction of connections of ordinary
/// clients, and connections with incomplete requests must not occupy all slots.
#[test]
fn connections_are_evicted_by_priority_then_age() {
    let slots = ConnectionSlots::new(4);
    let priorities = [
        EvictionPriority::ReceivingFirstRequest,
        EvictionPriority::Idle,
        EvictionPriority::Unused,
        EvictionPriority::Idle,
    ];
    let evictables = priorities.map(|priority| slots.evictable(priority));
    let evicted = || evictables.each_ref().map(|e| e.evicted.is_closed());
    let mut order = Vec::new();
    while slots.evict_one() {
        order.push(evicted());
    }
    let expected = [
        [false, false, true, false],
        [false, true, true, false],
        [false, true, true, true],
        [true, true, true, true],
    ];
    assert_eq!(order, expected);
    // A connection whose registration was dropped must no longer be evictable.
    let dropped = slots.evictable(EvictionPriority::Idle);
    drop(dropped);
    assert!(slots.evictable.borrow().is_empty());
}

/// Guards against connections that wait unread for too long: as long as there was a connection to
/// evict, the wait for a slot went on, even if the evicted connections kept their slots.
#[test]
fn wait_for_slot_ends_although_connections_can_be_evicted() {
    // The wait has time to evict half of them.
    let evictable = 2 * (MAX_SLOT_WAIT.as_millis() / EVICTION_WAIT.as_millis()) as usize;
    let slots = ConnectionSlots::new(1);
    let _slot = slots.take();
    let evictables: Vec<_> = (0..evictable)
        .map(|_| slots.evictable(EvictionPriority::Idle))
        .collect();
    let slot = async_io::block_on(slots.wait_for_slot(Instant::now()));
    assert!(slot.is_none());
    let evicted = evictables.iter().filter(|e| e.evicted.is_closed()).count();
    assert!(evicted < evictable, "all connections were evicted");
    // A connection that has waited as long in the backlog is rejected without a further eviction.
    let arrived_at = Instant::now() - MAX_SLOT_WAIT;
    let slot = async_io::block_on(slots.wait_for_slot(arrived_at));
    assert!(slot.is_none());
    let evicted_later = evictables.iter().filter(|e| e.evicted.is_closed()).count();
    assert_eq!(evicted_later, evicted);
}
