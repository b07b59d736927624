//! Load reports of servers.

use crate::script::{Script, attempt_served, of_type, part, query, start};

/// Number of eight queries, each of which either server may serve, that go to the server of the
/// first attempt after it has answered that with this load report; `load` is a further field or
/// empty.
fn attempts_after_report(load: &str) -> usize {
    let first_query = Script::default().batch(1, 100.0, &start()).batch(
        2,
        105.0,
        &[query("t/q", 1), part("t/p", 1)],
    );
    let messages = first_query.messages();
    let node = of_type(&messages, "Issue")[0]["Node"].as_str().unwrap();

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
    let attempts = of_type(&messages, "Issue");
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
        "waiting parts count where requests in flight are not reported"
    );
    for malformed in [
        r#","Gauge":{"rif":"many"}"#,
        r#","Gauge":{"rif":-5}"#,
        r#","Gauge":[1]"#,
        r#","Gauge":{"rate":99}"#,
        r#","Gauge":{"rif":null,"q":38}"#,
        r#","Gauge":{"rif":"many","q":38}"#,
        r#","Gauge":null"#,
        r#","Gauge":40"#,
    ] {
        let attempts = attempts_after_report(malformed);
        assert_eq!(attempts, without_report, "{malformed}");
    }
}
