//! Environment variables that locate the configuration file or override its fields.

/// Holds the path of the configuration file. Error messages refer to the file by the name of this
/// variable.
pub(crate) const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Overrides the field `name`, the broker's name.
pub(crate) const NAME_VARIABLE: &str = "RELAY_NAME";
/// Overrides the field `listen`, the address on which the broker accepts client connections.
pub(crate) const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
/// Overrides the field `discovery`, the address of the discovery service.
pub(crate) const DISCOVERY_VARIABLE: &str = "RELAY_DISCOVERY";

/// Returns the value of an environment variable of this process, or `None` if it is not set, empty
/// or not valid Unicode.
#[must_use]
pub fn environment(variable: &str) -> Option<String> {
    std::env::var(variable)
        .ok()
        .filter(|value| !value.is_empty())
}
