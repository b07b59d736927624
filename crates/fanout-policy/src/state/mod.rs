//! Plain state of an aggregator: records, indexes, moving averages and windows. Nothing here
//! decides or is tuned.

mod average;
mod class;
mod fleet;
mod gossip_codec;
mod query;
mod query_table;
mod random;
mod replica_rows;
mod server;
mod server_records;
mod sliding_window;

pub(crate) use average::{decay, smooth};
pub(crate) use class::ClassState;
pub(crate) use fleet::Fleet;
pub(crate) use gossip_codec::{GossipEntry, GossipStatus, ShortName};
pub(crate) use query::{
    Attempt, Candidate, InFlightAttempt, InFlightQuery, PartForecast, PartState, QueryForecast,
    StepProgress, got_no_response,
};
pub(crate) use query_table::QueryTable;
pub(crate) use random::RandomSource;
pub(crate) use replica_rows::{ReplicaRows, ServingServer};
pub(crate) use server::{PeerLoadReport, Server};
pub(crate) use server_records::{ServerIndex, ServerRecords};
pub(crate) use sliding_window::SlidingWindow;

/// Milliseconds in a second.
pub(crate) const MS_PER_SECOND: f64 = 1000.0;
