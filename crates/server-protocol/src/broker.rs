//! The broker's side: encodes calls and cancellations, decodes what data servers send.

use crate::fields::{
    IDEMPOTENCY_KEY_OPTION, REQUESTS_IN_FLIGHT, REQUESTS_IN_FLIGHT_IN_SETTINGS, WAIT_OPTION,
};
use crate::frame::{self, FrameKind, PartialFrame, split_line, utf8};
use crate::{Decoded, InvalidFrame, PartStatus};
use fanout_policy::api::Outcome;
use std::fmt::{self, Write};

/// Longest body accepted from a data server, in bytes: a value as long as the longest HTTP body,
/// and its line.
const MAX_BODY_LEN: usize = 66 * 1024;
/// Longest line of a response, in bytes: it carries an id no longer than a client may choose, and
/// short fields.
pub const MAX_RESPONSE_LINE_LEN: usize = 1024;

/// One part of a call, to be encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRequest<'a> {
    /// Id of the part on the wire.
    pub id: &'a str,
    /// Shard that the part asks for.
    pub shard: usize,
    /// How long the broker will wait for the response, in milliseconds.
    pub wait_ms: u64,
    /// The query's idempotency key, if its class has one.
    pub idempotency_key: Option<&'a str>,
    /// The query's text.
    pub text: &'a str,
}

/// A message from a data server.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerMessage {
    /// The response to one part.
    PartResponse(PartResponse),
    /// The server rejected the previous frame, for the reason given, and will close the connection.
    FrameRejected(String),
}

/// A data server's response to one part.
#[derive(Clone, Debug, PartialEq)]
pub struct PartResponse {
    /// Id of the part on the wire.
    pub id: String,
    /// Outcome of the part.
    pub outcome: Outcome,
    /// Number of requests in flight at the server, if it reports one.
    pub requests_in_flight: Option<f64>,
    /// The value, as received.
    pub value: String,
}

/// Encodes one call with the given parts.
pub fn encode_call<'a>(parts: impl IntoIterator<Item = PartRequest<'a>>) -> Vec<u8> {
    let mut payload = String::new();
    for part in parts {
        // Writing to a string cannot fail.
        let _ = write_part(&mut payload, &part);
    }
    frame::encode(FrameKind::Call, payload.as_bytes())
}

/// Writes `ID SHARD OPTIONS LENGTH\nTEXT`.
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

/// Decodes the frame that `input` begins with. `Ok(None)`: it has not arrived completely.
///
/// A frame is reported as invalid as soon as the bytes received show it, because the rest may never
/// arrive.
///
/// # Errors
///
/// The frame is invalid.
pub fn decode(input: &[u8]) -> Result<Option<Decoded<ServerMessage>>, InvalidFrame> {
    let Some(frame) = PartialFrame::parse(input, MAX_BODY_LEN)? else {
        return Ok(None);
    };
    let message = match frame.kind()? {
        None => None,
        Some(FrameKind::PartResponse) => decode_part_response(&frame)?,
        Some(FrameKind::Rejection) => frame.payload().map(decode_rejection),
        // Brokers send no probes, so the response to one is unexpected as well.
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

/// Decodes the response to a part. `None`: it has not arrived completely.
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

/// Whether the beginning of a response contains more than the longest line, and no line feed within
/// it.
fn exceeds_line_limit(received: &[u8]) -> bool {
    received.len() > MAX_RESPONSE_LINE_LEN && !received[..MAX_RESPONSE_LINE_LEN].contains(&b'\n')
}

/// Parses `ID STATUS SCORE LOAD_REPORT\nVALUE`.
fn parse_part_response(payload: &[u8]) -> Result<PartResponse, InvalidFrame> {
    let (line, value) = split_line(payload).ok_or(InvalidFrame::UnterminatedResponseLine)?;
    let mut fields = line.splitn(4, |byte| *byte == b' ');
    let (Some(id), Some(status), Some(score), Some(load_report)) =
        (fields.next(), fields.next(), fields.next(), fields.next())
    else {
        return Err(InvalidFrame::ResponseFieldsMissing);
    };
    let status = PartStatus::from_wire(status)?;
    if utf8(score)?.parse::<f64>().is_err() {
        return Err(InvalidFrame::InvalidScore);
    }
    Ok(PartResponse {
        id: utf8(id)?.to_owned(),
        outcome: status.into(),
        requests_in_flight: parse_requests_in_flight(load_report),
        value: utf8(value)?.to_owned(),
    })
}

/// Number of requests in flight according to a load report. An unreadable report does not
/// invalidate its frame: the number is unknown.
fn parse_requests_in_flight(load_report: &[u8]) -> Option<f64> {
    let load_report = utf8(load_report).ok()?;
    let names = [REQUESTS_IN_FLIGHT, REQUESTS_IN_FLIGHT_IN_SETTINGS];
    let mut entries = load_report
        .split(',')
        .filter_map(|entry| entry.split_once('='));
    let (_, number) = entries.find(|(name, _)| names.contains(name))?;
    number
        .parse()
        .ok()
        .filter(|number: &f64| number.is_finite() && *number >= 0.0)
}
