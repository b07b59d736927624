//! Endpoints, and the events that the tests hand to an aggregator.

use super::actions::SentAttempt;
use fanout_policy::api::{
    Endpoint, Event, ListUpdate, Ms, NodeId, Outcome, PartId, QueryId, ServingState,
};

/// The identifier of a query.
pub fn query_id(name: &str) -> QueryId {
    QueryId(name.into())
}

/// The identifier of a part.
pub fn part_id(name: &str) -> PartId {
    PartId(name.into())
}

/// A server that has long been running.
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

/// A server that has started at this time.
pub fn started_endpoint(name: &str, cell: usize, started: Ms) -> Endpoint {
    Endpoint {
        started: Some(started),
        ..endpoint(name, cell)
    }
}

/// An update of the endpoint list.
pub fn list_event(update: ListUpdate, endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList { update, endpoints }
}

/// The end of an attempt, without a load report.
pub fn attempt_ended(part: &str, attempt: u32, outcome: Outcome, elapsed: Ms) -> Event {
    Event::AttemptEnded {
        part: part_id(part),
        attempt,
        outcome,
        elapsed,
        load: None,
    }
}

/// The end of attempts with the same outcome; `attempt` is the index of each among those of its
/// part.
pub fn all_ended(
    attempts: &[SentAttempt],
    attempt: u32,
    outcome: Outcome,
    elapsed: Ms,
) -> Vec<Event> {
    let end = |sent: &SentAttempt| attempt_ended(&sent.part, attempt, outcome, elapsed);
    attempts.iter().map(end).collect()
}

/// The end of attempts that were all served; `attempt` is the index of each among those of its
/// part.
pub fn served(attempts: &[SentAttempt], attempt: u32, elapsed: Ms) -> Vec<Event> {
    all_ended(attempts, attempt, Outcome::Served, elapsed)
}
