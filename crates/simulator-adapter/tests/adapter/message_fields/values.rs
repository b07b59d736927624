//! The values that a field accepts, beyond their JSON type.

use super::fixture::{assert_accepted, assert_refused, with_field};
use crate::script::{attempt_served, declare_endpoint_list, part, query, update_endpoint_list};
use serde_json::{Value, json};

/// A message with a shard below 0 is a query, which has no shard. Its exact value does not matter.
#[test]
fn shard_of_a_part_must_be_a_whole_number_and_any_number_below_zero_marks_a_query() {
    let expected = "Order: field Slice is not a whole number of at least 0";
    assert_refused(
        &with_field(&part("t/y", 9), "Slice", Some(&json!(0.5))),
        expected,
    );
    assert_refused(
        &with_field(&part("t/y", 9), "Slice", Some(&json!(1e300))),
        expected,
    );
    assert_accepted(&with_field(&query("t/x", 9), "Slice", Some(&json!(-0.5))));
    assert_accepted(&with_field(&query("t/x", 9), "Slice", Some(&json!(-1e300))));
}

#[test]
fn text_that_is_not_one_of_the_accepted_values_is_refused() {
    let list = declare_endpoint_list();
    let report = attempt_served("10.0.0.1:80", "");
    for text in ["", "x", "Served", "in_service "] {
        let text = json!(text);
        let update = with_field(&update_endpoint_list(4), "Mode", Some(&text));
        assert_refused(
            &update,
            "PeersKnown: field Mode is not one of the accepted values",
        );
        assert_refused(
            &with_field(&list, "Mode", Some(&text)),
            "MembersList: field Mode is not one of the accepted values",
        );
        assert_refused(
            &with_field(&report, "Rc", Some(&text)),
            "ReportBack: field Rc is not one of the accepted values",
        );
    }
    for text in ["in_service", "terminating", "terminated"] {
        assert_accepted(&with_field(&list, "Mode", Some(&json!(text))));
    }
    for text in ["diff", "snapshot", "disk", "error"] {
        assert_accepted(&with_field(
            &update_endpoint_list(4),
            "Mode",
            Some(&json!(text)),
        ));
    }
    for text in [
        "served",
        "server_error",
        "turned_away",
        "no_answer",
        "no_connection",
        "connection_lost",
        "called_off",
        "not_sent",
    ] {
        assert_accepted(&with_field(&report, "Rc", Some(&json!(text))));
    }
}

#[test]
fn endpoint_list_entry_that_is_not_an_object_is_refused() {
    for entry in [json!(1), json!("x"), json!([]), Value::Null] {
        let list = json!({"t": "Ledger", "Slot": 3, "MembersList": [entry]});
        let expected = "Ledger: field MembersList has an element that is not an object";
        assert_refused(&list.to_string(), expected);
    }
    assert_accepted(r#"{"t":"Ledger","Slot":3,"MembersList":[]}"#);
}
