//! Clients of a broker over HTTP/1.1 and HTTP/2, and an open-loop load generator.
//!
//! [`LoadQuery`] is a query of a client. [`Http1Client`] and [`Http2Client`] send it over a
//! connection, and [`QueryOutcome`] is the result.
//!
//! [`open_loop`] sends queries at a given rate that does not depend on how fast they are answered.
//! It measures the latency of a query from the time at which the query was due. If the broker
//! stalls, the latency of each query that was due during the stall therefore includes the delay. A
//! closed loop, which sends the next query only after an answer, would leave these delays out
//! (coordinated omission).
//!
//! [`BadClients`] send requests that are costly for the broker beside the load.
//!
//! [`raw_http2`] is a client for tests that can break the rules of HTTP/2.

mod bad_clients;
mod direct;
mod http1;
mod http2;
mod open_loop;
mod query;
pub mod raw_http2;
mod wire;

pub use bad_clients::{BadClients, BadClientsPlan, BadConnections, BadRequest};
pub use http1::Http1Client;
pub use http2::{Http2Client, Http2Stream};
pub use open_loop::{LoadProfile, LoadReport, Target, open_loop};
pub use query::{LoadQuery, QUERY_TEXT, QueryOutcome, ShardValue};
