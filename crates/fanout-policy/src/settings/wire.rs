//! The settings object on the wire: the only place with the names of its fields.

use super::SiteSettings;
use crate::api::{Class, EndpointListSource, RetryBudget, RetrySafety, Settings, Tenant, WarmUp};
use serde::Deserialize;
use wire_fields::{
    Deferred, FieldError, FieldProblem, choice, choice_or_none, deferred_number, flag, number,
    numbers, object, objects, optional_number, optional_object, optional_objects,
    optional_whole_number, text_or_empty, texts_or_empty, whole_number,
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

/// How the data is laid out, with lists that have one number for each class.
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

/// What aggregators may do.
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
    /// Needed where `retry_after` is set.
    #[serde(
        rename = "MaxRetryAfter",
        default,
        deserialize_with = "deferred_number"
    )]
    max_retry_after_ms: Deferred<f64>,
    #[serde(
        rename = "MaxOpen",
        default,
        deserialize_with = "optional_whole_number"
    )]
    max_in_flight: Option<u64>,
    #[serde(
        rename = "Multiplex",
        default,
        deserialize_with = "optional_whole_number"
    )]
    max_parts_per_connection: Option<u64>,
    #[serde(rename = "DialTimeout", default, deserialize_with = "optional_number")]
    dial_timeout_ms: Option<f64>,
    #[serde(rename = "Keepalive", default, deserialize_with = "optional_number")]
    idle_timeout_ms: Option<f64>,
}

/// Rules that the deployment sets.
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

/// A class of queries.
#[derive(Clone, Debug, Deserialize)]
struct ClassWire {
    #[serde(rename = "Name", default, deserialize_with = "text_or_empty")]
    name: String,
    #[serde(rename = "Semantics", deserialize_with = "choice")]
    retry_safety: RetrySafetyWire,
    /// Needed where repeats are deduplicated by an idempotency key.
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

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
struct TenantWire {
    #[serde(rename = "Name", default, deserialize_with = "text_or_empty")]
    name: String,
    #[serde(rename = "QuotaPerS", deserialize_with = "number")]
    quota_per_s: f64,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
struct ClientsWire {
    #[serde(rename = "MarksRetry", default, deserialize_with = "flag")]
    marks_retries: bool,
}

/// What the priority weight of a query is proportional to, where it is not the same for all queries of a class.
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

/// Fails where a field is missing that others make necessary.
impl TryFrom<SettingsWire> for SiteSettings {
    type Error = FieldError;

    fn try_from(wire: SettingsWire) -> Result<Self, FieldError> {
        let class_names = wire.classes.iter().map(|class| class.name.clone());
        let tenant_names = wire.tenants.iter().map(|tenant| tenant.name.clone());
        Ok(SiteSettings {
            class_names: class_names.collect(),
            tenant_names: tenant_names.collect(),
            zone_names: wire.zone_names.clone(),
            max_in_flight: wire.permissions.max_in_flight,
            max_parts_per_connection: wire.permissions.max_parts_per_connection,
            dial_timeout: wire.permissions.dial_timeout_ms,
            idle_timeout: wire.permissions.idle_timeout_ms,
            settings: wire.try_into()?,
        })
    }
}

impl TryFrom<SettingsWire> for Settings {
    type Error = FieldError;

    fn try_from(wire: SettingsWire) -> Result<Self, FieldError> {
        let layout = wire.data_layout;
        let mut classes = Vec::new();
        for (index, class) in wire.classes.into_iter().enumerate() {
            classes.push(class.with_figures(layout.figures_of_class(index)?)?);
        }
        Ok(Settings {
            classes,
            tenants: wire.tenants.into_iter().map(Tenant::from).collect(),
            aggregators: wire.aggregators as usize,
            zone: wire.zone.map(|zone| zone as usize),
            over_quota_weight: wire.over_quota_weight.unwrap_or(1.0),
            weight_by_work: wire.weight_basis == Some(WeightBasisWire::Work),
            marks_retries: wire.clients.is_some_and(|clients| clients.marks_retries),
            cells: layout.cells as usize,
            replica_cells: layout.replica_cells as usize,
            shards: layout.shards as usize,
            max_parts_per_call: layout.max_parts_per_call as usize,
            call_cost: layout.call_cost_ms,
            max_attempts: wire.permissions.max_attempts as u32,
            hedging: wire.permissions.hedging,
            cancellation: wire.permissions.cancellation,
            gossip: wire.permissions.gossip,
            max_retry_after: wire.permissions.max_retry_after()?,
            tick: wire.tick_ms,
            list_source: wire.list_source.into(),
            list_poll_deadline: wire.rules.list_poll_deadline_ms.unwrap_or(f64::INFINITY),
            retry_budget: wire.rules.retry_budget()?,
            warm_up: wire.rules.warm_up(),
        })
    }
}

impl PermissionsWire {
    /// The largest retry-after value, where such values reach the clients.
    fn max_retry_after(self) -> Result<Option<f64>, FieldError> {
        if self.retry_after {
            self.max_retry_after_ms.optional("Allowed", "MaxRetryAfter")
        } else {
            Ok(None)
        }
    }
}

impl RulesWire {
    /// The retry budget, where any of its fields is present; its window must then be too.
    fn retry_budget(&self) -> Result<Option<RetryBudget>, FieldError> {
        match (
            self.retry_window_ms,
            self.free_retries,
            self.retries_per_request,
        ) {
            (Some(window), free_attempts, per_request) => Ok(Some(RetryBudget {
                free_attempts: free_attempts.unwrap_or(0.0),
                per_request: per_request.unwrap_or(0.0),
                window,
            })),
            (None, None, None) => Ok(None),
            (None, _, _) => Err(FieldError::new("Rules", "RatioSpan", FieldProblem::Missing)),
        }
    }

    fn warm_up(&self) -> WarmUp {
        WarmUp {
            initial_capacity: self.initial_capacity,
            duration: self.warm_up_ms,
            overload_factor: self.overload_factor,
            overload_window: self.overload_window_ms,
        }
    }
}

/// The figures of one class among those of the data layout.
struct ClassFigures {
    required_share: f64,
    minimum_share: f64,
    partial_weight: f64,
    second_step_parts: f64,
}

impl DataLayoutWire {
    fn figures_of_class(&self, index: usize) -> Result<ClassFigures, FieldError> {
        let figure = |figures: &[f64], field| {
            let too_few = || FieldError::new("FamilyInfo", field, FieldProblem::TooFewEntries);
            figures.get(index).copied().ok_or_else(too_few)
        };
        Ok(ClassFigures {
            required_share: figure(&self.required_shares, "ClassNeed")?,
            minimum_share: figure(&self.minimum_shares, "MinShare")?,
            partial_weight: figure(&self.partial_weights, "PartialEarns")?,
            second_step_parts: figure(&self.second_step_parts, "FetchParts")?,
        })
    }
}

impl ClassWire {
    fn with_figures(self, figures: ClassFigures) -> Result<Class, FieldError> {
        Ok(Class {
            latency_objective: self.latency_objective_ms,
            client_timeout: self.client_timeout_ms,
            priority_weight: self.priority_weight,
            late_weight: self.late_weight,
            retry_safety: self.retry_safety()?,
            required_share: figures.required_share,
            minimum_share: figures.minimum_share,
            partial_weight: figures.partial_weight,
            has_second_step: figures.second_step_parts > 0.0,
        })
    }

    fn retry_safety(self) -> Result<RetrySafety, FieldError> {
        Ok(match self.retry_safety {
            RetrySafetyWire::Idempotent => RetrySafety::Idempotent,
            RetrySafetyWire::IdempotencyKey => RetrySafety::IdempotencyKey {
                window: self
                    .idempotency_window_ms
                    .required("Services", "MemorySpan")?,
            },
            RetrySafetyWire::NotIdempotent => RetrySafety::NotIdempotent,
        })
    }
}

impl From<TenantWire> for Tenant {
    fn from(wire: TenantWire) -> Self {
        Tenant {
            quota_per_s: wire.quota_per_s,
        }
    }
}

impl From<EndpointListSourceWire> for EndpointListSource {
    fn from(wire: EndpointListSourceWire) -> Self {
        match wire {
            EndpointListSourceWire::Pushed => EndpointListSource::Pushed,
            EndpointListSourceWire::Polled => EndpointListSource::Polled,
        }
    }
}
