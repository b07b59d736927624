//! Helpers that the tests share: settings, builders of events, filters and builders of actions, and
//! a harness that runs an aggregator.

mod actions;
mod events;
mod harness;
mod settings;

pub use actions::{
    SentAttempt, cancels_an_attempt, complete_answer, failed, final_responses, partial_answer,
    rejected, sent_attempts, servers_of,
};
pub use events::{
    all_ended, attempt_ended, endpoint, list_event, part_id, query_id, served, started_endpoint,
};
pub use harness::Harness;
pub use settings::{
    class, class_without_late_weight, one_cell, ring, ring_with_class, ring_with_gossip,
    ring_without_hedging, ring_without_retries, two_cells,
};
