//! Checks of the site settings that decoding does not make: the broker cannot serve with settings
//! that fail them.

use crate::ConfigError;
use fanout_policy::settings::SiteSettings;
use std::ops::RangeInclusive;

/// Bounds of the number of cells, the number of shards and the number of parts in a call.
const LAYOUT_BOUNDS: RangeInclusive<usize> = 1..=1_000_000;
/// Maximum tick interval, in milliseconds.
const MAX_TICK_MS: f64 = 1000.0;

/// Checks the classes, the data layout and the tick interval of `site`. Returns the first error.
pub(crate) fn check_site(site: &SiteSettings) -> Result<(), ConfigError> {
    check_classes(site)?;
    check_layout(site)?;
    check_tick(site)
}

/// Checks that there is a class, that every class has a name, and that no class has a second step,
/// in which further parts are requested after the first answer. The HTTP protocol between clients
/// and the broker does not support this: each query has one final response.
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
        Err(ConfigError::OutOfBounds {
            object: "FamilyInfo",
            field,
            found: number.to_string(),
            expected: format!(
                "a number from {} to {}",
                LAYOUT_BOUNDS.start(),
                LAYOUT_BOUNDS.end()
            ),
        })
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
            found: tick.to_string(),
            expected: format!("more than 0 and at most {MAX_TICK_MS} milliseconds"),
        })
    }
}
