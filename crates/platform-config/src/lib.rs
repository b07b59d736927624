//! The platform's configuration: environment variables and a JSON file, checked and completed with defaults.
//!
//! The file's path is in the environment variable `RELAY_CONFIG`. Its name, listen address and discovery address can
//! be overridden by `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY`.

mod document;
mod error;
mod resources;

pub use error::ConfigError;

use admission::resource_limits::ClientResources;
use broker_types::limits::PoolLimits;
use broker_types::query::Names;
use broker_types::server::EndpointList;
use document::Document;
use fanout_policy::api::Settings;
use fanout_policy::json::JsonObject;
use resources::ResourceLimits;
use serde_json::Value;
use std::net::SocketAddr;

/// The environment variable with the file's path, by which errors call the file.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// The environment variable that overrides the address of discovery.
const DISCOVERY_VARIABLE: &str = "RELAY_DISCOVERY";
/// Most queries and parts in flight where the settings name no limit.
const DEFAULT_MAX_IN_FLIGHT: u64 = 256;

/// The whole configuration of the program, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the broker.
    pub name: String,
    /// Address where clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Settings of the policy.
    pub settings: Settings,
    /// Names that requests use.
    pub names: Names,
    /// The endpoint list that was last received.
    pub cached_endpoints: EndpointList,
    /// Largest number of queries and parts in flight.
    pub max_in_flight: usize,
    /// Resources that client connections may use.
    pub clients: ClientResources,
    /// Limits of connections to data servers.
    pub pool: PoolLimits,
}

/// A variable of the program's environment; an empty one counts as not set.
#[must_use]
pub fn environment(variable: &str) -> Option<String> {
    std::env::var(variable)
        .ok()
        .filter(|value| !value.is_empty())
}

/// Loads the configuration at the start of the program.
///
/// # Errors
///
/// The path of the file is not set, or the file cannot be read, is not JSON or does not pass the checks.
pub fn load(environment: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let path = environment(CONFIG_VARIABLE).ok_or(ConfigError::NotSet)?;
    let text = match std::fs::read(&path) {
        Ok(text) => text,
        Err(source) => return Err(ConfigError::Unreadable { path, source }),
    };
    match serde_json::from_slice(&text) {
        Ok(value) => from_json(&value, environment),
        Err(source) => Err(ConfigError::NotJson { path, source }),
    }
}

/// Loads the configuration again on SIGHUP. The file was written later than the environment, so that its address of
/// discovery is not overridden.
///
/// # Errors
///
/// The same as those of [`load`].
pub fn reload(environment: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    load(|variable| {
        if variable == DISCOVERY_VARIABLE {
            None
        } else {
            environment(variable)
        }
    })
}

/// Checks a configuration. Environment variables override fields of the file.
///
/// # Errors
///
/// The first field that is missing, has a wrong type or does not pass its check.
pub fn from_json(
    value: &Value,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Config, ConfigError> {
    let fields = value.as_object().ok_or(ConfigError::NotAnObject)?;
    let document = Document {
        root: JsonObject::new(CONFIG_VARIABLE, fields),
        environment,
    };
    let seed = document.seed()?;
    let site = document.site_settings()?;
    let resources = ResourceLimits::decode(&document.root)?;
    let cached_endpoints = document.cached_endpoints()?;
    Ok(Config {
        name: document.text("RELAY_NAME", "name")?,
        listen: document.address("RELAY_LISTEN", "listen")?,
        discovery: document.address(DISCOVERY_VARIABLE, "discovery")?,
        seed,
        cached_endpoints,
        max_in_flight: site.max_in_flight.unwrap_or(DEFAULT_MAX_IN_FLIGHT) as usize,
        clients: resources.clients(),
        pool: resources.pool(&site),
        names: Names {
            classes: site.class_names,
            tenants: site.tenant_names,
            zones: site.zone_names,
        },
        settings: site.settings,
    })
}

#[cfg(test)]
mod tests;
