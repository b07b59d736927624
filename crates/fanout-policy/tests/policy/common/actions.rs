//! Filters that pick attempts, final responses and cancellations out of an aggregator's actions,
//! and builders of the final responses that tests expect.

use super::events::query_id;
use super::settings::MAX_RETRY_AFTER;
use fanout_policy::api::{Action, Ms};
use std::collections::BTreeSet;

/// The contents of an [`Action::SendAttempt`], with its identifiers as plain strings.
#[derive(Clone, Debug, PartialEq)]
pub struct SentAttempt {
    pub part: String,
    pub node: String,
    pub timeout: Option<Ms>,
}

/// Returns the attempts that the actions send, in order.
pub fn sent_attempts(actions: &[Action]) -> Vec<SentAttempt> {
    let to_attempt = |action: &Action| match action {
        Action::SendAttempt {
            part,
            node,
            timeout,
        } => Some(SentAttempt {
            part: part.0.to_string(),
            node: node.0.to_string(),
            timeout: *timeout,
        }),
        _ => None,
    };
    actions.iter().filter_map(to_attempt).collect()
}

/// Returns the names of the servers to which the actions send attempts.
pub fn servers_of(actions: &[Action]) -> BTreeSet<String> {
    sent_attempts(actions)
        .into_iter()
        .map(|attempt| attempt.node)
        .collect()
}

/// Returns the actions that end a query or give its first answer: `Answer`, `Reject` and `Fail`.
pub fn final_responses(actions: &[Action]) -> Vec<Action> {
    let is_final = |action: &&Action| {
        matches!(
            action,
            Action::Answer { .. } | Action::Reject { .. } | Action::Fail { .. }
        )
    };
    actions.iter().filter(is_final).cloned().collect()
}

/// Creates the rejection of the query `name` with the maximum retry-after value of the settings.
pub fn rejected(name: &str) -> Action {
    Action::Reject {
        query: query_id(name),
        retry_after: Some(MAX_RETRY_AFTER),
    }
}

/// Creates the failure of the query `name`, which doesn't tell the client that a retry is safe.
pub fn failed(name: &str) -> Action {
    Action::Fail {
        query: query_id(name),
    }
}

/// Creates the complete answer to the query `name`.
pub fn complete_answer(name: &str) -> Action {
    Action::Answer {
        query: query_id(name),
        complete: true,
    }
}

/// Creates the partial answer to the query `name`.
pub fn partial_answer(name: &str) -> Action {
    Action::Answer {
        query: query_id(name),
        complete: false,
    }
}

/// Returns whether any of the actions cancels an attempt.
pub fn cancels_an_attempt(actions: &[Action]) -> bool {
    let is_cancellation = |action: &Action| matches!(action, Action::CancelAttempt { .. });
    actions.iter().any(is_cancellation)
}
