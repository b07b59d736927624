//! The end of an attempt, with the load report of the server if there is one.

use fanout_policy::api::{Event, Outcome, PartId};
use serde::Deserialize;
use serde::de::Deserializer;
use serde_json::Value;
use std::sync::Arc;
use wire_fields::{choice, number, text, whole_number};

/// The end of an attempt.
#[derive(Debug, Deserialize)]
pub(crate) struct AttemptEndedWire {
    #[serde(rename = "OpId", deserialize_with = "text")]
    part: Arc<str>,
    #[serde(rename = "Hop", deserialize_with = "whole_number")]
    attempt: u64,
    #[serde(rename = "Rc", deserialize_with = "choice")]
    outcome: OutcomeWire,
    #[serde(rename = "Rtt", deserialize_with = "number")]
    elapsed_ms: f64,
    #[serde(rename = "Gauge", default, deserialize_with = "load_report_or_none")]
    load: Option<LoadReportWire>,
}

impl From<AttemptEndedWire> for Event {
    fn from(wire: AttemptEndedWire) -> Self {
        Event::AttemptEnded {
            part: PartId(wire.part),
            attempt: wire.attempt as u32,
            outcome: wire.outcome.into(),
            elapsed: wire.elapsed_ms,
            load: wire.load.and_then(|report| report.requests()),
        }
    }
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, Deserialize)]
enum OutcomeWire {
    #[serde(rename = "served")]
    Served,
    #[serde(rename = "server_error")]
    Error,
    #[serde(rename = "turned_away")]
    Overloaded,
    #[serde(rename = "no_answer")]
    TimedOut,
    #[serde(rename = "no_connection")]
    Unreachable,
    #[serde(rename = "connection_lost")]
    ConnectionLost,
    #[serde(rename = "called_off")]
    Cancelled,
    #[serde(rename = "not_sent")]
    NotSent,
}

impl From<OutcomeWire> for Outcome {
    fn from(wire: OutcomeWire) -> Self {
        match wire {
            OutcomeWire::Served => Outcome::Served,
            OutcomeWire::Error => Outcome::Error,
            OutcomeWire::Overloaded => Outcome::Overloaded,
            OutcomeWire::TimedOut => Outcome::TimedOut,
            OutcomeWire::Unreachable => Outcome::Unreachable,
            OutcomeWire::ConnectionLost => Outcome::ConnectionLost,
            OutcomeWire::Cancelled => Outcome::Cancelled,
            OutcomeWire::NotSent => Outcome::NotSent,
        }
    }
}

/// A server's report of its load. The number of waiting requests is used only if the field with the
/// number in flight is absent. If that field is present but malformed, the whole report is ignored.
/// A field that is null counts as present and malformed.
#[derive(Debug, Deserialize)]
struct LoadReportWire {
    #[serde(rename = "rif", default, deserialize_with = "value_or_null")]
    requests_in_flight: Option<Value>,
    #[serde(rename = "q", default, deserialize_with = "value_or_null")]
    requests_waiting: Option<Value>,
}

impl LoadReportWire {
    /// Returns the number of requests in flight or, if that field is absent, of requests waiting.
    /// Returns `None` if both are absent or the value is not a number of at least 0.
    fn requests(&self) -> Option<f64> {
        let requests = self.requests_in_flight.as_ref();
        let requests = requests.or(self.requests_waiting.as_ref())?;
        requests.as_f64().filter(|count| *count >= 0.0)
    }
}

/// Deserializes a load report. A value that is not an object is read as `None`.
fn load_report_or_none<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<LoadReportWire>, D::Error> {
    match Value::deserialize(deserializer)? {
        Value::Object(fields) => Ok(LoadReportWire::deserialize(fields).ok()),
        _ => Ok(None),
    }
}

/// Deserializes a field that is present as `Some`, even if its value is null.
fn value_or_null<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Value>, D::Error> {
    Value::deserialize(deserializer).map(Some)
}
