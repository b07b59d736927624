//! Tests of the HTTP/2 listener of the real program, against a fleet of test doubles on loopback.
//! Tests wait for events, with time limits that are far longer than a slow machine needs.

mod arbitrary_frames;
mod fault_injection;
mod fixture;
mod floods;
mod graceful_shutdown;
mod idempotency_keys;
mod malformed_requests;
mod operator_reload;
mod requests;
mod streams;
