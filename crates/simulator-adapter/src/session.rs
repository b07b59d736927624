//! The line protocol: reads batches of messages and writes a reply to each batch.

use crate::error::{InputError, MessageError};
use crate::instances::Instances;
use crate::message::Message;
use crate::wire::{BatchNumberWire, BatchTimeWire, EndOfBatchWire, MessageKind};
use fanout_policy::api::Ms;
use std::io::{self, BufRead, Write};

/// A batch whose end has not been read yet.
struct OpenBatch {
    number: u64,
    /// Simulated time of the batch.
    time: Ms,
}

/// The state of the adapter while it reads the input.
struct Session<W> {
    output: W,
    instances: Instances,
    open_batch: Option<OpenBatch>,
    /// Number of the last batch that began, for errors.
    last_batch: Option<u64>,
}

/// Processes lines until the input ends. Returns an error for the first line that cannot be
/// processed.
pub(crate) fn run(input: impl BufRead, output: impl Write) -> Result<(), InputError> {
    let mut session = Session {
        output,
        instances: Instances::default(),
        open_batch: None,
        last_batch: None,
    };
    for (index, line) in input.lines().enumerate() {
        session.on_line(line).map_err(|error| InputError {
            line: index + 1,
            batch: session.last_batch,
            error,
        })?;
    }
    Ok(())
}

impl<W: Write> Session<W> {
    /// Processes one line. Blank lines are ignored.
    fn on_line(&mut self, line: io::Result<String>) -> Result<(), MessageError> {
        let line = line.map_err(MessageError::Unreadable)?;
        if line.trim().is_empty() {
            return Ok(());
        }
        let message = Message::parse(&line)?;
        match message.kind() {
            Some(MessageKind::BatchBegin) => self.begin_batch(&message),
            Some(MessageKind::BatchEnd) => self.end_batch(&message),
            _ if self.open_batch.is_none() => Err(no_open_batch(&message)),
            _ => self.instances.on_message(&message),
        }
    }

    fn begin_batch(&mut self, message: &Message) -> Result<(), MessageError> {
        let number: u64 = message.decode::<BatchNumberWire>()?.into();
        // Set before the time is decoded, so that an error about the time names this batch.
        self.last_batch = Some(number);
        let time: Ms = message.decode::<BatchTimeWire>()?.into();
        if self.open_batch.is_some() {
            return Err(MessageError::BatchStillOpen);
        }
        self.open_batch = Some(OpenBatch { number, time });
        Ok(())
    }

    fn end_batch(&mut self, message: &Message) -> Result<(), MessageError> {
        let batch = self.open_batch.take();
        let batch = batch.ok_or_else(|| no_open_batch(message))?;
        self.write_reply(&batch).map_err(MessageError::Unwritable)
    }

    /// Writes the actions of all instances and the end of the reply.
    fn write_reply(&mut self, batch: &OpenBatch) -> io::Result<()> {
        self.instances.end_batch(batch.time, &mut self.output)?;
        let end = EndOfBatchWire {
            batch: batch.number,
        };
        writeln!(self.output, "{end}")?;
        self.output.flush()
    }
}

/// Creates the error of a message that is not in a batch.
fn no_open_batch(message: &Message) -> MessageError {
    MessageError::NoOpenBatch {
        message: message.type_name(),
    }
}
