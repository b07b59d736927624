//! The fields that each message requires, the values that they accept, and the texts of the errors.

mod fixture;
mod malformed_messages;
mod optional_fields;
mod required_fields;
mod values;
