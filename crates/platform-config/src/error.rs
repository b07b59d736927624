//! Errors of the platform's configuration.

use std::io;
use thiserror::Error;
use wire_fields::FieldError;

/// Reason why a configuration cannot be used. Its text is one line that names the invalid field or
/// environment variable.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment variable with the path of the file is not set.
    #[error("RELAY_CONFIG is not set; expected the path of the configuration file")]
    NotSet,
    /// The file cannot be read.
    #[error("RELAY_CONFIG: {path} cannot be read: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("RELAY_CONFIG: {path} is not JSON: {source}")]
    NotJson {
        /// Path of the file.
        path: String,
        /// Position in the file and reason of the syntax error.
        source: serde_json::Error,
    },
    /// The file contains a JSON value that is not an object.
    #[error("RELAY_CONFIG: expected a JSON object, found another JSON value")]
    NotAnObject,
    /// A field is missing or has a wrong type.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The seed of the random number generator is not a hexadecimal number of at most 64 bits.
    #[error("RELAY_CONFIG: field seed: {text:?} is not a hexadecimal number of at most 64 bits")]
    InvalidSeed {
        /// The malformed seed.
        text: String,
    },
    /// A socket address is malformed.
    #[error(
        "{variable} (field {field}): {text:?} is not an IP address with a port, such as 127.0.0.1:8080"
    )]
    InvalidAddress {
        /// Environment variable that overrides the field.
        variable: &'static str,
        /// Field of the file, which is used if the variable is not set.
        field: &'static str,
        /// The malformed address.
        text: String,
    },
    /// There is no class, or a class has no name.
    #[error("settings: field Services is empty or contains a class without a name")]
    UnnamedClass,
    /// A class has a second step, in which further parts are requested after the first answer: its
    /// entry in `FetchParts` is greater than 0. The protocol does not support this.
    #[error(
        "settings: field FamilyInfo requests a second step (FetchParts), which the protocol does not support"
    )]
    SecondStep,
    /// A number is out of bounds.
    #[error("{object}: field {field} is {found}, expected {expected}")]
    OutOfBounds {
        /// Name of the object with the field.
        object: &'static str,
        /// Name of the field.
        field: &'static str,
        /// Number in the field.
        found: String,
        /// Description of the bounds.
        expected: String,
    },
    /// A resource limit is so small that the broker cannot serve.
    #[error("limits: field {field} is {found}, expected at least {min}")]
    LimitTooSmall {
        /// Name of the limit.
        field: &'static str,
        /// Number in the field.
        found: u64,
        /// Minimum number in the field.
        min: u64,
    },
    /// The endpoint list in the file is malformed.
    #[error("RELAY_CONFIG: field known: {source}")]
    InvalidEndpointList {
        /// Why the list cannot be decoded.
        source: serde_json::Error,
    },
}
