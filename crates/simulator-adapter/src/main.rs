//! Connects the `fanout-policy` package to a simulator over a line protocol.
//!
//! The simulator writes messages to the adapter's standard input, one JSON object per line, in
//! batches that begin with `Tick` and end with `EofBatch`. Some messages launch or destroy an
//! aggregator (an instance), which has its own settings; there may be any number of instances. Some
//! declare an endpoint list, to which later messages refer. All other messages in a batch are
//! events, each for one instance. After each batch, the adapter passes the events to the
//! aggregators, writes the actions that they return to standard output, one JSON object per line,
//! and finishes with `End`.
//!
//! The adapter only translates between messages and the types of `fanout-policy`; all decisions are
//! the aggregators'. At the first invalid line, it writes one error line to standard error and
//! exits with a failure status.

mod decode;
mod error;
mod instances;
mod message;
mod session;
mod wire;

use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let output = BufWriter::new(io::stdout().lock());
    match session::run(io::stdin().lock(), output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
