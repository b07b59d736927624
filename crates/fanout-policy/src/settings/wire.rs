//! The settings object on the wire: names and types of its fields.

mod conversion;

use serde::Deserialize;
use wire_fields::{
    Deferred, choice, choice_or_none, deferred_number, flag, number, numbers, object, objects,
    optional_number, optional_object, optional_objects, optional_whole_number, text_or_empty,
    texts_or_empty, whole_number,
};

/// The settings object.
#[derive(Clone, Debug, Deserialize)]
pub struct SettingsWire {
    #[serde(rename = "FamilyInfo", deserialize_with = "object")]
    data_layout: DataLayoutWire,
    #[serde(rename = "Allowed", deserialize_with = "object")]
    permissions: PermissionsWire,
    #[serde(rename = "Rules", deserialize_with = "object")]
    rules: RulesWire,
    #[serde(rename = "MembershipMode", deserialize_with = "choice")]
    list_source: EndpointListSourceWire,
    #[serde(rename = "Services", deserialize_with = "objects")]
    classes: Vec<ClassWire>,
    #[serde(rename = "Projects", default, deserialize_with = "optional_objects")]
    tenants: Vec<TenantWire>,
    #[serde(rename = "Zones", default, deserialize_with = "texts_or_empty")]
    zone_names: Vec<String>,
    #[serde(rename = "Clients", default, deserialize_with = "optional_object")]
    clients: Option<ClientsWire>,
    #[serde(rename = "PeersTotal", deserialize_with = "whole_number")]
    aggregators: u64,
    #[serde(
        rename = "Locality",
        default,
        deserialize_with = "optional_whole_number"
    )]
    zone: Option<u64>,
    #[serde(
        rename = "OverShareWorth",
        default,
        deserialize_with = "optional_number"
    )]
    over_quota_weight: Option<f64>,
    #[serde(rename = "WorthBy", default, deserialize_with = "choice_or_none")]
    weight_basis: Option<WeightBasisWire>,
    #[serde(rename = "Tick", deserialize_with = "number")]
    tick_ms: f64,
}

/// Layout of the data over the servers, maximum size and cost of a call to a server, and rules for
/// the answers and the second step of each class. Each list has one number for each class.
#[derive(Clone, Debug, Deserialize)]
struct DataLayoutWire {
    #[serde(rename = "ClassNeed", deserialize_with = "numbers")]
    required_shares: Vec<f64>,
    #[serde(rename = "MinShare", deserialize_with = "numbers")]
    minimum_shares: Vec<f64>,
    #[serde(rename = "PartialEarns", deserialize_with = "numbers")]
    partial_weights: Vec<f64>,
    #[serde(rename = "FetchParts", deserialize_with = "numbers")]
    second_step_parts: Vec<f64>,
    #[serde(rename = "Positions", deserialize_with = "whole_number")]
    cells: u64,
    #[serde(rename = "Width", deserialize_with = "whole_number")]
    replica_cells: u64,
    #[serde(rename = "Shards", deserialize_with = "whole_number")]
    shards: u64,
    #[serde(rename = "Batch", deserialize_with = "whole_number")]
    max_parts_per_call: u64,
    #[serde(rename = "Call", deserialize_with = "number")]
    call_cost_ms: f64,
}

/// Limits on what an aggregator does, and features that the deployment allows.
#[derive(Clone, Debug, Deserialize)]
struct PermissionsWire {
    #[serde(rename = "SendCap", deserialize_with = "whole_number")]
    max_attempts: u64,
    #[serde(rename = "SecondCopies", default, deserialize_with = "flag")]
    hedging: bool,
    #[serde(rename = "Cancel", default, deserialize_with = "flag")]
    cancellation: bool,
    #[serde(rename = "Peers", default, deserialize_with = "flag")]
    gossip: bool,
    #[serde(rename = "RetryAfter", default, deserialize_with = "flag")]
    retry_after: bool,
    /// Read only if `retry_after` is set; a fault in it is ignored otherwise.
    #[serde(
        rename = "MaxRetryAfter",
        default,
        deserialize_with = "deferred_number"
    )]
    max_retry_after_ms: Deferred<f64>,
    /// Maximum number of queries and parts in flight at one aggregator, added together.
    #[serde(
        rename = "MaxOpen",
        default,
        deserialize_with = "optional_whole_number"
    )]
    max_in_flight: Option<u64>,
    /// Maximum number of parts in flight on one connection to a server.
    #[serde(
        rename = "Multiplex",
        default,
        deserialize_with = "optional_whole_number"
    )]
    max_parts_per_connection: Option<u64>,
    /// Maximum time to establish a connection to a server.
    #[serde(rename = "DialTimeout", default, deserialize_with = "optional_number")]
    dial_timeout_ms: Option<f64>,
    /// Time after which a server closes an idle connection.
    #[serde(rename = "Keepalive", default, deserialize_with = "optional_number")]
    idle_timeout_ms: Option<f64>,
}

/// Rules of the deployment for polls of the endpoint list, retries and warm-ups.
#[derive(Clone, Debug, Deserialize)]
struct RulesWire {
    #[serde(rename = "AskWithin", default, deserialize_with = "optional_number")]
    list_poll_deadline_ms: Option<f64>,
    #[serde(
        rename = "SpareAttempts",
        default,
        deserialize_with = "optional_number"
    )]
    free_retries: Option<f64>,
    #[serde(rename = "ExtraRatio", default, deserialize_with = "optional_number")]
    retries_per_request: Option<f64>,
    #[serde(rename = "RatioSpan", default, deserialize_with = "optional_number")]
    retry_window_ms: Option<f64>,
    #[serde(rename = "ColdFrom", deserialize_with = "number")]
    initial_capacity: f64,
    #[serde(rename = "Cold", deserialize_with = "number")]
    warm_up_ms: f64,
    #[serde(rename = "FallMultiple", deserialize_with = "number")]
    overload_factor: f64,
    #[serde(rename = "Fall", deserialize_with = "number")]
    overload_window_ms: f64,
}

/// Settings of one query class.
#[derive(Clone, Debug, Deserialize)]
struct ClassWire {
    #[serde(rename = "Name", default, deserialize_with = "text_or_empty")]
    name: String,
    #[serde(rename = "Semantics", deserialize_with = "choice")]
    retry_safety: RetrySafetyWire,
    /// Required if `retry_safety` is [`RetrySafetyWire::IdempotencyKey`]; not read otherwise.
    #[serde(rename = "MemorySpan", default, deserialize_with = "deferred_number")]
    idempotency_window_ms: Deferred<f64>,
    #[serde(rename = "Aim", deserialize_with = "number")]
    latency_objective_ms: f64,
    #[serde(rename = "GiveUp", deserialize_with = "number")]
    client_timeout_ms: f64,
    #[serde(rename = "Gain", deserialize_with = "number")]
    priority_weight: f64,
    #[serde(rename = "LateWorth", deserialize_with = "number")]
    late_weight: f64,
}

/// Settings of one tenant.
#[derive(Clone, Debug, Deserialize)]
struct TenantWire {
    #[serde(rename = "Name", default, deserialize_with = "text_or_empty")]
    name: String,
    #[serde(rename = "QuotaPerS", deserialize_with = "number")]
    quota_per_s: f64,
}

/// Behavior of the clients.
#[derive(Clone, Debug, Deserialize)]
struct ClientsWire {
    #[serde(rename = "MarksRetry", default, deserialize_with = "flag")]
    marks_retries: bool,
}

/// Quantity to which the priority weight of a query is proportional. If the setting is absent, all
/// queries of a class have the same weight.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
enum WeightBasisWire {
    #[serde(rename = "work")]
    Work,
}

/// How the endpoint list reaches the aggregator.
#[derive(Clone, Copy, Debug, Deserialize)]
enum EndpointListSourceWire {
    #[serde(rename = "pushed")]
    Pushed,
    #[serde(rename = "on_request")]
    Polled,
}

/// Whether a part may safely be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize)]
enum RetrySafetyWire {
    #[serde(rename = "repeatable")]
    Idempotent,
    #[serde(rename = "by_key")]
    IdempotencyKey,
    #[serde(rename = "once")]
    NotIdempotent,
}
