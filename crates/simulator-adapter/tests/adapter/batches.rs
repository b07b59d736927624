//! Replies to batches, and the separation of instances.

use crate::script::{
    Script, attempt_served, declare_endpoint_list, launch, messages_of_type, part, query,
    start_instance, update_endpoint_list,
};
use serde_json::json;

#[test]
fn query_is_sent_and_answered_and_each_batch_gets_a_reply() {
    let served = attempt_served("10.0.0.1:80", r#","Gauge":{"x":1}"#);
    let messages = Script::default()
        .batch(1, 100.0, &start_instance())
        .batch(2, 105.0, &[query("t/q", 1), part("t/p", 1)])
        .batch(3, 140.0, &[served])
        .messages();
    assert_eq!(messages_of_type(&messages, "KeepInformed").len(), 1);
    let attempts = messages_of_type(&messages, "Issue");
    assert_eq!(attempts.len(), 1);
    assert_eq!(attempts[0]["OpId"], "t/p");
    assert_eq!(attempts[0]["I"], 4);
    assert_eq!(messages_of_type(&messages, "Answer")[0]["Full"], true);
    let ends = messages_of_type(&messages, "End");
    let numbers: Vec<_> = ends.iter().map(|end| end["n"].as_u64().unwrap()).collect();
    assert_eq!(numbers, [1, 2, 3]);
}

#[test]
fn instances_are_independent_and_a_relaunched_one_has_no_earlier_queries() {
    let mut two_instances = start_instance();
    two_instances.extend([launch(5), update_endpoint_list(5)]);
    // The third batch comes after the deadline of the query's client, 4100.5 ms. An instance that
    // still had the query would reject it then.
    let destroy = r#"{"t":"Destroy","I":4}"#.to_owned();
    let restart = [destroy, launch(4), update_endpoint_list(4)];
    let messages = Script::default()
        .batch(1, 100.0, &two_instances)
        .batch(2, 105.0, &[query("t/q", 1), part("t/p", 1)])
        .batch(3, 4200.0, &restart)
        .messages();
    let attempts = messages_of_type(&messages, "Issue");
    assert!(attempts.len() == 1 && attempts[0]["I"] == 4);
    let rejections = messages_of_type(&messages, "NotNow");
    assert!(
        rejections.is_empty(),
        "expected no rejection of the destroyed instance's query, found {rejections:?}"
    );
}

#[test]
fn empty_batch_and_empty_input_are_accepted() {
    let messages = Script::default().batch(7, 1.0, &[]).messages();
    assert_eq!(messages, vec![json!({"t": "End", "n": 7})]);
    assert!(Script::default().run().output.status.success());
}

#[test]
fn endpoint_list_can_be_declared_before_any_launch() {
    let messages = Script::default()
        .batch(1, 100.0, &[declare_endpoint_list()])
        .batch(2, 105.0, &[launch(4), update_endpoint_list(4)])
        .messages();
    assert_eq!(messages_of_type(&messages, "End").len(), 2);
}
