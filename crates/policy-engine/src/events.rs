//! Translation of the engine's inputs into the policy's events.
//!
//! The events of a query and of its parts have the same group number, by which the policy assigns
//! the parts to the query. The group number is the number of the query.
//!
//! The policy represents points in time and durations as floating-point milliseconds. Only
//! [`from_micros`] converts whole microseconds to this representation.

use crate::commands::{AttemptReport, QuerySpec};
use crate::names::{policy_part_id, policy_query_id};
use broker_types::query::{PartIndex, PartSpec, QueryId};
use broker_types::server::{ListScope, ServerInfo};
use broker_types::time::{Timestamp, whole_micros};
use fanout_policy::api::{Endpoint, Event, ListUpdate, Ms, Part, Query};
use std::time::Duration;

/// Microseconds in a millisecond.
const MICROS_PER_MILLISECOND: f64 = 1000.0;

/// Converts a point in time to the policy's representation.
pub(crate) fn to_policy_time(at: Timestamp) -> Ms {
    from_micros(at.as_micros() as f64)
}

/// Converts a duration to the policy's representation.
fn to_policy_duration(span: Duration) -> Ms {
    from_micros(whole_micros(span) as f64)
}

fn from_micros(micros: f64) -> Ms {
    micros / MICROS_PER_MILLISECOND
}

/// Returns the event for an update of the endpoint list.
pub(crate) fn endpoints_event(scope: ListScope, servers: Vec<ServerInfo>) -> Event {
    let update = match scope {
        ListScope::Cached => ListUpdate::Cached,
        ListScope::Snapshot => ListUpdate::Snapshot,
        ListScope::Delta => ListUpdate::Delta,
    };
    Event::EndpointList {
        update,
        endpoints: servers.into_iter().map(endpoint).collect(),
    }
}

fn endpoint(server: ServerInfo) -> Endpoint {
    Endpoint {
        node: server.name,
        cell: server.cell,
        state: server.state,
        zone: server.zone,
        started: server
            .started_at
            .map(|at| from_micros(at.as_micros() as f64)),
    }
}

/// Returns the event for an attempt that has ended.
pub(crate) fn attempt_ended_event(report: AttemptReport) -> Event {
    Event::AttemptEnded {
        part: policy_part_id(report.attempt.query, report.attempt.part),
        attempt: report.attempt.attempt,
        outcome: report.outcome,
        elapsed: to_policy_duration(report.elapsed),
        load: report.load,
    }
}

/// Returns the events for a query that the policy receives at `now`: one for the query itself,
/// followed by one for each part.
pub(crate) fn query_events(now: Timestamp, query: &QuerySpec) -> impl Iterator<Item = Event> {
    let parts = query.parts.iter().enumerate();
    let parts = parts.map(|(index, part)| part_event(query.id, PartIndex(index), part));
    std::iter::once(query_event(now, query)).chain(parts)
}

fn query_event(now: Timestamp, query: &QuerySpec) -> Event {
    Event::Query(Query {
        id: policy_query_id(query.id),
        group: query.id.0,
        class: query.class,
        tenant: query.tenant,
        client_deadline: to_policy_time(query.deadline),
        waited: to_policy_duration(now.saturating_since(query.arrived_at)),
        is_retry: query.is_retry,
    })
}

fn part_event(query: QueryId, index: PartIndex, part: &PartSpec) -> Event {
    Event::Part(Part {
        id: policy_part_id(query, index),
        group: query.0,
        shard: part.shard,
        weight: part.weight,
        cost_hint: part.work_hint.map(to_policy_duration),
    })
}
