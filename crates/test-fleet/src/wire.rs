//! Names and formats that the test doubles and a broker have in common: those of the platform file,
//! of the environment variables and of discovery. The frames of data servers are in the package
//! `server-protocol`.

mod configuration;
mod discovery;
#[cfg(test)]
mod tests;

pub(crate) use configuration::{
    ClassWire, ClientsWire, DataLayoutWire, EndpointListSourceWire, LimitsWire, PermissionsWire,
    PlatformFileWire, RetrySafetyWire, RulesWire, SettingsWire, TenantWire, WeightBasisWire,
};
pub(crate) use discovery::{
    EndpointListWire, EndpointStateWire, EndpointWire, LIST_PATH, REVISION_PARAMETER,
    WATCH_PARAMETER,
};

/// Environment variable that contains the path of the platform file.
pub(crate) const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Environment variable that overrides the listen address of the platform file.
pub(crate) const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
/// Environment variable that overrides the address of discovery in the platform file.
pub(crate) const DISCOVERY_VARIABLE: &str = "RELAY_DISCOVERY";
