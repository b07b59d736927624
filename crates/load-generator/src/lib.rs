//! Clients of a broker over both versions of HTTP, and load in an open loop.
//!
//! [`LoadQuery`] is a query as a client words it, [`Http1Client`] and [`Http2Client`] are connections that carry it, and [`open_loop`]
//! sends at a rate whatever comes back: latency is counted from when a query was due, so that a broker that stands
//! still is charged for every query that it held up (what is left out otherwise is known as coordinated omission).

mod direct;
mod http1;
mod http2;
mod open_loop;
mod query;
pub mod raw_http2;

pub use http1::Http1Client;
pub use http2::{Http2Client, Http2Stream};
pub use open_loop::{LoadProfile, LoadReport, Target, open_loop};
pub use query::{LoadQuery, QUERY_TEXT, QueryOutcome, ShardValue};
