//! One data server: its entry in the endpoint list and what is learned about it.
//!
//! [`Server`] composes the components that own this knowledge, and tells them what happens in
//! order.

use crate::api::{Endpoint, Ms, NodeId, ServingState};
use crate::policy::batch_context::BatchContext;
use crate::policy::ended_attempt::EndedAttempt;
use crate::policy::latency::{FleetLatency, LatencyEstimator};
use crate::policy::outlier_detection::{EjectionContext, OutlierDetector};
use crate::policy::outstanding_work::{OutstandingWork, PeerReport};
use crate::policy::server_health::{RestartVerdict, ServerHealth};
use crate::policy::slow_start::SlowStart;
use crate::queries::InFlightAttempt;

/// What is known of one data server.
pub(crate) struct Server {
    node: NodeId,
    cell: usize,
    state: ServingState,
    zone: Option<usize>,
    health: ServerHealth,
    outliers: OutlierDetector,
    slow_start: SlowStart,
    latency: LatencyEstimator,
    outstanding: OutstandingWork,
}

impl Server {
    /// A server about which nothing but the fleet's latency is known.
    pub(super) fn new(node: NodeId, fleet_latency: &FleetLatency) -> Self {
        Server {
            node,
            cell: 0,
            state: ServingState::Removed,
            zone: None,
            health: ServerHealth::new(),
            outliers: OutlierDetector::new(),
            slow_start: SlowStart::new(),
            latency: LatencyEstimator::new(fleet_latency.per_work()),
            outstanding: OutstandingWork::new(),
        }
    }

    /// Its name.
    pub(crate) fn node(&self) -> &NodeId {
        &self.node
    }

    /// Its cell.
    pub(crate) fn cell(&self) -> usize {
        self.cell
    }

    /// Its zone, if the endpoint list names zones.
    pub(crate) fn zone(&self) -> Option<usize> {
        self.zone
    }

    /// Its state in the endpoint list.
    pub(crate) fn state(&self) -> ServingState {
        self.state
    }

    /// Error rates and failures.
    pub(crate) fn health(&self) -> &ServerHealth {
        &self.health
    }

    /// Ejections.
    pub(crate) fn outliers(&self) -> &OutlierDetector {
        &self.outliers
    }

    /// Warm-up after a start.
    pub(crate) fn slow_start(&self) -> &SlowStart {
        &self.slow_start
    }

    /// Latency per outstanding work.
    pub(crate) fn latency(&self) -> &LatencyEstimator {
        &self.latency
    }

    /// Outstanding work.
    pub(crate) fn outstanding(&self) -> &OutstandingWork {
        &self.outstanding
    }

    /// Whether it serves and has warmed up.
    pub(super) fn is_warm(&self) -> bool {
        self.state == ServingState::Serving && self.slow_start.warming_since().is_none()
    }

    /// Outstanding work of other aggregators.
    pub(crate) fn peer_work(&self, now: Ms) -> Ms {
        self.outstanding.peer_work(now, self.latency.per_work())
    }

    /// Time by which the oldest unanswered attempt is late, and the rest of an overload or
    /// unreachability.
    pub(crate) fn known_delay(&self, now: Ms) -> Ms {
        let answered_until = self.health.last_served_sent_at();
        self.outstanding.lateness(now, answered_until) + self.outliers.remaining_unavailability(now)
    }

    /// Whether attempts there have failed without an answer and it is ejected.
    pub(crate) fn is_ejected_as_unresponsive(&self, now: Ms) -> bool {
        self.health.is_unresponsive() && self.outliers.is_ejected(now)
    }

    /// Whether it is not ejected. After failures it gets one attempt at a time.
    pub(crate) fn may_receive_attempt(&self, now: Ms) -> bool {
        let may_try = !self.health.is_suspect() || self.outstanding.has_no_attempt_in_flight();
        may_try && !self.outliers.is_ejected(now)
    }

    /// Applies its entry in an endpoint list.
    pub(super) fn update(&mut self, batch: &BatchContext, endpoint: &Endpoint) {
        self.cell = endpoint.cell;
        self.state = endpoint.state;
        self.zone = endpoint.zone;
        if let Some(started) = endpoint.started {
            self.slow_start.on_listed_start(batch, started);
        }
    }

    /// Marks it as missing from an endpoint list.
    pub(super) fn mark_removed(&mut self) {
        self.state = ServingState::Removed;
    }

    /// Starts a batch.
    pub(super) fn on_batch(&mut self) {
        self.outstanding.on_batch();
    }

    /// Starts a control interval with this random draw for slow start.
    pub(super) fn start_interval(
        &mut self,
        batch: &BatchContext,
        draw: f64,
        fleet_latency: &FleetLatency,
    ) {
        self.latency.decay(batch.now, fleet_latency);
        self.health.decay_class_error_rates();
        if self.outstanding.has_no_attempt_in_flight() {
            self.health.decay_error_rate();
        }
        self.slow_start.start_interval(batch, draw);
        self.outstanding.expire_peer_reports(batch.now);
    }

    /// Records an attempt that is sent.
    pub(super) fn record_send(&mut self, attempt: &InFlightAttempt) {
        self.outstanding.record_send(attempt);
        self.slow_start.record_send(attempt.sent_at, attempt.work);
    }

    /// Records that an attempt is no longer in flight, however it ended.
    pub(super) fn record_end(&mut self, ended: &EndedAttempt) {
        self.outstanding.record_end(ended.attempt());
        self.health.record_class_outcome(ended);
    }

    /// Learns from an attempt that was served.
    pub(super) fn on_answer(&mut self, batch: &BatchContext, ended: &EndedAttempt) {
        let objective = batch.shortest_objective();
        let verdict = self.health.record_answer(ended.attempt(), objective);
        if verdict == RestartVerdict::PossiblyRestarted {
            self.slow_start.on_assumed_restart(batch.now);
        }
        let elapsed = ended.answer_time();
        let weight = ended.answer_weight();
        self.latency
            .record_answer(batch.now, ended.attempt(), elapsed, weight);
        self.outliers.on_answer();
    }

    /// Learns from an attempt that was rejected for lack of capacity.
    pub(super) fn on_overload(&mut self, context: &EjectionContext) {
        self.outliers.on_overload(context);
    }

    /// Learns from an attempt that timed out, before it counts as a failure.
    pub(super) fn on_timeout(&mut self, now: Ms, ended: &EndedAttempt, fleet: &FleetLatency) {
        self.latency
            .record_timeout(now, ended.attempt(), ended.elapsed(), fleet);
    }

    /// Learns from an attempt that failed.
    pub(super) fn on_failure(
        &mut self,
        batch: &BatchContext,
        ended: &EndedAttempt,
        context: &EjectionContext,
    ) {
        let objective = batch.shortest_objective();
        let verdict = self.health.record_failure(ended, objective);
        self.outliers.on_failure(verdict, context);
    }

    /// Records the number of requests that it reports as its load, each with this cost.
    pub(super) fn on_load_report(
        &mut self,
        batch: &BatchContext,
        load: f64,
        part_cost: Ms,
        fleet_latency: &FleetLatency,
    ) {
        self.outstanding
            .record_load_report(batch, load, part_cost, fleet_latency.per_work());
    }

    /// Applies what another aggregator published.
    pub(super) fn on_peer_report(
        &mut self,
        batch: &BatchContext,
        peer: usize,
        report: PeerReport,
        fleet_latency: &FleetLatency,
    ) {
        let previous = self
            .outstanding
            .replace_peer_report(batch.now, peer, report);
        match (previous, report) {
            (_, PeerReport::Failing { ejection }) => self.on_peer_failure(batch.now, ejection),
            (PeerReport::Failing { .. }, PeerReport::Answering { .. }) => {
                self.on_peer_recovery(batch, fleet_latency);
            }
            (PeerReport::Answering { .. }, PeerReport::Answering { .. }) => {}
        }
    }

    /// Ejects the server since it fails for another aggregator, unless it has answered this
    /// one as recently.
    fn on_peer_failure(&mut self, now: Ms, ejection: Ms) {
        if self.health.last_served_sent_at() < now - ejection {
            self.outliers.on_peer_failure(now, ejection);
        }
    }

    /// Ends the ejection of a server that answers another aggregator again. All aggregators
    /// return to it at once, so it is assumed to be slow at first.
    fn on_peer_recovery(&mut self, batch: &BatchContext, fleet_latency: &FleetLatency) {
        self.outliers.on_peer_recovery(batch.now);
        let initial_capacity = batch.settings.warm_up.initial_capacity;
        self.latency.on_recovery(initial_capacity, fleet_latency);
    }
}
