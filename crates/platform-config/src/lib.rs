//! The platform's configuration: environment variables and a JSON file, checked and completed with
//! defaults.
//!
//! The environment variable `RELAY_CONFIG` holds the file's path. `RELAY_NAME`, `RELAY_LISTEN` and
//! `RELAY_DISCOVERY` override the broker's name, its listen address and the address of discovery.
//!
//! [`load`] returns the [`Config`] when the program starts, [`reload`] returns it on SIGHUP, and
//! [`from_json`] checks a configuration that is already in memory. The text of a [`ConfigError`]
//! is one line that names the invalid field:
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

/// Maximum number of queries and parts in flight, counted together, if the settings have no limit.
const DEFAULT_MAX_IN_FLIGHT: u64 = 256;

/// The platform's configuration, checked and completed with defaults.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the broker.
    pub name: String,
    /// Address on which the broker accepts client connections.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Settings of the policy.
    pub settings: Settings,
    /// Names by which requests and endpoint lists refer to classes, tenants and zones.
    pub names: Names,
    /// Endpoint list that the broker uses until discovery sends one.
    pub cached_endpoints: EndpointList,
    /// Maximum number of queries and parts in flight, counted together.
    pub max_in_flight: usize,
    /// Resources that client connections may use.
    pub clients: ClientResources,
    /// Limits on connections to data servers.
    pub pool: PoolLimits,
}

/// Loads the configuration at the start of the program.
///
/// # Errors
///
/// Returns a [`ConfigError`] if `RELAY_CONFIG` is not set, if the file cannot be read or is not
/// JSON, or for the reasons of [`from_json`].
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

/// Loads the configuration again on SIGHUP.
///
/// `RELAY_DISCOVERY` is ignored, so that the address of discovery always comes from the file. A
/// running process keeps the environment that it was started with, whereas the file may have been
/// written since: the file's address is the newer one. `RELAY_NAME` and `RELAY_LISTEN` still apply,
/// because the broker's name and listen address do not change while it runs.
///
/// # Errors
///
/// Returns a [`ConfigError`] for the same reasons as [`load`].
pub fn reload(environment: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    load(|variable| {
        if variable == DISCOVERY_VARIABLE {
            None
        } else {
            environment(variable)
        }
    })
}

/// Builds a configuration from `value`, the JSON of a configuration file, and checks it. The
/// variables that `environment` returns override fields of the file.
///
/// # Errors
///
/// Returns a [`ConfigError`] for the first field found that is missing, has a wrong type or fails a
/// check.
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
