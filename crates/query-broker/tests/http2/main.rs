//! The HTTP/2 listener of the real program, against a fleet on loopback. Waits are for events, with
//! bounds far beyond what a slow machine needs.

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
