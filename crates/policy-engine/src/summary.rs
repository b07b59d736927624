//! A summary of the policy's state for the log.

use fanout_policy::Aggregator;
use fanout_policy::api::{Ms, ServingState};
use fanout_policy::view::ClassView;
use std::fmt;

/// A server counts as slow if its latency per unit of outstanding work exceeds this multiple of the
/// fleet's.
const SLOW_SERVER_RATIO: f64 = 2.0;

/// One figure for each class, in the order of the settings. It is displayed with one decimal place
/// for each figure, such as `1.0,2.5`.
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

/// Summary of the statistics on which the policy bases its decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySummary {
    /// Number of servers that accept requests.
    pub serving: usize,
    /// Number of servers that are ejected because of failures or overload.
    pub ejected: usize,
    /// Number of servers that may still be warming up, judged by the time since their processes
    /// started or probably restarted. The policy does not observe whether a server has warmed up.
    pub warming_up: usize,
    /// Median over the fleet of a server's latency per unit of outstanding work.
    pub latency_per_work: f64,
    /// Number of servers whose latency per unit of outstanding work is more than twice the median.
    pub slow: usize,
    /// Average number of replica rows that a query contacts, by class.
    pub touched_rows: PerClass,
    /// Estimated work of a part in milliseconds, by class.
    pub part_cost_ms: PerClass,
    /// Smoothed time in milliseconds by which queries take longer than forecast, by class.
    pub forecast_error_ms: PerClass,
}

impl PolicySummary {
    /// Summarizes the policy's state at the time `now`.
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
