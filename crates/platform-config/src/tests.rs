//! Tests of the configuration's checks, defaults and errors.

mod errors;
mod fields;
mod fixture;
mod overrides_and_defaults;
