//! Incremental decoders of the messages on one connection.

use crate::error::ParseError;
use crate::head::{parse_request_head, parse_response_head};
use crate::limits::Limits;
use crate::partial_message::{BodyState, HttpMessage, PartialMessage};
use http::{Request, Response};

/// A complete message.
#[derive(Debug)]
pub struct Message<T> {
    /// The request or response.
    pub value: T,
    /// Whether the connection may carry another message.
    pub keep_alive: bool,
}

/// Result of decoding the input that has arrived so far.
#[derive(Debug)]
pub enum Progress<T> {
    /// The message is incomplete.
    Incomplete {
        /// Whether the peer waits for `100 Continue` before it sends the body.
        awaits_continue: bool,
    },
    /// The message is complete. The input still contains the bytes after its end.
    Complete(Message<T>),
}

impl<T> Progress<T> {
    /// Returns the progress of an incomplete message whose sender does not wait for `100 Continue`.
    fn incomplete() -> Self {
        Progress::Incomplete {
            awaits_continue: false,
        }
    }
}

/// Decodes the consecutive requests of one connection.
#[derive(Debug)]
pub struct RequestDecoder {
    limits: Limits,
    /// The request whose body is being decoded.
    current: Option<PartialMessage<Request<Vec<u8>>>>,
}

impl RequestDecoder {
    /// Creates a decoder for a new connection.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        RequestDecoder {
            limits,
            current: None,
        }
    }

    /// Decodes as much as possible of one request, and removes the decoded bytes from `input`.
    ///
    /// # Errors
    ///
    /// Returns a [`ParseError`] if the request violates RFC 9112 or exceeds a limit. The decoder
    /// and the connection cannot be used any further then.
    pub fn decode(
        &mut self,
        input: &mut Vec<u8>,
    ) -> Result<Progress<Request<Vec<u8>>>, ParseError> {
        if self.current.is_none() {
            skip_empty_lines(input);
            let Some(head) = parse_request_head(input, self.limits)? else {
                return Ok(Progress::incomplete());
            };
            input.drain(..head.length);
            self.current = Some(head.message);
        }
        decode_body(&mut self.current, input)
    }
}

/// Removes empty lines before a request line, which some clients send after a body (RFC 9112,
/// section 2.2).
fn skip_empty_lines(input: &mut Vec<u8>) {
    let empty_lines = input.chunks_exact(2).take_while(|c| c == b"\r\n").count();
    input.drain(..2 * empty_lines);
}

/// Decodes the consecutive responses of one connection. The end of the connection may delimit the
/// body of the last one.
#[derive(Debug)]
pub struct ResponseDecoder {
    limits: Limits,
    /// The response whose body is being decoded.
    current: Option<PartialMessage<Response<Vec<u8>>>>,
}

impl ResponseDecoder {
    /// Creates a decoder for a new connection.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        ResponseDecoder {
            limits,
            current: None,
        }
    }

    /// Decodes as much as possible of one response, and removes the decoded bytes from `input`.
    /// Interim responses (RFC 9110, section 15.2) are skipped.
    ///
    /// # Errors
    ///
    /// Returns a [`ParseError`] if the response violates RFC 9112 or exceeds a limit. The decoder
    /// and the connection cannot be used any further then.
    pub fn decode(
        &mut self,
        input: &mut Vec<u8>,
    ) -> Result<Progress<Response<Vec<u8>>>, ParseError> {
        while self.current.is_none() {
            let Some(head) = parse_response_head(input, self.limits)? else {
                return Ok(Progress::incomplete());
            };
            input.drain(..head.length);
            if !head.message.value().status().is_informational() {
                self.current = Some(head.message);
            }
        }
        decode_body(&mut self.current, input)
    }

    /// Handles the orderly end of the connection. Returns the response that the end completes, if
    /// any (RFC 9112, section 6.3). Must not be called when the connection is reset: the reset may
    /// have cut the body short, and the truncated response would count as complete.
    pub fn finish(&mut self) -> Option<Message<Response<Vec<u8>>>> {
        let response = self
            .current
            .take()
            .filter(PartialMessage::ends_with_connection)?;
        Some(Message {
            value: response.into_value_with_body(),
            keep_alive: false,
        })
    }
}

/// Continues to decode the body of the current message. Returns the message and clears `current`
/// when the body is complete.
fn decode_body<T: HttpMessage>(
    current: &mut Option<PartialMessage<T>>,
    input: &mut Vec<u8>,
) -> Result<Progress<T>, ParseError> {
    let Some(message) = current else {
        return Ok(Progress::incomplete());
    };
    // This is determined first, because decoding removes the bytes of the body from `input`, and any
    // of them shows that the client is not waiting.
    let awaits_continue = message.awaits_continue(input);
    let state = message.decode_body(input)?;
    match current.take_if(|_| state == BodyState::Complete) {
        Some(message) => {
            let keep_alive = message.keep_alive();
            let value = message.into_value_with_body();
            Ok(Progress::Complete(Message { value, keep_alive }))
        }
        None => Ok(Progress::Incomplete { awaits_continue }),
    }
}
