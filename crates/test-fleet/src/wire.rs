//! The names and formats that the test doubles share with a broker: the only place with them.

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

/// Environment variable with the path of the platform's file.
pub(crate) const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Environment variable that overrides the listen address of the platform's file.
pub(crate) const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
/// Environment variable that overrides the address of discovery in the platform's file.
pub(crate) const DISCOVERY_VARIABLE: &str = "RELAY_DISCOVERY";
