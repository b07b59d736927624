//! Encodes actions of the policy as messages to the simulator.

use fanout_policy::api::Action;
use serde_json::{Value, json};

/// The message for an action of an instance.
pub(crate) fn encode_action(instance: u64, action: &Action) -> Value {
    match action {
        Action::SendAttempt {
            part,
            node,
            timeout,
        } => {
            let timeout = timeout.unwrap_or(0.0);
            json!({"t": "Issue", "I": instance, "OpId": &*part.0, "Within": timeout, "Node": &*node.0})
        }
        Action::CancelAttempt { part, attempt } => {
            json!({"t": "AbortAttempt", "I": instance, "OpId": &*part.0, "Hop": attempt})
        }
        Action::Answer { query, complete } => {
            json!({"t": "Answer", "I": instance, "OpId": &*query.0, "Full": complete})
        }
        Action::Reject { query, retry_after } => {
            let retry_after = retry_after.unwrap_or(0.0);
            json!({"t": "NotNow", "I": instance, "OpId": &*query.0, "ComeBack": retry_after})
        }
        Action::Fail { query } => {
            json!({"t": "FinishError", "I": instance, "OpId": &*query.0})
        }
        Action::PublishLoad { bytes } => {
            json!({"t": "WritePeer", "I": instance, "Dst": "all", "Contents": hex::encode(bytes)})
        }
        Action::PollEndpointList => json!({"t": "KeepInformed", "I": instance, "Full": true}),
        Action::SetTimer { after } => {
            json!({"t": "After", "I": instance, "Span": after, "Ref": 0})
        }
    }
}

/// The message that ends the reply to a batch.
pub(crate) fn encode_end_of_batch(batch: u64) -> Value {
    json!({"t": "End", "n": batch})
}
