//! The broker's side of the protocol: encodes calls and cancellations, and decodes the messages of
//! data servers.

use crate::fields::{
    IDEMPOTENCY_KEY_OPTION, REQUESTS_IN_FLIGHT_ENTRY, REQUESTS_IN_FLIGHT_SETTINGS_ENTRY,
    WAIT_OPTION,
};
use crate::frame::{self, FrameKind, LENGTH_SIZE, PartialFrame, split_line, utf8};
use crate::{Decoded, InvalidFrame, PartStatus};
use fanout_policy::api::Outcome;
use std::fmt::{self, Write};

/// Maximum length of the kind and payload of a frame from a data server, in bytes. It suffices for
/// a response line of the maximum length and a value of 64 KiB, the maximum length of the body of
/// an HTTP request to the broker.
const MAX_BODY_LEN: usize = 66 * 1024;
/// Maximum length of a frame from a data server, in bytes.
pub const MAX_FRAME_LEN: usize = LENGTH_SIZE + MAX_BODY_LEN;
/// Maximum length of the first line of a response to a part, in bytes. The line consists of the id
/// of the part and of short fields. The id contains the id that the client chose for its request,
/// whose length the broker limits.
pub const MAX_RESPONSE_LINE_LEN: usize = 1024;

/// The byte that no value contains.
const NUL: u8 = 0;

/// One part of a call that is to be encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRequest<'a> {
    /// Id of the part, which its response and its cancellation repeat.
    pub id: &'a str,
    /// Index of the shard that the part reads.
    pub shard: usize,
    /// Time for which the broker waits for the response, in milliseconds.
    pub wait_ms: u64,
    /// Idempotency key of the query, if its class uses one.
    pub idempotency_key: Option<&'a str>,
    /// Text of the query.
    pub text: &'a str,
}

/// A message from a data server.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerMessage {
    /// Response to one part.
    PartResponse(PartResponse),
    /// The server has rejected the previous frame for this reason, and will close the connection.
    FrameRejected(String),
}

/// A data server's response to one part.
#[derive(Clone, Debug, PartialEq)]
pub struct PartResponse {
    /// Id of the part, as in its call.
    pub id: String,
    /// Outcome of the part.
    pub outcome: Outcome,
    /// Number of requests in flight at the server. `None` if the load report does not contain it.
    pub requests_in_flight: Option<f64>,
    /// Value in the response, as received.
    pub value: String,
}

/// Encodes one call with the given parts.
pub fn encode_call<'a>(parts: impl IntoIterator<Item = PartRequest<'a>>) -> Vec<u8> {
    let mut payload = String::new();
    for part in parts {
        // Writing to a `String` cannot fail.
        let _ = write_part(&mut payload, &part);
    }
    frame::encode(FrameKind::Call, payload.as_bytes())
}

/// Writes a part as `ID SHARD OPTIONS LENGTH\nTEXT`, where `LENGTH` is that of `TEXT` in bytes.
fn write_part(payload: &mut String, part: &PartRequest) -> fmt::Result {
    let PartRequest {
        id,
        shard,
        wait_ms,
        idempotency_key,
        text,
    } = part;
    write!(payload, "{id} {shard} {WAIT_OPTION}={wait_ms}")?;
    if let Some(key) = idempotency_key {
        write!(payload, ",{IDEMPOTENCY_KEY_OPTION}={key}")?;
    }
    writeln!(payload, " {}", text.len())?;
    payload.write_str(text)
}

/// Encodes the cancellation of the part with this id.
#[must_use]
pub fn encode_cancel(id: &str) -> Vec<u8> {
    frame::encode(FrameKind::Cancel, id.as_bytes())
}

/// Decodes the frame at the start of `input`. Returns `Ok(None)` if the frame has not arrived
/// completely.
///
/// An invalid frame is reported as soon as the bytes received show that it is invalid, because the
/// rest may never arrive.
///
/// # Errors
///
/// The reason why the frame is invalid.
pub fn decode(input: &[u8]) -> Result<Option<Decoded<ServerMessage>>, InvalidFrame> {
    let Some(frame) = PartialFrame::parse(input, MAX_BODY_LEN)? else {
        return Ok(None);
    };
    let message = match frame.kind()? {
        None => None,
        Some(FrameKind::PartResponse) => decode_part_response(&frame)?,
        Some(FrameKind::Rejection) => frame.payload().map(decode_rejection),
        // Brokers send no probes, so they do not expect responses to probes either.
        Some(_) => return Err(InvalidFrame::UnknownKind),
    };
    Ok(message.map(|message| Decoded {
        message,
        frame_len: frame.frame_len(),
    }))
}

fn decode_rejection(payload: &[u8]) -> ServerMessage {
    ServerMessage::FrameRejected(String::from_utf8_lossy(payload).into_owned())
}

/// Decodes the response to a part. Returns `Ok(None)` if it has not arrived completely.
fn decode_part_response(frame: &PartialFrame) -> Result<Option<ServerMessage>, InvalidFrame> {
    match frame.payload() {
        Some(payload) => {
            let response = parse_part_response(payload)?;
            Ok(Some(ServerMessage::PartResponse(response)))
        }
        None if exceeds_line_limit(frame.received()) => Err(InvalidFrame::UnterminatedResponseLine),
        None => Ok(None),
    }
}

/// Returns whether the first line of a response is longer than the maximum, judged by the bytes
/// that have been received.
fn exceeds_line_limit(received: &[u8]) -> bool {
    received.len() > MAX_RESPONSE_LINE_LEN && !received[..MAX_RESPONSE_LINE_LEN].contains(&b'\n')
}

/// Parses the payload `ID STATUS SCORE LOAD_REPORT\nVALUE`.
fn parse_part_response(payload: &[u8]) -> Result<PartResponse, InvalidFrame> {
    let (line, value) = split_line(payload).ok_or(InvalidFrame::UnterminatedResponseLine)?;
    let mut fields = line.splitn(4, |byte| *byte == b' ');
    let (Some(id), Some(status), Some(score), Some(load_report)) =
        (fields.next(), fields.next(), fields.next(), fields.next())
    else {
        return Err(InvalidFrame::ResponseFieldsMissing);
    };
    let status = PartStatus::from_wire(status)?;
    // The protocol requires a number as score, but the broker has no use for its value.
    if utf8(score)?.parse::<f64>().is_err() {
        return Err(InvalidFrame::InvalidScore);
    }
    Ok(PartResponse {
        id: utf8(id)?.to_owned(),
        outcome: status.into(),
        requests_in_flight: parse_requests_in_flight(load_report),
        value: parse_value(value)?.to_owned(),
    })
}

/// Returns the value of a response.
fn parse_value(value: &[u8]) -> Result<&str, InvalidFrame> {
    if value.contains(&NUL) {
        return Err(InvalidFrame::NulInValue);
    }
    utf8(value)
}

/// Returns whether `input`, the bytes that were received behind a response, may start with the rest
/// of its value, because the length of its frame was too small.
///
/// A frame starts with a NUL byte, which no value contains. The rest of a value is therefore the
/// text up to the first NUL byte. Its last character may be incomplete if nothing follows it.
#[must_use]
pub fn may_continue_value(input: &[u8]) -> bool {
    let text_len = input.iter().position(|byte| *byte == NUL);
    let text = &input[..text_len.unwrap_or(input.len())];
    let is_text = match std::str::from_utf8(text) {
        Ok(_) => true,
        Err(error) => error.error_len().is_none(),
    };
    !text.is_empty() && is_text
}

/// Returns the number of requests in flight in a load report, or `None` if the report does not
/// contain a valid one. The entry with the number may have either of two names; the first entry
/// with one of them counts. A malformed load report does not make its frame invalid.
fn parse_requests_in_flight(load_report: &[u8]) -> Option<f64> {
    let load_report = utf8(load_report).ok()?;
    let names = [REQUESTS_IN_FLIGHT_ENTRY, REQUESTS_IN_FLIGHT_SETTINGS_ENTRY];
    let mut entries = load_report
        .split(',')
        .filter_map(|entry| entry.split_once('='));
    let (_, number) = entries.find(|(name, _)| names.contains(name))?;
    number
        .parse()
        .ok()
        .filter(|number: &f64| number.is_finite() && *number >= 0.0)
}
