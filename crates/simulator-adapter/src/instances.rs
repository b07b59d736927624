//! The aggregators that the simulator has launched, and the endpoint lists that it has declared.

use crate::decode;
use crate::encode::encode_action;
use crate::error::MessageError;
use fanout_policy::Aggregator;
use fanout_policy::api::{Endpoint, Event, ListUpdate, Ms};
use fanout_policy::json::JsonObject;
use fanout_policy::settings;
use std::collections::BTreeMap;
use std::io::{self, Write};

/// An aggregator.
struct Instance {
    aggregator: Aggregator,
    /// Number of classes in its settings.
    class_count: usize,
    /// Its events in the open batch; `None` where no message of the batch was for it.
    pending: Option<Vec<Event>>,
}

/// All state that outlives a batch.
#[derive(Default)]
pub(crate) struct Instances {
    instances: BTreeMap<u64, Instance>,
    endpoint_lists: BTreeMap<u64, Vec<Endpoint>>,
}

impl Instances {
    /// Processes a message within a batch.
    pub(crate) fn on_message(&mut self, message: &JsonObject) -> Result<(), MessageError> {
        if message.name() == "Ledger" {
            return self.declare_endpoint_list(message);
        }
        let number = message.whole_number("I")?;
        if message.name() == "Launch" {
            return self.launch(number, message);
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(MessageError::UnknownInstance {
                message: message.name().to_owned(),
            });
        };
        if message.name() == "Destroy" {
            self.instances.remove(&number);
            return Ok(());
        }
        let event = decode_event(message, instance.class_count, &self.endpoint_lists)?;
        instance.pending.get_or_insert_default().extend(event);
        Ok(())
    }

    /// Lets all instances with messages in the batch decide, and writes their actions.
    pub(crate) fn end_batch(&mut self, now: Ms, output: &mut impl Write) -> io::Result<()> {
        for (number, instance) in &mut self.instances {
            let Some(events) = instance.pending.take() else {
                continue;
            };
            for action in instance.aggregator.on_batch(now, events) {
                writeln!(output, "{}", encode_action(*number, &action))?;
            }
        }
        Ok(())
    }

    fn declare_endpoint_list(&mut self, message: &JsonObject) -> Result<(), MessageError> {
        let slot = message.whole_number("Slot")?;
        let endpoints = decode::decode_endpoints(message)?;
        self.endpoint_lists.insert(slot, endpoints);
        Ok(())
    }

    /// Starts an aggregator, in place of one with the same number.
    fn launch(&mut self, number: u64, message: &JsonObject) -> Result<(), MessageError> {
        let settings = settings::decode("Env", message.object("Env")?.fields())?.settings;
        let class_count = settings.classes.len();
        let aggregator = Aggregator::new(settings, message.whole_number("RngSeed")?);
        let instance = Instance {
            aggregator,
            class_count,
            pending: Some(Vec::new()),
        };
        self.instances.insert(number, instance);
        Ok(())
    }
}

/// The event that a message is for its instance, if it is one.
fn decode_event(
    message: &JsonObject,
    class_count: usize,
    endpoint_lists: &BTreeMap<u64, Vec<Endpoint>>,
) -> Result<Option<Event>, MessageError> {
    let event = match message.name() {
        "PeersKnown" => decode_list_event(message, endpoint_lists)?,
        "Order" => decode::decode_order(message, class_count)?,
        "ReportBack" => decode::decode_attempt_ended(message)?,
        "Dropped" => Event::ClientDisconnected(decode::decode_query_id(message)?),
        "DeadlineHit" => decode::decode_timer_fired(message)?,
        "Memo" => return Ok(decode::decode_gossip(message)?),
        // Part of the protocol, though the adapter never asks for them.
        "Begun" | "Probed" => return Ok(None),
        unknown => {
            return Err(MessageError::UnknownMessage {
                message: unknown.to_owned(),
            });
        }
    };
    Ok(Some(event))
}

/// An update of the endpoint list. Its entries were declared before, under the number of a slot.
fn decode_list_event(
    message: &JsonObject,
    endpoint_lists: &BTreeMap<u64, Vec<Endpoint>>,
) -> Result<Event, MessageError> {
    let update = decode::decode_list_update(message)?;
    let endpoints = if update == ListUpdate::Failed {
        Vec::new()
    } else {
        let slot = message.whole_number("Slot")?;
        let endpoints = endpoint_lists.get(&slot);
        endpoints.ok_or(MessageError::UnknownEndpointList)?.clone()
    };
    Ok(Event::EndpointList { update, endpoints })
}
