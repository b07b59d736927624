//! The actions of an aggregator: attempts among them, and the final responses that are expected.

use super::events::query_id;
use super::settings::MAX_RETRY_AFTER;
use fanout_policy::api::{Action, Ms};
use std::collections::BTreeSet;

/// An attempt among the actions.
#[derive(Clone, Debug, PartialEq)]
pub struct SentAttempt {
    pub part: String,
    pub node: String,
    pub timeout: Option<Ms>,
}

/// The attempts among the actions.
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

/// The servers that attempts among the actions go to.
pub fn servers_of(actions: &[Action]) -> BTreeSet<String> {
    sent_attempts(actions)
        .into_iter()
        .map(|attempt| attempt.node)
        .collect()
}

/// The final responses among the actions.
pub fn final_responses(actions: &[Action]) -> Vec<Action> {
    let is_final = |action: &&Action| {
        matches!(
            action,
            Action::Answer { .. } | Action::Reject { .. } | Action::Fail { .. }
        )
    };
    actions.iter().filter(is_final).cloned().collect()
}

/// The rejection of a query with the largest retry-after value.
pub fn rejected(name: &str) -> Action {
    Action::Reject {
        query: query_id(name),
        retry_after: Some(MAX_RETRY_AFTER),
    }
}

/// The failure of a query.
pub fn failed(name: &str) -> Action {
    Action::Fail {
        query: query_id(name),
    }
}

/// The complete answer to a query.
pub fn complete_answer(name: &str) -> Action {
    Action::Answer {
        query: query_id(name),
        complete: true,
    }
}

/// The partial answer to a query.
pub fn partial_answer(name: &str) -> Action {
    Action::Answer {
        query: query_id(name),
        complete: false,
    }
}

/// Whether an attempt is cancelled by one of the actions.
pub fn cancels_an_attempt(actions: &[Action]) -> bool {
    let is_cancellation = |action: &Action| matches!(action, Action::CancelAttempt { .. });
    actions.iter().any(is_cancellation)
}
