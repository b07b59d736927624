//! A message whose head is parsed and whose body is being decoded.

use crate::body::BodyDecoder;
use crate::error::ParseError;
use http::{Request, Response};

/// A request or response, whose body can be replaced.
pub(crate) trait HttpMessage {
    /// Returns the body for modification.
    fn body_mut(&mut self) -> &mut Vec<u8>;
}

impl HttpMessage for Request<Vec<u8>> {
    fn body_mut(&mut self) -> &mut Vec<u8> {
        Request::body_mut(self)
    }
}

impl HttpMessage for Response<Vec<u8>> {
    fn body_mut(&mut self) -> &mut Vec<u8> {
        Response::body_mut(self)
    }
}

/// The part of a [`PartialMessage`] that its head determines: the request or response without its
/// body, and what the head says about the connection and about `100 Continue`.
#[derive(Debug)]
pub(crate) struct MessageHead<T> {
    /// The request or response. Its body is empty until it has been decoded.
    pub(crate) value: T,
    /// Whether the connection may carry another message.
    pub(crate) keep_alive: bool,
    /// Whether the client may wait for `100 Continue` before it sends the body (RFC 9110, section
    /// 10.1.1).
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

impl<T: HttpMessage> PartialMessage<T> {
    /// Creates a message from its head and a decoder that has decoded nothing yet.
    pub(crate) fn new(head: MessageHead<T>, body: BodyDecoder) -> Self {
        PartialMessage { head, body }
    }

    /// Returns the request or response, with an empty body.
    pub(crate) fn value(&self) -> &T {
        &self.head.value
    }

    /// Returns whether the connection may carry another message.
    pub(crate) fn keep_alive(&self) -> bool {
        self.head.keep_alive
    }

    /// Returns whether the client waits for `100 Continue` before it sends the body. It does not if
    /// part of the body has arrived. `input` contains the bytes received after the decoded ones.
    pub(crate) fn awaits_continue(&self, input: &[u8]) -> bool {
        let body_started = !input.is_empty() || self.body.has_data();
        self.head.expects_continue && !body_started
    }

    /// Decodes as much as possible of the body, and removes the decoded bytes from `input`.
    pub(crate) fn decode_body(&mut self, input: &mut Vec<u8>) -> Result<BodyState, ParseError> {
        let progress = self.body.decode(input)?;
        input.drain(..progress.consumed);
        Ok(if progress.is_complete {
            BodyState::Complete
        } else {
            BodyState::Incomplete
        })
    }

    /// Returns whether the end of the connection completes the message.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.body.ends_with_connection()
    }

    /// Returns the request or response, with the body data decoded so far.
    pub(crate) fn into_value_with_body(self) -> T {
        let mut value = self.head.value;
        *value.body_mut() = self.body.into_data();
        value
    }
}
