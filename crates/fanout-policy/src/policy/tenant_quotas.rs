//! Determines whether tenants keep to their query quotas.
//!
//! [`TenantQuotas`] owns the times at which the queries of each tenant arrived.

use super::batch_context::BatchContext;
use crate::api::{Ms, Settings};
use crate::statistics::SlidingWindow;

/// A tenant is over its quota at an aggregator if it sends more than this multiple of its quota
/// divided by the number of aggregators. The factor is above 1 since a tenant's queries are not
/// spread evenly over time and over the aggregators.
const QUOTA_SLACK_FACTOR: f64 = 1.3;
/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1000.0;

/// Whether a tenant keeps to its query quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaUse {
    /// The tenant keeps to its quota.
    WithinQuota,
    /// The tenant sends more queries than its quota allows.
    OverQuota,
}

/// Counts the queries of each tenant in a sliding window. The window is as long as the warm-up of a
/// server.
pub(crate) struct TenantQuotas {
    /// Arrival times of the queries, by the index of the tenant in the settings.
    arrivals: Vec<SlidingWindow>,
}

impl TenantQuotas {
    /// Creates the counts for the tenants of the settings, without any arrivals.
    pub(crate) fn new(settings: &Settings) -> Self {
        TenantQuotas {
            arrivals: vec![SlidingWindow::default(); settings.tenants.len()],
        }
    }

    /// Records the arrival of a query. Does nothing if the settings do not list the tenant.
    pub(crate) fn record_arrival(&mut self, now: Ms, tenant: usize) {
        if let Some(arrivals) = self.arrivals.get_mut(tenant) {
            arrivals.record(now);
        }
    }

    /// Discards a tenant's arrivals before the window, and returns whether the remaining ones
    /// are within this aggregator's share of the tenant's quota. A tenant that the settings do
    /// not list has no quota and is always within it.
    pub(crate) fn quota_use(&mut self, batch: &BatchContext, tenant: usize) -> QuotaUse {
        let Some(arrivals) = self.arrivals.get_mut(tenant) else {
            return QuotaUse::WithinQuota;
        };
        let settings = batch.settings;
        let window = settings.warm_up.duration;
        arrivals.discard_before(batch.now - window);
        let aggregators = settings.aggregators.max(1) as f64;
        let even_share = settings.tenants[tenant].quota_per_s / aggregators;
        let limit = QUOTA_SLACK_FACTOR * even_share * window / MS_PER_SECOND;
        if arrivals.len() as f64 > limit {
            QuotaUse::OverQuota
        } else {
            QuotaUse::WithinQuota
        }
    }
}
