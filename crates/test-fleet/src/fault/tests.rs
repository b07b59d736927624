//! Tests of the time that a server takes for a part.

use super::{Fault, FaultInjection};
use std::time::{Duration, Instant};

const PART_DURATION: Duration = Duration::from_millis(10);

fn injection() -> FaultInjection {
    FaultInjection::new(PART_DURATION)
}

#[test]
fn delay_of_a_slow_server_is_added_to_the_part_duration() {
    let mut slow = injection();
    slow.set_fault(Fault::Slow(Duration::from_millis(5)));
    let now = Instant::now();
    assert_eq!(injection().part_duration_at(now), PART_DURATION);
    assert_eq!(slow.part_duration_at(now), Duration::from_millis(15));
}

#[test]
fn restarted_server_starts_at_a_fifth_of_full_speed_and_reaches_it_after_the_warm_up() {
    let started_at = Instant::now();
    let warm_up_duration = Duration::from_secs(10);
    let mut restarted = injection();
    restarted.on_restart(started_at, warm_up_duration);
    assert_eq!(restarted.part_duration_at(started_at), 5 * PART_DURATION);
    let warmed_up = started_at + warm_up_duration;
    assert_eq!(restarted.part_duration_at(warmed_up), PART_DURATION);
    assert_eq!(
        restarted.part_duration_at(warmed_up + warm_up_duration),
        PART_DURATION
    );
}
