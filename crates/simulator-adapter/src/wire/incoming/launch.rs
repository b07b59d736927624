//! The launch of an instance, and the reference to it in other messages.

use fanout_policy::settings::{SettingsWire, SiteSettings};
use serde::Deserialize;
use wire_fields::{FieldError, object, whole_number};

/// The number of the instance that a message is for.
#[derive(Debug, Deserialize)]
pub(crate) struct InstanceNumberWire {
    #[serde(rename = "I", deserialize_with = "whole_number")]
    instance: u64,
}

impl From<InstanceNumberWire> for u64 {
    fn from(wire: InstanceNumberWire) -> Self {
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
    /// Returns the seed of the instance's random number generator.
    pub(crate) fn seed(&self) -> u64 {
        self.seed
    }

    /// Returns the settings of the instance. Some fields are checked only here, because it depends
    /// on other fields whether they are required or used at all. Fails if such a field is required
    /// and missing, or is used and has a wrong type, or if a list in `FamilyInfo` has no entry for
    /// a class.
    pub(crate) fn site_settings(self) -> Result<SiteSettings, FieldError> {
        self.settings.try_into()
    }
}
