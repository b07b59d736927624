//! The aggregators (instances) that the simulator has launched, and the endpoint lists that it has
//! declared.

use crate::decode::{EndpointLists, decode_event};
use crate::error::MessageError;
use crate::message::Message;
use crate::wire::{ActionWire, DeclaredListWire, InstanceNumberWire, LaunchWire, MessageKind};
use fanout_policy::Aggregator;
use fanout_policy::api::{Event, Ms};
use std::collections::BTreeMap;
use std::io::{self, Write};

/// An aggregator that the simulator has launched.
struct Instance {
    aggregator: Aggregator,
    /// Number of query classes in its settings.
    class_count: usize,
    /// Its events in the open batch, in the order of their messages; `None` if no message of the
    /// batch is for this instance, in which case the aggregator is not called at the end of the
    /// batch.
    pending_events: Option<Vec<Event>>,
}

/// All instances and declared endpoint lists. They are kept from one batch to the next.
#[derive(Default)]
pub(crate) struct Instances {
    instances: BTreeMap<u64, Instance>,
    endpoint_lists: EndpointLists,
}

impl Instances {
    /// Processes a message of the open batch: declares an endpoint list, launches or destroys an
    /// instance, or adds an event to those of its instance. A message without an event, such as one
    /// about a feature that the adapter does not use, also causes the aggregator to be called at
    /// the end of the batch.
    pub(crate) fn on_message(&mut self, message: &Message) -> Result<(), MessageError> {
        let kind = message.kind();
        if kind == Some(MessageKind::ListDeclaration) {
            return self.declare_endpoint_list(message);
        }
        let number: u64 = message.decode::<InstanceNumberWire>()?.into();
        if kind == Some(MessageKind::Launch) {
            return self.launch(number, message);
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(MessageError::UnknownInstance {
                message: message.type_name(),
            });
        };
        if kind == Some(MessageKind::Destroy) {
            self.instances.remove(&number);
            return Ok(());
        }
        let event = decode_event(message, instance.class_count, &self.endpoint_lists)?;
        instance
            .pending_events
            .get_or_insert_default()
            .extend(event);
        Ok(())
    }

    /// Passes the events of the batch to the aggregators and writes the actions that they return,
    /// in the order of the instance numbers. Instances without messages in the batch are skipped.
    pub(crate) fn end_batch(&mut self, now: Ms, output: &mut impl Write) -> io::Result<()> {
        for (number, instance) in &mut self.instances {
            let Some(events) = instance.pending_events.take() else {
                continue;
            };
            for action in instance.aggregator.on_batch(now, events) {
                writeln!(output, "{}", ActionWire::new(*number, &action))?;
            }
        }
        Ok(())
    }

    /// Stores an endpoint list under its slot number, by which later updates refer to it. The list
    /// replaces an earlier one with the same slot number.
    fn declare_endpoint_list(&mut self, message: &Message) -> Result<(), MessageError> {
        let list: DeclaredListWire = message.decode()?;
        self.endpoint_lists.insert(list.slot(), list.into());
        Ok(())
    }

    /// Creates an instance, in place of an earlier one with the same number. It counts as having
    /// messages in this batch, so its aggregator is called at the end of the batch even without
    /// events.
    fn launch(&mut self, number: u64, message: &Message) -> Result<(), MessageError> {
        let launch: LaunchWire = message.decode()?;
        let seed = launch.seed();
        let settings = launch.site_settings()?.settings;
        let instance = Instance {
            class_count: settings.classes.len(),
            aggregator: Aggregator::new(settings, seed),
            pending_events: Some(Vec::new()),
        };
        self.instances.insert(number, instance);
        Ok(())
    }
}
