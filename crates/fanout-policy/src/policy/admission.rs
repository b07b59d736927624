//! Admission of queries, and the time at which their clients first sent them.

use super::tuning::{
    CLIENT_TIMEOUT_TOLERANCE, CLIENT_TIMEOUT_VOTES, MAX_ADMISSION_LIMIT, MIN_ADMISSION_LIMIT,
    QUOTA_SLACK, SHARE_TOLERANCE, SLOWEST_PART_WEIGHT,
};
use crate::aggregator::Aggregator;
use crate::api::{Ms, Query};
use crate::state::{InFlightQuery, MS_PER_SECOND, QueryForecast};

impl Aggregator {
    /// When the client first sent the query. All its attempts share one timeout, so one
    /// with less time than usual is a retry that ends with it: without this, a retry storm
    /// fills the fleet with late answers. Where clients do not mark retries, this relies on
    /// an estimate of the usual timeout.
    pub(crate) fn first_sent_at(&mut self, class: usize, query: &Query) -> Ms {
        let time_left = query.client_deadline - self.now;
        let estimate = &mut self.classes[class].client_timeout;
        estimate.vote(time_left);
        let may_be_retry = query.is_retry
            || (!self.settings.marks_retries && estimate.votes >= CLIENT_TIMEOUT_VOTES);
        if may_be_retry && time_left < estimate.timeout * CLIENT_TIMEOUT_TOLERANCE {
            (query.client_deadline - self.settings.classes[class].client_timeout).min(self.now)
        } else {
            self.now
        }
    }

    /// Whether a query can be answered in time. Under load the lowest weights per work are
    /// rejected first.
    pub(crate) fn admit(&mut self, query: &mut InFlightQuery) -> bool {
        let is_over_quota = self.is_over_quota(query.tenant);
        let forecast = self.query_forecast(query);
        let limit = self.admission_limit(query, forecast.work, is_over_quota);
        let class = self.class_of(query);
        // The slowest part counts in full where the answer needs it and one aggregator
        // observes little load.
        let needs_all = class.required_share >= 1.0;
        let visibility = if needs_all {
            self.load_visibility()
        } else {
            1.0
        };
        let slowest_weight = 1.0 - (1.0 - SLOWEST_PART_WEIGHT) * visibility;
        let latency = forecast.mean + slowest_weight * (forecast.slowest - forecast.mean);
        query.forecast = latency;
        // A possible partial answer justifies more risk, a possible late one a larger
        // forecast error. Neither counts where the client leaves before the objective:
        // its retries would fill the fleet.
        let client_stays = query.client_deadline > self.objective_end(query);
        let may_be_partial = client_stays && class.minimum_share < class.required_share;
        let partial = f64::from(may_be_partial) * class.partial_weight * class.minimum_share
            / class.required_share.max(SHARE_TOLERANCE);
        let fallback = partial.max(f64::from(client_stays) * class.late_weight);
        let end = self.objective_end(query).min(query.client_deadline);
        let time_left = end - self.now - self.second_step_reserve(query);
        let limit = limit + (1.0 - limit) * partial;
        let forecast_error = self.classes[query.class].forecast_error;
        latency + forecast_error * (1.0 - fallback) <= limit * time_left
    }

    fn query_forecast(&self, query: &InFlightQuery) -> QueryForecast {
        let mut forecast = QueryForecast::default();
        for (index, part) in query.parts.iter().enumerate() {
            let work = self.part_cost(query, index);
            forecast.work += work;
            let holders = self.fleet.rows.holders(part.shard).iter();
            let latencies = holders.map(|server| self.forecast(*server, query.class, work));
            let best = latencies.fold(f64::INFINITY, f64::min);
            if best.is_finite() {
                forecast.mean += best / query.parts.len() as f64;
                forecast.slowest = forecast.slowest.max(best);
            }
        }
        forecast
    }

    /// Share of the time left that the forecast may take, by the query's weight per work
    /// against the highest.
    fn admission_limit(&mut self, query: &InFlightQuery, work: Ms, is_over_quota: bool) -> f64 {
        let by_work = self.settings.weight_by_work;
        let divisor = if by_work { 1.0 } else { work.max(1.0) };
        let mut density = self.class_of(query).priority_weight / divisor;
        self.highest_density = self.highest_density.max(density);
        if is_over_quota {
            density *= self.settings.over_quota_weight;
        }
        let range = MAX_ADMISSION_LIMIT - MIN_ADMISSION_LIMIT;
        MIN_ADMISSION_LIMIT + range * density / self.highest_density.max(f64::MIN_POSITIVE)
    }

    fn is_over_quota(&mut self, tenant: usize) -> bool {
        let Some(queries) = self.tenant_queries.get_mut(tenant) else {
            return false;
        };
        let window = self.settings.warm_up.duration;
        queries.discard_before(self.now - window);
        let even_share =
            self.settings.tenants[tenant].quota_per_s / self.settings.aggregators.max(1) as f64;
        queries.len() as f64 > QUOTA_SLACK * even_share * window / MS_PER_SECOND
    }
}
