//! The errors that a line of a script can have.

use thiserror::Error;

/// The reason why a line of a script is rejected.
#[derive(Debug, Error, PartialEq)]
pub(crate) enum LineError {
    /// The line is neither a setting nor a step.
    #[error("expected a setting or a step, found {0:?}")]
    UnknownStep(String),
    /// An argument cannot be parsed.
    #[error("expected {expected}, found {found:?}")]
    Malformed {
        expected: &'static str,
        found: String,
    },
    /// A setting follows a step. The program is started with all settings before the first step is
    /// run.
    #[error("expected all settings before the first step, found a setting after it")]
    SettingAfterStep,
    /// A step names a data server that the script does not have.
    #[error("s{server} does not exist: the script has {servers} data servers, numbered from s0")]
    UnknownServer { server: usize, servers: usize },
}

impl LineError {
    /// Creates the error for an argument that cannot be parsed.
    pub(super) fn malformed(expected: &'static str, found: &str) -> Self {
        LineError::Malformed {
            expected,
            found: found.to_owned(),
        }
    }
}
