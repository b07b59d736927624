//! Quotas of tenants.
//!
//! [`TenantQuotas`] owns the times at which queries of each tenant arrived.

use super::batch_context::BatchContext;
use crate::api::{Ms, Settings};
use crate::statistics::SlidingWindow;

/// A tenant is over its quota from this multiple of an even share, since queries arrive unevenly.
const QUOTA_SLACK_FACTOR: f64 = 1.3;
/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1000.0;

/// Whether a tenant keeps to its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaUse {
    /// It does.
    WithinQuota,
    /// It sends more.
    OverQuota,
}

/// Queries of each tenant in a sliding window as long as a warm-up.
pub(crate) struct TenantQuotas {
    arrivals: Vec<SlidingWindow>,
}

impl TenantQuotas {
    /// No arrivals.
    pub(crate) fn new(settings: &Settings) -> Self {
        TenantQuotas {
            arrivals: vec![SlidingWindow::default(); settings.tenants.len()],
        }
    }

    /// Counts a query of a tenant, if the settings know the tenant.
    pub(crate) fn record_arrival(&mut self, now: Ms, tenant: usize) {
        if let Some(arrivals) = self.arrivals.get_mut(tenant) {
            arrivals.record(now);
        }
    }

    /// Discards what lies before the window, and returns how a tenant uses its quota. A
    /// tenant that the settings do not know has none.
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
