//! A message from the simulator whose fields are not decoded yet.

use crate::error::MessageError;
use crate::wire::{MessageKind, MessageTypeWire};
use serde::Deserialize;
use serde_json::{Map, Value};
use wire_fields::FieldError;

/// A message: a JSON object that says what it is.
pub(crate) struct Message {
    message_type: String,
    kind: Option<MessageKind>,
    fields: Map<String, Value>,
}

impl Message {
    /// Reads the message of a line.
    pub(crate) fn parse(line: &str) -> Result<Self, MessageError> {
        let value: Value = serde_json::from_str(line).map_err(MessageError::NotJson)?;
        let Value::Object(fields) = value else {
            return Err(MessageError::NotAnObject);
        };
        let message_type: Result<MessageTypeWire, _> = wire_fields::decode("message", &fields);
        let message_type = message_type.map_err(|_| MessageError::MissingType)?;
        let message_type = String::from(message_type);
        Ok(Message {
            kind: MessageKind::of_type(&message_type),
            message_type,
            fields,
        })
    }

    /// The type that the message gives itself, for errors.
    pub(crate) fn type_name(&self) -> String {
        self.message_type.clone()
    }

    /// What the message says; `None` where its type is unknown.
    pub(crate) fn kind(&self) -> Option<MessageKind> {
        self.kind
    }

    /// Decodes fields of the message.
    pub(crate) fn decode<'de, T: Deserialize<'de>>(&'de self) -> Result<T, FieldError> {
        wire_fields::decode(&self.message_type, &self.fields)
    }
}
