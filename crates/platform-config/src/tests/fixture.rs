//! A valid configuration, and helpers that change it or return the error of a changed one.

use crate::from_json;
use serde_json::{Value, json};

/// Returns a valid configuration.
pub(super) fn config() -> Value {
    let settings: Value =
        serde_json::from_str(include_str!("../../../broker-types/tests/settings.json")).unwrap();
    json!({
        "name": "n3",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 4096, "memory_mb": 2048},
        "known": {"rev": 1, "all": true, "targets": []},
        "settings": settings,
    })
}

/// Returns the valid configuration with one field changed: `field` of the object at the JSON
/// pointer `object` gets the value, or is removed if there is none.
pub(super) fn config_with(object: &str, field: &str, value: Option<&Value>) -> Value {
    let mut config = config();
    let fields = config
        .pointer_mut(object)
        .unwrap_or_else(|| panic!("the valid configuration has no object at {object:?}"));
    match value {
        Some(value) => fields[field] = value.clone(),
        None => drop(fields.as_object_mut().unwrap().remove(field)),
    }
    config
}

/// Returns the error text of an invalid configuration without environment variables.
pub(super) fn error_of(config: &Value) -> String {
    from_json(config, |_| None)
        .expect_err("the configuration must be invalid")
        .to_string()
}
