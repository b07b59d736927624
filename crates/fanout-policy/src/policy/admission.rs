//! Admission of queries, and the time at which their clients first sent them.
//!
//! [`AdmissionController`] owns the estimates of client timeouts, the tenants' quotas and the
//! highest weight per work of any query.

use super::batch_context::BatchContext;
use super::client_timeout::ClientTimeoutEstimate;
use super::completion::SHARE_TOLERANCE;
use super::forecast::Forecaster;
use super::tenant_quotas::{QuotaUse, TenantQuotas};
use super::time_limits::TimeLimits;
use crate::api::{Class, Ms, Query, Settings};
use crate::queries::InFlightQuery;

/// Lowest admission limit, for the smallest weight: forecast latency as a share of the time left.
const MIN_LIMIT_SHARE: f64 = 0.5;
/// Highest admission limit, for the largest weight.
const MAX_LIMIT_SHARE: f64 = 0.75;
/// Weight of the slowest part's forecast against the mean where the answer does not need all parts.
const SLOWEST_PART_WEIGHT: f64 = 0.5;
/// Least work of a query when its weight per work is taken.
const MIN_WORK_MS: Ms = 1.0;

/// Whether a query is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AdmissionDecision {
    /// It is, with this forecast latency.
    Admit {
        /// Forecast latency.
        forecast: Ms,
    },
    /// It is not: an answer in time is unlikely.
    Reject,
}

/// Forecast for the parts of a query, each at its best holder.
#[derive(Default)]
struct QueryForecast {
    /// Mean latency.
    mean: Ms,
    /// Latency of the slowest part.
    slowest: Ms,
    /// Total work.
    work: Ms,
}

impl QueryForecast {
    fn new(query: &InFlightQuery, forecaster: &Forecaster) -> Self {
        let mut forecast = QueryForecast::default();
        for part in query.parts() {
            forecast.work += forecaster.part_cost(query, part);
            if let Some(latency) = forecaster.best_latency(query, part) {
                forecast.mean += latency / query.parts().len() as f64;
                forecast.slowest = forecast.slowest.max(latency);
            }
        }
        forecast
    }
}

/// Decides which queries are admitted.
pub(crate) struct AdmissionController {
    /// Usual timeout of clients, by class.
    client_timeouts: Vec<ClientTimeoutEstimate>,
    quotas: TenantQuotas,
    /// Highest weight per work of any query so far.
    highest_density: f64,
}

impl AdmissionController {
    /// A controller that has seen no queries.
    pub(crate) fn new(settings: &Settings) -> Self {
        AdmissionController {
            client_timeouts: vec![ClientTimeoutEstimate::default(); settings.classes.len()],
            quotas: TenantQuotas::new(settings),
            highest_density: 0.0,
        }
    }

    /// Counts a query that has arrived, and returns when its client first sent it. All its
    /// attempts share one timeout, so one with less time than usual is a retry that ends
    /// with it: without this, a retry storm fills the fleet with late answers. Where
    /// clients do not mark retries, this relies on an estimate of the usual timeout.
    pub(crate) fn on_arrival(&mut self, batch: &BatchContext, class: usize, query: &Query) -> Ms {
        self.quotas.record_arrival(batch.now, query.tenant.0);
        let time_left = query.client_deadline - batch.now;
        let estimate = &mut self.client_timeouts[class];
        estimate.vote(time_left);
        let is_estimate_usable = !batch.settings.marks_retries && estimate.is_certain();
        let may_be_retry = query.is_retry || is_estimate_usable;
        if may_be_retry && estimate.is_shortened(time_left) {
            let client_timeout = batch.settings.classes[class].client_timeout;
            (query.client_deadline - client_timeout).min(batch.now)
        } else {
            batch.now
        }
    }

    /// Whether a query can be answered in time. Under load the lowest weights per work are
    /// rejected first.
    pub(crate) fn decide(
        &mut self,
        batch: &BatchContext,
        query: &InFlightQuery,
        forecaster: &Forecaster,
        limits: &TimeLimits,
    ) -> AdmissionDecision {
        let quota_use = self.quotas.quota_use(batch, query.tenant());
        let forecast = QueryForecast::new(query, forecaster);
        let limit = self.limit_share(batch, query, forecast.work, quota_use);
        let class = batch.class_of(query);
        let latency = expected_latency(batch, class, &forecast);
        // A possible partial answer justifies more risk, a possible late one a larger
        // forecast error. Neither counts where the client leaves before the objective:
        // its retries would fill the fleet.
        let client_stays = query.client_deadline() > batch.objective_end(query);
        let (partial, late) = if client_stays {
            (partial_answer_weight(class), class.late_weight)
        } else {
            (0.0, 0.0)
        };
        let fallback = partial.max(late);
        let end = batch.objective_end(query).min(query.client_deadline());
        let time_left = end - batch.now - limits.second_step_reserve(query);
        let limit = limit + (1.0 - limit) * partial;
        let error = forecaster.expected_error(query) * (1.0 - fallback);
        if latency + error <= limit * time_left {
            AdmissionDecision::Admit { forecast: latency }
        } else {
            AdmissionDecision::Reject
        }
    }

    /// Share of the time left that the forecast may take, by the query's weight per work
    /// against the highest.
    fn limit_share(
        &mut self,
        batch: &BatchContext,
        query: &InFlightQuery,
        work: Ms,
        quota_use: QuotaUse,
    ) -> f64 {
        let settings = batch.settings;
        let divisor = if settings.weight_by_work {
            1.0
        } else {
            work.max(MIN_WORK_MS)
        };
        let mut density = batch.class_of(query).priority_weight / divisor;
        self.highest_density = self.highest_density.max(density);
        if quota_use == QuotaUse::OverQuota {
            density *= settings.over_quota_weight;
        }
        let range = MAX_LIMIT_SHARE - MIN_LIMIT_SHARE;
        MIN_LIMIT_SHARE + range * density / self.highest_density.max(f64::MIN_POSITIVE)
    }
}

/// Latency to expect of a query. The slowest part counts in full where the answer needs it and
/// this aggregator observes little of the load.
fn expected_latency(batch: &BatchContext, class: &Class, forecast: &QueryForecast) -> Ms {
    let needs_all = class.required_share >= 1.0;
    let visibility = if needs_all {
        batch.load_visibility()
    } else {
        1.0
    };
    let slowest_weight = 1.0 - (1.0 - SLOWEST_PART_WEIGHT) * visibility;
    forecast.mean + slowest_weight * (forecast.slowest - forecast.mean)
}

/// Fraction of its weight that the smallest partial answer earns; 0 if the class allows none.
fn partial_answer_weight(class: &Class) -> f64 {
    if class.minimum_share < class.required_share {
        class.partial_weight * class.minimum_share / class.required_share.max(SHARE_TOLERANCE)
    } else {
        0.0
    }
}
