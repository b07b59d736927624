//! Runs the adapter's program with hand-written input and checks its output and errors.

mod batches;
mod gossip;
mod invalid_input;
mod load_reports;
mod message_fields;
mod script;
