//! Which fields of messages are needed, which values they may have, and the texts of the errors.

mod fixture;
mod malformed_messages;
mod optional_fields;
mod required_fields;
mod values;
