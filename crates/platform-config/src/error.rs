//! Errors of a configuration.

use std::io;
use thiserror::Error;
use wire_fields::FieldError;

/// Why a configuration cannot be used. Printed, it is one line that names the faulty key.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment variable with the path of the file is not set.
    #[error("RELAY_CONFIG is not set")]
    NotSet,
    /// The file cannot be read.
    #[error("RELAY_CONFIG: {path} cannot be read: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("RELAY_CONFIG: {path} is not JSON: {source}")]
    NotJson {
        /// Path of the file.
        path: String,
        /// Where and why parsing stopped.
        source: serde_json::Error,
    },
    /// The file holds a JSON value that is not an object.
    #[error("RELAY_CONFIG: it is not an object")]
    NotAnObject,
    /// A field is missing or has a wrong type.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The seed of the random number generator is not a hexadecimal number.
    #[error("RELAY_CONFIG: field seed is not 16 hex digits")]
    InvalidSeed,
    /// A socket address is malformed.
    #[error("{variable} (field {field}): {text:?} is not an address with a port")]
    InvalidAddress {
        /// The environment variable that sets the address.
        variable: &'static str,
        /// The field that sets the address where the variable is not set.
        field: &'static str,
        /// The malformed address.
        text: String,
    },
    /// There is no class, or one without a name.
    #[error("settings: field Services is empty or holds a class without a name")]
    UnnamedClass,
    /// A class asks for a second step.
    #[error(
        "settings: field FamilyInfo asks for a second step (FetchParts), which the protocol cannot carry"
    )]
    SecondStep,
    /// A number is out of its bounds.
    #[error("{object}: field {field} is out of bounds")]
    OutOfBounds {
        /// Name of the object with the field.
        object: &'static str,
        /// Name of the field.
        field: &'static str,
    },
    /// A resource limit leaves too little to serve with.
    #[error("limits: field {field} is too small to serve with")]
    LimitTooSmall {
        /// Name of the limit.
        field: &'static str,
    },
    /// The cached endpoint list is malformed.
    #[error("RELAY_CONFIG: field known: {source}")]
    InvalidEndpointList {
        /// What is wrong with it.
        source: serde_json::Error,
    },
}
