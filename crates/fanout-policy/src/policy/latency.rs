//! Latency of servers for each ms of work that waits or runs there.
//!
//! [`LatencyEstimator`] owns the estimate of one server, [`FleetLatency`] that of the whole fleet.

use super::batch_timer::CONTROL_INTERVAL_MS;
use super::smoothing::{DECAY_SHARE, SAMPLE_WEIGHT};
use crate::api::Ms;
use crate::queries::InFlightAttempt;
use crate::statistics::smooth;

/// Lower bound of a latency per work used as a divisor, in ms per ms of work.
pub(crate) const MIN_LATENCY_PER_WORK: f64 = 0.2;
/// Lower bound of the share of its capacity that a server is assumed to have when it is back.
const MIN_INITIAL_CAPACITY_SHARE: f64 = 0.2;
/// Latency before any observation, in ms per ms of outstanding work.
const INITIAL_LATENCY_PER_WORK: f64 = 0.8;
/// Limit of the latency taken from a timeout, in multiples of the fleet's: the part may have
/// been lost.
const MAX_TIMEOUT_LATENCY_FACTOR: f64 = 4.0;
/// Age of the observations from which the fleet's latency is taken.
const FLEET_LATENCY_WINDOW_MS: Ms = 4.0 * CONTROL_INTERVAL_MS;
/// Least work ahead of an attempt when its latency per work is taken.
const MIN_WORK_AHEAD_MS: Ms = 1.0;

/// Moving average of the latency of one server.
pub(crate) struct LatencyEstimator {
    /// Latency per ms of outstanding work.
    per_work: f64,
    /// When it was last observed.
    last_observed_at: Ms,
}

impl LatencyEstimator {
    /// An estimator that assumes this latency per work until it is observed.
    pub(crate) fn new(per_work: f64) -> Self {
        LatencyEstimator {
            per_work,
            last_observed_at: f64::NEG_INFINITY,
        }
    }

    /// Latency per ms of outstanding work.
    pub(crate) fn per_work(&self) -> f64 {
        self.per_work
    }

    /// Whether the latency was last observed before this time.
    pub(crate) fn is_unobserved_since(&self, time: Ms) -> bool {
        self.last_observed_at < time
    }

    /// Learns from an attempt that was served after this time, with this weight.
    pub(crate) fn record_answer(
        &mut self,
        now: Ms,
        attempt: &InFlightAttempt,
        elapsed: Ms,
        weight: f64,
    ) {
        let sample = elapsed / attempt.work_ahead.max(MIN_WORK_AHEAD_MS);
        smooth(&mut self.per_work, weight, sample);
        self.last_observed_at = now;
    }

    /// Learns from an attempt that timed out after this time. Its answer would have taken
    /// longer still: without this, an overloaded server looks fast.
    pub(crate) fn record_timeout(
        &mut self,
        now: Ms,
        attempt: &InFlightAttempt,
        elapsed: Ms,
        fleet: &FleetLatency,
    ) {
        let sample = elapsed / attempt.work_ahead.max(MIN_WORK_AHEAD_MS);
        let sample = sample.min(MAX_TIMEOUT_LATENCY_FACTOR * fleet.per_work());
        self.per_work += SAMPLE_WEIGHT * (sample - self.per_work).max(0.0);
        self.last_observed_at = now;
    }

    /// Assumes that a server which all aggregators return to at once is as slow as one that
    /// has just started.
    pub(crate) fn on_recovery(&mut self, initial_capacity: f64, fleet: &FleetLatency) {
        let capacity = initial_capacity.max(MIN_INITIAL_CAPACITY_SHARE);
        self.per_work = self.per_work.max(fleet.per_work() / capacity);
    }

    /// Lets an estimate without new samples return to the fleet's, so that slow servers are
    /// tried again.
    pub(crate) fn decay(&mut self, now: Ms, fleet: &FleetLatency) {
        if self.is_unobserved_since(now - CONTROL_INTERVAL_MS) {
            smooth(&mut self.per_work, DECAY_SHARE, fleet.per_work());
        }
    }
}

/// Median latency of the servers.
pub(crate) struct FleetLatency {
    per_work: f64,
}

impl FleetLatency {
    /// The latency that is assumed before any observation.
    pub(crate) fn new() -> Self {
        FleetLatency {
            per_work: INITIAL_LATENCY_PER_WORK,
        }
    }

    /// Latency per ms of outstanding work.
    pub(crate) fn per_work(&self) -> f64 {
        self.per_work
    }

    /// Sets the latency to the median of the servers observed of late. Without any it
    /// returns to the default: else it would never change where all queries are
    /// rejected after a bad period.
    pub(crate) fn update<'a>(
        &mut self,
        now: Ms,
        servers: impl Iterator<Item = &'a LatencyEstimator>,
    ) {
        let observed_since = now - FLEET_LATENCY_WINDOW_MS;
        let observed = servers.filter(|server| server.last_observed_at > observed_since);
        let mut latencies: Vec<f64> = observed.map(LatencyEstimator::per_work).collect();
        latencies.sort_by(f64::total_cmp);
        match latencies.get(latencies.len() / 2) {
            Some(median) => self.per_work = *median,
            None => smooth(&mut self.per_work, DECAY_SHARE, INITIAL_LATENCY_PER_WORK),
        }
    }
}
