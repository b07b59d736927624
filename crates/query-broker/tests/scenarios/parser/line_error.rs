//! The errors that a line of a script can have.

use thiserror::Error;

/// The reason why a line of a script is rejected.
#[derive(Debug, Error, PartialEq)]
pub(crate) enum LineError {
    /// The line has the form of no step.
    #[error("no step has the form of {0:?}")]
    UnknownStep(String),
    /// An argument cannot be parsed.
    #[error("expected {expected}, found {found:?}")]
    Malformed {
        expected: &'static str,
        found: String,
    },
    /// A setting stands behind a step, when the program has already been started.
    #[error("a setting after the first step has no effect, since the program is already running")]
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
