//! Which fields of messages are needed, which values they may have, and the texts of the errors.

use crate::script::{
    Script, attempt_served, declare_endpoint_list, launch, of_type, part, query, start,
    update_endpoint_list,
};
use serde_json::{Value, json};

/// What the adapter does with a message at the end of a batch that has started instance 4.
fn run_with(message: &str) -> Result<Vec<Value>, String> {
    let mut messages = start();
    messages.push(message.to_owned());
    let script = Script::default().batch(1, 100.0, &messages);
    let run = script.run();
    if run.output.status.success() {
        return Ok(script.messages());
    }
    assert_eq!(run.output.status.code(), Some(1), "{}", run.errors());
    Err(run.errors().trim_end().to_owned())
}

/// The message with a field replaced or, without a value, removed.
fn with_field(message: &str, field: &str, value: Option<&Value>) -> String {
    let mut message: Value = serde_json::from_str(&message.replace('\n', "")).unwrap();
    let fields = match message.pointer_mut("/MembersList/0") {
        Some(entry) if field != "Slot" && field != "MembersList" => entry,
        _ => &mut message,
    };
    match value {
        Some(value) => fields[field] = value.clone(),
        None => drop(fields.as_object_mut().unwrap().remove(field)),
    }
    message.to_string()
}

fn accept(message: &str) -> Vec<Value> {
    run_with(message).unwrap_or_else(|error| panic!("{message}: {error}"))
}

/// Checks that a message is refused with this text after the place of the error.
fn refuse(message: &str, text: &str) {
    let error = run_with(message).expect_err(message);
    assert_eq!(error, format!("simulator-adapter: line 5, batch 1: {text}"));
}

fn gossip() -> String {
    r#"{"t":"Memo","I":4,"Who":1,"Contents":"00"}"#.to_owned()
}

fn disconnect() -> String {
    r#"{"t":"Dropped","I":4,"OpId":"t/q"}"#.to_owned()
}

fn timer() -> String {
    r#"{"t":"DeadlineHit","I":4,"Ref":0}"#.to_owned()
}

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
fn optional_field_may_be_missing_or_null_but_not_of_a_wrong_type() {
    for (message, object, field, wrong, problem) in [
        (
            query("t/x", 9),
            "Order",
            "Team",
            json!(-1),
            "is not a whole number",
        ),
        (
            query("t/x", 9),
            "Order",
            "AgainByClient",
            json!(1),
            "is not true or false",
        ),
        (
            part("t/y", 9),
            "Order",
            "Effort",
            json!("x"),
            "is not a number",
        ),
        (
            declare_endpoint_list(),
            "MembersList",
            "Position",
            json!(0.5),
            "is not a whole number",
        ),
        (
            declare_endpoint_list(),
            "MembersList",
            "Dc",
            json!("x"),
            "is not a whole number",
        ),
        (
            declare_endpoint_list(),
            "MembersList",
            "StartTime",
            json!([]),
            "is not a number",
        ),
    ] {
        accept(&with_field(&message, field, None));
        accept(&with_field(&message, field, Some(&Value::Null)));
        let expected = format!("{object}: field {field} {problem}");
        refuse(&with_field(&message, field, Some(&wrong)), &expected);
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

#[test]
fn shard_of_a_part_is_a_whole_number_and_that_of_a_query_any_negative_one() {
    let expected = "Order: field Slice is not a whole number";
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
        if field == "I" {
            accept(&message.replacen('{', r#"{"I":"x","#, 1));
        } else {
            accept(&with_field(&message, field, Some(&wrong)));
        }
    }
    let failed = with_field(&update_endpoint_list(4), "Mode", Some(&json!("error")));
    accept(&with_field(&failed, "Slot", Some(&wrong)));
    accept(&with_field(&failed, "Slot", None));
    let malformed = with_field(&gossip(), "Contents", Some(&json!("0")));
    accept(&with_field(&malformed, "Who", Some(&wrong)));
    accept(&with_field(&malformed, "Who", None));
}

#[test]
fn text_that_is_none_of_the_expected_ones_is_unknown() {
    let list = declare_endpoint_list();
    let report = attempt_served("10.0.0.1:80", "");
    for text in ["", "x", "Served", "in_service "] {
        let text = json!(text);
        let update = with_field(&update_endpoint_list(4), "Mode", Some(&text));
        refuse(&update, "PeersKnown: field Mode is unknown");
        refuse(
            &with_field(&list, "Mode", Some(&text)),
            "MembersList: field Mode is unknown",
        );
        refuse(
            &with_field(&report, "Rc", Some(&text)),
            "ReportBack: field Rc is unknown",
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
fn entry_of_an_endpoint_list_is_an_object() {
    for entry in [json!(1), json!("x"), json!([]), Value::Null] {
        let list = json!({"t": "Ledger", "Slot": 3, "MembersList": [entry]});
        let expected = "Ledger: field MembersList holds something that is not an object";
        refuse(&list.to_string(), expected);
    }
    accept(r#"{"t":"Ledger","Slot":3,"MembersList":[]}"#);
}

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
        "Env: field MembershipMode is unknown",
    );
    let negative = launch(4).replace("\"Shards\":2", "\"Shards\":-2");
    refuse(
        &negative.replace('\n', ""),
        "FamilyInfo: field Shards is not a whole number",
    );
    let text = launch(4).replace("\"Aim\":1000.0", "\"Aim\":\"1000.0\"");
    refuse(
        &text.replace('\n', ""),
        "Services: field Aim is not a number",
    );
}

#[test]
fn unknown_message_instance_list_and_class_are_refused_in_this_order() {
    refuse(r#"{"t":"Surprise"}"#, "Surprise: field I is missing");
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
fn batch_has_a_number_and_a_time() {
    for (lines, text) in [
        (
            vec![r#"{"t":"Tick","Moment":1}"#],
            "line 1, batch null: Tick: field n is missing",
        ),
        (
            vec![r#"{"t":"Tick","Moment":1,"n":-3}"#],
            "line 1, batch null: Tick: field n is not a whole number",
        ),
        (
            vec![r#"{"t":"Tick","n":7}"#],
            "line 1, batch 7: Tick: field Moment is missing",
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
        error.ends_with("Dropped: field I is not a whole number"),
        "{error}"
    );
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

/// A message with a field that is not read.
fn with_unchecked_field(value: &str) -> String {
    format!(r#"{{"t":"Dropped","I":4,"OpId":"t/q","Unknown":{value}}}"#)
}
