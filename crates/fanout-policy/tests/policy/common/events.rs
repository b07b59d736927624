//! Builders of identifiers, of entries of the endpoint list, and of events.

use super::actions::SentAttempt;
use fanout_policy::api::{
    Endpoint, Event, ListUpdate, Ms, NodeId, Outcome, PartId, QueryId, ServingState,
};

/// Creates a query's identifier.
pub fn query_id(name: &str) -> QueryId {
    QueryId(name.into())
}

/// Creates a part's identifier.
pub fn part_id(name: &str) -> PartId {
    PartId(name.into())
}

/// Creates the endpoint list entry of a serving server that started so long ago that it has warmed
/// up, and that has no zone.
pub fn endpoint(name: &str, cell: usize) -> Endpoint {
    let node = NodeId(name.into());
    Endpoint {
        node,
        cell,
        state: ServingState::Serving,
        zone: None,
        started: None,
    }
}

/// Creates the endpoint list entry of a serving server whose process started at the time `started`.
pub fn started_endpoint(name: &str, cell: usize, started: Ms) -> Endpoint {
    Endpoint {
        started: Some(started),
        ..endpoint(name, cell)
    }
}

/// Creates the event of an endpoint list update.
pub fn list_event(update: ListUpdate, endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList { update, endpoints }
}

/// Creates the event that an attempt has ended, `elapsed` milliseconds after it was sent and
/// without a load report of the server. `attempt` is the attempt's index among those of its part,
/// from 0.
pub fn attempt_ended(part: &str, attempt: u32, outcome: Outcome, elapsed: Ms) -> Event {
    Event::AttemptEnded {
        part: part_id(part),
        attempt,
        outcome,
        elapsed,
        load: None,
    }
}

/// Creates one event for each of the attempts, all of which end with the same outcome. `attempt` is
/// the index that each of them has among the attempts of its part.
pub fn all_ended(
    attempts: &[SentAttempt],
    attempt: u32,
    outcome: Outcome,
    elapsed: Ms,
) -> Vec<Event> {
    let end = |sent: &SentAttempt| attempt_ended(&sent.part, attempt, outcome, elapsed);
    attempts.iter().map(end).collect()
}

/// Creates one event for each of the attempts, all of which are served. `attempt` is the index that
/// each of them has among the attempts of its part.
pub fn served(attempts: &[SentAttempt], attempt: u32, elapsed: Ms) -> Vec<Event> {
    all_ended(attempts, attempt, Outcome::Served, elapsed)
}
