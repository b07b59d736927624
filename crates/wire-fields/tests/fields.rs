//! The deserializers of fields: the values that they accept, and the texts of their errors.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};
use wire_fields::*;

/// Values of all JSON types, by the names under which the tests refer to them.
fn sample_values() -> Map<String, Value> {
    let value = json!({
        "float": 2.5, "whole": 3, "whole_float": 3.0, "negative": -1, "huge": 1e19, "null": null,
        "text": "x", "flag": true, "numbers": [1, 2.5], "mixed": [1, "x"],
        "object": {"inner": 1}, "objects": [{"inner": 1}],
    });
    value.as_object().unwrap().clone()
}

/// Declares a struct whose only field is called `x` in JSON. The arguments are the name of the
/// struct, the type of the field, its deserializer and, for a field that may be absent, `default`.
macro_rules! wire {
    ($name:ident, $type:ty, $deserializer:literal $(, $default:ident)?) => {
        #[derive(Debug, Deserialize)]
        struct $name {
            #[serde(rename = "x", deserialize_with = $deserializer $(, $default)?)]
            value: $type,
        }
    };
}

wire!(NumberWire, f64, "number");
wire!(OptionalNumberWire, Option<f64>, "optional_number", default);
wire!(WholeNumberWire, u64, "whole_number");
wire!(
    OptionalWholeNumberWire,
    Option<u64>,
    "optional_whole_number",
    default
);
wire!(TextWire, String, "text");
wire!(TextOrEmptyWire, String, "text_or_empty", default);
wire!(FlagWire, bool, "flag", default);
wire!(NumbersWire, Vec<f64>, "numbers");
wire!(TextsWire, Vec<String>, "texts_or_empty", default);
wire!(ChoiceWire, Color, "choice");
wire!(ChoiceOrNoneWire, Option<Color>, "choice_or_none", default);
wire!(
    DeferredNumberWire,
    Deferred<f64>,
    "deferred_number",
    default
);
wire!(DeferredTextWire, Deferred<String>, "deferred_text", default);
wire!(ObjectWire, InnerWire, "object");
wire!(
    OptionalObjectWire,
    Option<InnerWire>,
    "optional_object",
    default
);
wire!(ObjectsWire, Vec<InnerWire>, "objects");
wire!(
    OptionalObjectsWire,
    Vec<InnerWire>,
    "optional_objects",
    default
);

#[derive(Debug, Deserialize)]
struct InnerWire {
    #[serde(deserialize_with = "number")]
    inner: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
enum Color {
    #[serde(rename = "red")]
    Red,
}

/// Decodes an object whose field `x` has the named sample value. Without a value of that name, the
/// object is empty.
fn read<T: DeserializeOwned>(sample: &str) -> Result<T, FieldError> {
    let value = sample_values().remove(sample);
    let object: Map<String, Value> = value
        .map(|value| ("x".to_owned(), value))
        .into_iter()
        .collect();
    decode("Env", &object)
}

/// Returns the text of the error that decoding the named sample value gives.
fn error<T: DeserializeOwned + std::fmt::Debug>(sample: &str) -> String {
    read::<T>(sample).unwrap_err().to_string()
}

#[test]
fn field_of_the_expected_type_is_read() {
    assert_eq!(read::<NumberWire>("float").unwrap().value, 2.5);
    assert_eq!(read::<NumberWire>("negative").unwrap().value, -1.0);
    assert_eq!(read::<TextWire>("text").unwrap().value, "x");
    assert!(read::<FlagWire>("flag").unwrap().value);
    assert_eq!(read::<NumbersWire>("numbers").unwrap().value, [1.0, 2.5]);
    assert_eq!(read::<ObjectWire>("object").unwrap().value.inner, 1.0);
    assert_eq!(read::<ObjectsWire>("objects").unwrap().value[0].inner, 1.0);
    let choice = json!({"x": "red"});
    let choice: ChoiceWire = decode("Env", choice.as_object().unwrap()).unwrap();
    assert_eq!(choice.value, Color::Red);
}

#[test]
fn null_counts_as_absent() {
    for field in ["null", "absent"] {
        assert_eq!(read::<OptionalNumberWire>(field).unwrap().value, None);
        assert_eq!(read::<OptionalWholeNumberWire>(field).unwrap().value, None);
        assert!(!read::<FlagWire>(field).unwrap().value);
        assert!(read::<TextOrEmptyWire>(field).unwrap().value.is_empty());
        assert!(read::<TextsWire>(field).unwrap().value.is_empty());
        assert_eq!(read::<ChoiceOrNoneWire>(field).unwrap().value, None);
        assert!(read::<OptionalObjectWire>(field).unwrap().value.is_none());
        assert!(read::<OptionalObjectsWire>(field).unwrap().value.is_empty());
        let missing = "Env: field x is missing or null";
        assert_eq!(error::<NumberWire>(field), missing);
        assert_eq!(error::<WholeNumberWire>(field), missing);
        assert_eq!(error::<TextWire>(field), missing);
        assert_eq!(error::<NumbersWire>(field), missing);
        assert_eq!(error::<ChoiceWire>(field), missing);
        assert_eq!(error::<ObjectWire>(field), missing);
        assert_eq!(error::<ObjectsWire>(field), missing);
    }
}

#[test]
fn whole_number_may_be_written_with_a_fraction_of_zero() {
    assert_eq!(read::<WholeNumberWire>("whole").unwrap().value, 3);
    assert_eq!(read::<WholeNumberWire>("whole_float").unwrap().value, 3);
    for field in ["float", "negative", "huge", "text", "flag"] {
        let problem = read::<WholeNumberWire>(field).unwrap_err().problem;
        assert_eq!(problem, FieldProblem::NotAWholeNumber, "{field}");
        let problem = read::<OptionalWholeNumberWire>(field).unwrap_err().problem;
        assert_eq!(problem, FieldProblem::NotAWholeNumber, "{field}");
    }
}

#[test]
fn error_names_the_object_the_field_and_the_problem() {
    assert_eq!(
        error::<NumberWire>("absent"),
        "Env: field x is missing or null"
    );
    assert_eq!(error::<NumberWire>("text"), "Env: field x is not a number");
    assert_eq!(
        error::<OptionalNumberWire>("text"),
        "Env: field x is not a number"
    );
    assert_eq!(
        error::<WholeNumberWire>("float"),
        "Env: field x is not a whole number of at least 0"
    );
    assert_eq!(error::<TextWire>("whole"), "Env: field x is not a string");
    assert_eq!(
        error::<FlagWire>("text"),
        "Env: field x is not true or false"
    );
    assert_eq!(error::<NumbersWire>("text"), "Env: field x is not a list");
    assert_eq!(error::<TextsWire>("text"), "Env: field x is not a list");
    assert_eq!(error::<ObjectsWire>("object"), "Env: field x is not a list");
    assert_eq!(
        error::<NumbersWire>("mixed"),
        "Env: field x is not a list of numbers"
    );
    assert_eq!(error::<ChoiceWire>("whole"), "Env: field x is not a string");
    assert_eq!(
        error::<ChoiceWire>("text"),
        "Env: field x is not one of the accepted values"
    );
    for field in ["text", "whole", "negative", "float", "flag", "numbers"] {
        assert_eq!(error::<ObjectWire>(field), "Env: field x is not an object");
        assert_eq!(
            error::<OptionalObjectWire>(field),
            "Env: field x is not an object"
        );
    }
    let expected = "Env: field x has an element that is not an object";
    assert_eq!(error::<ObjectsWire>("numbers"), expected);
    assert_eq!(error::<OptionalObjectsWire>("mixed"), expected);
}

#[test]
fn error_in_an_inner_object_names_the_field_that_contains_it() {
    let decode_outer = |value: &Value| {
        #[derive(Debug, Deserialize)]
        struct OuterWire {
            #[serde(deserialize_with = "object")]
            object: InnerWire,
            #[serde(deserialize_with = "objects")]
            objects: Vec<InnerWire>,
        }
        decode::<OuterWire>("Env", value.as_object().unwrap())
            .map(|outer| (outer.object.inner, outer.objects[0].inner))
    };
    let mut value = json!({"object": {"inner": 1}, "objects": [{"inner": 2}]});
    assert_eq!(decode_outer(&value), Ok((1.0, 2.0)));
    value["objects"][0] = json!({});
    let error = decode_outer(&value).unwrap_err().to_string();
    assert_eq!(error, "objects: field inner is missing or null");
    value["object"]["inner"] = json!("x");
    let error = decode_outer(&value).unwrap_err().to_string();
    assert_eq!(error, "object: field inner is not a number");
}

#[test]
fn lenient_deserializers_accept_a_value_of_any_type() {
    for field in ["whole", "negative", "flag", "numbers", "object"] {
        assert_eq!(read::<TextOrEmptyWire>(field).unwrap().value, "");
        assert_eq!(read::<ChoiceOrNoneWire>(field).unwrap().value, None);
    }
    assert_eq!(read::<TextOrEmptyWire>("text").unwrap().value, "x");
    assert_eq!(read::<ChoiceOrNoneWire>("text").unwrap().value, None);
    assert_eq!(read::<TextsWire>("mixed").unwrap().value, ["", "x"]);
    let choice = json!({"x": "red"});
    let choice: ChoiceOrNoneWire = decode("Env", choice.as_object().unwrap()).unwrap();
    assert_eq!(choice.value, Some(Color::Red));
    let object = json!({"x": {"red": null}});
    let object: ChoiceOrNoneWire = decode("Env", object.as_object().unwrap()).unwrap();
    assert_eq!(object.value, None);
}

#[test]
fn deferred_field_is_checked_when_its_value_is_used() {
    let number = read::<DeferredNumberWire>("float").unwrap().value;
    assert_eq!(number.clone().required("Env", "float"), Ok(2.5));
    assert_eq!(number.optional("Env", "float"), Ok(Some(2.5)));
    let text = read::<DeferredTextWire>("text").unwrap().value;
    assert_eq!(text.required("Env", "text"), Ok("x".to_owned()));
    for field in ["null", "absent"] {
        let number = read::<DeferredNumberWire>(field).unwrap().value;
        assert_eq!(number.clone().optional("Env", field), Ok(None));
        let error = number.required("Env", field).unwrap_err().to_string();
        assert_eq!(error, format!("Env: field {field} is missing or null"));
    }
    let number = read::<DeferredNumberWire>("text").unwrap().value;
    let error = number.optional("Env", "text").unwrap_err().to_string();
    assert_eq!(error, "Env: field text is not a number");
    let text = read::<DeferredTextWire>("whole").unwrap().value;
    let error = text.required("Env", "whole").unwrap_err().to_string();
    assert_eq!(error, "Env: field whole is not a string");
}

/// Guards against an error that reports the wrong `FieldProblem` because of the text of a value.
/// The crate finds the problem by searching the text of `serde`'s error, which quotes the value. A
/// string value with words of the crate's own errors must not be mistaken for the words that
/// describe the problem.
#[test]
fn text_of_a_value_does_not_change_the_problem() {
    for text in [
        "x, expected a list",
        "\", expected a string",
        "is missing",
        "is missing or null",
        "missing field `x`",
        "",
    ] {
        let fields = json!({"x": text});
        let object: Result<ObjectWire, _> = decode("Env", fields.as_object().unwrap());
        assert_eq!(object.unwrap_err().problem, FieldProblem::NotAnObject);
        let list: Result<ObjectsWire, _> = decode("Env", fields.as_object().unwrap());
        assert_eq!(list.unwrap_err().problem, FieldProblem::NotAList);
        let fields = json!({"x": [text]});
        let list: Result<ObjectsWire, _> = decode("Env", fields.as_object().unwrap());
        assert_eq!(list.unwrap_err().problem, FieldProblem::ElementNotAnObject);
    }
}

#[test]
fn error_of_another_deserializer_names_the_field_without_the_value() {
    #[derive(Debug, Deserialize)]
    struct PlainWire {
        count: u8,
    }
    let value = json!({"count": "a secret"});
    let count = decode("Env", value.as_object().unwrap()).map(|plain: PlainWire| plain.count);
    assert_eq!(
        count.unwrap_err().to_string(),
        "Env: field count has an invalid type or value"
    );
}
