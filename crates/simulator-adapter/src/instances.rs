//! The aggregators that the simulator has launched, and the endpoint lists that it has declared.

use crate::decode::{EndpointLists, decode_event};
use crate::error::MessageError;
use crate::message::Message;
use crate::wire::{ActionWire, DeclaredListWire, InstanceWire, LaunchWire, MessageKind};
use fanout_policy::Aggregator;
use fanout_policy::api::{Event, Ms};
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
    endpoint_lists: EndpointLists,
}

impl Instances {
    /// Processes a message within a batch.
    pub(crate) fn on_message(&mut self, message: &Message) -> Result<(), MessageError> {
        let kind = message.kind();
        if kind == Some(MessageKind::ListDeclaration) {
            return self.declare_endpoint_list(message);
        }
        let number: u64 = message.decode::<InstanceWire>()?.into();
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
                writeln!(output, "{}", ActionWire::new(*number, &action))?;
            }
        }
        Ok(())
    }

    fn declare_endpoint_list(&mut self, message: &Message) -> Result<(), MessageError> {
        let list: DeclaredListWire = message.decode()?;
        self.endpoint_lists.insert(list.slot(), list.into());
        Ok(())
    }

    /// Starts an aggregator, in place of one with the same number.
    fn launch(&mut self, number: u64, message: &Message) -> Result<(), MessageError> {
        let launch: LaunchWire = message.decode()?;
        let seed = launch.seed();
        let settings = launch.site_settings()?.settings;
        let instance = Instance {
            class_count: settings.classes.len(),
            aggregator: Aggregator::new(settings, seed),
            pending: Some(Vec::new()),
        };
        self.instances.insert(number, instance);
        Ok(())
    }
}
