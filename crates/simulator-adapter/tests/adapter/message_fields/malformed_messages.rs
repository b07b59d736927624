//! Messages that are refused as a whole, and the objects, lines and batches that errors name.

use super::fixture::{assert_accepted, assert_refused, run_with_message, with_field};
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
        assert_refused(
            message,
            "message: field t (the message type) is missing, null or not a string",
        );
    }
    for message in ["[]", "1", "null", "\"Tick\"", "[{\"t\":\"Tick\"}]"] {
        assert_refused(message, "the line is JSON but not an object");
    }
}

#[test]
fn errors_of_the_settings_name_the_object_inside_the_launch() {
    let unknown_mode = launch(4).replace("\"on_request\"", "\"asked\"");
    assert_refused(
        &unknown_mode.replace('\n', ""),
        "Env: field MembershipMode is not one of the accepted values",
    );
    let negative = launch(4).replace("\"Shards\":2", "\"Shards\":-2");
    assert_refused(
        &negative.replace('\n', ""),
        "FamilyInfo: field Shards is not a whole number of at least 0",
    );
    let text = launch(4).replace("\"Aim\":1000.0", "\"Aim\":\"1000.0\"");
    assert_refused(
        &text.replace('\n', ""),
        "Services: field Aim is not a number",
    );
}

/// The instance of a message is checked before its type: the type is reported as unknown only if
/// the instance exists.
#[test]
fn unknown_instance_message_type_class_and_list_are_refused() {
    assert_refused(
        r#"{"t":"Surprise"}"#,
        "Surprise: field I is missing or null",
    );
    let unknown_instance =
        "Surprise: field I names an instance that was never launched or has been destroyed";
    assert_refused(r#"{"t":"Surprise","I":5}"#, unknown_instance);
    assert_refused(
        r#"{"t":"Surprise","I":4}"#,
        "Surprise: the message type is unknown",
    );
    assert_refused(
        r#"{"t":"Order","I":5}"#,
        "Order: field I names an instance that was never launched or has been destroyed",
    );
    let unknown_class = with_field(&query("t/x", 9), "Service", Some(&json!(9)));
    assert_refused(
        &unknown_class,
        "Order: field Service is not the index of a class in the instance's settings",
    );
    let unknown_list = with_field(&update_endpoint_list(4), "Slot", Some(&json!(9)));
    assert_refused(
        &unknown_list,
        "PeersKnown: field Slot names a slot whose list was never declared by a Ledger",
    );
}

#[test]
fn message_outside_of_a_batch_and_batch_without_number_or_time_are_refused() {
    for (lines, text) in [
        (
            vec![r#"{"t":"Tick","Moment":1}"#],
            "line 1, before the first batch: Tick: field n is missing or null",
        ),
        (
            vec![r#"{"t":"Tick","Moment":1,"n":-3}"#],
            "line 1, before the first batch: Tick: field n is not a whole number of at least 0",
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
            "line 2, batch 8: Tick: the previous batch has not ended, expected EofBatch first",
        ),
        (
            vec![r#"{"t":"Order","I":4}"#],
            "line 1, before the first batch: Order: no batch is open, expected Tick first",
        ),
        (
            vec![r#"{"t":"Surprise"}"#],
            "line 1, before the first batch: Surprise: no batch is open, expected Tick first",
        ),
    ] {
        let run = Script::from_lines(&lines).run();
        assert_eq!(run.output.status.code(), Some(1));
        assert_eq!(
            run.errors().trim_end(),
            format!("simulator-adapter: {text}")
        );
    }
}

#[test]
fn last_of_duplicate_fields_is_used() {
    let duplicate = |first: &str, last: &str| {
        let message = format!(r#"{{"I":{first},"t":"Dropped","OpId":1,"OpId":"t/q","I":{last}}}"#);
        run_with_message(&message)
    };
    assert!(duplicate("\"x\"", "4").is_ok());
    let error = duplicate("4", "\"x\"").unwrap_err();
    assert!(
        error.ends_with("Dropped: field I is not a whole number of at least 0"),
        "{error}"
    );
}

/// Returns a message with a field that the adapter ignores.
fn with_unchecked_field(value: &str) -> String {
    format!(r#"{{"t":"Dropped","I":4,"OpId":"t/q","Unknown":{value}}}"#)
}

#[test]
fn deeply_nested_line_is_refused_without_a_panic() {
    let nested = |depth: usize| {
        let value = "[".repeat(depth) + &"]".repeat(depth);
        with_unchecked_field(&value)
    };
    assert_accepted(&nested(100));
    for depth in [200, 100_000] {
        let error = run_with_message(&nested(depth)).unwrap_err();
        assert!(
            error.contains("line 5, batch 1: the line is not JSON: recursion limit exceeded"),
            "{error}"
        );
    }
}
