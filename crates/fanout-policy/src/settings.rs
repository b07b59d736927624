//! The settings of a site: a JSON object that the simulator sends and that the broker reads from
//! its configuration.
//!
//! [`decode`] decodes the object. A program whose input contains the object within another one
//! deserializes it as [`SettingsWire`] and converts that to [`SiteSettings`].

mod wire;

pub use wire::SettingsWire;

use crate::api::{Ms, Settings};
use serde_json::{Map, Value};
use wire_fields::FieldError;

/// The settings of a site: those of the policy, and those that only a program with network
/// connections needs.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// Settings of the policy.
    pub settings: Settings,
    /// Names of the classes, in order of their indexes.
    pub class_names: Vec<String>,
    /// Names of the tenants, in order of their indexes.
    pub tenant_names: Vec<String>,
    /// Names of the zones, in order of their indexes.
    pub zone_names: Vec<String>,
    /// Maximum number of queries and parts, added together, that one aggregator may have in flight;
    /// `None` if the site sets no limit.
    pub max_in_flight: Option<u64>,
    /// Maximum number of parts in flight on one connection; `None` if the site sets no limit.
    pub max_parts_per_connection: Option<u64>,
    /// Maximum time to establish a connection; `None` if the site sets no limit.
    pub dial_timeout: Option<Ms>,
    /// Idle time after which servers close a connection; `None` if the site states none.
    pub idle_timeout: Option<Ms>,
}

/// Decodes the settings object from its `fields`. Errors refer to it by the name `object`.
///
/// # Errors
///
/// Returns an error that names one field which is missing or has a wrong type or value.
pub fn decode(object: &str, fields: &Map<String, Value>) -> Result<SiteSettings, FieldError> {
    wire_fields::decode::<SettingsWire>(object, fields)?.try_into()
}
