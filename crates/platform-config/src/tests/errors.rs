//! Error texts of invalid configurations.

use super::fixture::{config, config_with, error_of};
use crate::{from_json, load};
use serde_json::json;

#[test]
fn error_names_the_invalid_field() {
    for (pointer, value, name) in [
        ("/seed", json!("xyz"), "seed"),
        ("/listen", json!("nowhere"), "listen"),
        ("/known/rev", json!("a"), "known"),
        ("/limits/sockets", json!(10), "sockets"),
        ("/limits/sockets", json!("many"), "sockets"),
        ("/limits/memory_mb", json!(0), "memory_mb"),
        ("/settings/Tick", json!(0), "Tick"),
        ("/settings/Tick", json!(null), "Tick"),
        ("/settings/FamilyInfo/Shards", json!(0), "Shards"),
        (
            "/settings/FamilyInfo/FetchParts",
            json!([0, 2, 0]),
            "FetchParts",
        ),
        ("/settings/Services/0/Name", json!(null), "Services"),
        ("/settings/Allowed/MaxOpen", json!("x"), "MaxOpen"),
    ] {
        let mut config = config();
        *config.pointer_mut(pointer).unwrap() = value;
        let error = from_json(&config, |_| None)
            .expect_err(&format!("the value of {pointer} must be rejected"))
            .to_string();
        assert!(
            error.contains(name),
            "{pointer}: expected an error that names {name}, found: {error}"
        );
    }
    let error = load(|_| None).unwrap_err().to_string();
    assert!(error.contains("RELAY_CONFIG"), "{error}");
}

/// Pins whole error texts, because the operator has only the logged text to find the error with.
#[test]
fn error_text_names_place_and_problem() {
    for (pointer, value, text) in [
        (
            "/seed",
            json!("xyz"),
            "RELAY_CONFIG: field seed: \"xyz\" is not a hexadecimal number of at most 64 bits",
        ),
        (
            "/name",
            json!(null),
            "RELAY_CONFIG: field name is missing or null",
        ),
        (
            "/listen",
            json!("nowhere"),
            "RELAY_LISTEN (field listen): \"nowhere\" is not an IP address with a port, such as 127.0.0.1:8080",
        ),
        (
            "/known",
            json!(null),
            "RELAY_CONFIG: field known is missing or null",
        ),
        (
            "/limits/sockets",
            json!(10),
            "limits: field sockets is 10, expected at least 64",
        ),
        (
            "/limits/memory_mb",
            json!(0),
            "limits: field memory_mb is 0, expected at least 1",
        ),
        (
            "/settings/Tick",
            json!(0),
            "settings: field Tick is 0, expected more than 0 and at most 1000 milliseconds",
        ),
        (
            "/settings/FamilyInfo/Shards",
            json!(0),
            "FamilyInfo: field Shards is 0, expected a number from 1 to 1000000",
        ),
        (
            "/settings/FamilyInfo/FetchParts",
            json!([0, 2, 0]),
            "settings: field FamilyInfo requests a second step (FetchParts), which the protocol does not support",
        ),
        (
            "/settings/Services/0/Name",
            json!(null),
            "settings: field Services is empty or contains a class without a name",
        ),
    ] {
        let mut config = config();
        *config.pointer_mut(pointer).unwrap() = value;
        let error = from_json(&config, |_| None)
            .expect_err(&format!("the value of {pointer} must be rejected"));
        assert_eq!(error.to_string(), text, "{pointer}");
    }
    assert_eq!(
        load(|_| None).unwrap_err().to_string(),
        "RELAY_CONFIG is not set; expected the path of the configuration file"
    );
    let missing_file = load(|_| Some("/nonexistent/config".to_owned())).unwrap_err();
    let expected = "RELAY_CONFIG: /nonexistent/config cannot be read: ";
    assert!(
        missing_file.to_string().starts_with(expected),
        "{missing_file}"
    );
    let list = from_json(&json!([]), |_| None).unwrap_err();
    assert_eq!(
        list.to_string(),
        "RELAY_CONFIG: expected a JSON object, found another JSON value"
    );
}

#[test]
fn error_in_settings_names_the_object_with_the_field() {
    for (object, field, value, text) in [
        (
            "/settings",
            "PeersTotal",
            json!(0.5),
            "settings: field PeersTotal is not a whole number of at least 0",
        ),
        (
            "/settings/Rules",
            "Cold",
            json!(null),
            "Rules: field Cold is missing or null",
        ),
        (
            "/settings",
            "Services",
            json!([1]),
            "settings: field Services has an element that is not an object",
        ),
    ] {
        assert_eq!(error_of(&config_with(object, field, Some(&value))), text);
    }
}

#[test]
fn error_of_a_malformed_endpoint_list_names_field_known() {
    for (list, problem) in [
        (
            json!([]),
            "invalid length 0, expected struct EndpointList with 3 elements",
        ),
        (
            json!(1),
            "invalid type: integer `1`, expected struct EndpointList",
        ),
        (
            json!({"rev": 1.0}),
            "invalid type: floating point `1.0`, expected u64",
        ),
        (json!({"rev": 1, "all": true}), "missing field `targets`"),
        (
            json!({"rev": 1, "all": true, "targets": [{"uid": 1}]}),
            "invalid type: integer `1`, expected a string",
        ),
    ] {
        let error = error_of(&config_with("", "known", Some(&list)));
        assert_eq!(error, format!("RELAY_CONFIG: field known: {problem}"));
    }
}

/// Error texts name these minimums, which therefore have to be accepted.
#[test]
fn minimum_limits_are_accepted() {
    for (field, min) in [("sockets", 64), ("memory_mb", 1)] {
        from_json(&config_with("/limits", field, Some(&json!(min))), |_| None).expect(field);
    }
}
