//! Messages that are malformed as a whole, and what errors name.

use super::fixture::{accept, refuse, run_with, with_field};
use crate::script::{Script, launch, query, update_endpoint_list};
use serde_json::json;

#[test]
fn message_without_a_type_is_refused() {
    for message in [
        r#"{"I":4}"#,
        r#"{"t":null}"#,
        r#"{"t":1}"#,
        r#"{"t":["Tick"]}"#,
        "{}",
    ] {
        refuse(message, "message: field t is missing or not a string");
    }
    for message in ["[]", "1", "null", "\"Tick\"", "[{\"t\":\"Tick\"}]"] {
        refuse(message, "the message is not an object");
    }
}

#[test]
fn errors_of_the_settings_name_the_object_inside_the_launch() {
    let unknown_mode = launch(4).replace("\"on_request\"", "\"asked\"");
    refuse(
        &unknown_mode.replace('\n', ""),
        "Env: field MembershipMode is not one of the accepted values",
    );
    let negative = launch(4).replace("\"Shards\":2", "\"Shards\":-2");
    refuse(
        &negative.replace('\n', ""),
        "FamilyInfo: field Shards is not a whole number of at least 0",
    );
    let text = launch(4).replace("\"Aim\":1000.0", "\"Aim\":\"1000.0\"");
    refuse(
        &text.replace('\n', ""),
        "Services: field Aim is not a number",
    );
}

#[test]
fn unknown_message_instance_list_and_class_are_refused_in_this_order() {
    refuse(
        r#"{"t":"Surprise"}"#,
        "Surprise: field I is missing or null",
    );
    let unknown_instance = "Surprise: field I names an instance that was never launched";
    refuse(r#"{"t":"Surprise","I":5}"#, unknown_instance);
    refuse(
        r#"{"t":"Surprise","I":4}"#,
        "Surprise: the message is unknown",
    );
    refuse(
        r#"{"t":"Order","I":5}"#,
        "Order: field I names an instance that was never launched",
    );
    let unknown_class = with_field(&query("t/x", 9), "Service", Some(&json!(9)));
    refuse(&unknown_class, "Order: field Service names no class");
    let unknown_list = with_field(&update_endpoint_list(4), "Slot", Some(&json!(9)));
    refuse(
        &unknown_list,
        "PeersKnown: field Slot names a list that was never declared",
    );
}

#[test]
fn message_outside_of_a_batch_or_batch_without_number_or_time_is_refused() {
    for (lines, text) in [
        (
            vec![r#"{"t":"Tick","Moment":1}"#],
            "line 1, batch null: Tick: field n is missing or null",
        ),
        (
            vec![r#"{"t":"Tick","Moment":1,"n":-3}"#],
            "line 1, batch null: Tick: field n is not a whole number of at least 0",
        ),
        (
            vec![r#"{"t":"Tick","n":7}"#],
            "line 1, batch 7: Tick: field Moment is missing or null",
        ),
        (
            vec![r#"{"t":"Tick","n":7,"Moment":"x"}"#],
            "line 1, batch 7: Tick: field Moment is not a number",
        ),
        (
            vec![
                r#"{"t":"Tick","n":7.0,"Moment":1}"#,
                r#"{"t":"Tick","n":8,"Moment":1}"#,
            ],
            "line 2, batch 8: Tick: the batch before is still open",
        ),
        (
            vec![r#"{"t":"Order","I":4}"#],
            "line 1, batch null: Order: no batch is open",
        ),
        (
            vec![r#"{"t":"Surprise"}"#],
            "line 1, batch null: Surprise: no batch is open",
        ),
    ] {
        let run = Script::of_lines(&lines).run();
        assert_eq!(run.output.status.code(), Some(1));
        assert_eq!(
            run.errors().trim_end(),
            format!("simulator-adapter: {text}")
        );
    }
}

#[test]
fn last_of_duplicate_fields_counts() {
    let duplicate = |first: &str, last: &str| {
        let fields = format!(r#"{{"I":{first},"t":"Dropped","OpId":1,"OpId":"t/q","I":{last}}}"#);
        run_with(&fields)
    };
    assert!(duplicate("\"x\"", "4").is_ok());
    let error = duplicate("4", "\"x\"").unwrap_err();
    assert!(
        error.ends_with("Dropped: field I is not a whole number of at least 0"),
        "{error}"
    );
}

/// A message with a field that is not read.
fn with_unchecked_field(value: &str) -> String {
    format!(r#"{{"t":"Dropped","I":4,"OpId":"t/q","Unknown":{value}}}"#)
}

#[test]
fn deeply_nested_line_is_refused_without_a_panic() {
    let nested = |depth: usize| {
        let value = "[".repeat(depth) + &"]".repeat(depth);
        with_unchecked_field(&value)
    };
    accept(&nested(100));
    for depth in [200, 100_000] {
        let error = run_with(&nested(depth)).unwrap_err();
        assert!(
            error.contains("line 5, batch 1: not JSON: recursion limit exceeded"),
            "{error}"
        );
    }
}
