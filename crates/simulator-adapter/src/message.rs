//! A message from the simulator: its type, and its fields, which are decoded on demand.

use crate::error::MessageError;
use crate::wire::{MessageKind, MessageTypeWire};
use serde::Deserialize;
use serde_json::{Map, Value};
use wire_fields::FieldError;

/// A message: a JSON object with its type in field `t`.
pub(crate) struct Message {
    message_type: String,
    /// `None` if the protocol has no message of this type.
    kind: Option<MessageKind>,
    fields: Map<String, Value>,
}

impl Message {
    /// Parses a line of input as a message. Fails if the line is not a JSON object or has no string
    /// in field `t`.
    pub(crate) fn parse(line: &str) -> Result<Self, MessageError> {
        let value: Value = serde_json::from_str(line).map_err(MessageError::NotJson)?;
        let Value::Object(fields) = value else {
            return Err(MessageError::NotAnObject);
        };
        let message_type: Result<MessageTypeWire, _> = wire_fields::decode("message", &fields);
        let message_type = message_type.map_err(|_| MessageError::MissingType)?;
        let message_type = String::from(message_type);
        Ok(Message {
            kind: MessageKind::from_type_name(&message_type),
            message_type,
            fields,
        })
    }

    /// Returns the type of the message as the line writes it, for errors.
    pub(crate) fn type_name(&self) -> String {
        self.message_type.clone()
    }

    /// Returns the kind of the message, or `None` if its type is unknown.
    pub(crate) fn kind(&self) -> Option<MessageKind> {
        self.kind
    }

    /// Decodes the fields of the message that `T` has. Errors call the message by its type.
    pub(crate) fn decode<'de, T: Deserialize<'de>>(&'de self) -> Result<T, FieldError> {
        wire_fields::decode(&self.message_type, &self.fields)
    }
}
