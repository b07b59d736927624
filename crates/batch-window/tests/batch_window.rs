//! Tests of the length of the batch window.

use batch_window::BatchWindow;
use broker_types::time::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

#[test]
fn adaptive_window_grows_from_zero_with_the_queries_in_flight() {
    // Each query after the first adds an eighth of the maximum, up to the maximum.
    let window = BatchWindow::Adaptive(Duration::from_micros(4000));
    let durations = [0, 1, 2, 5, 9, 10_000].map(|queries| window.duration(queries));
    let expected = [0, 0, 500, 2000, 4000, 4000].map(Duration::from_micros);
    assert_eq!(durations, expected);
}

#[test]
fn fixed_window_does_not_depend_on_the_queries_in_flight() {
    let window = BatchWindow::Fixed(Duration::from_micros(5000));
    let durations = [0, 1, 100].map(|queries| window.duration(queries));
    assert_eq!(durations, [Duration::from_micros(5000); 3]);
}

/// A client that sends one query after another never has more than one query in flight. Its queries
/// cannot share a call, so waiting gains nothing. Guards against a window that depends on the
/// arrival rate: the faster such a client's queries are answered, the more often it sends the next
/// one. The high arrival rate would lengthen the window, and the client's later queries would wait.
#[test]
fn client_that_sends_one_query_after_another_never_waits() {
    let window = BatchWindow::Adaptive(Duration::from_micros(5000));
    let (mut now, mut waited) = (Timestamp::ORIGIN, Duration::ZERO);
    for _ in 0..1000 {
        let start = window.next_start(now, 1).max(now);
        waited += start.saturating_since(now);
        now = start + Duration::from_micros(50);
    }
    assert_eq!(waited, Duration::ZERO);
}

proptest! {
    #[test]
    fn window_never_shrinks_with_more_queries_nor_exceeds_its_limit(
        max_duration in 0u64..50_000, queries in 0usize..5000, other_queries in 0usize..5000,
    ) {
        let max_duration = Duration::from_micros(max_duration);
        let window = BatchWindow::Adaptive(max_duration);
        let (fewer, more) = (queries.min(other_queries), queries.max(other_queries));
        prop_assert!(window.duration(fewer) <= window.duration(more));
        prop_assert!(window.duration(queries) <= max_duration);
    }
}
