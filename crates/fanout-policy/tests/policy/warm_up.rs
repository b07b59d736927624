//! Slow start: how much work servers receive after they have started.
//!
//! A server that is warming up fails if the aggregators together send it more than the overload
//! factor times its current capacity for the length of the overload window.

use crate::common::{
    Harness, SentAttempt, attempt_ended, endpoint, one_cell, ring, served, started_endpoint,
};
use fanout_policy::Aggregator;
use fanout_policy::api::{ListUpdate, Ms, Outcome, Settings};

/// Cost of a part that the policy assumes before any part has been served, in milliseconds: twice
/// the cost of a call.
const INITIAL_PART_COST: f64 = 40.0;

/// Returns the number of attempts that were sent to the server `node`.
fn attempts_at(sent: &[SentAttempt], node: &str) -> usize {
    sent.iter().filter(|attempt| attempt.node == node).count()
}

#[test]
fn warming_up_server_receives_at_most_its_allowance() {
    let mut policy = Harness::new(ring(), 1);
    let started = started_endpoint("c1n0", 1, policy.now);
    policy.update_list(ListUpdate::Delta, vec![started]);
    // The initial capacity, times the overload factor and window, divided by the number of
    // aggregators.
    let allowance = 0.2 * 2.0 * 2000.0 / 2.0;
    let mut work = 0.0;
    for k in 0..40 {
        let sent = policy.attempts_for(&format!("q{k}"), &[0, 1]);
        work += attempts_at(&sent, "c1n0") as f64 * INITIAL_PART_COST;
        policy.advance(10.0, served(&sent, 0, 40.0));
    }
    assert!(
        work > 0.0,
        "no part was sent to the server that is warming up"
    );
    assert!(
        work <= allowance,
        "sent {work} ms of work, allowance {allowance} ms"
    );
}

/// Lets six attempts at the only replica time out after `silence`, then serves a part, and returns
/// how many of 20 further parts, of ten queries with two parts each, the replica receives.
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

/// Guards against the overload of a server that has restarted before the endpoint list shows it:
/// the server has to warm up again. A restart is assumed if attempts have timed out, and the next
/// served attempt was sent more than 2.5 latency objectives, 2500 ms, after the last one served
/// before. A server that was silent for a shorter time must not be limited to its warm-up
/// allowance.
#[test]
fn server_warms_up_again_after_a_long_silence_and_not_after_a_short_one() {
    assert_eq!(
        parts_sent_after_silence(1000.0),
        20,
        "after a short silence the server must receive all 20 parts"
    );
    let parts = parts_sent_after_silence(3900.0);
    assert!(
        parts < 20,
        "after a long silence it may receive its warm-up allowance only: {parts} of 20 parts"
    );
}

/// Load of a server in the first overload window after its start.
struct WarmUpLoad {
    /// Work that all aggregators together send to the server, in milliseconds.
    work: f64,
    /// Work above which the server fails, in milliseconds.
    limit: f64,
}

/// Measures the load of a server that has just started, in a cell with one other server, which has
/// warmed up. Each aggregator submits a query every `interval` milliseconds, from `warm_time`
/// milliseconds before the start of the server. All queries are answered, or none if `warm_time`
/// is 0: the fleet is then overloaded.
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
            // Spreads the queries of the aggregators evenly over the interval.
            policy.advance(interval * seed as f64 / aggregators as f64, vec![]);
            while policy.now < end {
                let sent = policy.attempts_for(&format!("q{}", policy.now), &[0]);
                work += attempts_at(&sent, "started") as f64 * INITIAL_PART_COST;
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
        // The last query arrives within the overload window of 2000 ms.
        submit_for(&mut policy, 1900.0);
    }
    // The overload factor and window, times the capacity at the end of the window.
    WarmUpLoad {
        work,
        limit: 2.0 * (0.2 + 0.8 * 0.2) * 2000.0,
    }
}

/// Guards against an overload of a starting server by many aggregators, each of which sends it an
/// amount of work that would be harmless alone.
#[test]
fn many_aggregators_together_stay_below_the_overload_factor() {
    for aggregators in [1, 2, 10, 60, 120] {
        // In the first case the aggregators have just started, and each submits a query every
        // 100 ms: many aggregators together submit far more than the servers can serve. In the
        // second case they have submitted queries for 20 s, together one every 50 ms, which loads
        // one core.
        for (interval, warm_time) in [(100.0, 0.0), (50.0 * aggregators as f64, 20_000.0)] {
            let WarmUpLoad { work, limit } = warm_up_load(aggregators, interval, warm_time);
            assert!(
                work <= limit,
                "{aggregators} aggregators sent {work} ms of work, limit {limit} ms"
            );
            assert!(
                work > 0.0,
                "{aggregators} aggregators sent nothing to the started server"
            );
        }
    }
}

#[test]
fn busiest_aggregator_loads_a_warming_up_server_in_proportion_to_warm_ones() {
    // One of sixty aggregators has nearly all the traffic. With an equal share of the server's
    // allowance it would send that server one part in ten seconds. Its share is therefore the rate
    // at which one warm server serves its work, in ms of work per ms, if that is more than the
    // equal share.
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
        "{started} of {all} parts went to the server that is warming up, expected at least 4"
    );
    // Each of three warm servers receives a third of the parts. The limit is that number times the
    // overload factor, 2, and the capacity share of the started server after 2 s, 0.36.
    assert!(
        (started as f64) < 2.0 * 0.36 * all as f64 / 3.0,
        "{started} of {all} parts went to the server that is warming up, more than its limit"
    );
}

/// Numbers of parts that were sent in a period.
struct PartCounts {
    /// Parts sent to the server `started`.
    started: usize,
    /// Parts sent to all servers.
    all: usize,
}

/// Submits 40 one-part queries a second, serves them all, and returns the numbers of their parts.
fn submit_queries(policy: &mut Harness, seconds: usize) -> PartCounts {
    let mut counts = PartCounts { started: 0, all: 0 };
    for k in 0..seconds * 40 {
        let sent = policy.attempts_for(&format!("q{}-{k}", policy.now), &[0]);
        counts.started += attempts_at(&sent, "started");
        counts.all += sent.len();
        policy.advance(20.0, served(&sent, 0, 20.0));
    }
    counts
}
