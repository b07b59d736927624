//! Tests of the division of a request's wait, with chosen times.

use super::*;

const MILLISECOND: Duration = Duration::from_millis(1);

/// Returns the waits of a request that arrived at 10 ms and was decoded from 50 to 51 ms, in ms.
fn waits(accepted_at: u32, delayed_until: Option<u32>) -> (u128, u128, u128) {
    let start = Instant::now();
    let at = |ms: u32| start + ms * MILLISECOND;
    let arrival = Arrival {
        arrived_at: at(10),
        accepted_at: at(accepted_at),
        delayed_until: delayed_until.map(at),
    };
    let timing = RequestTiming::new(arrival, at(50), at(51));
    assert_eq!(timing.decoding, MILLISECOND);
    let (backlog, delay) = (timing.backlog.as_millis(), timing.delay.as_millis());
    (backlog, delay, timing.run_queue.as_millis())
}

#[test]
fn wait_of_a_request_is_divided_by_what_it_waits_for() {
    assert_eq!(waits(30, None), (20, 0, 20));
    assert_eq!(waits(5, None), (0, 0, 40));
    assert_eq!(waits(5, Some(45)), (0, 35, 5));
    assert_eq!(waits(5, Some(8)), (0, 0, 40));
}
