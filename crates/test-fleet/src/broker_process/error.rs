//! Errors of broker processes.

use std::collections::VecDeque;
use std::io;
use std::process::ExitStatus;
use std::time::Duration;

/// Reason why an operation on a broker process failed.
#[derive(Debug, thiserror::Error)]
pub enum BrokerProcessError {
    /// The log ended, or the timeout passed, without an expected line.
    #[error(
        "expected a line with {expected} in the broker's log, before its end and within \
         {timeout:?}; its lines are {lines:?}"
    )]
    LogLineMissing {
        /// Quoted texts, one of which the line must contain.
        expected: String,
        /// Maximum wait for the line.
        timeout: Duration,
        /// All lines of the log.
        lines: VecDeque<String>,
    },
    /// A log line does not contain the address of a listener.
    #[error("expected `listen=` with a socket address in the broker's log line {0:?}")]
    AddressMissing(String),
    /// The signal could not be sent.
    #[error(
        "could not send signal {signal} to broker process {process_id}: kill ended with {status}"
    )]
    SignalNotSent {
        /// Name of the signal.
        signal: String,
        /// Id of the broker process.
        process_id: u32,
        /// Exit status of the shell that ran `kill`.
        status: ExitStatus,
    },
    /// The process did not exit in time.
    #[error("broker process {process_id} is still running after a wait of {waited:?}")]
    StillRunning {
        /// Id of the broker process.
        process_id: u32,
        /// Time for which its exit was awaited.
        waited: Duration,
    },
    /// An operation of the system on the process or its files failed.
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
