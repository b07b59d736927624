//! Errors that end the benchmark.

use std::io;
use test_fleet::BrokerProcessError;
use thiserror::Error;

/// The reason why a measurement failed.
#[derive(Debug, Error)]
pub(super) enum BenchError {
    /// The fleet could not be started, a client's connection failed, or the figures could not be
    /// printed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The broker's process could not be started, or its resource usage could not be read.
    #[error(transparent)]
    Broker(#[from] BrokerProcessError),
    /// The measurement needs the HTTP/2 listener, and the broker has none.
    #[error(
        "the measurement needs the HTTP/2 listener, which the broker has not started; use --http1-only"
    )]
    NoHttp2Listener,
    /// The thread that sends a flood panicked.
    #[error("the thread that sends the flood panicked")]
    AttackerPanicked,
}
