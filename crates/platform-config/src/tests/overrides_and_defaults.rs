//! Environment variables that override fields, limits that are set or absent, and the connections
//! that the resource limits allow.

use super::fixture::{config, config_with};
use crate::from_json;
use crate::resources::MAX_DESCRIPTORS;
use admission::resource_limits::allocate;
use serde_json::{Value, json};
use std::time::Duration;

#[test]
fn environment_overrides_file_and_pool_limits_come_from_settings() {
    let env = |key: &str| (key == "RELAY_LISTEN").then(|| "127.0.0.1:3".to_owned());
    let config = from_json(&config(), env).unwrap();
    // The port of `listen` is from the environment; the port of `discovery` and the name are from
    // the file.
    assert_eq!(
        (
            config.listen.port(),
            config.discovery.port(),
            config.name.as_str()
        ),
        (3, 2, "n3")
    );
    // The file's limit of 4096 descriptors exceeds the maximum that the broker uses. Client
    // connections and connections to data servers together get less than this maximum, because some
    // descriptors are reserved.
    assert!(config.clients.descriptors + (config.pool.max_connections as u64) < MAX_DESCRIPTORS);
    // Fields `Batch`, `DialTimeout` and `MaxOpen` of the settings.
    assert_eq!(
        (
            config.pool.max_parts_per_call,
            config.pool.dial_timeout,
            config.max_in_flight
        ),
        (2, Duration::from_millis(250), 100)
    );
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
            from_json(&config, environment).unwrap_or_else(|error| {
                panic!("{field} must not be checked, found the error: {error}")
            });
        }
    }
}

#[test]
fn limits_may_be_missing_null_huge_or_have_a_zero_fraction() {
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
    // In bytes, this limit does not fit into 64 bits, so that `u64::MAX` bytes is used instead.
    // Client connections get three fifths of that.
    assert_eq!(huge.clients.memory_bytes, Some(u64::MAX / 5 * 3));
}

/// Guards against running out of memory: the number of client connections is limited so that all of
/// them, each with a partly received request of the maximum size, fit into the memory limit.
#[test]
fn client_connections_fit_memory_limit() {
    let mut config = config();
    let max_connections = |config: &Value| -> usize {
        allocate(from_json(config, |_| None).unwrap().clients, None)
            .unwrap()
            .max_http1_connections
    };
    // With 2048 MiB of memory, the descriptors are the limit: at most 1024 are used, 32 are
    // reserved, and two thirds of the others are for clients.
    assert_eq!(max_connections(&config), 661);
    config["limits"]["memory_mb"] = json!(32);
    // Three fifths of 32 MiB, divided by the 128 KiB that a connection may take.
    assert_eq!(max_connections(&config), 153);
}
