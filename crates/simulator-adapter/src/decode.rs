//! Decodes messages of the simulator into events of the policy.

use crate::error::MessageError;
use fanout_policy::api::{
    ClassIndex, Endpoint, Event, ListUpdate, NodeId, Outcome, Part, PartId, Query, QueryId,
    ServingState, TenantIndex,
};
use fanout_policy::json::{FieldError, FieldProblem, JsonObject};

/// The entries of an endpoint list.
pub(crate) fn decode_endpoints(message: &JsonObject) -> Result<Vec<Endpoint>, FieldError> {
    let entries = message.objects("MembersList")?;
    entries.iter().map(decode_endpoint).collect()
}

fn decode_endpoint(entry: &JsonObject) -> Result<Endpoint, FieldError> {
    let state = decode_serving_state(entry)?;
    Ok(Endpoint {
        node: NodeId(entry.text("Node")?.into()),
        cell: entry.optional_whole_number("Position")?.unwrap_or(0) as usize,
        state,
        zone: entry.optional_whole_number("Dc")?.map(|zone| zone as usize),
        started: entry
            .optional_number("StartTime")?
            .filter(|time| *time > 0.0),
    })
}

fn decode_serving_state(entry: &JsonObject) -> Result<ServingState, FieldError> {
    match entry.text("Mode")? {
        "in_service" => Ok(ServingState::Serving),
        "terminating" => Ok(ServingState::Draining),
        "terminated" => Ok(ServingState::Removed),
        _ => Err(entry.error("Mode", FieldProblem::UnknownValue)),
    }
}

/// The kind of an endpoint list update.
pub(crate) fn decode_list_update(message: &JsonObject) -> Result<ListUpdate, FieldError> {
    match message.text("Mode")? {
        "diff" => Ok(ListUpdate::Delta),
        "snapshot" => Ok(ListUpdate::Snapshot),
        "disk" => Ok(ListUpdate::Cached),
        "error" => Ok(ListUpdate::Failed),
        _ => Err(message.error("Mode", FieldProblem::UnknownValue)),
    }
}

/// The arrival of a query, or of a part where the message names a shard from 0.
pub(crate) fn decode_order(
    message: &JsonObject,
    class_count: usize,
) -> Result<Event, MessageError> {
    let class = message.whole_number("Service")? as usize;
    if class >= class_count {
        return Err(MessageError::UnknownClass);
    }
    let shard = message.number("Slice")?;
    let group = message.whole_number("GroupNo")?;
    if shard < 0.0 {
        let query = decode_query(message, group, ClassIndex(class))?;
        Ok(Event::Query(query))
    } else {
        let part = decode_part(message, group)?;
        Ok(Event::Part(part))
    }
}

fn decode_query(message: &JsonObject, group: u64, class: ClassIndex) -> Result<Query, FieldError> {
    Ok(Query {
        id: decode_query_id(message)?,
        group,
        class,
        tenant: TenantIndex(message.optional_whole_number("Team")?.unwrap_or(0) as usize),
        client_deadline: message.number("GiveUpAt")?,
        is_retry: message.flag("AgainByClient")?,
    })
}

fn decode_part(message: &JsonObject, group: u64) -> Result<Part, FieldError> {
    Ok(Part {
        id: decode_part_id(message)?,
        group,
        shard: message.whole_number("Slice")? as usize,
        weight: message.number("Measure")?,
        cost_hint: message.optional_number("Effort")?,
    })
}

/// The end of an attempt.
pub(crate) fn decode_attempt_ended(message: &JsonObject) -> Result<Event, FieldError> {
    Ok(Event::AttemptEnded {
        part: decode_part_id(message)?,
        attempt: message.whole_number("Hop")? as u32,
        outcome: decode_outcome(message)?,
        elapsed: message.number("Rtt")?,
        load: decode_server_load(message),
    })
}

fn decode_outcome(message: &JsonObject) -> Result<Outcome, FieldError> {
    match message.text("Rc")? {
        "served" => Ok(Outcome::Served),
        "server_error" => Ok(Outcome::Error),
        "turned_away" => Ok(Outcome::Overloaded),
        "no_answer" => Ok(Outcome::TimedOut),
        "no_connection" => Ok(Outcome::Unreachable),
        "connection_lost" => Ok(Outcome::ConnectionLost),
        "called_off" => Ok(Outcome::Cancelled),
        "not_sent" => Ok(Outcome::NotSent),
        _ => Err(message.error("Rc", FieldProblem::UnknownValue)),
    }
}

/// Requests in flight at a server by its load report, or else those waiting. A malformed report counts as none.
fn decode_server_load(message: &JsonObject) -> Option<f64> {
    let report = message.get("Gauge")?.as_object()?;
    let requests = report.get("rif").or_else(|| report.get("q"))?;
    requests.as_f64().filter(|count| *count >= 0.0)
}

/// A gossip message. One that is not written in pairs of hexadecimal digits is dropped.
pub(crate) fn decode_gossip(message: &JsonObject) -> Result<Option<Event>, FieldError> {
    let Ok(bytes) = hex::decode(message.text("Contents")?) else {
        return Ok(None);
    };
    let from = message.whole_number("Who")? as usize;
    Ok(Some(Event::Gossip { from, bytes }))
}

/// The firing of a timer.
pub(crate) fn decode_timer_fired(message: &JsonObject) -> Result<Event, FieldError> {
    message.whole_number("Ref")?;
    Ok(Event::TimerFired)
}

/// The identifier of a query.
pub(crate) fn decode_query_id(message: &JsonObject) -> Result<QueryId, FieldError> {
    Ok(QueryId(message.text("OpId")?.into()))
}

fn decode_part_id(message: &JsonObject) -> Result<PartId, FieldError> {
    Ok(PartId(message.text("OpId")?.into()))
}
