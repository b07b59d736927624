//! Plain data types that the packages of the broker share. Nothing here does I/O, reads a clock or
//! makes decisions.
//!
//! - [`time`]: points in time, as a type that differs from that of durations;
//! - [`query`]: queries as clients request them, their parts and attempts, and the final response;
//! - [`server`]: the list of data servers, as discovery sends it and in the form that the policy
//!   engine takes;
//! - [`limits`]: limits of the connections to data servers.

pub mod limits;
pub mod query;
pub mod server;
pub mod time;
