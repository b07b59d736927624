//! Typed fields of JSON objects, and the errors that name them.

use fanout_policy::json::{FieldError, FieldProblem, JsonObject};
use serde_json::{Map, Value, json};

fn fields() -> Map<String, Value> {
    let value = json!({
        "float": 2.5, "whole": 3, "whole_float": 3.0, "negative": -1, "huge": 1e19, "null": null,
        "text": "x", "flag": true, "numbers": [1, 2.5], "mixed": [1, "x"],
        "object": {"inner": 1}, "objects": [{"inner": 1}],
    });
    value.as_object().unwrap().clone()
}

fn text_of<T: std::fmt::Debug>(result: Result<T, FieldError>) -> String {
    result.unwrap_err().to_string()
}

#[test]
fn null_counts_as_absent() {
    let fields = fields();
    let object = JsonObject::new("Env", &fields);
    assert!(object.get("null").is_none());
    assert_eq!(object.optional_number("null"), Ok(None));
    assert_eq!(object.optional_whole_number("absent"), Ok(None));
    assert_eq!(object.flag("null"), Ok(false));
    assert_eq!(text_of(object.text("null")), "Env: field null is missing");
}

#[test]
fn whole_number_may_be_written_with_a_fraction_of_zero() {
    let fields = fields();
    let object = JsonObject::new("Env", &fields);
    assert_eq!(object.whole_number("whole"), Ok(3));
    assert_eq!(object.whole_number("whole_float"), Ok(3));
    for field in ["float", "negative", "huge", "text", "flag"] {
        let error = object.whole_number(field).unwrap_err();
        assert_eq!(error.problem, FieldProblem::NotAWholeNumber, "{field}");
    }
}

#[test]
fn error_names_the_object_the_field_and_the_problem() {
    let fields = fields();
    let object = JsonObject::new("Env", &fields);
    assert_eq!(
        text_of(object.number("absent")),
        "Env: field absent is missing"
    );
    assert_eq!(
        text_of(object.number("text")),
        "Env: field text is not a number"
    );
    assert_eq!(
        text_of(object.whole_number("float")),
        "Env: field float is not a whole number"
    );
    assert_eq!(
        text_of(object.text("whole")),
        "Env: field whole is not a string"
    );
    assert_eq!(
        text_of(object.flag("text")),
        "Env: field text is not true or false"
    );
    assert_eq!(
        text_of(object.list("text")),
        "Env: field text is not a list"
    );
    assert_eq!(
        text_of(object.numbers("mixed")),
        "Env: field mixed is not a list of numbers"
    );
    assert_eq!(
        text_of(object.object("text")),
        "Env: field text is not an object"
    );
    let expected = "Env: field numbers holds something that is not an object";
    assert_eq!(text_of(object.objects("numbers")), expected);
}

#[test]
fn inner_object_is_called_by_its_field() {
    let fields = fields();
    let object = JsonObject::new("Env", &fields);
    let inner = object.object("object").unwrap();
    assert_eq!(inner.number("inner"), Ok(1.0));
    assert_eq!(
        text_of(inner.text("inner")),
        "object: field inner is not a string"
    );
    let inner = object.objects("objects").unwrap()[0];
    assert_eq!(
        text_of(inner.text("absent")),
        "objects: field absent is missing"
    );
}
