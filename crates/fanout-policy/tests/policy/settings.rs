//! Tests of [`fanout_policy::settings::decode`], which decodes the settings object that the broker
//! receives as JSON.

mod decoded_values;
mod fixture;
mod malformed_objects;
mod missing_fields;
mod wrong_types;
