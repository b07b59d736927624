//! The settings of a site, as the simulator sends them and as the broker finds them in its
//! configuration.
//!
//! [`decode`] reads the JSON object. A program that finds the object inside another one reads it as
//! a [`SettingsWire`] and converts that to [`SiteSettings`].

mod wire;

pub use wire::SettingsWire;

use crate::api::{Ms, Settings};
use serde_json::{Map, Value};
use wire_fields::FieldError;

/// The settings of a site: those of the policy, and those that only a program with sockets needs.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// Settings of the policy.
    pub settings: Settings,
    /// Names of the classes, in the order of their indices.
    pub class_names: Vec<String>,
    /// Names of the tenants, in the order of their indices.
    pub tenant_names: Vec<String>,
    /// Names of the zones, in the order of their indices.
    pub zone_names: Vec<String>,
    /// Largest number of queries and parts that one aggregator may have in flight.
    pub max_in_flight: Option<u64>,
    /// Largest number of parts that one connection carries at once.
    pub max_parts_per_connection: Option<u64>,
    /// Time within which a connection must be established.
    pub dial_timeout: Option<Ms>,
    /// Idle time after which servers close a connection.
    pub idle_timeout: Option<Ms>,
}

/// Decodes the settings object, which errors call by this name.
///
/// # Errors
///
/// One of the fields that are missing or have a wrong type or value.
pub fn decode(object: &str, fields: &Map<String, Value>) -> Result<SiteSettings, FieldError> {
    wire_fields::decode::<SettingsWire>(object, fields)?.try_into()
}
