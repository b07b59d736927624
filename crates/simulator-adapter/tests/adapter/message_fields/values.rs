//! The values that a field may have.

use super::fixture::{accept, refuse, with_field};
use crate::script::{attempt_served, declare_endpoint_list, part, query, update_endpoint_list};
use serde_json::{Value, json};

#[test]
fn fractional_shard_is_refused_for_a_part_and_accepted_below_zero_for_a_query() {
    let expected = "Order: field Slice is not a whole number of at least 0";
    refuse(
        &with_field(&part("t/y", 9), "Slice", Some(&json!(0.5))),
        expected,
    );
    refuse(
        &with_field(&part("t/y", 9), "Slice", Some(&json!(1e300))),
        expected,
    );
    accept(&with_field(&query("t/x", 9), "Slice", Some(&json!(-0.5))));
    accept(&with_field(&query("t/x", 9), "Slice", Some(&json!(-1e300))));
}

#[test]
fn text_that_is_none_of_the_expected_ones_is_unknown() {
    let list = declare_endpoint_list();
    let report = attempt_served("10.0.0.1:80", "");
    for text in ["", "x", "Served", "in_service "] {
        let text = json!(text);
        let update = with_field(&update_endpoint_list(4), "Mode", Some(&text));
        refuse(
            &update,
            "PeersKnown: field Mode is not one of the accepted values",
        );
        refuse(
            &with_field(&list, "Mode", Some(&text)),
            "MembersList: field Mode is not one of the accepted values",
        );
        refuse(
            &with_field(&report, "Rc", Some(&text)),
            "ReportBack: field Rc is not one of the accepted values",
        );
    }
    for text in ["in_service", "terminating", "terminated"] {
        accept(&with_field(&list, "Mode", Some(&json!(text))));
    }
    for text in ["diff", "snapshot", "disk", "error"] {
        accept(&with_field(
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
        accept(&with_field(&report, "Rc", Some(&json!(text))));
    }
}

#[test]
fn endpoint_list_entry_that_is_not_an_object_is_refused() {
    for entry in [json!(1), json!("x"), json!([]), Value::Null] {
        let list = json!({"t": "Ledger", "Slot": 3, "MembersList": [entry]});
        let expected = "Ledger: field MembersList has an element that is not an object";
        refuse(&list.to_string(), expected);
    }
    accept(r#"{"t":"Ledger","Slot":3,"MembersList":[]}"#);
}
