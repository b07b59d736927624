//! Tests of the configuration's checks, defaults and errors.

use super::*;
use crate::resources::MAX_DESCRIPTORS;
use admission::resource_limits::allocate;
use serde_json::json;
use std::time::Duration;

fn config() -> Value {
    let settings: Value =
        serde_json::from_str(include_str!("../../broker-types/tests/settings.json")).unwrap();
    json!({"name": "n3", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 4096, "memory_mb": 2048}, "known": {"rev": 1, "all": true, "targets": []}, "settings": settings})
}

#[test]
fn environment_overrides_file_and_limits_have_defaults() {
    let env = |key: &str| (key == "RELAY_LISTEN").then(|| "127.0.0.1:3".to_owned());
    let config = from_json(&config(), env).unwrap();
    assert_eq!(
        (
            config.listen.port(),
            config.discovery.port(),
            config.name.as_str()
        ),
        (3, 2, "n3")
    );
    assert!(config.clients.descriptors + (config.pool.max_connections as u64) < MAX_DESCRIPTORS);
    assert_eq!(
        (
            config.pool.max_parts_per_call,
            config.pool.dial_timeout,
            config.max_in_flight
        ),
        (2, Duration::from_millis(250), 100)
    );
}

/// As many clients as there are slots for, each in the middle of the longest request, must fit the memory.
#[test]
fn client_connections_fit_memory_limit() {
    let mut config = config();
    let slots = |config: &Value| -> usize {
        allocate(from_json(config, |_| None).unwrap().clients, None)
            .unwrap()
            .max_http1_connections
    };
    assert_eq!(slots(&config), 661);
    config["limits"]["memory_mb"] = json!(32);
    assert_eq!(slots(&config), 153);
}

#[test]
fn error_names_the_faulty_key() {
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
        let error = from_json(&config, |_| None).expect_err(pointer).to_string();
        assert!(error.contains(name), "{pointer}: {error}");
    }
    let error = load(|_| None).unwrap_err().to_string();
    assert!(error.contains("RELAY_CONFIG"));
}

/// The text is what the operator sees in the log.
#[test]
fn error_text_says_what_is_wrong() {
    for (pointer, value, text) in [
        (
            "/seed",
            json!("xyz"),
            "RELAY_CONFIG: field seed is not 16 hex digits",
        ),
        ("/name", json!(null), "RELAY_CONFIG: field name is missing"),
        (
            "/listen",
            json!("nowhere"),
            "RELAY_LISTEN (field listen): \"nowhere\" is not an address with a port",
        ),
        (
            "/known",
            json!(null),
            "RELAY_CONFIG: field known is missing",
        ),
        (
            "/limits/sockets",
            json!(10),
            "limits: field sockets is too small to serve with",
        ),
        (
            "/limits/memory_mb",
            json!(0),
            "limits: field memory_mb is too small to serve with",
        ),
        (
            "/settings/Tick",
            json!(0),
            "settings: field Tick is out of bounds",
        ),
        (
            "/settings/FamilyInfo/Shards",
            json!(0),
            "FamilyInfo: field Shards is out of bounds",
        ),
        (
            "/settings/FamilyInfo/FetchParts",
            json!([0, 2, 0]),
            "settings: field FamilyInfo asks for a second step (FetchParts), which the protocol cannot carry",
        ),
        (
            "/settings/Services/0/Name",
            json!(null),
            "settings: field Services is empty or holds a class without a name",
        ),
    ] {
        let mut config = config();
        *config.pointer_mut(pointer).unwrap() = value;
        let error = from_json(&config, |_| None).expect_err(pointer);
        assert_eq!(error.to_string(), text, "{pointer}");
    }
    assert_eq!(
        load(|_| None).unwrap_err().to_string(),
        "RELAY_CONFIG is not set"
    );
    let missing_file = load(|_| Some("/nonexistent/config".to_owned())).unwrap_err();
    let expected = "RELAY_CONFIG: /nonexistent/config cannot be read: ";
    assert!(
        missing_file.to_string().starts_with(expected),
        "{missing_file}"
    );
    let list = from_json(&json!([]), |_| None).unwrap_err();
    assert_eq!(list.to_string(), "RELAY_CONFIG: it is not an object");
}

/// The configuration with a field of an object replaced or, without a value, removed.
fn config_with(object: &str, field: &str, value: Option<&Value>) -> Value {
    let mut config = config();
    let fields = config.pointer_mut(object).expect(object);
    match value {
        Some(value) => fields[field] = value.clone(),
        None => drop(fields.as_object_mut().unwrap().remove(field)),
    }
    config
}

fn error_of(config: &Value) -> String {
    from_json(config, |_| None)
        .expect_err("an error")
        .to_string()
}

#[test]
fn field_that_is_missing_null_or_of_a_wrong_type_is_named() {
    for (field, problem, wrong) in [
        ("name", "is not a string", json!(1)),
        ("listen", "is not a string", json!(["127.0.0.1:1"])),
        ("discovery", "is not a string", json!(false)),
        ("seed", "is not a string", json!(12)),
        ("settings", "is not an object", json!([])),
    ] {
        let missing = format!("RELAY_CONFIG: field {field} is missing");
        assert_eq!(error_of(&config_with("", field, None)), missing);
        let null = config_with("", field, Some(&Value::Null));
        assert_eq!(error_of(&null), missing);
        let wrong = config_with("", field, Some(&wrong));
        assert_eq!(
            error_of(&wrong),
            format!("RELAY_CONFIG: field {field} {problem}")
        );
    }
    let missing = "RELAY_CONFIG: field known is missing";
    assert_eq!(error_of(&config_with("", "known", None)), missing);
    for limits in [json!([]), json!(1), json!("x")] {
        let wrong = config_with("", "limits", Some(&limits));
        assert_eq!(
            error_of(&wrong),
            "RELAY_CONFIG: field limits is not an object"
        );
    }
    for field in ["sockets", "memory_mb"] {
        let expected = format!("limits: field {field} is not a whole number");
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
fn limits_may_be_missing_null_or_written_with_a_fraction_of_zero() {
    for (object, field) in [
        ("", "limits"),
        ("/limits", "sockets"),
        ("/limits", "memory_mb"),
    ] {
        for value in [None, Some(&Value::Null)] {
            from_json(&config_with(object, field, value), |_| None).unwrap();
        }
    }
    let whole = from_json(&config(), |_| None).unwrap();
    let fraction = config_with("/limits", "memory_mb", Some(&json!(2048.0)));
    let fraction = from_json(&fraction, |_| None).unwrap();
    assert_eq!(fraction.clients.memory_bytes, whole.clients.memory_bytes);
    let huge = config_with("/limits", "memory_mb", Some(&json!(u64::MAX)));
    let huge = from_json(&huge, |_| None).unwrap();
    assert_eq!(huge.clients.memory_bytes, Some(u64::MAX / 5 * 3));
}

#[test]
fn field_that_a_variable_overrides_is_not_checked() {
    for (field, variable, text) in [
        ("name", "RELAY_NAME", "n4"),
        ("listen", "RELAY_LISTEN", "127.0.0.1:3"),
        ("discovery", "RELAY_DISCOVERY", "127.0.0.1:4"),
    ] {
        let environment = |key: &str| (key == variable).then(|| text.to_owned());
        for value in [None, Some(&json!({})), Some(&json!("nowhere"))] {
            let config = config_with("", field, value);
            from_json(&config, environment).unwrap_or_else(|error| panic!("{field}: {error}"));
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

#[test]
fn seed_is_a_hexadecimal_number_of_64_bits() {
    let seed_of = |text: &str| {
        let config = config_with("", "seed", Some(&json!(text)));
        from_json(&config, |_| None).map(|config| config.seed)
    };
    assert_eq!(seed_of("FF").unwrap(), 255);
    assert_eq!(seed_of("+f").unwrap(), 15);
    for text in ["", "-1", "0x1", " 1", "8c1f30d27a5be9640"] {
        let error = seed_of(text).expect_err(text).to_string();
        assert_eq!(error, "RELAY_CONFIG: field seed is not 16 hex digits");
    }
}

#[test]
fn malformed_endpoint_list_is_called_by_its_field() {
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

#[test]
fn error_of_the_settings_names_their_object() {
    for (object, field, value, text) in [
        (
            "/settings",
            "PeersTotal",
            json!(0.5),
            "settings: field PeersTotal is not a whole number",
        ),
        (
            "/settings/Rules",
            "Cold",
            json!(null),
            "Rules: field Cold is missing",
        ),
        (
            "/settings",
            "Services",
            json!([1]),
            "settings: field Services holds something that is not an object",
        ),
    ] {
        assert_eq!(error_of(&config_with(object, field, Some(&value))), text);
    }
}

/// Of duplicate fields the last counts, also in the endpoint list.
#[test]
fn file_with_duplicate_fields_is_read() {
    let text = config().to_string();
    let text = text.replacen('{', r#"{"name":1,"#, 1);
    let text = text.replacen(r#""all":true"#, r#""all":1,"all":true"#, 1);
    let config: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(from_json(&config, |_| None).unwrap().name, "n3");
}
