//! Tests of the adapter with hand-written input.

mod batches;
mod gossip;
mod invalid_input;
mod load_reports;
mod message_fields;
mod script;
