//! What can be wrong with a line of a script.

use thiserror::Error;

/// What is wrong with a line.
#[derive(Debug, Error, PartialEq)]
pub(crate) enum Problem {
    #[error("no step is worded like this: {0}")]
    UnknownStep(String),
    #[error("expected {expected}, found {found:?}")]
    Malformed {
        expected: &'static str,
        found: String,
    },
    #[error("a setting behind the first step has no effect")]
    SettingAfterStep,
    #[error("there are {servers} data servers, and no s{server}")]
    UnknownServer { server: usize, servers: usize },
}

impl Problem {
    pub(super) fn malformed(expected: &'static str, found: &str) -> Self {
        Problem::Malformed {
            expected,
            found: found.to_owned(),
        }
    }
}
