//! A message whose head is parsed and whose body is being decoded.

use crate::body::BodyDecoder;
use crate::error::ParseError;
use http::{Request, Response};

/// A message with a body.
pub(crate) trait HasBody {
    fn body_mut(&mut self) -> &mut Vec<u8>;
}

impl HasBody for Request<Vec<u8>> {
    fn body_mut(&mut self) -> &mut Vec<u8> {
        Request::body_mut(self)
    }
}

impl HasBody for Response<Vec<u8>> {
    fn body_mut(&mut self) -> &mut Vec<u8> {
        Response::body_mut(self)
    }
}

/// What a head says, with the message as far as the head goes.
#[derive(Debug)]
pub(crate) struct MessageHead<T> {
    pub(crate) value: T,
    /// Whether the connection may carry another message.
    pub(crate) keep_alive: bool,
    /// Whether the client sends the body only after `100 Continue` (RFC 9110, section 10.1.1).
    pub(crate) expects_continue: bool,
}

/// Whether a body is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyState {
    Incomplete,
    Complete,
}

/// A message whose head is parsed and whose body is being decoded.
#[derive(Debug)]
pub(crate) struct PartialMessage<T> {
    head: MessageHead<T>,
    body: BodyDecoder,
}

impl<T: HasBody> PartialMessage<T> {
    pub(crate) fn new(head: MessageHead<T>, body: BodyDecoder) -> Self {
        PartialMessage { head, body }
    }

    /// The message as far as its head goes.
    pub(crate) fn value(&self) -> &T {
        &self.head.value
    }

    /// Whether the client waits for `100 Continue` before it sends the body, of which `input` would
    /// be the start.
    pub(crate) fn awaits_continue(&self, input: &[u8]) -> bool {
        let body_started = !input.is_empty() || self.body.has_data();
        self.head.expects_continue && !body_started
    }

    /// Decodes as much as possible of the body, and removes the used bytes from `input`.
    pub(crate) fn decode_body(&mut self, input: &mut Vec<u8>) -> Result<BodyState, ParseError> {
        let progress = self.body.decode(input)?;
        input.drain(..progress.consumed);
        Ok(if progress.is_complete {
            BodyState::Complete
        } else {
            BodyState::Incomplete
        })
    }

    /// Whether the end of the connection completes the message.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.body.ends_with_connection()
    }

    /// The message with the data of its body so far.
    pub(crate) fn into_head_with_body(self) -> MessageHead<T> {
        let mut head = self.head;
        *head.value.body_mut() = self.body.into_data();
        head
    }
}
