//! The launch of an instance, and the reference to it in other messages.

use fanout_policy::settings::{SettingsWire, SiteSettings};
use serde::Deserialize;
use wire_fields::{FieldError, object, whole_number};

/// The instance that a message is for.
#[derive(Debug, Deserialize)]
pub(crate) struct InstanceWire {
    #[serde(rename = "I", deserialize_with = "whole_number")]
    instance: u64,
}

impl From<InstanceWire> for u64 {
    fn from(wire: InstanceWire) -> Self {
        wire.instance
    }
}

/// The launch of an instance.
#[derive(Debug, Deserialize)]
pub(crate) struct LaunchWire {
    #[serde(rename = "Env", deserialize_with = "object")]
    settings: SettingsWire,
    #[serde(rename = "RngSeed", deserialize_with = "whole_number")]
    seed: u64,
}

impl LaunchWire {
    /// The seed of the instance's random number generator.
    pub(crate) fn seed(&self) -> u64 {
        self.seed
    }

    /// The settings of the instance.
    pub(crate) fn site_settings(self) -> Result<SiteSettings, FieldError> {
        self.settings.try_into()
    }
}
