//! The plain values that the packages of the broker share. Nothing here does I/O, reads a clock or
//! makes decisions.
//!
//! [`time`] tells points in time from time spans; [`query`] holds what a client requests, its parts
//! and attempts, and the final response; [`server`] holds the list of data servers as discovery
//! sends it and as the policy takes it; [`limits`] bounds the connections to data servers.

pub mod limits;
pub mod query;
pub mod server;
pub mod time;
