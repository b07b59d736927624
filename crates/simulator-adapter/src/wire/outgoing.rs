//! Messages to the simulator: the actions of instances, and the end of a reply.

use fanout_policy::api::Action;
use serde::Serialize;
use std::fmt;

/// Number of the timer. Each instance needs only one, so all timers have the same number.
const TIMER_NUMBER: u32 = 0;
/// The value that addresses gossip to all other aggregators.
const ALL_AGGREGATORS: &str = "all";

/// An action of an instance.
#[derive(Debug, Serialize)]
#[serde(tag = "t")]
pub(crate) enum ActionWire<'a> {
    #[serde(rename = "Issue")]
    SendAttempt {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "OpId")]
        part: &'a str,
        #[serde(rename = "Node")]
        node: &'a str,
        /// Timeout of the attempt; 0 if it has none.
        #[serde(rename = "Within")]
        timeout_ms: f64,
    },
    #[serde(rename = "AbortAttempt")]
    CancelAttempt {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "OpId")]
        part: &'a str,
        #[serde(rename = "Hop")]
        attempt: u32,
    },
    #[serde(rename = "Answer")]
    Answer {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "OpId")]
        query: &'a str,
        #[serde(rename = "Full")]
        complete: bool,
    },
    #[serde(rename = "NotNow")]
    Reject {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "OpId")]
        query: &'a str,
        /// Time after which the client may retry; 0 if the rejection gives none.
        #[serde(rename = "ComeBack")]
        retry_after_ms: f64,
    },
    #[serde(rename = "FinishError")]
    Fail {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "OpId")]
        query: &'a str,
    },
    #[serde(rename = "WritePeer")]
    PublishLoad {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "Dst")]
        receivers: &'static str,
        /// Encoded message, as pairs of hexadecimal digits.
        #[serde(rename = "Contents")]
        contents: String,
    },
    #[serde(rename = "KeepInformed")]
    PollEndpointList {
        #[serde(rename = "I")]
        instance: u64,
        /// `true` to start polling for changes of the endpoint list, `false` to stop it. The
        /// adapter never stops it.
        #[serde(rename = "Full")]
        starts_polling: bool,
    },
    #[serde(rename = "After")]
    SetTimer {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "Span")]
        after_ms: f64,
        #[serde(rename = "Ref")]
        timer: u32,
    },
}

impl<'a> ActionWire<'a> {
    /// Creates the message for an action of the instance with the number `instance`.
    pub(crate) fn new(instance: u64, action: &'a Action) -> Self {
        match action {
            Action::SendAttempt {
                part,
                node,
                timeout,
            } => ActionWire::SendAttempt {
                instance,
                part: &part.0,
                node: &node.0,
                timeout_ms: timeout.unwrap_or(0.0),
            },
            Action::CancelAttempt { part, attempt } => ActionWire::CancelAttempt {
                instance,
                part: &part.0,
                attempt: *attempt,
            },
            Action::Answer { query, complete } => ActionWire::Answer {
                instance,
                query: &query.0,
                complete: *complete,
            },
            Action::Reject { query, retry_after } => ActionWire::Reject {
                instance,
                query: &query.0,
                retry_after_ms: retry_after.unwrap_or(0.0),
            },
            Action::Fail { query } => ActionWire::Fail {
                instance,
                query: &query.0,
            },
            Action::PublishLoad { bytes } => ActionWire::PublishLoad {
                instance,
                receivers: ALL_AGGREGATORS,
                contents: hex::encode(bytes),
            },
            Action::PollEndpointList => ActionWire::PollEndpointList {
                instance,
                starts_polling: true,
            },
            Action::SetTimer { after } => ActionWire::SetTimer {
                instance,
                after_ms: *after,
                timer: TIMER_NUMBER,
            },
        }
    }
}

/// The end of the reply to a batch.
#[derive(Debug, Serialize)]
#[serde(tag = "t", rename = "End")]
pub(crate) struct EndOfBatchWire {
    #[serde(rename = "n")]
    pub(crate) batch: u64,
}

/// Writes a message as one line of JSON. The conversion to a JSON value sorts the fields by name.
fn write_line(message: &impl Serialize, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let value = serde_json::to_value(message).map_err(|_| fmt::Error)?;
    write!(f, "{value}")
}

impl fmt::Display for ActionWire<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_line(self, f)
    }
}

impl fmt::Display for EndOfBatchWire {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_line(self, f)
    }
}
