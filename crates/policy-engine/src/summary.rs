//! A summary of the policy's state for the log.

use fanout_policy::Aggregator;
use fanout_policy::api::{Ms, ServingState};
use fanout_policy::view::ClassView;
use std::fmt;

/// A server counts as slow above this multiple of the fleet's latency per unit of outstanding work.
const SLOW_SERVER_RATIO: f64 = 2.0;

/// One figure for each class, in the order of the settings. It is displayed as `1.0,2.5`, with one
/// decimal.
#[derive(Clone, Debug, PartialEq)]
pub struct PerClass(pub Vec<f64>);

impl fmt::Display for PerClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, figure) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{figure:.1}")?;
        }
        Ok(())
    }
}

/// The state that the policy bases its decisions on.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySummary {
    /// Number of servers that may be sent parts.
    pub serving: usize,
    /// Number of servers that are ejected for their failures or because they are overloaded.
    pub ejected: usize,
    /// Number of servers that may be warming up.
    pub warming_up: usize,
    /// The fleet's usual latency per unit of outstanding work.
    pub latency_per_work: f64,
    /// Number of servers with more than twice that latency.
    pub slow: usize,
    /// Number of rows that a query touches, by class.
    pub touched_rows: PerClass,
    /// Estimated work of a part in milliseconds, by class.
    pub part_cost_ms: PerClass,
    /// Time in milliseconds by which queries take longer than forecast, by class.
    pub forecast_error_ms: PerClass,
}

impl PolicySummary {
    /// Summarizes the policy's state at a time in milliseconds.
    pub(crate) fn of(policy: &Aggregator, now: Ms) -> Self {
        let servers = policy.server_views(now);
        let classes = policy.class_views();
        let serving = servers.iter().filter(|s| s.state == ServingState::Serving);
        let ejected = servers.iter().filter(|s| s.ejected_until.is_some());
        let warming_up = servers.iter().filter(|s| s.warming_since.is_some());
        let slow = servers
            .iter()
            .filter(|s| s.relative_latency > SLOW_SERVER_RATIO);
        PolicySummary {
            serving: serving.count(),
            ejected: ejected.count(),
            warming_up: warming_up.count(),
            latency_per_work: policy.fleet_latency_per_work(),
            slow: slow.count(),
            touched_rows: per_class(&classes, |class| class.fanout_rows),
            part_cost_ms: per_class(&classes, |class| class.part_cost),
            forecast_error_ms: per_class(&classes, |class| class.forecast_error),
        }
    }
}

fn per_class(classes: &[ClassView], figure: impl Fn(&ClassView) -> f64) -> PerClass {
    PerClass(classes.iter().map(figure).collect())
}
