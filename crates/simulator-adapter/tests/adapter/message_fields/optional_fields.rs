//! Fields that may be absent, and fields that the adapter does not check.

use super::fixture::{assert_accepted, assert_refused, gossip, with_field};
use crate::script::{attempt_served, declare_endpoint_list, part, query, update_endpoint_list};
use serde_json::{Value, json};

const NOT_WHOLE: &str = "is not a whole number of at least 0";
const NOT_A_NUMBER: &str = "is not a number";
const NOT_A_FLAG: &str = "is not true or false";

#[test]
fn optional_field_may_be_missing_or_null_but_not_of_a_wrong_type() {
    let (query, part, list) = (query("t/x", 9), part("t/y", 9), declare_endpoint_list());
    for (message, object, field, wrong, problem) in [
        (&query, "Order", "Team", json!(-1), NOT_WHOLE),
        (&query, "Order", "AgainByClient", json!(1), NOT_A_FLAG),
        (&part, "Order", "Effort", json!("x"), NOT_A_NUMBER),
        (&list, "MembersList", "Position", json!(0.5), NOT_WHOLE),
        (&list, "MembersList", "Dc", json!("x"), NOT_WHOLE),
        (&list, "MembersList", "StartTime", json!([]), NOT_A_NUMBER),
    ] {
        assert_accepted(&with_field(message, field, None));
        assert_accepted(&with_field(message, field, Some(&Value::Null)));
        let expected = format!("{object}: field {field} {problem}");
        assert_refused(&with_field(message, field, Some(&wrong)), &expected);
    }
}

#[test]
fn field_that_the_message_does_not_need_is_not_checked() {
    let wrong = json!({"x": "y"});
    for (message, field) in [
        (part("t/y", 9), "Team"),
        (part("t/y", 9), "GiveUpAt"),
        (part("t/y", 9), "AgainByClient"),
        (query("t/x", 9), "Measure"),
        (query("t/x", 9), "Effort"),
        (update_endpoint_list(4), "Stamp"),
        (attempt_served("10.0.0.1:80", ""), "Node"),
        (attempt_served("10.0.0.1:80", ""), "Gauge"),
        (declare_endpoint_list(), "I"),
        (r#"{"t":"Probed","I":4}"#.to_owned(), "OpId"),
        (r#"{"t":"Destroy","I":4}"#.to_owned(), "Env"),
    ] {
        // A declaration of a list has no instance. `with_field` would change the first entry of the
        // list instead of the message.
        if field == "I" {
            assert_accepted(&message.replacen('{', r#"{"I":"x","#, 1));
        } else {
            assert_accepted(&with_field(&message, field, Some(&wrong)));
        }
    }
    // A failed list update brings no list, so that its slot is not used.
    let failed = with_field(&update_endpoint_list(4), "Mode", Some(&json!("error")));
    assert_accepted(&with_field(&failed, "Slot", Some(&wrong)));
    assert_accepted(&with_field(&failed, "Slot", None));
    // Gossip with malformed contents is dropped before its sender is read.
    let malformed = with_field(&gossip(), "Contents", Some(&json!("0")));
    assert_accepted(&with_field(&malformed, "Who", Some(&wrong)));
    assert_accepted(&with_field(&malformed, "Who", None));
}
