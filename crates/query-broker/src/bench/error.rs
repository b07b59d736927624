//! Errors of the benchmark.

use std::io;
use test_fleet::BrokerProcessError;
use thiserror::Error;

/// A measurement that could not be made.
#[derive(Debug, Error)]
pub(super) enum BenchError {
    /// The fleet, a client or the output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The broker's process failed.
    #[error(transparent)]
    Broker(#[from] BrokerProcessError),
    /// The broker was started without a listener that the measurement needs.
    #[error("the broker does not listen for HTTP/2")]
    NoHttp2Listener,
    /// The thread that sends a flood panicked.
    #[error("the attacker thread panicked")]
    AttackerPanicked,
}
