//! Decoding of the settings object.

mod decoded_values;
mod fixture;
mod malformed_objects;
mod missing_fields;
mod wrong_types;
