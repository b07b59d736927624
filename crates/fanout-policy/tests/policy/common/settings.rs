//! Classes and settings for the tests.

use fanout_policy::api::{Class, EndpointListSource, Ms, RetrySafety, Settings, WarmUp};

/// Maximum retry-after value that clients respect, in milliseconds.
pub const MAX_RETRY_AFTER: Ms = 50.0;
/// Minimum time between two batches, in milliseconds.
pub const TICK: Ms = 5.0;

/// Creates a class of idempotent queries, which are answered from all their parts only, within a
/// latency objective of one second.
pub fn class() -> Class {
    Class {
        latency_objective: 1000.0,
        client_timeout: 4000.0,
        priority_weight: 1.0,
        late_weight: 0.3,
        retry_safety: RetrySafety::Idempotent,
        required_share: 1.0,
        minimum_share: 1.0,
        partial_weight: 0.9,
        has_second_step: false,
    }
}

/// Creates the class of [`class`], except that an answer after the latency objective has no weight.
pub fn class_without_late_weight() -> Class {
    Class {
        late_weight: 0.0,
        ..class()
    }
}

/// Creates the settings of a fleet of six cells, where three adjacent cells hold each shard and the
/// first cell follows the last.
pub fn ring() -> Settings {
    Settings {
        classes: vec![class()],
        tenants: vec![],
        aggregators: 2,
        zone: None,
        over_quota_weight: 0.2,
        weight_by_work: false,
        marks_retries: false,
        cells: 6,
        replica_cells: 3,
        shards: 12,
        max_parts_per_call: 8,
        call_cost: 20.0,
        max_attempts: 3,
        hedging: true,
        cancellation: true,
        max_retry_after: Some(MAX_RETRY_AFTER),
        gossip: false,
        tick: TICK,
        list_source: EndpointListSource::Pushed,
        list_poll_deadline: 10_000.0,
        retry_budget: None,
        warm_up: WarmUp {
            initial_capacity: 0.2,
            duration: 10_000.0,
            overload_factor: 2.0,
            overload_window: 2000.0,
        },
    }
}

/// Creates the settings of [`ring`] with `class` as the only class.
pub fn ring_with_class(class: Class) -> Settings {
    Settings {
        classes: vec![class],
        ..ring()
    }
}

/// Creates the settings of [`ring`] with `class` as the only class and one attempt for each part.
pub fn ring_without_retries(class: Class) -> Settings {
    Settings {
        max_attempts: 1,
        ..ring_with_class(class)
    }
}

/// Creates the settings of [`ring`] with gossip between the aggregators.
pub fn ring_with_gossip() -> Settings {
    Settings {
        gossip: true,
        ..ring()
    }
}

/// Creates the settings of [`ring`] without hedging: a part has at most one attempt in flight.
pub fn ring_without_hedging() -> Settings {
    Settings {
        hedging: false,
        ..ring()
    }
}

/// Creates the settings of a fleet with one cell, which holds all shards.
pub fn one_cell() -> Settings {
    Settings {
        cells: 1,
        replica_cells: 1,
        ..ring()
    }
}

/// Creates the settings of a fleet with two cells, each of which holds every second shard.
pub fn two_cells() -> Settings {
    Settings {
        cells: 2,
        replica_cells: 1,
        shards: 6,
        ..ring()
    }
}
