//! Converts messages from the simulator into events of `fanout-policy`.

use crate::error::MessageError;
use crate::message::Message;
use crate::wire::{
    ArrivalWire, AttemptEndedWire, ClientDisconnectedWire, GossipContentsWire, GossipSenderWire,
    ListReferenceWire, ListUpdateWire, MessageKind, PartWire, QueryWire, TimerFiredWire,
};
use fanout_policy::api::{Endpoint, Event, ListUpdate};
use std::collections::BTreeMap;
use wire_fields::FieldError;

/// The endpoint lists that the simulator has declared, by slot number.
pub(crate) type EndpointLists = BTreeMap<u64, Vec<Endpoint>>;

/// Converts a message into an event for its instance. Returns `None` for messages that need no
/// action: those about features that the adapter does not use (streamed answers, load probes), and
/// gossip whose contents are not hexadecimal. `class_count` is the number of classes in the
/// instance's settings. Fails if the message is neither an event nor one of those, has an
/// invalid field, or refers to a class or an endpoint list that does not exist.
pub(crate) fn decode_event(
    message: &Message,
    class_count: usize,
    endpoint_lists: &EndpointLists,
) -> Result<Option<Event>, MessageError> {
    match message.kind() {
        Some(MessageKind::ListUpdate) => decode_list_update(message, endpoint_lists).map(Some),
        Some(MessageKind::Arrival) => decode_arrival(message, class_count).map(Some),
        Some(MessageKind::AttemptEnded) => {
            let ended: AttemptEndedWire = message.decode()?;
            Ok(Some(ended.into()))
        }
        Some(MessageKind::ClientDisconnected) => {
            let disconnected: ClientDisconnectedWire = message.decode()?;
            Ok(Some(disconnected.into()))
        }
        Some(MessageKind::TimerFired) => {
            let fired: TimerFiredWire = message.decode()?;
            Ok(Some(fired.into()))
        }
        Some(MessageKind::Gossip) => Ok(decode_gossip(message)?),
        Some(MessageKind::StreamStarted | MessageKind::ProbeAnswered) => Ok(None),
        // The callers process all other known kinds of messages themselves, so only a message of an
        // unknown type gets here.
        _ => Err(MessageError::UnknownMessage {
            message: message.type_name(),
        }),
    }
}

/// Decodes an update of the instance's endpoint list. The message holds only the slot number of the
/// entries, which an earlier message has declared. A failed update has no entries and no slot.
fn decode_list_update(
    message: &Message,
    endpoint_lists: &EndpointLists,
) -> Result<Event, MessageError> {
    let update: ListUpdate = message.decode::<ListUpdateWire>()?.into();
    let endpoints = if update == ListUpdate::Failed {
        Vec::new()
    } else {
        let slot: u64 = message.decode::<ListReferenceWire>()?.into();
        let endpoints = endpoint_lists.get(&slot);
        endpoints.ok_or(MessageError::UnknownEndpointList)?.clone()
    };
    Ok(Event::EndpointList { update, endpoints })
}

/// Decodes the arrival of a query or of a part. Both use the same message type. Fails if the class
/// does not exist.
fn decode_arrival(message: &Message, class_count: usize) -> Result<Event, MessageError> {
    let arrival: ArrivalWire = message.decode()?;
    if arrival.class().0 >= class_count {
        return Err(MessageError::UnknownClass);
    }
    if arrival.is_query() {
        let query: QueryWire = message.decode()?;
        Ok(Event::Query(query.query(&arrival)))
    } else {
        let part: PartWire = message.decode()?;
        Ok(Event::Part(part.part(&arrival)))
    }
}

/// Decodes a gossip message. Returns `None` if the contents are not pairs of hexadecimal digits.
/// The sender is not decoded in that case, so a missing or invalid sender is not an error then.
fn decode_gossip(message: &Message) -> Result<Option<Event>, FieldError> {
    let contents: GossipContentsWire = message.decode()?;
    let Some(bytes) = contents.bytes() else {
        return Ok(None);
    };
    let from = message.decode::<GossipSenderWire>()?.into();
    Ok(Some(Event::Gossip { from, bytes }))
}
