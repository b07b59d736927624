//! Admission control: whether a query that has arrived is admitted or rejected.
//!
//! [`AdmissionController`] owns three kinds of state: the estimates of client timeouts, the use of
//! the tenants' quotas, and the maximum weight per work (the ratio of priority weight to work) of
//! all queries so far. From the estimates it derives when a client first sent a query.

use super::batch_context::BatchContext;
use super::client_timeout::ClientTimeoutEstimate;
use super::completion::SHARE_TOLERANCE;
use super::forecast::Forecaster;
use super::tenant_quotas::{QuotaUse, TenantQuotas};
use super::time_limits::TimeLimits;
use crate::api::{Class, Ms, Query, Settings};
use crate::queries::InFlightQuery;

/// Admission limit of a query whose weight per work is negligible against the maximum: its
/// forecast latency may take this share of the time left.
const MIN_LIMIT_SHARE: f64 = 0.5;
/// Admission limit of a query with the maximum weight per work: its forecast latency may take
/// this share of the time left.
const MAX_LIMIT_SHARE: f64 = 0.75;
/// Weight of the slowest part's forecast, against the mean of all parts, in the expected latency
/// of a query. It is larger for a query whose answer needs all parts if this aggregator observes
/// only a share of the servers' load, see [`expected_latency`].
const SLOWEST_PART_WEIGHT: f64 = 0.5;
/// Minimum work by which the priority weight of a query is divided to give its weight per work.
const MIN_WORK_MS: Ms = 1.0;

/// Decision whether to admit a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AdmissionDecision {
    /// The query is admitted.
    Admit {
        /// Expected latency of the query.
        forecast: Ms,
    },
    /// The query is rejected, since an answer in time is unlikely.
    Reject,
}

/// Forecast for the parts of a query, where each part is sent to the holder with the lowest
/// forecast latency.
#[derive(Default)]
struct QueryForecast {
    /// Mean latency of all parts.
    mean: Ms,
    /// Latency of the slowest part.
    slowest: Ms,
    /// Sum of the estimated costs of all parts.
    work: Ms,
}

impl QueryForecast {
    /// Computes the forecast. A part whose shard has no holder adds only its work.
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

/// Decides which queries are admitted, and estimates when their clients first sent them.
pub(crate) struct AdmissionController {
    /// Estimates of the timeout that clients usually set, by class.
    client_timeouts: Vec<ClientTimeoutEstimate>,
    quotas: TenantQuotas,
    /// Maximum weight per work of all queries so far.
    max_weight_per_work: f64,
}

impl AdmissionController {
    /// Creates a controller to which no queries have arrived yet.
    pub(crate) fn new(settings: &Settings) -> Self {
        AdmissionController {
            client_timeouts: vec![ClientTimeoutEstimate::default(); settings.classes.len()],
            quotas: TenantQuotas::new(settings),
            max_weight_per_work: 0.0,
        }
    }

    /// Records the arrival of a query and returns when its client first sent it.
    ///
    /// All attempts of a client at one query share one timeout, so a query that arrives with
    /// less time left than clients usually give it is a retry. The estimated timeout only serves
    /// to recognize a retry. The time of the first attempt is computed from the settings: it is the
    /// client's deadline less [`Class::client_timeout`], but not later than the arrival.
    ///
    /// If the latency objective of a retry counted from the arrival of the retry, a retry storm
    /// would fill the fleet with answers that are late for the client. Where clients do not mark
    /// their retries, retries are recognized only once the estimate of the usual timeout is
    /// certain.
    pub(crate) fn on_arrival(&mut self, batch: &BatchContext, class: usize, query: &Query) -> Ms {
        self.quotas.record_arrival(batch.now, query.tenant.0);
        let arrived_at = batch.now - query.waited;
        let time_left = query.client_deadline - arrived_at;
        let estimate = &mut self.client_timeouts[class];
        estimate.record_time_left(time_left);
        let is_estimate_usable = !batch.settings.marks_retries && estimate.is_certain();
        let may_be_retry = query.is_retry || is_estimate_usable;
        if may_be_retry && estimate.is_shorter_than_usual(time_left) {
            let client_timeout = batch.settings.classes[class].client_timeout;
            (query.client_deadline - client_timeout).min(arrived_at)
        } else {
            arrived_at
        }
    }

    /// Decides whether to admit a query, by whether its forecast latency fits into the time
    /// left. As load grows, queries with the lowest weight per work are the first to be
    /// rejected.
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
        // The greater the weight of a partial answer, as a fraction of the weight of a complete
        // answer within the objective, the more of the time left the forecast latency may take. The
        // greater the weight of a partial or a late answer, the less of the expected forecast error
        // is added to the forecast. Neither applies if the client waits no longer than the
        // objective. When an admitted query then takes longer than forecast, the client gives up
        // and retries, and such retries would fill the fleet.
        let client_waits_for_objective = query.client_deadline() > batch.objective_end(query);
        let (partial_weight, late_weight) = if client_waits_for_objective {
            (min_partial_answer_weight(class), class.late_weight)
        } else {
            (0.0, 0.0)
        };
        let fallback_weight = partial_weight.max(late_weight);
        let end = batch.objective_end(query).min(query.client_deadline());
        let time_left = end - batch.now - limits.second_step_reserve(query);
        let limit = limit + (1.0 - limit) * partial_weight;
        let forecast_error = forecaster.expected_error(query) * (1.0 - fallback_weight);
        if latency + forecast_error <= limit * time_left {
            AdmissionDecision::Admit { forecast: latency }
        } else {
            AdmissionDecision::Reject
        }
    }

    /// Returns the share of the time left that the forecast latency of a query may take. It
    /// grows from [`MIN_LIMIT_SHARE`] to [`MAX_LIMIT_SHARE`] in proportion to the query's weight
    /// per work, relative to the maximum of all queries so far. A query over its tenant's quota
    /// enters the maximum with its full weight per work, but its own limit is computed from a
    /// weight per work that is multiplied by [`Settings::over_quota_weight`]. Where the weight of
    /// a query is proportional to its work, the weight of the class is already a weight per work.
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
        let mut weight_per_work = batch.class_of(query).priority_weight / divisor;
        self.max_weight_per_work = self.max_weight_per_work.max(weight_per_work);
        if quota_use == QuotaUse::OverQuota {
            weight_per_work *= settings.over_quota_weight;
        }
        let range = MAX_LIMIT_SHARE - MIN_LIMIT_SHARE;
        MIN_LIMIT_SHARE + range * weight_per_work / self.max_weight_per_work.max(f64::MIN_POSITIVE)
    }
}

/// Returns the latency to expect of a query: a value between the mean and the maximum of its
/// parts' forecasts. If the answer needs all parts, the less this aggregator observes of the
/// servers' load, the closer the value is to the slowest part's forecast.
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

/// Returns the weight of the smallest partial answer that may be given, as a fraction of the
/// weight of a complete answer; 0 if the class allows no partial answers.
fn min_partial_answer_weight(class: &Class) -> f64 {
    if class.minimum_share < class.required_share {
        class.partial_weight * class.minimum_share / class.required_share.max(SHARE_TOLERANCE)
    } else {
        0.0
    }
}
