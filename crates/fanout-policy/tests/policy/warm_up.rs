//! Servers that have just started.

use crate::common::{
    Harness, SentAttempt, attempt_ended, endpoint, one_cell, ring, served, started_endpoint,
};
use fanout_policy::Aggregator;
use fanout_policy::api::{ListUpdate, Ms, Outcome, Settings};

/// Cost of a part in milliseconds before any has been served: twice the cost of a call.
const INITIAL_PART_COST: f64 = 40.0;

/// Number of parts that were sent to this server.
fn parts_at(sent: &[SentAttempt], node: &str) -> usize {
    sent.iter().filter(|attempt| attempt.node == node).count()
}

#[test]
fn warming_up_server_receives_at_most_its_allowance() {
    let mut policy = Harness::new(ring(), 1);
    let started = started_endpoint("c1n0", 1, policy.now);
    policy.update_list(ListUpdate::Delta, vec![started]);
    // Initial capacity of one core, times the overload factor and window, for one of two
    // aggregators.
    let allowance = 0.2 * 2.0 * 2000.0 / 2.0;
    let mut work = 0.0;
    for k in 0..40 {
        let sent = policy.attempts_for(&format!("q{k}"), &[0, 1]);
        work += parts_at(&sent, "c1n0") as f64 * INITIAL_PART_COST;
        policy.advance(10.0, served(&sent, 0, 40.0));
    }
    assert!(work > 0.0, "it must be used");
    assert!(work <= allowance, "{work} of {allowance}");
}

/// Number of parts, of ten queries with two parts each, that the only replica receives after
/// silence of this length.
fn parts_sent_after_silence(silence: Ms) -> usize {
    let settings = Settings {
        max_attempts: 1,
        ..one_cell()
    };
    let mut policy = Harness::new(settings, 1);
    policy.answer_queries(10, 4000.0);
    for k in 0..6 {
        policy.submit(&format!("q{k}"), &[0]);
    }
    let timed_out = |k| attempt_ended(&format!("q{k}.0"), 0, Outcome::TimedOut, silence);
    policy.advance(silence, (0..6).map(timed_out).collect());
    let sent = policy.attempts_for("back", &[0]);
    policy.advance(20.0, served(&sent, 0, 20.0));
    (0..10)
        .map(|k| {
            let sent = policy.attempts_for(&format!("r{k}"), &[0, 0]);
            policy.advance(5.0, served(&sent, 0, 5.0));
            sent.len()
        })
        .sum()
}

#[test]
fn long_silence_counts_as_a_restart_and_a_short_one_does_not() {
    assert_eq!(
        parts_sent_after_silence(1000.0),
        20,
        "a pause is no restart"
    );
    let parts = parts_sent_after_silence(3900.0);
    assert!(
        parts < 20,
        "after a restart the server receives its warm-up allowance: {parts}"
    );
}

/// Work that aggregators together send to a server that warms up, in one overload window.
struct WarmUpLoad {
    work: f64,
    limit: f64,
}

/// The load of a server that has just started. Each aggregator submits a query every `interval`,
/// and has done so for `warm_time` before the server starts.
fn warm_up_load(aggregators: usize, interval: Ms, warm_time: Ms) -> WarmUpLoad {
    let settings = Settings {
        aggregators,

        ..one_cell()
    };
    let mut work = 0.0;
    for seed in 0..aggregators {
        let mut policy = Harness::new(settings.clone(), 0);
        policy.aggregator = Aggregator::new(settings.clone(), seed as u64 * 7919 + 1);
        policy.update_list(ListUpdate::Snapshot, vec![endpoint("warm", 0)]);
        let mut submit_for = |policy: &mut Harness, duration: Ms| {
            let end = policy.now + duration;
            policy.advance(interval * seed as f64 / aggregators as f64, vec![]);
            while policy.now < end {
                let sent = policy.attempts_for(&format!("q{}", policy.now), &[0]);
                work += parts_at(&sent, "started") as f64 * INITIAL_PART_COST;
                // An overloaded server answers nothing.
                let answers = if warm_time > 0.0 {
                    served(&sent, 0, 40.0)
                } else {
                    vec![]
                };
                policy.advance((interval - 5.0).min(40.0), answers);
                policy.advance((interval - 45.0).max(0.0), vec![]);
            }
        };
        submit_for(&mut policy, warm_time);
        let started = started_endpoint("started", 0, policy.now);
        policy.update_list(ListUpdate::Delta, vec![started]);
        submit_for(&mut policy, 1900.0);
    }
    // Overload factor and window, times the capacity of one core at the end of the window.
    WarmUpLoad {
        work,
        limit: 2.0 * (0.2 + 0.8 * 0.2) * 2000.0,
    }
}

#[test]
fn many_aggregators_together_stay_below_the_overload_factor() {
    for aggregators in [1, 2, 10, 60, 120] {
        // All have just started and submit far more than can be served, or all have long submitted
        // what loads one core.
        for (interval, warm_time) in [(100.0, 0.0), (50.0 * aggregators as f64, 20_000.0)] {
            let WarmUpLoad { work, limit } = warm_up_load(aggregators, interval, warm_time);
            assert!(
                work <= limit,
                "{aggregators} aggregators sent {work} of {limit}"
            );
            assert!(work > 0.0, "{aggregators} aggregators send nothing");
        }
    }
}

#[test]
fn busiest_aggregator_loads_a_warming_up_server_in_proportion_to_warm_ones() {
    // One of sixty aggregators has nearly all the traffic: by an equal share it would send one part
    // in ten seconds.
    let settings = Settings {
        aggregators: 60,
        ..one_cell()
    };
    let mut policy = Harness::new(settings, 0);
    let warm = ["a", "b", "c"].map(|name| endpoint(name, 0));
    policy.update_list(ListUpdate::Snapshot, warm.to_vec());
    submit_queries(&mut policy, 10);
    let started = started_endpoint("started", 0, policy.now);
    policy.update_list(ListUpdate::Delta, vec![started]);
    let PartCounts { started, all } = submit_queries(&mut policy, 2);
    assert!(
        started >= 4,
        "{started} of {all} parts went to the server that warms up"
    );
    // The overload factor, 2, times the capacity by then, 0.36, of the parts of one of three warm
    // servers.
    assert!(
        (started as f64) < 2.0 * 0.36 * all as f64 / 3.0,
        "{started} of {all}"
    );
}

/// Parts sent in a period.
struct PartCounts {
    /// To the server `started`.
    started: usize,
    /// To all servers.
    all: usize,
}

/// Submits 40 queries a second, which are all answered, and counts their parts.
fn submit_queries(policy: &mut Harness, seconds: usize) -> PartCounts {
    let mut counts = PartCounts { started: 0, all: 0 };
    for k in 0..seconds * 40 {
        let sent = policy.attempts_for(&format!("q{}-{k}", policy.now), &[0]);
        counts.started += parts_at(&sent, "started");
        counts.all += sent.len();
        policy.advance(20.0, served(&sent, 0, 20.0));
    }
    counts
}
