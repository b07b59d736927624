//! Reads and checks the fields of the configuration file.

use crate::ConfigError;
use broker_types::server::EndpointList;
use fanout_policy::json::{FieldProblem, JsonObject};
use fanout_policy::settings::{self, SiteSettings};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Bounds of the numbers that describe how data is laid out.
const LAYOUT_BOUNDS: RangeInclusive<usize> = 1..=1_000_000;
/// Longest time between two batches, in milliseconds.
const MAX_TICK_MS: f64 = 1000.0;

/// The configuration file, with the environment variables that override some of its fields.
pub(crate) struct Document<'a, E> {
    pub(crate) root: JsonObject<'a>,
    pub(crate) environment: E,
}

impl<E: Fn(&str) -> Option<String>> Document<'_, E> {
    /// A string from an environment variable, or from a field where the variable is not set.
    pub(crate) fn text(&self, variable: &str, field: &str) -> Result<String, ConfigError> {
        match (self.environment)(variable) {
            Some(text) => Ok(text),
            None => Ok(self.root.text(field)?.to_owned()),
        }
    }

    /// A socket address from an environment variable, or from a field where the variable is not set.
    pub(crate) fn address(
        &self,
        variable: &'static str,
        field: &'static str,
    ) -> Result<SocketAddr, ConfigError> {
        let text = self.text(variable, field)?;
        text.parse().map_err(|_| ConfigError::InvalidAddress {
            variable,
            field,
            text,
        })
    }

    /// The seed of the random number generator.
    pub(crate) fn seed(&self) -> Result<u64, ConfigError> {
        let digits = self.root.text("seed")?;
        u64::from_str_radix(digits, 16).map_err(|_| ConfigError::InvalidSeed)
    }

    /// The settings of the site, if the broker can serve with them.
    pub(crate) fn site_settings(&self) -> Result<SiteSettings, ConfigError> {
        let site = settings::decode("settings", self.root.object("settings")?.fields())?;
        check_classes(&site)?;
        check_layout(&site)?;
        check_tick(&site)?;
        Ok(site)
    }

    /// The endpoint list that was last received.
    pub(crate) fn cached_endpoints(&self) -> Result<EndpointList, ConfigError> {
        let field = "known";
        let Some(list) = self.root.get(field) else {
            return Err(self.root.error(field, FieldProblem::Missing).into());
        };
        serde_json::from_value(list.clone())
            .map_err(|source| ConfigError::InvalidEndpointList { source })
    }
}

fn check_classes(site: &SiteSettings) -> Result<(), ConfigError> {
    if site.class_names.is_empty() || site.class_names.iter().any(String::is_empty) {
        return Err(ConfigError::UnnamedClass);
    }
    if site.settings.classes.iter().any(|c| c.has_second_step) {
        return Err(ConfigError::SecondStep);
    }
    Ok(())
}

fn check_layout(site: &SiteSettings) -> Result<(), ConfigError> {
    check_layout_number("Positions", site.settings.cells)?;
    check_layout_number("Shards", site.settings.shards)?;
    check_layout_number("Batch", site.settings.max_parts_per_call)
}

fn check_layout_number(field: &'static str, number: usize) -> Result<(), ConfigError> {
    if LAYOUT_BOUNDS.contains(&number) {
        Ok(())
    } else {
        let object = "FamilyInfo";
        Err(ConfigError::OutOfBounds { object, field })
    }
}

fn check_tick(site: &SiteSettings) -> Result<(), ConfigError> {
    let tick = site.settings.tick;
    if tick > 0.0 && tick <= MAX_TICK_MS {
        Ok(())
    } else {
        Err(ConfigError::OutOfBounds {
            object: "settings",
            field: "Tick",
        })
    }
}
