//! Fields that a message must have: each is refused if it is absent, null or of a wrong type.

use super::fixture::{assert_accepted, assert_refused, gossip, with_field};
use crate::script::{
    Script, attempt_served, declare_endpoint_list, launch, messages_of_type, part, query,
    update_endpoint_list,
};
use Kind::{List, Number, Object, Text, WholeNumber};
use serde_json::{Value, json};

/// The JSON type that a field must have.
#[derive(Clone, Copy)]
enum Kind {
    Number,
    WholeNumber,
    Text,
    List,
    Object,
}

impl Kind {
    /// Returns the words of the error about a value of another type.
    fn problem(&self) -> &'static str {
        match self {
            Number => "is not a number",
            WholeNumber => "is not a whole number of at least 0",
            Text => "is not a string",
            List => "is not a list",
            Object => "is not an object",
        }
    }

    /// Returns values that the field must refuse.
    fn wrong_values(&self) -> Vec<Value> {
        match self {
            Number => vec![json!("1"), json!(true), json!([1])],
            WholeNumber => vec![json!("1"), json!(1.5), json!(-1), json!(1e300), json!(1e19)],
            Text => vec![json!(1), json!(true), json!(["x"])],
            List => vec![json!({}), json!("x"), json!(1)],
            Object => vec![json!([]), json!("x"), json!(1)],
        }
    }
}

/// The name and the type of a field.
type Field = (&'static str, Kind);

const INSTANCE: Field = ("I", WholeNumber);
const ID: Field = ("OpId", Text);

const LAUNCH: &[Field] = &[INSTANCE, ("Env", Object), ("RngSeed", WholeNumber)];
const QUERY: &[Field] = &[
    INSTANCE,
    ID,
    ("Service", WholeNumber),
    ("Slice", Number),
    ("GroupNo", WholeNumber),
    ("GiveUpAt", Number),
];
const PART: &[Field] = &[
    INSTANCE,
    ID,
    ("Service", WholeNumber),
    ("Slice", Number),
    ("GroupNo", WholeNumber),
    ("Measure", Number),
];
const ATTEMPT_ENDED: &[Field] = &[
    INSTANCE,
    ID,
    ("Hop", WholeNumber),
    ("Rc", Text),
    ("Rtt", Number),
];
const LIST_UPDATE: &[Field] = &[INSTANCE, ("Mode", Text), ("Slot", WholeNumber)];
const LIST_DECLARATION: &[Field] = &[("Slot", WholeNumber), ("MembersList", List)];
const LIST_ENTRY: &[Field] = &[("Node", Text), ("Mode", Text)];
const GOSSIP: &[Field] = &[INSTANCE, ("Who", WholeNumber), ("Contents", Text)];
const CLIENT_DISCONNECTED: &[Field] = &[INSTANCE, ID];
const TIMER_FIRED: &[Field] = &[INSTANCE, ("Ref", WholeNumber)];

/// A message, one of its required fields, and the name that errors give the object with that field.
struct RequiredField {
    message: String,
    object: &'static str,
    field: &'static str,
    kind: Kind,
}

/// Returns each required field of each message.
fn required_fields() -> Vec<RequiredField> {
    let begun = r#"{"t":"Begun","I":4}"#.to_owned();
    let destroy = r#"{"t":"Destroy","I":4}"#.to_owned();
    let served = attempt_served("10.0.0.1:80", "");
    let messages = [
        ("Launch", launch(4), LAUNCH),
        ("Order", query("t/x", 9), QUERY),
        ("Order", part("t/y", 9), PART),
        ("ReportBack", served, ATTEMPT_ENDED),
        ("PeersKnown", update_endpoint_list(4), LIST_UPDATE),
        ("Ledger", declare_endpoint_list(), LIST_DECLARATION),
        ("MembersList", declare_endpoint_list(), LIST_ENTRY),
        ("Memo", gossip(), GOSSIP),
        ("Dropped", disconnect(), CLIENT_DISCONNECTED),
        ("DeadlineHit", timer(), TIMER_FIRED),
        ("Begun", begun, &[INSTANCE]),
        ("Destroy", destroy, &[INSTANCE]),
    ];
    let mut required = Vec::new();
    for (object, message, fields) in messages {
        required.extend(fields.iter().map(|(field, kind)| RequiredField {
            message: message.clone(),
            object,
            field,
            kind: *kind,
        }));
    }
    required
}

/// Returns the disconnect of the client of query `t/q`.
fn disconnect() -> String {
    r#"{"t":"Dropped","I":4,"OpId":"t/q"}"#.to_owned()
}

/// Returns the firing of the timer of instance 4.
fn timer() -> String {
    r#"{"t":"DeadlineHit","I":4,"Ref":0}"#.to_owned()
}

#[test]
fn required_field_is_refused_if_it_is_missing_null_or_of_a_wrong_type() {
    for RequiredField {
        message,
        field,
        object,
        kind,
    } in required_fields()
    {
        assert_accepted(&message);
        let missing = format!("{object}: field {field} is missing or null");
        assert_refused(&with_field(&message, field, None), &missing);
        assert_refused(&with_field(&message, field, Some(&Value::Null)), &missing);
        let wrong = format!("{object}: field {field} {}", kind.problem());
        for value in kind.wrong_values() {
            assert_refused(&with_field(&message, field, Some(&value)), &wrong);
        }
    }
}

#[test]
fn unknown_field_is_ignored() {
    let value = json!({"x": [null, {"t": 1}]});
    for RequiredField { message, .. } in required_fields() {
        assert_accepted(&with_field(&message, "Unknown", Some(&value)));
    }
}

#[test]
fn whole_number_may_be_written_with_a_fraction_of_zero() {
    for RequiredField {
        message,
        field,
        kind,
        ..
    } in required_fields()
    {
        let written: Value = serde_json::from_str(&message.replace('\n', "")).unwrap();
        if matches!(kind, WholeNumber) {
            let number = written[field].as_f64().unwrap();
            assert_accepted(&with_field(&message, field, Some(&json!(number))));
        }
    }
    let largest = with_field(&launch(4), "I", Some(&json!(u64::MAX)));
    let script = Script::default().batch(1, 100.0, &[largest]);
    let messages = script.messages();
    assert_eq!(
        messages_of_type(&messages, "KeepInformed")[0]["I"],
        json!(u64::MAX)
    );
}
