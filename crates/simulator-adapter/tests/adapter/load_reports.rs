//! The effect of load reports on the choice between two servers.

use crate::script::{Script, attempt_served, messages_of_type, part, query, start_instance};

/// Sends a first query, lets its server answer with a load report, and then sends eight queries
/// that either of the two servers can serve. Returns how many of the eight go to the server that
/// sent the report. `load` is the field with the report, with a leading comma, or empty.
fn attempts_after_report(load: &str) -> usize {
    let first_query = Script::default().batch(1, 100.0, &start_instance()).batch(
        2,
        105.0,
        &[query("t/q", 1), part("t/p", 1)],
    );
    let messages = first_query.messages();
    let node = messages_of_type(&messages, "Issue")[0]["Node"]
        .as_str()
        .unwrap();

    let mut queries = Vec::new();
    for group in 2..10 {
        queries.push(query(&format!("t/q{group}"), group));
        queries.push(part(&format!("t/p{group}"), group));
    }
    let messages = first_query
        .clone()
        .batch(3, 140.0, &[attempt_served(node, load)])
        .batch(4, 145.0, &queries)
        .messages();
    let attempts = messages_of_type(&messages, "Issue");
    let at_node = attempts.iter().filter(|attempt| attempt["Node"] == node);
    at_node.count() - 1
}

#[test]
fn load_reports_reach_the_policy_and_malformed_ones_are_ignored() {
    let without_report = attempts_after_report("");
    assert!(without_report > 0);
    assert_eq!(attempts_after_report(r#","Gauge":{"rif":40,"q":38}"#), 0);
    assert_eq!(
        attempts_after_report(r#","Gauge":{"q":38}"#),
        0,
        "the number of waiting requests is used if the number in flight is absent"
    );
    for malformed in [
        r#","Gauge":{"rif":"many"}"#,
        r#","Gauge":{"rif":-5}"#,
        r#","Gauge":[1]"#,
        r#","Gauge":{"rate":99}"#,
        // In a load report, null doesn't count as absent. A malformed number in flight invalidates
        // the report, even if the number of waiting requests is valid.
        r#","Gauge":{"rif":null,"q":38}"#,
        r#","Gauge":{"rif":"many","q":38}"#,
        r#","Gauge":null"#,
        r#","Gauge":40"#,
    ] {
        let attempts = attempts_after_report(malformed);
        assert_eq!(attempts, without_report, "malformed report {malformed}");
    }
}
