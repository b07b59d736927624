//! Events: the inputs of the policy.

use super::{Endpoint, ListUpdate, Ms, Outcome, Part, PartId, Query, QueryId};

/// An input of the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list has arrived, or the updates have failed, see [`ListUpdate`].
    EndpointList {
        /// Kind of the update.
        update: ListUpdate,
        /// Entries of the update.
        endpoints: Vec<Endpoint>,
    },
    /// A query has arrived.
    Query(Query),
    /// A part of a query has arrived. If no query of its group is in flight, the part is ignored,
    /// except that it counts as an accepted request for the retry budget.
    Part(Part),
    /// An attempt has ended.
    AttemptEnded {
        /// Identifier of the part.
        part: PartId,
        /// Index of the attempt among those of its part, from 0.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time from the sending of the attempt to its end.
        elapsed: Ms,
        /// Number of requests that the server reported as waiting or running; `None` without a
        /// report. The report may be out of date or wrong.
        load: Option<f64>,
    },
    /// The client of this query has disconnected, so the query needs no answer.
    ClientDisconnected(QueryId),
    /// Another aggregator has sent a gossip message.
    Gossip {
        /// Index of the sending aggregator, from 0.
        from: usize,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// The timer set by [`Action::SetTimer`](super::Action::SetTimer) has fired.
    TimerFired,
}
