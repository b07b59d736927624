//! Required fields of the configuration file, and the values that fields may have.

use super::fixture::{config, config_with, error_of};
use crate::from_json;
use serde_json::{Value, json};

#[test]
fn error_names_the_field_that_is_missing_null_or_of_a_wrong_type() {
    for (field, problem, wrong) in [
        ("name", "is not a string", json!(1)),
        ("listen", "is not a string", json!(["127.0.0.1:1"])),
        ("discovery", "is not a string", json!(false)),
        ("seed", "is not a string", json!(12)),
        ("settings", "is not an object", json!([])),
    ] {
        let missing = format!("RELAY_CONFIG: field {field} is missing or null");
        assert_eq!(error_of(&config_with("", field, None)), missing);
        let null = config_with("", field, Some(&Value::Null));
        assert_eq!(error_of(&null), missing);
        let wrong = config_with("", field, Some(&wrong));
        assert_eq!(
            error_of(&wrong),
            format!("RELAY_CONFIG: field {field} {problem}")
        );
    }
    let missing = "RELAY_CONFIG: field known is missing or null";
    assert_eq!(error_of(&config_with("", "known", None)), missing);
    for limits in [json!([]), json!(1), json!("x")] {
        let wrong = config_with("", "limits", Some(&limits));
        assert_eq!(
            error_of(&wrong),
            "RELAY_CONFIG: field limits is not an object"
        );
    }
    for field in ["sockets", "memory_mb"] {
        let expected = format!("limits: field {field} is not a whole number of at least 0");
        for wrong in [
            json!("4096"),
            json!(4096.5),
            json!(-1),
            json!(1e300),
            json!([]),
        ] {
            let wrong = config_with("/limits", field, Some(&wrong));
            assert_eq!(error_of(&wrong), expected);
        }
    }
}

#[test]
fn unknown_fields_are_ignored() {
    for object in ["", "/limits", "/settings", "/known"] {
        let unknown = json!([{"x": null}]);
        from_json(&config_with(object, "unknown", Some(&unknown)), |_| None).unwrap();
    }
}

/// The last of several fields with the same name applies, also in the endpoint list.
#[test]
fn last_of_duplicate_fields_applies() {
    let text = config().to_string();
    let text = text.replacen('{', r#"{"name":1,"#, 1);
    let text = text.replacen(r#""all":true"#, r#""all":1,"all":true"#, 1);
    let config: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(from_json(&config, |_| None).unwrap().name, "n3");
}

#[test]
fn seed_that_is_not_a_hexadecimal_number_of_at_most_64_bits_is_rejected() {
    let seed_of = |text: &str| {
        let config = config_with("", "seed", Some(&json!(text)));
        from_json(&config, |_| None).map(|config| config.seed)
    };
    assert_eq!(seed_of("FF").unwrap(), 255);
    assert_eq!(seed_of("+f").unwrap(), 15);
    for text in ["", "-1", "0x1", " 1", "8c1f30d27a5be9640"] {
        let error = seed_of(text)
            .expect_err(&format!("seed {text:?} must be rejected"))
            .to_string();
        let expected = format!(
            "RELAY_CONFIG: field seed: {text:?} is not a hexadecimal number of at most 64 bits"
        );
        assert_eq!(error, expected);
    }
}
