//! Fields that a message must have.

use super::fixture::{accept, gossip, refuse, with_field};
use crate::script::{
    Script, attempt_served, declare_endpoint_list, launch, of_type, part, query,
    update_endpoint_list,
};
use serde_json::{Value, json};

/// A message with a required field, the object that errors name, and the kind of the field.
struct Required {
    message: String,
    field: &'static str,
    object: &'static str,
    kind: Kind,
}

enum Kind {
    Number,
    WholeNumber,
    Text,
    List,
    Object,
}

impl Kind {
    fn problem(&self) -> &'static str {
        match self {
            Kind::Number => "is not a number",
            Kind::WholeNumber => "is not a whole number",
            Kind::Text => "is not a string",
            Kind::List => "is not a list",
            Kind::Object => "is not an object",
        }
    }

    fn wrong_values(&self) -> Vec<Value> {
        match self {
            Kind::Number => vec![json!("1"), json!(true), json!([1])],
            Kind::WholeNumber => vec![json!("1"), json!(1.5), json!(-1), json!(1e300), json!(1e19)],
            Kind::Text => vec![json!(1), json!(true), json!(["x"])],
            Kind::List => vec![json!({}), json!("x"), json!(1)],
            Kind::Object => vec![json!([]), json!("x"), json!(1)],
        }
    }
}

fn required_fields() -> Vec<Required> {
    let required = |message: String, object, fields: Vec<(&'static str, Kind)>| {
        let with_message = move |(field, kind)| Required {
            message: message.clone(),
            field,
            object,
            kind,
        };
        fields.into_iter().map(with_message).collect::<Vec<_>>()
    };
    let instance = || ("I", Kind::WholeNumber);
    let id = || ("OpId", Kind::Text);
    let launch_fields = vec![
        instance(),
        ("Env", Kind::Object),
        ("RngSeed", Kind::WholeNumber),
    ];
    let order_fields = || {
        vec![
            instance(),
            id(),
            ("Service", Kind::WholeNumber),
            ("Slice", Kind::Number),
            ("GroupNo", Kind::WholeNumber),
        ]
    };
    let mut query_fields = order_fields();
    query_fields.push(("GiveUpAt", Kind::Number));
    let mut part_fields = order_fields();
    part_fields.push(("Measure", Kind::Number));
    let attempt_fields = vec![
        instance(),
        id(),
        ("Hop", Kind::WholeNumber),
        ("Rc", Kind::Text),
        ("Rtt", Kind::Number),
    ];
    let update_fields = vec![
        instance(),
        ("Mode", Kind::Text),
        ("Slot", Kind::WholeNumber),
    ];
    let list_fields = vec![("Slot", Kind::WholeNumber), ("MembersList", Kind::List)];
    let entry_fields = vec![("Node", Kind::Text), ("Mode", Kind::Text)];
    let gossip_fields = vec![
        instance(),
        ("Who", Kind::WholeNumber),
        ("Contents", Kind::Text),
    ];
    [
        required(launch(4), "Launch", launch_fields),
        required(query("t/x", 9), "Order", query_fields),
        required(part("t/y", 9), "Order", part_fields),
        required(
            attempt_served("10.0.0.1:80", ""),
            "ReportBack",
            attempt_fields,
        ),
        required(update_endpoint_list(4), "PeersKnown", update_fields),
        required(declare_endpoint_list(), "Ledger", list_fields),
        required(declare_endpoint_list(), "MembersList", entry_fields),
        required(gossip(), "Memo", gossip_fields),
        required(disconnect(), "Dropped", vec![instance(), id()]),
        required(
            timer(),
            "DeadlineHit",
            vec![instance(), ("Ref", Kind::WholeNumber)],
        ),
        required(
            r#"{"t":"Begun","I":4}"#.to_owned(),
            "Begun",
            vec![instance()],
        ),
        required(
            r#"{"t":"Destroy","I":4}"#.to_owned(),
            "Destroy",
            vec![instance()],
        ),
    ]
    .into_iter()
    .flatten()
    .collect()
}

fn disconnect() -> String {
    r#"{"t":"Dropped","I":4,"OpId":"t/q"}"#.to_owned()
}

fn timer() -> String {
    r#"{"t":"DeadlineHit","I":4,"Ref":0}"#.to_owned()
}

#[test]
fn required_field_is_refused_where_it_is_missing_null_or_of_a_wrong_type() {
    for Required {
        message,
        field,
        object,
        kind,
    } in required_fields()
    {
        accept(&message);
        let missing = format!("{object}: field {field} is missing");
        refuse(&with_field(&message, field, None), &missing);
        refuse(&with_field(&message, field, Some(&Value::Null)), &missing);
        let wrong = format!("{object}: field {field} {}", kind.problem());
        for value in kind.wrong_values() {
            refuse(&with_field(&message, field, Some(&value)), &wrong);
        }
    }
}

#[test]
fn unknown_field_is_ignored() {
    let value = json!({"x": [null, {"t": 1}]});
    for Required { message, .. } in required_fields() {
        accept(&with_field(&message, "Unknown", Some(&value)));
    }
}

#[test]
fn whole_number_may_be_written_with_a_fraction_of_zero() {
    for Required {
        message,
        field,
        kind,
        ..
    } in required_fields()
    {
        let written: Value = serde_json::from_str(&message.replace('\n', "")).unwrap();
        if matches!(kind, Kind::WholeNumber) {
            let number = written[field].as_f64().unwrap();
            accept(&with_field(&message, field, Some(&json!(number))));
        }
    }
    let largest = with_field(&launch(4), "I", Some(&json!(u64::MAX)));
    let script = Script::default().batch(1, 100.0, &[largest]);
    let messages = script.messages();
    assert_eq!(of_type(&messages, "KeepInformed")[0]["I"], json!(u64::MAX));
}
