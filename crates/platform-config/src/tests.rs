//! Tests of the configuration's checks, defaults and errors.

use super::*;
use crate::resources::MAX_DESCRIPTORS;
use admission::resource_limits::allocate;
use serde_json::json;

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
        (2, 250_000, 100)
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
