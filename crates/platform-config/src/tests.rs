//! Tests of the checks, defaults, environment overrides and errors of the platform's configuration.

mod errors;
mod fields;
mod fixture;
mod overrides_and_defaults;
