//! The environment variables of the program.

/// Path of the configuration file, by which errors call the file.
pub(crate) const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Overrides the broker's name.
pub(crate) const NAME_VARIABLE: &str = "RELAY_NAME";
/// Overrides the address where clients connect.
pub(crate) const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
/// Overrides the address of discovery.
pub(crate) const DISCOVERY_VARIABLE: &str = "RELAY_DISCOVERY";

/// A variable of the program's environment; an empty one counts as not set.
#[must_use]
pub fn environment(variable: &str) -> Option<String> {
    std::env::var(variable)
        .ok()
        .filter(|value| !value.is_empty())
}
