//! Clients of a broker over both versions of HTTP, and load in an open loop.
//!
//! [`LoadQuery`] is a query as a client sends it; [`Http1Client`] and [`Http2Client`] are
//! connections that carry it. [`open_loop`] sends queries at a given rate, however fast they are
//! answered: latency is measured from when a query was due, so that a broker that stalls is charged
//! for every query that it delayed. A closed loop would leave those delays out, which is known as
//! coordinated omission. [`raw_http2`] is a client that can break the rules of HTTP/2.

mod direct;
mod http1;
mod http2;
mod open_loop;
mod query;
pub mod raw_http2;
mod wire;

pub use http1::Http1Client;
pub use http2::{Http2Client, Http2Stream};
pub use open_loop::{LoadProfile, LoadReport, Target, open_loop};
pub use query::{LoadQuery, QUERY_TEXT, QueryOutcome, ShardValue};
