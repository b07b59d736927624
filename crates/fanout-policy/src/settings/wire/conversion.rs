//! Conversion of the settings object into the settings that the policy uses.
//!
//! Fields that are required only because of the presence or value of another field are checked
//! here, all others when the object is decoded. Errors name objects and fields as the settings
//! object does, see the `rename` attributes in [`super`].

use super::{
    ClassWire, DataLayoutWire, EndpointListSourceWire, PermissionsWire, RetrySafetyWire, RulesWire,
    SettingsWire, TenantWire, WeightBasisWire,
};
use crate::api::{Class, EndpointListSource, RetryBudget, RetrySafety, Settings, Tenant, WarmUp};
use crate::settings::SiteSettings;
use wire_fields::{FieldError, FieldProblem};

/// The conversion fails if a field that another field requires is missing or has a wrong type, or
/// if a list of the data layout has no entry for a class.
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
            classes.push(class.into_class(layout.class_layout(index)?)?);
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
    /// Returns the maximum retry-after value; `None` if retry-after values do not reach the clients
    /// or no maximum is set.
    fn max_retry_after(self) -> Result<Option<f64>, FieldError> {
        if self.retry_after {
            self.max_retry_after_ms.optional("Allowed", "MaxRetryAfter")
        } else {
            Ok(None)
        }
    }
}

impl RulesWire {
    /// Returns the retry budget; `None` if all of its fields are absent. Fails if the window is
    /// absent and at least one of the other fields is present.
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

    /// Returns the warm-up behavior of servers.
    fn warm_up(&self) -> WarmUp {
        WarmUp {
            initial_capacity: self.initial_capacity,
            duration: self.warm_up_ms,
            overload_factor: self.overload_factor,
            overload_window: self.overload_window_ms,
        }
    }
}

/// The numbers of one class in the lists of the data layout.
struct ClassLayout {
    required_share: f64,
    minimum_share: f64,
    partial_weight: f64,
    second_step_parts: f64,
}

impl DataLayoutWire {
    /// Returns the numbers of the class with this index. Fails if a list has no entry for it.
    fn class_layout(&self, index: usize) -> Result<ClassLayout, FieldError> {
        let entry = |entries: &[f64], field| {
            let too_few = || FieldError::new("FamilyInfo", field, FieldProblem::TooFewElements);
            entries.get(index).copied().ok_or_else(too_few)
        };
        Ok(ClassLayout {
            required_share: entry(&self.required_shares, "ClassNeed")?,
            minimum_share: entry(&self.minimum_shares, "MinShare")?,
            partial_weight: entry(&self.partial_weights, "PartialEarns")?,
            second_step_parts: entry(&self.second_step_parts, "FetchParts")?,
        })
    }
}

impl ClassWire {
    fn into_class(self, layout: ClassLayout) -> Result<Class, FieldError> {
        Ok(Class {
            latency_objective: self.latency_objective_ms,
            client_timeout: self.client_timeout_ms,
            priority_weight: self.priority_weight,
            late_weight: self.late_weight,
            retry_safety: self.retry_safety()?,
            required_share: layout.required_share,
            minimum_share: layout.minimum_share,
            partial_weight: layout.partial_weight,
            has_second_step: layout.second_step_parts > 0.0,
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
