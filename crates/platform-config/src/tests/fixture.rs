//! A valid configuration, changed ones, and their errors.

use crate::from_json;
use serde_json::{Value, json};

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

/// The configuration with a field of an object replaced or, without a value, removed.
pub(super) fn config_with(object: &str, field: &str, value: Option<&Value>) -> Value {
    let mut config = config();
    let fields = config.pointer_mut(object).expect(object);
    match value {
        Some(value) => fields[field] = value.clone(),
        None => drop(fields.as_object_mut().unwrap().remove(field)),
    }
    config
}

pub(super) fn error_of(config: &Value) -> String {
    from_json(config, |_| None)
        .expect_err("an error")
        .to_string()
}
