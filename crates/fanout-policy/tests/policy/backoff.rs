//! Ejections of unreachable and overloaded servers: how long nothing is sent to them.

use crate::common::{Harness, ring, sent_attempts, served};
use fanout_policy::api::{Ms, Outcome};

/// Submits queries continuously and returns the times between consecutive attempts at the server
/// `c1n0`, in milliseconds. Its attempts end with `outcome_at_server`, all others are served.
fn gaps_between_attempts(outcome_at_server: Outcome) -> Vec<Ms> {
    let mut policy = Harness::new(ring(), 1);
    policy.answer_queries(12, 4000.0);
    let mut attempt_times = Vec::new();
    for k in 0..1500 {
        let sent = policy.attempts_for(&format!("q{k}"), &[0]);
        let outcome = if sent[0].node == "c1n0" {
            attempt_times.push(policy.now);
            outcome_at_server
        } else {
            Outcome::Served
        };
        let more = policy.end_attempt(&sent[0].part, 0, outcome, 20.0);
        policy.advance(0.0, served(&sent_attempts(&more), 1, 20.0));
    }
    let gaps = attempt_times.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.collect()
}

#[test]
fn unreachable_server_is_avoided_immediately_and_longer_each_time() {
    let gaps = gaps_between_attempts(Outcome::Unreachable);
    assert!(
        gaps.len() > 2 && gaps[0] > 300.0,
        "times between attempts at the unreachable server, in ms: {gaps:?}"
    );
    assert!(
        gaps[1] > gaps[0],
        "times between attempts at the unreachable server, in ms: {gaps:?}"
    );
}

#[test]
fn server_that_rejects_all_parts_is_avoided_longer_each_time() {
    let gaps = gaps_between_attempts(Outcome::Overloaded);
    assert!(
        gaps.len() > 3 && gaps[gaps.len() - 1] > 2000.0,
        "times between attempts at the overloaded server, in ms: {gaps:?}"
    );
}

/// Guards against an ejection that is too short to have an effect. A broker that sends a part to a
/// given server only every few seconds has none for it within 75 ms, so that an ejection of 75 ms
/// keeps no part away from an overloaded server.
#[test]
fn overloaded_server_is_ejected_for_half_the_interval_between_its_parts() {
    let mut policy = Harness::new(ring(), 1);
    let first = policy.attempts_for("q", &[0]);
    let overloaded = first[0].node.clone();
    policy.end_attempt("q.0", 0, Outcome::Overloaded, 5.0);
    // The mean interval between two parts for one server is 4500 ms, computed as in the next test.
    // The ejection lasts half of that, times a jitter factor of at least 0.75: at least 1687 ms. The
    // loop checks a shorter time.
    for k in 0..12 {
        let sent = policy.attempts_for(&format!("n{k}"), &[0]);
        let is_avoided = sent.iter().all(|attempt| attempt.node != overloaded);
        assert!(
            is_avoided,
            "{overloaded} received another part after {} ms",
            100 * k
        );
        policy.advance(95.0, served(&sent, 0, 40.0));
    }
}

/// Guards against an ejection that ends before the broker's next part for that server. In the
/// incident sev4209, brokers with an outdated endpoint list sent parts to the same dead servers for
/// ten seconds, since each ejection lasted two seconds at most.
#[test]
fn unreachable_server_is_ejected_for_the_interval_between_its_parts() {
    let mut policy = Harness::new(ring(), 1);
    policy.submit("q", &[0]);
    policy.end_attempt("q.0", 0, Outcome::Unreachable, 5.0);
    let until = policy
        .aggregator
        .server_views(policy.now)
        .iter()
        .find_map(|view| view.ejected_until)
        .unwrap();
    // The policy has accepted two requests, the query and its part, in a window of 1.5 latency
    // objectives. Over six servers that makes an interval of 4.5 objectives between the parts for
    // one server. Jitter shortens the ejection to 0.75 of that or more.
    assert!(
        until - policy.now > 3000.0,
        "the server is ejected for {} ms only",
        until - policy.now
    );
}
