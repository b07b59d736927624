//! Slow start: the limit of requests in flight at a server that is warming up, and its division
//! among control instances.

use crate::parameters::SLOW_START_RULE;
use endpoint_control::slow_start::ControlInstance;
use proptest::prelude::*;
use std::time::Duration;

#[test]
fn limit_starts_low_and_grows_until_the_server_has_warmed_up() {
    let limits = [0, 4, 8, 12, 16]
        .map(|seconds| SLOW_START_RULE.max_in_flight(Duration::from_secs(seconds)));
    assert_eq!(limits, [3, 6, 10, 14, 17]);
    assert!(!SLOW_START_RULE.is_warmed_up(Duration::from_micros(15_999_999)));
    assert!(SLOW_START_RULE.is_warmed_up(Duration::from_secs(16)));
}

/// A request that was sent to the server.
struct SentRequest {
    /// Age of the server when the request was sent.
    server_age: Duration,
    /// Work of the request in microseconds.
    work: f64,
}

/// Simulates a server during its warm-up and returns the requests that were sent to it. The clients
/// always have as many requests in flight as the limit allows, which is the worst case. The server
/// completes as much work as its current capacity allows.
fn requests_of_saturating_clients() -> Vec<SentRequest> {
    const STEP: Duration = Duration::from_millis(1);
    let rule = SLOW_START_RULE;
    let mut requests = Vec::new();
    let (mut in_flight, mut remaining_work) = (0u32, 0.0f64);
    let outstanding = |remaining_work: f64| (remaining_work / rule.request_work).ceil() as u32;
    let mut now = Duration::ZERO;
    while now < rule.warm_up_duration {
        while in_flight < rule.max_in_flight(now) {
            requests.push(SentRequest {
                server_age: now,
                work: rule.request_work,
            });
            in_flight += 1;
            remaining_work += rule.request_work;
        }
        let outstanding_before = outstanding(remaining_work);
        let work_done = rule.capacity * rule.capacity_share(now) * STEP.as_secs_f64();
        remaining_work = (remaining_work - work_done).max(0.0);
        in_flight -= outstanding_before - outstanding(remaining_work);
        now += STEP;
    }
    requests
}

#[test]
fn saturating_clients_do_not_overload_the_server_in_any_window() {
    let rule = SLOW_START_RULE;
    let requests = requests_of_saturating_clients();
    for first in &requests {
        let window_end = first.server_age + rule.overload_window;
        let sent_work: f64 = requests
            .iter()
            .filter(|request| {
                request.server_age >= first.server_age && request.server_age < window_end
            })
            .map(|request| request.work)
            .sum();
        let capacity = rule.capacity * rule.capacity_share(first.server_age);
        let max_work = rule.overload_multiple * capacity * rule.overload_window.as_secs_f64();
        assert!(
            sent_work <= max_work,
            "{sent_work} of at most {max_work} us of work in the window from age {:?}",
            first.server_age
        );
    }
    assert!(
        requests.len() > 100,
        "expected more than 100 requests during the warm-up, but {} were sent",
        requests.len()
    );
}

/// Guards against a change of the hash of server names. Control instances divide a limit without
/// communication, so the shares of instances of different builds add up to the limit only if their
/// hashes agree. The test derives the hash from the instance that receives a limit of one request:
/// the number of that instance is the number of instances minus the hash.
#[test]
fn remainder_of_the_limit_goes_by_the_fnv1a_hash_of_the_server_name() {
    const COUNT: u32 = u32::MAX;
    for (server, hash) in [
        ("", 2_166_136_261),
        ("a", 3_826_002_220),
        ("s0", 122_795_830),
        ("s00", 2_342_723_186),
        ("rack-7/node-12", 749_702_921),
        ("\u{e9}", 513_665_217),
    ] {
        let share = |number| {
            let instance = ControlInstance {
                number,
                count: COUNT,
            };
            instance.share_of_limit(1, server)
        };
        let holder = COUNT - hash;
        assert_eq!([share(holder - 1), share(holder)], [0, 1], "{server:?}");
    }
}

proptest! {
    #[test]
    fn shares_of_all_instances_add_up_to_the_limit(
        limit in 0u32..500, count in 1u32..20, server in "[a-z0-9]{1,8}",
    ) {
        let shares: Vec<u32> = (0..count)
            .map(|number| ControlInstance { number, count }.share_of_limit(limit, &server))
            .collect();
        prop_assert_eq!(shares.iter().sum::<u32>(), limit);
        prop_assert!(shares.iter().max().unwrap() - shares.iter().min().unwrap() <= 1);
    }

    #[test]
    fn limit_never_decreases_with_age(age in 0u64..30_000_000, other_age in 0u64..30_000_000) {
        let younger = Duration::from_micros(age.min(other_age));
        let older = Duration::from_micros(age.max(other_age));
        prop_assert!(
            SLOW_START_RULE.max_in_flight(younger) <= SLOW_START_RULE.max_in_flight(older)
        );
    }
}
