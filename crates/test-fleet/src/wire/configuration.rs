//! Format of the platform file, which contains the settings of the broker's policy.

use serde::Serialize;
use serde_json::Value;

/// Contents of the platform file.
#[derive(Debug, Serialize)]
pub(crate) struct PlatformFileWire<'a> {
    pub(crate) name: &'static str,
    pub(crate) listen: &'a str,
    pub(crate) discovery: String,
    /// Seed of the broker's random numbers: sixteen hexadecimal digits.
    pub(crate) seed: &'static str,
    pub(crate) limits: LimitsWire,
    /// Endpoint list in the format of discovery, for use before discovery has answered.
    #[serde(rename = "known")]
    pub(crate) cached_endpoints: Value,
    pub(crate) settings: SettingsWire,
}

/// Limits on the resources of the broker's process.
#[derive(Debug, Serialize)]
pub(crate) struct LimitsWire {
    pub(crate) sockets: usize,
    pub(crate) memory_mb: usize,
}

/// Settings of the broker's policy.
#[derive(Debug, Serialize)]
pub(crate) struct SettingsWire {
    #[serde(rename = "Allowed")]
    pub(crate) permissions: PermissionsWire,
    #[serde(rename = "Clients")]
    pub(crate) clients: ClientsWire,
    #[serde(rename = "FamilyInfo")]
    pub(crate) data_layout: DataLayoutWire,
    #[serde(rename = "MembershipMode")]
    pub(crate) list_source: EndpointListSourceWire,
    /// Factor on the priority weight of queries whose tenant exceeds its quota.
    #[serde(rename = "OverShareWorth")]
    pub(crate) over_quota_weight: f64,
    #[serde(rename = "PeersTotal")]
    pub(crate) aggregators: usize,
    #[serde(rename = "Projects")]
    pub(crate) tenants: Vec<TenantWire>,
    #[serde(rename = "Rules")]
    pub(crate) rules: RulesWire,
    #[serde(rename = "Services")]
    pub(crate) classes: Vec<ClassWire>,
    #[serde(rename = "Tick")]
    pub(crate) tick_ms: f64,
    #[serde(rename = "WorthBy")]
    pub(crate) weight_basis: WeightBasisWire,
    #[serde(rename = "Zones")]
    pub(crate) zones: Vec<&'static str>,
}

/// Limits on what the broker does, and features that the deployment allows.
#[derive(Debug, Serialize)]
pub(crate) struct PermissionsWire {
    #[serde(rename = "Cancel")]
    pub(crate) cancellation: bool,
    #[serde(rename = "DialTimeout")]
    pub(crate) dial_timeout_ms: f64,
    /// Time after which a data server closes an idle connection.
    #[serde(rename = "Keepalive")]
    pub(crate) idle_timeout_ms: f64,
    #[serde(rename = "MaxOpen")]
    pub(crate) max_in_flight: usize,
    #[serde(rename = "MaxRetryAfter")]
    pub(crate) max_retry_after_ms: f64,
    #[serde(rename = "Multiplex")]
    pub(crate) max_parts_per_connection: usize,
    #[serde(rename = "Peers")]
    pub(crate) gossip: bool,
    #[serde(rename = "Probes")]
    pub(crate) load_probes: bool,
    #[serde(rename = "RetryAfter")]
    pub(crate) retry_after: bool,
    #[serde(rename = "SecondCopies")]
    pub(crate) hedging: bool,
    #[serde(rename = "SendCap")]
    pub(crate) max_attempts: usize,
}

/// Behavior of the clients.
#[derive(Debug, Serialize)]
pub(crate) struct ClientsWire {
    #[serde(rename = "MarksRetry")]
    pub(crate) marks_retries: bool,
}

/// Layout of the data over the servers. Each list has one number for each class.
#[derive(Debug, Serialize)]
pub(crate) struct DataLayoutWire {
    #[serde(rename = "Batch")]
    pub(crate) max_parts_per_call: usize,
    /// Work of a call at its server, in addition to the work of its parts.
    #[serde(rename = "Call")]
    pub(crate) call_cost_ms: f64,
    /// Minimum shares of the total part weight that make an answer complete.
    #[serde(rename = "ClassNeed")]
    pub(crate) required_shares: Vec<f64>,
    #[serde(rename = "FetchParts")]
    pub(crate) second_step_parts: Vec<u32>,
    /// Minimum shares of the total part weight with which a partial answer may be given.
    #[serde(rename = "MinShare")]
    pub(crate) minimum_shares: Vec<f64>,
    /// Factors on the weight of partial answers.
    #[serde(rename = "PartialEarns")]
    pub(crate) partial_weights: Vec<f64>,
    #[serde(rename = "Positions")]
    pub(crate) cells: usize,
    #[serde(rename = "Shards")]
    pub(crate) shards: usize,
    /// Number of adjacent cells that hold each shard.
    #[serde(rename = "Width")]
    pub(crate) replica_cells: usize,
}

/// A tenant.
#[derive(Debug, Serialize)]
pub(crate) struct TenantWire {
    #[serde(rename = "Name")]
    pub(crate) name: &'static str,
    #[serde(rename = "QuotaPerS")]
    pub(crate) quota_per_s: f64,
    #[serde(rename = "Share")]
    pub(crate) share: f64,
}

/// Rules of the deployment for polls of the endpoint list, overload and warm-ups.
#[derive(Debug, Serialize)]
pub(crate) struct RulesWire {
    /// Time without a poll after which the rules treat the broker as informed of each change that
    /// has been in the endpoint list for this time.
    #[serde(rename = "AskWithin")]
    pub(crate) list_poll_deadline_ms: f64,
    /// Time from its start after which a server has its full capacity.
    #[serde(rename = "Cold")]
    pub(crate) warm_up_ms: f64,
    /// Minimum share of its full capacity that a server has when it starts.
    #[serde(rename = "ColdFrom")]
    pub(crate) initial_capacity: f64,
    /// Length of the overload after which a warming server fails, see `overload_factor`.
    #[serde(rename = "Fall")]
    pub(crate) overload_window_ms: f64,
    /// Multiple of its current capacity above which a warming server is overloaded.
    #[serde(rename = "FallMultiple")]
    pub(crate) overload_factor: f64,
}

/// A class of queries.
#[derive(Debug, Serialize)]
pub(crate) struct ClassWire {
    #[serde(rename = "Name")]
    pub(crate) name: &'static str,
    #[serde(rename = "Aim")]
    pub(crate) latency_objective_ms: f64,
    #[serde(rename = "GiveUp")]
    pub(crate) client_timeout_ms: f64,
    #[serde(rename = "Gain")]
    pub(crate) priority_weight: f64,
    /// Weight of an answer after the latency objective, as a fraction of the priority weight.
    #[serde(rename = "LateWorth")]
    pub(crate) late_weight: f64,
    #[serde(rename = "Semantics")]
    pub(crate) retry_safety: RetrySafetyWire,
    #[serde(rename = "MemorySpan")]
    pub(crate) idempotency_window_ms: f64,
}

/// Condition under which a part may be executed more than once.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) enum RetrySafetyWire {
    /// It may always be executed again.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Data servers drop further executions under the same idempotency key.
    #[serde(rename = "by_key")]
    IdempotencyKey,
}

/// Source of the broker's endpoint list.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) enum EndpointListSourceWire {
    /// Discovery notifies the broker of each change.
    #[serde(rename = "pushed")]
    Pushed,
}

/// Quantity that the priority weight of a query is proportional to.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) enum WeightBasisWire {
    /// A constant: all queries of a class have the same priority weight.
    #[serde(rename = "request")]
    Request,
}
