//! How long unreachable and overloaded servers are avoided.

use crate::common::{Harness, ring, sent_attempts, served};
use fanout_policy::api::{Ms, Outcome};

/// Times between attempts at one server under continuous traffic, where its attempts have this
/// outcome and all others are served.
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
        "attempted again after {gaps:?}"
    );
    assert!(gaps[1] > gaps[0], "{gaps:?}");
}

#[test]
fn server_that_rejects_all_parts_is_avoided_longer_each_time() {
    let gaps = gaps_between_attempts(Outcome::Overloaded);
    assert!(gaps.len() > 3 && gaps[gaps.len() - 1] > 2000.0, "{gaps:?}");
}

/// For a broker that sends to a server every few seconds, a pause of 75 ms keeps no part from an
/// overloaded server.
#[test]
fn overloaded_server_is_avoided_for_half_the_interval_between_its_parts() {
    let mut policy = Harness::new(ring(), 1);
    let first = policy.attempts_for("q", &[0]);
    let overloaded = first[0].node.clone();
    policy.end_attempt("q.0", 0, Outcome::Overloaded, 5.0);
    for k in 0..12 {
        let sent = policy.attempts_for(&format!("n{k}"), &[0]);
        let is_avoided = sent.iter().all(|attempt| attempt.node != overloaded);
        assert!(
            is_avoided,
            "{overloaded} was called again after {} ms",
            100 * k
        );
        policy.advance(95.0, served(&sent, 0, 40.0));
    }
}

/// In sev4209 brokers with an outdated endpoint list called the same dead servers for ten seconds:
/// each pause of at most two seconds was over before their next part for that server.
#[test]
fn unreachable_server_is_avoided_for_the_interval_between_its_parts() {
    let mut policy = Harness::new(ring(), 1);
    policy.submit("q", &[0]);
    policy.end_attempt("q.0", 0, Outcome::Unreachable, 5.0);
    let until = policy
        .aggregator
        .server_views(policy.now)
        .iter()
        .find_map(|view| view.ejected_until)
        .unwrap();
    // Two parts in 1.5 latency objectives over six servers: an interval of 4.5 objectives.
    assert!(
        until - policy.now > 3000.0,
        "called again after {} ms",
        until - policy.now
    );
}
