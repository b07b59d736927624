//! The data server's side, for test doubles of data servers: decodes what brokers send, encodes responses.

use crate::frame::{self, PartialFrame, split_line, utf8};
use crate::{Decoded, InvalidFrame, PartStatus};
use std::fmt::Write;

/// Longest body accepted from a broker, in bytes: a call with the most parts, each with the longest text.
const MAX_BODY_LEN: usize = 4 << 20;

/// One part of a call, as decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRequest {
    /// Id of the part on the wire.
    pub id: String,
    /// Shard that the part asks for.
    pub shard: usize,
    /// How long the broker will wait for the response, in milliseconds.
    pub wait_ms: u64,
    /// The query's idempotency key, if its class has one.
    pub idempotency_key: Option<String>,
    /// The query's text.
    pub text: String,
}

/// A message from a broker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BrokerMessage {
    /// A call with its parts, at least one.
    Call(Vec<PartRequest>),
    /// The part with this id is cancelled.
    Cancel(String),
    /// A probe.
    Probe(ProbeKind),
}

/// What a probe asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeKind {
    /// Whether the server is healthy.
    Health,
    /// How many requests the server has in flight.
    Load,
}

/// Encodes the response to the part with this id; `requests_in_flight` is the number at the server.
#[must_use]
pub fn encode_part_response(
    id: &str,
    status: PartStatus,
    requests_in_flight: usize,
    value: &str,
) -> Vec<u8> {
    let mut payload = String::with_capacity(id.len() + value.len() + 32);
    let status = status.as_wire();
    let _ = writeln!(payload, "{id} {status} 1 inflight={requests_in_flight}");
    payload.push_str(value);
    frame::encode(frame::PART_RESPONSE, payload.as_bytes())
}

/// Encodes the response to a probe.
#[must_use]
pub fn encode_probe_response(kind: ProbeKind, requests_in_flight: usize) -> Vec<u8> {
    match kind {
        ProbeKind::Health => frame::encode(frame::HEALTH_PROBE, b"good"),
        ProbeKind::Load => {
            let load_report = format!("inflight={requests_in_flight}");
            frame::encode(frame::LOAD_PROBE, load_report.as_bytes())
        }
    }
}

/// Encodes the message that the broker's previous frame was rejected.
#[must_use]
pub fn encode_frame_rejection(reason: &str) -> Vec<u8> {
    frame::encode(frame::REJECTION, reason.as_bytes())
}

/// Decodes the frame that `input` begins with. `Ok(None)`: it has not arrived completely.
///
/// # Errors
///
/// The frame is invalid.
pub fn decode(input: &[u8]) -> Result<Option<Decoded<BrokerMessage>>, InvalidFrame> {
    let Some(frame) = PartialFrame::parse(input, MAX_BODY_LEN)? else {
        return Ok(None);
    };
    let (Some(kind), Some(payload)) = (frame.kind(), frame.payload()) else {
        return Ok(None);
    };
    let message = match kind {
        frame::CALL => BrokerMessage::Call(decode_call(payload)?),
        frame::CANCEL => BrokerMessage::Cancel(utf8(payload)?.to_owned()),
        frame::HEALTH_PROBE if payload.is_empty() => BrokerMessage::Probe(ProbeKind::Health),
        frame::LOAD_PROBE if payload.is_empty() => BrokerMessage::Probe(ProbeKind::Load),
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

/// Decodes one part, `ID SHARD OPTIONS LENGTH\nTEXT`, and returns it with the rest of the payload.
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
        match option.split_once('=') {
            Some(("d", wait_ms)) => part.wait_ms = parse_number(wait_ms)? as u64,
            Some(("k", key)) => part.idempotency_key = Some(key.to_owned()),
            _ => return Err(InvalidFrame::InvalidPartOptions),
        }
    }
    Ok((part, rest))
}

/// Reads a number of a part's line.
fn parse_number(field: &str) -> Result<usize, InvalidFrame> {
    field.parse().map_err(|_| InvalidFrame::InvalidNumber)
}
