//! The platform's file, with the settings of the decisions.

use serde::Serialize;
use serde_json::Value;

/// The platform's file.
#[derive(Debug, Serialize)]
pub(crate) struct PlatformFileWire<'a> {
    pub(crate) name: &'static str,
    pub(crate) listen: &'a str,
    pub(crate) discovery: String,
    /// Sixteen hexadecimal digits.
    pub(crate) seed: &'static str,
    pub(crate) limits: LimitsWire,
    #[serde(rename = "known")]
    pub(crate) cached_endpoints: Value,
    pub(crate) settings: SettingsWire,
}

/// Limits on the broker's process.
#[derive(Debug, Serialize)]
pub(crate) struct LimitsWire {
    pub(crate) sockets: usize,
    pub(crate) memory_mb: usize,
}

/// The settings of the decisions.
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

/// What the broker may do.
#[derive(Debug, Serialize)]
pub(crate) struct PermissionsWire {
    #[serde(rename = "Cancel")]
    pub(crate) cancellation: bool,
    #[serde(rename = "DialTimeout")]
    pub(crate) dial_timeout_ms: f64,
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

/// How clients behave.
#[derive(Debug, Serialize)]
pub(crate) struct ClientsWire {
    #[serde(rename = "MarksRetry")]
    pub(crate) marks_retries: bool,
}

/// How the data is laid out, with lists that have one number for each class.
#[derive(Debug, Serialize)]
pub(crate) struct DataLayoutWire {
    #[serde(rename = "Batch")]
    pub(crate) max_parts_per_call: usize,
    #[serde(rename = "Call")]
    pub(crate) call_cost_ms: f64,
    #[serde(rename = "ClassNeed")]
    pub(crate) required_shares: Vec<f64>,
    #[serde(rename = "FetchParts")]
    pub(crate) second_step_parts: Vec<u32>,
    #[serde(rename = "MinShare")]
    pub(crate) minimum_shares: Vec<f64>,
    #[serde(rename = "PartialEarns")]
    pub(crate) partial_weights: Vec<f64>,
    #[serde(rename = "Positions")]
    pub(crate) cells: usize,
    #[serde(rename = "Shards")]
    pub(crate) shards: usize,
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

/// Rules that the deployment sets.
#[derive(Debug, Serialize)]
pub(crate) struct RulesWire {
    #[serde(rename = "AskWithin")]
    pub(crate) list_poll_deadline_ms: f64,
    #[serde(rename = "Cold")]
    pub(crate) warm_up_ms: f64,
    #[serde(rename = "ColdFrom")]
    pub(crate) initial_capacity: f64,
    #[serde(rename = "Fall")]
    pub(crate) overload_window_ms: f64,
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
    #[serde(rename = "LateWorth")]
    pub(crate) late_weight: f64,
    #[serde(rename = "Semantics")]
    pub(crate) retry_safety: RetrySafetyWire,
    #[serde(rename = "MemorySpan")]
    pub(crate) idempotency_window_ms: f64,
}

/// Whether a part may safely be executed more than once.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) enum RetrySafetyWire {
    #[serde(rename = "repeatable")]
    Idempotent,
    #[serde(rename = "by_key")]
    IdempotencyKey,
}

/// How the endpoint list reaches the broker.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) enum EndpointListSourceWire {
    #[serde(rename = "pushed")]
    Pushed,
}

/// What the priority weight of a query is proportional to.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) enum WeightBasisWire {
    /// The same for all queries of a class.
    #[serde(rename = "request")]
    Request,
}
