//! Unexpected events, repeatability, and the size of the decision files.

use crate::common::{
    Harness, SentAttempt, attempt_ended, final_responses, part_id, query_id, ring, sent_attempts,
};
use fanout_policy::api::{Event, Outcome, Part};

#[test]
fn unexpected_events_are_ignored_and_empty_query_is_ended() {
    let mut policy = Harness::new(ring(), 1);
    let stray = vec![
        attempt_ended("nobody", 7, Outcome::Served, f64::NAN),
        Event::ClientDisconnected(query_id("nobody")),
        Event::TimerFired,
        Event::Part(Part {
            id: part_id("p"),
            group: 99,
            shard: 5,
            weight: f64::NAN,
            cost_hint: Some(f64::INFINITY),
        }),
    ];
    assert!(final_responses(&policy.advance(5.0, stray)).is_empty());
    let mut last = policy.submit("empty", &[]);
    for _ in 0..900 {
        last.extend(policy.advance(5.0, vec![]));
    }
    assert_eq!(final_responses(&last).len(), 1, "a query without parts is ended too");
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut policy = Harness::new(ring(), 2);
        let mut all = Vec::new();
        for k in 0..50 {
            let actions = policy.submit(&format!("q{k}"), &[k % 6, (k + 1) % 6, (k + 2) % 6]);
            let outcome = if k % 7 == 0 { Outcome::Error } else { Outcome::Served };
            let sent = sent_attempts(&actions);
            let end = |attempt: &SentAttempt| attempt_ended(&attempt.part, 0, outcome, 40.0);
            let events = sent.iter().map(end).collect();
            all.extend(actions);
            all.extend(policy.advance(40.0, events));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn policy_files_stay_within_their_line_limits() {
    let text = include_str!("../../src/choice.rs");
    let policy = [text, include_str!("../../src/room.rs")];
    let lines = policy.iter().flat_map(|t| t.lines()).filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1000, "{lines} lines that are not blank");
    for (n, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too wide", n + 1);
    }
}
