//! One data server: its entry in the endpoint list and its statistics.
//!
//! [`Server`] composes the components that own the statistics, and passes each event on to those
//! that it concerns.

use crate::api::{Endpoint, Ms, NodeId, ServingState};
use crate::policy::batch_context::BatchContext;
use crate::policy::ended_attempt::EndedAttempt;
use crate::policy::latency::{FleetLatency, LatencyEstimator};
use crate::policy::outlier_detection::{EjectionContext, OutlierDetector};
use crate::policy::outstanding_work::{OutstandingWork, PeerReport};
use crate::policy::server_health::{RestartVerdict, ServerHealth};
use crate::policy::slow_start::SlowStart;
use crate::queries::InFlightAttempt;

/// State and statistics of one data server.
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
    /// Creates a server that has no entry in the endpoint list yet. Until its latency is observed,
    /// it is assumed to have the latency of the fleet.
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

    /// Returns the name of the server.
    pub(crate) fn node(&self) -> &NodeId {
        &self.node
    }

    /// Returns the index of the server's cell.
    pub(crate) fn cell(&self) -> usize {
        self.cell
    }

    /// Returns the index of the server's zone; `None` if the endpoint list names no zones.
    pub(crate) fn zone(&self) -> Option<usize> {
        self.zone
    }

    /// Returns the state of the server in the endpoint list.
    pub(crate) fn state(&self) -> ServingState {
        self.state
    }

    /// Returns the error rates and failures of the server.
    pub(crate) fn health(&self) -> &ServerHealth {
        &self.health
    }

    /// Returns the ejections of the server.
    pub(crate) fn outliers(&self) -> &OutlierDetector {
        &self.outliers
    }

    /// Returns the state of the server's slow start.
    pub(crate) fn slow_start(&self) -> &SlowStart {
        &self.slow_start
    }

    /// Returns the estimate of the server's latency per ms of outstanding work.
    pub(crate) fn latency(&self) -> &LatencyEstimator {
        &self.latency
    }

    /// Returns the outstanding work at the server.
    pub(crate) fn outstanding(&self) -> &OutstandingWork {
        &self.outstanding
    }

    /// Returns whether the server is in the state `Serving` and has warmed up.
    pub(super) fn is_warm(&self) -> bool {
        self.state == ServingState::Serving && self.slow_start.warming_since().is_none()
    }

    /// Returns the outstanding work of other aggregators at the server.
    pub(crate) fn peer_work(&self, now: Ms) -> Ms {
        self.outstanding.peer_work(now, self.latency.per_work())
    }

    /// Returns the delay to add to the forecast of an attempt sent now. It is the time by which the
    /// oldest unanswered attempt is later than its own forecast, plus the remaining time of an
    /// ejection for lack of capacity or because the server was unreachable, see
    /// [`OutlierDetector::remaining_unavailability`].
    pub(crate) fn known_delay(&self, now: Ms) -> Ms {
        let lateness = self
            .outstanding
            .lateness(now, self.health.last_served_sent_at());
        lateness + self.outliers.remaining_unavailability(now)
    }

    /// Returns whether the server is ejected and unresponsive, that is, an attempt timed out or its
    /// connection failed and no attempt has been served since.
    pub(crate) fn is_ejected_as_unresponsive(&self, now: Ms) -> bool {
        self.health.is_unresponsive() && self.outliers.is_ejected(now)
    }

    /// Returns whether the server may be sent an attempt: it must not be ejected. After several
    /// failures in a row it must also have no attempt in flight, so that it is sent one at a time.
    pub(crate) fn may_receive_attempt(&self, now: Ms) -> bool {
        let may_try = !self.health.is_suspect() || self.outstanding.has_no_attempt_in_flight();
        may_try && !self.outliers.is_ejected(now)
    }

    /// Applies the server's entry in an update of the endpoint list.
    pub(super) fn update(&mut self, batch: &BatchContext, endpoint: &Endpoint) {
        self.cell = endpoint.cell;
        self.state = endpoint.state;
        self.zone = endpoint.zone;
        if let Some(started) = endpoint.started {
            self.slow_start.on_listed_start(batch, started);
        }
    }

    /// Marks the server as removed, as it is missing from a complete endpoint list.
    pub(super) fn mark_removed(&mut self) {
        self.state = ServingState::Removed;
    }

    /// Starts a batch. Parts sent in the new batch do not share calls with those of earlier
    /// batches.
    pub(super) fn on_batch(&mut self) {
        self.outstanding.on_batch();
    }

    /// Starts a control interval: decays the averages, expires old reports of other aggregators,
    /// and updates the slow start. The error rates of the classes always decay, but the error rate
    /// of the whole server only if this aggregator has no attempt in flight there. `draw` is a
    /// random number from 0 to below 1, with which the slow start decides in this interval whether
    /// the work sent to the server may exceed its allowance.
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

    /// Records an attempt that is being sent.
    pub(super) fn record_send(&mut self, attempt: &InFlightAttempt) {
        self.outstanding.record_send(attempt);
        self.slow_start.record_send(attempt.sent_at, attempt.work);
    }

    /// Records that an attempt is no longer in flight, and updates the error rate of its class.
    /// This is called for every outcome.
    pub(super) fn record_end(&mut self, ended: &EndedAttempt) {
        self.outstanding.record_end(ended.attempt());
        self.health.record_class_outcome(ended);
    }

    /// Updates health, latency and ejections with an attempt that was served. A server that answers
    /// after it was unresponsive for long may have restarted, so its slow start begins anew.
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

    /// Ejects the server after it rejected an attempt for lack of capacity.
    pub(super) fn on_overload(&mut self, context: &EjectionContext) {
        self.outliers.on_overload(context);
    }

    /// Updates the latency estimate with an attempt that timed out. The timeout is also a failure,
    /// which the caller passes to [`Server::on_failure`] afterwards.
    pub(super) fn on_timeout(&mut self, now: Ms, ended: &EndedAttempt, fleet: &FleetLatency) {
        self.latency
            .record_timeout(now, ended.attempt(), ended.elapsed(), fleet);
    }

    /// Updates the health with an attempt that failed, and ejects the server if necessary.
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

    /// Applies the server's load report: `load` requests wait or run there, each with `part_cost`
    /// of work.
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

    /// Applies a report that another aggregator published about the server. The server counts as
    /// recovered if that aggregator's previous report stated that it is failing, and the new one
    /// does not.
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

    /// Ejects the server, since attempts of another aggregator have failed there. It is not ejected
    /// if it has served an attempt that this aggregator sent within the last `ejection` ms.
    fn on_peer_failure(&mut self, now: Ms, ejection: Ms) {
        if self.health.last_served_sent_at() < now - ejection {
            self.outliers.on_peer_failure(now, ejection);
        }
    }

    /// Ends the ejection of the server, since it answers another aggregator again. All aggregators
    /// send to it again at the same time, so it is assumed to be slow at first.
    fn on_peer_recovery(&mut self, batch: &BatchContext, fleet_latency: &FleetLatency) {
        self.outliers.on_peer_recovery(batch.now);
        let initial_capacity = batch.settings.warm_up.initial_capacity;
        self.latency.on_recovery(initial_capacity, fleet_latency);
    }
}
