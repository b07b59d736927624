//! Latency per work: how long a server takes to answer, per ms of work outstanding at it.
//!
//! The main term of the forecast latency of an attempt is the server's latency per work times the
//! work that waits or runs at the server, including the work of the attempt.
//!
//! [`LatencyEstimator`] owns the estimate of one server, [`FleetLatency`] the median of all.

use super::batch_timer::CONTROL_INTERVAL_MS;
use super::smoothing::{DECAY_SHARE, SAMPLE_WEIGHT};
use crate::api::Ms;
use crate::queries::InFlightAttempt;
use crate::statistics::smooth;

/// Minimum latency per work that is used as a divisor, in ms per ms of work.
pub(crate) const MIN_LATENCY_PER_WORK: f64 = 0.2;
/// Minimum share of its full capacity that a server is assumed to have after its recovery, see
/// [`LatencyEstimator::on_recovery`].
const MIN_INITIAL_CAPACITY_SHARE: f64 = 0.2;
/// Latency per work before any observation, in ms per ms of outstanding work.
const INITIAL_LATENCY_PER_WORK: f64 = 0.8;
/// Maximum latency per work that a timeout counts as, in multiples of the fleet's median. The
/// attempt may have timed out because its part was lost, which says nothing about the speed of the
/// server.
const MAX_TIMEOUT_LATENCY_FACTOR: f64 = 4.0;
/// Maximum age of a server's last observation, in ms, for the server to count in the median.
const FLEET_LATENCY_WINDOW_MS: Ms = 4.0 * CONTROL_INTERVAL_MS;
/// Minimum work, in ms, by which the latency of an attempt is divided.
const MIN_WORK_AHEAD_MS: Ms = 1.0;

/// Moving average of the latency per work of one server.
pub(crate) struct LatencyEstimator {
    /// Latency per ms of outstanding work.
    per_work: f64,
    /// Time of the last answer or timeout that updated the average.
    last_observed_at: Ms,
}

impl LatencyEstimator {
    /// Creates an estimator that assumes the given latency per work until the first observation.
    pub(crate) fn new(per_work: f64) -> Self {
        LatencyEstimator {
            per_work,
            last_observed_at: f64::NEG_INFINITY,
        }
    }

    /// Returns the latency per ms of outstanding work.
    pub(crate) fn per_work(&self) -> f64 {
        self.per_work
    }

    /// Returns whether no answer or timeout has been recorded at or after `time`.
    pub(crate) fn is_unobserved_since(&self, time: Ms) -> bool {
        self.last_observed_at < time
    }

    /// Adds the latency of a served attempt to the average. `elapsed` is the time from sending
    /// the attempt to its answer, `weight` the weight of the sample.
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

    /// Adds an attempt that timed out after `elapsed` to the average. Its answer would have
    /// taken longer than that, so the sample can raise the average but not lower it. If
    /// timeouts did not count, the average of an overloaded server would contain only those of its
    /// answers that came in time, and the server would look fast.
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

    /// Raises the estimate of a server that has recovered, that is, another aggregator has
    /// published that the server answers again. This message ends the ejections of the server at
    /// all aggregators that receive it, regardless of the random lengths of the ejections. All of
    /// them then send to the server at the same time, so it is slow at first. The estimate becomes
    /// at least that of a server with the capacity share `initial_capacity`: the fleet's median
    /// divided by this share.
    pub(crate) fn on_recovery(&mut self, initial_capacity: f64, fleet: &FleetLatency) {
        let capacity = initial_capacity.max(MIN_INITIAL_CAPACITY_SHARE);
        self.per_work = self.per_work.max(fleet.per_work() / capacity);
    }

    /// Moves an estimate without samples in the last control interval towards the fleet's
    /// median, so that a server that was slow is tried again.
    pub(crate) fn decay(&mut self, now: Ms, fleet: &FleetLatency) {
        if self.is_unobserved_since(now - CONTROL_INTERVAL_MS) {
            smooth(&mut self.per_work, DECAY_SHARE, fleet.per_work());
        }
    }
}

/// Median latency per work of the servers.
pub(crate) struct FleetLatency {
    per_work: f64,
}

impl FleetLatency {
    /// Creates the median with the latency per work that is assumed before any observation.
    pub(crate) fn new() -> Self {
        FleetLatency {
            per_work: INITIAL_LATENCY_PER_WORK,
        }
    }

    /// Returns the median latency per ms of outstanding work.
    pub(crate) fn per_work(&self) -> f64 {
        self.per_work
    }

    /// Sets the median from the servers that have been observed recently. If there are none,
    /// moves it towards the initial value. Otherwise a median that has become too high could
    /// stay so for ever: while all queries are rejected because of it, no attempt is sent
    /// whose answer would lower it.
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
