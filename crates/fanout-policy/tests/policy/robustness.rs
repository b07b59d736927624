//! Unexpected events, determinism, and the list and size of the policy files.

use crate::common::{
    Harness, all_ended, attempt_ended, final_responses, part_id, query_id, ring, sent_attempts,
};
use fanout_policy::api::{Event, Outcome, Part};
use std::fs;
use std::path::Path;

#[test]
fn unexpected_events_are_ignored_and_empty_query_is_ended() {
    let mut policy = Harness::new(ring(), 1);
    // Events about queries and parts that don't exist, two of them with values that are not finite,
    // and the firing of a timer that is not due.
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
    assert!(policy.responses_after(5.0, stray).is_empty());
    let mut actions = policy.submit("empty", &[]);
    actions.extend(policy.run_ticks(900));
    assert_eq!(
        final_responses(&actions).len(),
        1,
        "a query without parts must get exactly one final response"
    );
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut policy = Harness::new(ring(), 2);
        let mut all = Vec::new();
        for k in 0..50 {
            let actions = policy.submit(&format!("q{k}"), &[k % 6, (k + 1) % 6, (k + 2) % 6]);
            let outcome = if k % 7 == 0 {
                Outcome::Error
            } else {
                Outcome::Served
            };
            let sent = sent_attempts(&actions);
            all.extend(actions);
            all.extend(policy.advance(40.0, all_ended(&sent, 0, outcome, 40.0)));
        }
        all
    };
    assert_eq!(run(), run());
}

/// Returns the paths of the policy files, relative to the workspace, that `deploy/balancer.toml`
/// lists.
fn listed_policy_files() -> Vec<String> {
    let text = include_str!("../../../../deploy/balancer.toml");
    let (_, list) = text
        .split_once("\npolicy = [")
        .expect("deploy/balancer.toml must have a line that starts with `policy = [`");
    let (list, _) = list
        .split_once(']')
        .expect("the `policy` list of deploy/balancer.toml must end with `]`");
    list.split('"')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// Maximum length of a policy file, in lines: a module with one responsibility is shorter.
const MAX_POLICY_FILE_LINES: usize = 400;
/// Maximum width of a line of a policy file, in columns: rustfmt's default, here for comments as
/// well.
const MAX_POLICY_LINE_COLUMNS: usize = 100;

#[test]
fn policy_files_stay_within_their_line_limits() {
    let workspace = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for file in listed_policy_files() {
        let text = fs::read_to_string(workspace.join(&file)).unwrap();
        let lines = text.lines().count();
        assert!(
            lines <= MAX_POLICY_FILE_LINES,
            "{file}: {lines} lines, maximum {MAX_POLICY_FILE_LINES}"
        );
        for (index, line) in text.lines().enumerate() {
            assert!(
                line.chars().count() <= MAX_POLICY_LINE_COLUMNS,
                "{file}: line {} is wider than {MAX_POLICY_LINE_COLUMNS} columns",
                index + 1
            );
        }
    }
}

#[test]
fn every_file_of_the_policy_module_is_listed_as_a_policy_file() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy");
    let names = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().file_name());
    let prefix = "crates/fanout-policy/src/policy/";
    let mut files: Vec<String> = names
        .map(|name| format!("{prefix}{}", name.to_str().unwrap()))
        .collect();
    files.sort();
    assert_eq!(listed_policy_files(), files);
}
