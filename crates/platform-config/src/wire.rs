//! Decoding of the configuration file's JSON fields into typed fields.

use crate::ConfigError;
use crate::environment::{CONFIG_VARIABLE, DISCOVERY_VARIABLE, LISTEN_VARIABLE, NAME_VARIABLE};
use crate::overridable::OverridableText;
use crate::resources::PlatformLimits;
use broker_types::server::EndpointList;
use fanout_policy::settings::{SettingsWire, SiteSettings};
use serde::Deserialize;
use serde_json::{Map, Value};
use wire_fields::{
    Deferred, FieldError, FieldProblem, deferred_text, object, optional_object,
    optional_whole_number, text,
};

/// The decoded configuration file. A field that an environment variable can override may still be
/// missing or have a wrong type, which becomes an error only when its value is used. All other
/// fields have the right types; whether the broker can serve with their values is checked when
/// [`Config`](crate::Config) is built.
pub(crate) struct PlatformFile {
    /// Name of the broker.
    pub(crate) name: OverridableText,
    /// Address on which the broker accepts client connections.
    pub(crate) listen: OverridableText,
    /// Address of the discovery service.
    pub(crate) discovery: OverridableText,
    /// Seed of the random number generator.
    pub(crate) seed: u64,
    /// The platform's limits on the process.
    pub(crate) limits: PlatformLimits,
    /// Endpoint list that the broker uses until discovery sends one.
    pub(crate) cached_endpoints: EndpointList,
    /// Settings of the site.
    pub(crate) site: SiteSettings,
}

impl PlatformFile {
    /// Decodes the fields of the file's JSON object.
    ///
    /// # Errors
    ///
    /// The first field that is missing, has a wrong type or cannot be decoded. A field that an
    /// environment variable can override causes no error here, but only when its value is used.
    pub(crate) fn decode(fields: &Map<String, Value>) -> Result<Self, ConfigError> {
        wire_fields::decode::<PlatformFileWire>(CONFIG_VARIABLE, fields)?.try_into()
    }
}

#[derive(Debug, Deserialize)]
struct PlatformFileWire {
    #[serde(rename = "name", default, deserialize_with = "deferred_text")]
    name: Deferred<String>,
    #[serde(rename = "listen", default, deserialize_with = "deferred_text")]
    listen: Deferred<String>,
    #[serde(rename = "discovery", default, deserialize_with = "deferred_text")]
    discovery: Deferred<String>,
    /// A number of at most 64 bits in hexadecimal digits.
    #[serde(rename = "seed", deserialize_with = "text")]
    seed: String,
    #[serde(rename = "limits", default, deserialize_with = "optional_object")]
    limits: Option<LimitsWire>,
    /// Decoded separately as an [`EndpointList`], the type of the lists that discovery sends, whose
    /// errors are not [`FieldError`]s.
    #[serde(rename = "known", default)]
    cached_endpoints: Option<Value>,
    #[serde(rename = "settings", deserialize_with = "object")]
    settings: SettingsWire,
}

#[derive(Debug, Deserialize)]
struct LimitsWire {
    #[serde(
        rename = "sockets",
        default,
        deserialize_with = "optional_whole_number"
    )]
    descriptors: Option<u64>,
    #[serde(
        rename = "memory_mb",
        default,
        deserialize_with = "optional_whole_number"
    )]
    memory_mebibytes: Option<u64>,
}

impl TryFrom<PlatformFileWire> for PlatformFile {
    type Error = ConfigError;

    fn try_from(wire: PlatformFileWire) -> Result<Self, ConfigError> {
        let seed = u64::from_str_radix(&wire.seed, 16)
            .map_err(|_| ConfigError::InvalidSeed { text: wire.seed })?;
        Ok(PlatformFile {
            seed,
            site: wire.settings.try_into()?,
            limits: wire.limits.map(PlatformLimits::from).unwrap_or_default(),
            cached_endpoints: decode_endpoints(wire.cached_endpoints)?,
            name: OverridableText::new(NAME_VARIABLE, "name", wire.name),
            listen: OverridableText::new(LISTEN_VARIABLE, "listen", wire.listen),
            discovery: OverridableText::new(DISCOVERY_VARIABLE, "discovery", wire.discovery),
        })
    }
}

impl From<LimitsWire> for PlatformLimits {
    fn from(wire: LimitsWire) -> Self {
        PlatformLimits {
            descriptors: wire.descriptors,
            memory_mebibytes: wire.memory_mebibytes,
        }
    }
}

fn decode_endpoints(list: Option<Value>) -> Result<EndpointList, ConfigError> {
    let missing = || FieldError::new(CONFIG_VARIABLE, "known", FieldProblem::Missing);
    let list = list.ok_or_else(missing)?;
    serde_json::from_value(list).map_err(|source| ConfigError::InvalidEndpointList { source })
}
