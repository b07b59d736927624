//! The platform's configuration: environment variables and a JSON file, checked and completed with
//! defaults.
//!
//! The file's path is in the environment variable `RELAY_CONFIG`. Its name, listen address and
//! discovery address can be overridden by `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY`.
//!
//! [`load`] gives the [`Config`] of the program at its start, [`reload`] that on SIGHUP, and
//! [`from_json`] checks one that is already in memory. A [`ConfigError`] is one line that names the
//! faulty key:
//!
//! ```
//! let file = serde_json::json!({
//!     "name": "n3",
//!     "seed": "8c1f30d27a5be964",
//!     "settings": {"FamilyInfo": {"Shards": -1}},
//! });
//! let error = platform_config::from_json(&file, |_| None).unwrap_err();
//! let expected = "FamilyInfo: field Shards is not a whole number of at least 0";
//! assert_eq!(error.to_string(), expected);
//! ```

mod environment;
mod error;
mod overridable;
mod resources;
mod site_checks;
mod wire;

pub use environment::environment;
pub use error::ConfigError;

use admission::resource_limits::ClientResources;
use broker_types::limits::PoolLimits;
use broker_types::query::Names;
use broker_types::server::EndpointList;
use environment::{CONFIG_VARIABLE, DISCOVERY_VARIABLE};
use fanout_policy::api::Settings;
use resources::ResourceLimits;
use serde_json::Value;
use site_checks::check_site;
use std::net::SocketAddr;
use wire::PlatformFile;

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

/// Loads the configuration at the start of the program.
///
/// # Errors
///
/// The path of the file is not set, or the file cannot be read, is not JSON or does not pass the
/// checks.
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

/// Loads the configuration again on SIGHUP. The file was written later than the environment, so
/// that its address of discovery is not overridden.
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
/// One of the fields that are missing, have a wrong type or do not pass their checks.
pub fn from_json(
    value: &Value,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Config, ConfigError> {
    let fields = value.as_object().ok_or(ConfigError::NotAnObject)?;
    let file = PlatformFile::decode(fields)?;
    let site = file.site;
    check_site(&site)?;
    let resources = ResourceLimits::new(file.limits)?;
    Ok(Config {
        name: file.name.text(&environment)?,
        listen: file.listen.address(&environment)?,
        discovery: file.discovery.address(&environment)?,
        seed: file.seed,
        cached_endpoints: file.cached_endpoints,
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
