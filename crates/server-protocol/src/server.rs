//! The data server's side of the protocol, for test doubles of data servers: decodes the messages
//! of brokers, and encodes responses.

use crate::fields::{IDEMPOTENCY_KEY_OPTION, REQUESTS_IN_FLIGHT_ENTRY, WAIT_OPTION};
use crate::frame::{self, FrameKind, PartialFrame, split_line, utf8};
use crate::{Decoded, InvalidFrame, PartStatus};

/// Maximum length of the kind and payload of a frame from a broker, in bytes. It suffices for a
/// call with the maximum number of parts, each with a text of the maximum length.
const MAX_BODY_LEN: usize = 4 << 20;
/// Score in each response. The protocol requires a number here; brokers check that it is one, but
/// do not use its value.
const SCORE: u32 = 1;

/// One part of a decoded call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRequest {
    /// Id of the part, which its response and its cancellation repeat.
    pub id: String,
    /// Index of the shard that the part reads.
    pub shard: usize,
    /// Time for which the broker waits for the response, in milliseconds. Zero if the options of
    /// the part do not contain this time.
    pub wait_ms: u64,
    /// Idempotency key of the query, if its class uses one.
    pub idempotency_key: Option<String>,
    /// Text of the query.
    pub text: String,
}

/// A message from a broker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BrokerMessage {
    /// A call with one or more parts.
    Call(Vec<PartRequest>),
    /// The part with this id is cancelled.
    Cancel(String),
    /// A probe.
    Probe(ProbeKind),
}

/// Kind of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeKind {
    /// A health probe, which asks whether the server is healthy.
    Health,
    /// A load probe, which asks for the number of requests in flight at the server.
    Load,
}

/// Encodes the response to the part with this id. `requests_in_flight` is the number of requests in
/// flight at the server.
#[must_use]
pub fn encode_part_response(
    id: &str,
    status: PartStatus,
    requests_in_flight: usize,
    value: &str,
) -> Vec<u8> {
    let status = status.as_wire();
    let load_report = encode_load_report(requests_in_flight);
    let payload = format!("{id} {status} {SCORE} {load_report}\n{value}");
    frame::encode(FrameKind::PartResponse, payload.as_bytes())
}

/// Encodes the response to a probe. `requests_in_flight` is the number of requests in flight at the
/// server. The server always reports that it is healthy.
#[must_use]
pub fn encode_probe_response(kind: ProbeKind, requests_in_flight: usize) -> Vec<u8> {
    match kind {
        ProbeKind::Health => {
            let status = PartStatus::Succeeded.as_wire();
            frame::encode(FrameKind::HealthProbe, status.as_bytes())
        }
        ProbeKind::Load => {
            let load_report = encode_load_report(requests_in_flight);
            frame::encode(FrameKind::LoadProbe, load_report.as_bytes())
        }
    }
}

fn encode_load_report(requests_in_flight: usize) -> String {
    format!("{REQUESTS_IN_FLIGHT_ENTRY}={requests_in_flight}")
}

/// Encodes the notice that the server has rejected the broker's previous frame for this reason.
#[must_use]
pub fn encode_frame_rejection(reason: &str) -> Vec<u8> {
    frame::encode(FrameKind::Rejection, reason.as_bytes())
}

/// Decodes the frame at the start of `input`. Returns `Ok(None)` if the frame has not arrived
/// completely.
///
/// # Errors
///
/// The reason why the frame is invalid.
pub fn decode(input: &[u8]) -> Result<Option<Decoded<BrokerMessage>>, InvalidFrame> {
    let Some(frame) = PartialFrame::parse(input, MAX_BODY_LEN)? else {
        return Ok(None);
    };
    let Some(payload) = frame.payload() else {
        return Ok(None);
    };
    let message = match frame.kind()? {
        Some(FrameKind::Call) => BrokerMessage::Call(decode_call(payload)?),
        Some(FrameKind::Cancel) => BrokerMessage::Cancel(utf8(payload)?.to_owned()),
        Some(FrameKind::HealthProbe) if payload.is_empty() => {
            BrokerMessage::Probe(ProbeKind::Health)
        }
        Some(FrameKind::LoadProbe) if payload.is_empty() => BrokerMessage::Probe(ProbeKind::Load),
        _ => return Err(InvalidFrame::UnknownKind),
    };
    Ok(Some(Decoded {
        message,
        frame_len: frame.frame_len(),
    }))
}

/// Decodes the parts of a call.
fn decode_call(mut payload: &[u8]) -> Result<Vec<PartRequest>, InvalidFrame> {
    let mut parts = Vec::new();
    while !payload.is_empty() {
        let (part, rest) = decode_part(payload)?;
        parts.push(part);
        payload = rest;
    }
    if parts.is_empty() {
        Err(InvalidFrame::EmptyCall)
    } else {
        Ok(parts)
    }
}

/// Decodes the part `ID SHARD OPTIONS LENGTH\nTEXT` at the start of the payload. Returns the part
/// and the rest of the payload.
fn decode_part(payload: &[u8]) -> Result<(PartRequest, &[u8]), InvalidFrame> {
    let (line, rest) = split_line(payload).ok_or(InvalidFrame::UnterminatedPartLine)?;
    let fields: Vec<&str> = utf8(line)?.split(' ').collect();
    let [id, shard, options, text_len] = fields[..] else {
        return Err(InvalidFrame::PartFieldCount);
    };
    let (text, rest) = rest
        .split_at_checked(parse_number(text_len)?)
        .ok_or(InvalidFrame::TruncatedText)?;
    let mut part = PartRequest {
        id: id.to_owned(),
        shard: parse_number(shard)?,
        wait_ms: 0,
        idempotency_key: None,
        text: utf8(text)?.to_owned(),
    };
    for option in options.split(',') {
        decode_option(option, &mut part)?;
    }
    Ok((part, rest))
}

/// Decodes one option of a part and stores its value in `part`.
fn decode_option(option: &str, part: &mut PartRequest) -> Result<(), InvalidFrame> {
    match option.split_once('=') {
        Some((WAIT_OPTION, wait_ms)) => part.wait_ms = parse_number(wait_ms)? as u64,
        Some((IDEMPOTENCY_KEY_OPTION, key)) => part.idempotency_key = Some(key.to_owned()),
        _ => return Err(InvalidFrame::InvalidPartOptions),
    }
    Ok(())
}

/// Parses a number in the line of a part.
fn parse_number(field: &str) -> Result<usize, InvalidFrame> {
    field.parse().map_err(|_| InvalidFrame::InvalidNumber)
}
