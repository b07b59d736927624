//! Runs the decisions of `fanout-policy` on the simulator's line protocol.
//!
//! The simulator writes one JSON object a line to standard input, in batches that begin with `Tick`
//! and end with `EofBatch`. After each batch the adapter writes the actions of all instances to
//! standard output, one JSON object a line, followed by `End`. The adapter makes no decision of its
//! own.

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
