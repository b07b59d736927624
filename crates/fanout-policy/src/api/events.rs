//! Inputs of the policy.

use super::{Endpoint, ListUpdate, Ms, Outcome, Part, PartId, Query, QueryId};

/// An input of the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list was updated.
    EndpointList {
        /// What the entries are.
        update: ListUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A query has arrived.
    Query(Query),
    /// A part of a query has arrived.
    Part(Part),
    /// An attempt has ended.
    AttemptEnded {
        /// The part.
        part: PartId,
        /// Index of the attempt among those of its part, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Ms,
        /// Number of requests that the server reported as waiting or in execution, if
        /// it did. The report may be late or wrong.
        load: Option<f64>,
    },
    /// The client has disconnected; the query needs no answer.
    ClientDisconnected(QueryId),
    /// Another aggregator has sent a gossip message.
    Gossip {
        /// Index of the sender, from 0.
        from: usize,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The timer set by [`Action::SetTimer`](super::Action::SetTimer) has fired.
    TimerFired,
}
