//! Errors of broker processes.

use std::collections::VecDeque;
use std::io;
use std::process::ExitStatus;

/// Why a broker process could not be started, watched or stopped.
#[derive(Debug, thiserror::Error)]
pub enum BrokerProcessError {
    /// The log does not hold the expected words in time.
    #[error("the log has no line with {words:?}; its lines are {seen:?}")]
    LogLineMissing {
        /// The expected words.
        words: String,
        /// All lines until then.
        seen: VecDeque<String>,
    },
    /// A log line does not hold the address of a listener.
    #[error("log line without the address of a listener: {0}")]
    AddressMissing(String),
    /// The signal could not be sent.
    #[error("the command kill failed with {0}")]
    SignalNotSent(ExitStatus),
    /// The process does not end in time.
    #[error("the process did not exit in time")]
    StillRunning,
    /// The system refused an operation on the process or its files.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<BrokerProcessError> for io::Error {
    fn from(error: BrokerProcessError) -> Self {
        match error {
            BrokerProcessError::Io(error) => error,
            other => io::Error::other(other),
        }
    }
}
