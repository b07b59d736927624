//! The line protocol: batches in, replies out.

use crate::encode::encode_end_of_batch;
use crate::error::{InputError, MessageError};
use crate::instances::Instances;
use fanout_policy::api::Ms;
use fanout_policy::json::JsonObject;
use serde_json::Value;
use std::io::{self, BufRead, Write};

/// A batch whose end has not been read yet.
struct OpenBatch {
    number: u64,
    time: Ms,
}

/// The state of one run.
struct Session<W> {
    output: W,
    instances: Instances,
    open_batch: Option<OpenBatch>,
    /// Number of the last batch that began.
    last_batch: Option<u64>,
}

/// Processes batches until the input ends.
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
    fn on_line(&mut self, line: io::Result<String>) -> Result<(), MessageError> {
        let line = line.map_err(MessageError::Unreadable)?;
        if line.trim().is_empty() {
            return Ok(());
        }
        let value: Value = serde_json::from_str(&line).map_err(MessageError::NotJson)?;
        let fields = value.as_object().ok_or(MessageError::NotAnObject)?;
        let name = fields
            .get("t")
            .and_then(Value::as_str)
            .ok_or(MessageError::MissingType)?;
        let message = JsonObject::new(name, fields);
        match name {
            "Tick" => self.begin_batch(&message),
            "EofBatch" => self.end_batch(),
            _ if self.open_batch.is_none() => Err(no_open_batch(name)),
            _ => self.instances.on_message(&message),
        }
    }

    fn begin_batch(&mut self, message: &JsonObject) -> Result<(), MessageError> {
        let number = message.whole_number("n")?;
        self.last_batch = Some(number);
        let time = message.number("Moment")?;
        if self.open_batch.is_some() {
            return Err(MessageError::BatchStillOpen);
        }
        self.open_batch = Some(OpenBatch { number, time });
        Ok(())
    }

    fn end_batch(&mut self) -> Result<(), MessageError> {
        let batch = self
            .open_batch
            .take()
            .ok_or_else(|| no_open_batch("EofBatch"))?;
        self.reply(&batch).map_err(MessageError::Unwritable)
    }

    fn reply(&mut self, batch: &OpenBatch) -> io::Result<()> {
        self.instances.end_batch(batch.time, &mut self.output)?;
        writeln!(self.output, "{}", encode_end_of_batch(batch.number))?;
        self.output.flush()
    }
}

fn no_open_batch(message: &str) -> MessageError {
    MessageError::NoOpenBatch {
        message: message.to_owned(),
    }
}
