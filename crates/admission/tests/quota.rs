//! Tests of the quota of client connections.

use admission::{ConnectionId, ConnectionQuota};
use proptest::prelude::*;
use std::collections::BTreeMap;

const FIRST: ConnectionId = ConnectionId(1);
const SECOND: ConnectionId = ConnectionId(2);
const THIRD: ConnectionId = ConnectionId(3);

/// Acquires one unit of capacity at a time until the quota denies one. Returns the number of units
/// that were acquired. (A query takes one unit for itself and one for each of its parts.)
fn acquire_all(quota: &mut ConnectionQuota, connection: ConnectionId) -> usize {
    let before = quota.in_use();
    while quota.try_acquire(connection, 1) {}
    quota.in_use() - before
}

#[test]
fn one_connection_leaves_capacity_for_others() {
    // A connection may use at most twice as much as remains free. The first connection can use 200
    // of the 300 units while 100 remain free, the second can use 66 of those 100 while 34 remain.
    let mut quota = ConnectionQuota::new(300);
    assert_eq!(acquire_all(&mut quota, FIRST), 200);
    assert_eq!(acquire_all(&mut quota, SECOND), 66);
    assert!(
        quota.try_acquire(THIRD, 4),
        "a connection that has nothing in use must be admitted"
    );
}

#[test]
fn first_query_of_each_connection_is_admitted_up_to_the_capacity() {
    let mut quota = ConnectionQuota::new(300);
    assert!((0..100).all(|connection| quota.try_acquire(ConnectionId(connection), 3)));
}

#[test]
fn released_units_can_be_acquired_by_another_connection() {
    let mut quota = ConnectionQuota::new(300);
    acquire_all(&mut quota, FIRST);
    acquire_all(&mut quota, SECOND);
    quota.release(FIRST, 200);
    assert_eq!((quota.in_use(), quota.active_connections()), (66, 1));
    assert!(quota.try_acquire(SECOND, 1));
}

/// One operation of a random sequence.
#[derive(Clone, Copy, Debug)]
enum Step {
    Acquire { connection: u64, units: usize },
    ReleaseLast { connection: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u64..6, 1usize..8).prop_map(|(connection, units)| Step::Acquire { connection, units }),
        (0u64..6).prop_map(|connection| Step::ReleaseLast { connection }),
    ]
}

proptest! {
    /// For any sequence of operations: the total is the sum of what each connection uses; a
    /// connection that has nothing in use is always admitted, even if the capacity is exhausted;
    /// and a connection that acquires units for a second query has at most twice as much in use as
    /// stays free.
    #[test]
    fn total_is_the_sum_of_all_connections_and_quotas_hold(steps in prop::collection::vec(step(), 0..400)) {
        let mut quota = ConnectionQuota::new(100);
        let mut acquired: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for step in steps {
            match step {
                Step::ReleaseLast { connection } => {
                    if let Some(units) = acquired.entry(connection).or_default().pop() {
                        quota.release(ConnectionId(connection), units);
                    }
                }
                Step::Acquire { connection, units } => {
                    let own = acquired.entry(connection).or_default();
                    if quota.try_acquire(ConnectionId(connection), units) {
                        own.push(units);
                        let free = 100usize.saturating_sub(quota.in_use());
                        prop_assert!(own.len() == 1 || own.iter().sum::<usize>() <= 2 * free);
                    } else {
                        prop_assert!(!own.is_empty());
                    }
                }
            }
            prop_assert_eq!(quota.in_use(), acquired.values().flatten().sum::<usize>());
        }
    }
}
