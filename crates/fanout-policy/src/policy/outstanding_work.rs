//! Outstanding work: work that waits or runs at a server, in ms of the server's time.
//!
//! [`OutstandingWork`] owns the work of one server from three sources: the attempts that this
//! aggregator has in flight there, the gossip of the other aggregators, and the load reports in
//! the server's own answers.

use super::batch_context::BatchContext;
use super::batch_timer::CONTROL_INTERVAL_MS;
use super::latency::MIN_LATENCY_PER_WORK;
use crate::api::Ms;
use crate::queries::InFlightAttempt;
use std::collections::BTreeMap;

/// Rate at which the work of a load report is assumed to shrink, as a share of the rate at which
/// the server completes work. New work replaces about half of what the server completes.
const REPORTED_WORK_DRAIN_SHARE: f64 = 0.5;
/// Time after which a report of another aggregator expires, in ms. An aggregator publishes its
/// outstanding work again in each control interval; one that does not may have failed.
const PEER_REPORT_LIFETIME_MS: Ms = 1.5 * CONTROL_INTERVAL_MS;
/// Maximum work that is taken from a load report, since the report may be wrong. It is given as the
/// latency of that work at a server with the median latency per work of the fleet, in multiples of
/// the shortest latency objective.
const MAX_REPORTED_WORK_OBJECTIVES: f64 = 3.0;

/// Report that is assumed for an aggregator that has published nothing.
const DEFAULT_PEER_REPORT: PeerReport = PeerReport::Answering { work: 0.0 };

/// State of a server as another aggregator published it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PeerReport {
    /// That aggregator has ejected the server as unresponsive: one of its attempts timed out or
    /// found the server unreachable, and none has been served since.
    Failing {
        /// Time for which this aggregator ejects the server.
        ejection: Ms,
    },
    /// That aggregator has not ejected the server as unresponsive.
    Answering {
        /// Outstanding work of that aggregator at the server.
        work: Ms,
    },
}

impl PeerReport {
    /// Returns the outstanding work that the report states; 0 for a failing server.
    fn work(self) -> Ms {
        match self {
            PeerReport::Failing { .. } => 0.0,
            PeerReport::Answering { work } => work,
        }
    }
}

/// Newest report of another aggregator about a server.
#[derive(Clone, Copy)]
struct ReceivedReport {
    report: PeerReport,
    received_at: Ms,
}

/// Send time and forecast of an attempt in flight. The two identify it when it ends.
#[derive(Clone, Copy, PartialEq)]
struct SentAttempt {
    sent_at: Ms,
    expected_latency: Ms,
}

impl SentAttempt {
    /// Copies the send time and the forecast of an attempt.
    fn of(attempt: &InFlightAttempt) -> Self {
        SentAttempt {
            sent_at: attempt.sent_at,
            expected_latency: attempt.expected_latency,
        }
    }
}

/// Outstanding work at one server.
pub(crate) struct OutstandingWork {
    /// Work of this aggregator's attempts in flight.
    own: Ms,
    /// Attempts of this aggregator in flight, in order of sending.
    in_flight: Vec<SentAttempt>,
    /// Number of parts that this aggregator has sent in the current batch.
    parts_in_batch: usize,
    /// Work that the other aggregators published: the sum over `peer_reports`.
    published: Ms,
    /// Newest report of each other aggregator, by its index.
    peer_reports: BTreeMap<usize, ReceivedReport>,
    /// Work of other aggregators that the server's last load report indicated on its arrival.
    reported: Ms,
    /// Time at which the last load report arrived. Reports that repeat it do not change the time.
    reported_at: Ms,
    /// Number of requests that the last load report stated; NaN before the first report.
    last_reported_load: f64,
}

impl OutstandingWork {
    /// Creates the state of a server without outstanding work.
    pub(crate) fn new() -> Self {
        OutstandingWork {
            own: 0.0,
            in_flight: Vec::new(),
            parts_in_batch: 0,
            published: 0.0,
            peer_reports: BTreeMap::new(),
            reported: 0.0,
            reported_at: f64::NEG_INFINITY,
            last_reported_load: f64::NAN,
        }
    }

    /// Returns the work of this aggregator's attempts in flight.
    pub(crate) fn own(&self) -> Ms {
        self.own
    }

    /// Returns the outstanding work that the other aggregators published by gossip.
    pub(crate) fn published(&self) -> Ms {
        self.published
    }

    /// Returns the outstanding work of the other aggregators: the sum of what they published by
    /// gossip and of what remains of the server's last load report. Work that is in both counts
    /// twice. The work of the load report shrinks with its age, the faster the lower the server's
    /// `latency_per_work` is.
    pub(crate) fn peer_work(&self, now: Ms, latency_per_work: f64) -> Ms {
        let age = now - self.reported_at;
        let drained = REPORTED_WORK_DRAIN_SHARE * age / latency_per_work.max(MIN_LATENCY_PER_WORK);
        self.published + (self.reported - drained).max(0.0)
    }

    /// Returns whether this aggregator has no attempt in flight at the server.
    pub(crate) fn has_no_attempt_in_flight(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Returns whether another part in the current batch would need a new call. The parts of one
    /// batch share calls of up to `max_parts_per_call` parts.
    pub(crate) fn next_part_opens_call(&self, max_parts_per_call: usize) -> bool {
        self.parts_in_batch
            .is_multiple_of(max_parts_per_call.max(1))
    }

    /// Returns by how much the oldest attempt in flight has exceeded its forecast latency, in ms;
    /// 0 if it has not. `last_served_sent_at` is the send time of the newest attempt that was
    /// served. Attempts sent at that time or earlier are left out: the server was up after they
    /// had been sent, since it answered that newest attempt.
    pub(crate) fn lateness(&self, now: Ms, last_served_sent_at: Ms) -> Ms {
        let mut in_flight = self.in_flight.iter();
        let oldest = in_flight.find(|attempt| attempt.sent_at > last_served_sent_at);
        let lateness = |attempt: &SentAttempt| now - attempt.sent_at - attempt.expected_latency;
        oldest.map_or(0.0, lateness).max(0.0)
    }

    /// Starts a batch, whose parts go into new calls.
    pub(crate) fn on_batch(&mut self) {
        self.parts_in_batch = 0;
    }

    /// Adds an attempt of this aggregator when it is sent.
    pub(crate) fn record_send(&mut self, attempt: &InFlightAttempt) {
        self.own += attempt.work;
        self.parts_in_batch += 1;
        self.in_flight.push(SentAttempt::of(attempt));
    }

    /// Removes an attempt of this aggregator when it has ended.
    pub(crate) fn record_end(&mut self, attempt: &InFlightAttempt) {
        self.own = (self.own - attempt.work).max(0.0);
        let sent = SentAttempt::of(attempt);
        if let Some(position) = self.in_flight.iter().position(|known| *known == sent) {
            self.in_flight.remove(position);
        }
    }

    /// Replaces the report of the aggregator with the index `peer` and returns its previous one.
    pub(crate) fn replace_peer_report(
        &mut self,
        now: Ms,
        peer: usize,
        report: PeerReport,
    ) -> PeerReport {
        let received = ReceivedReport {
            report,
            received_at: now,
        };
        let previous = self.peer_reports.insert(peer, received);
        let previous = previous.map_or(DEFAULT_PEER_REPORT, |previous| previous.report);
        self.published = (self.published + report.work() - previous.work()).max(0.0);
        previous
    }

    /// Discards the expired reports of other aggregators.
    pub(crate) fn expire_peer_reports(&mut self, now: Ms) {
        let deadline = now - PEER_REPORT_LIFETIME_MS;
        self.peer_reports
            .retain(|_, received| received.received_at > deadline);
        let reports = self.peer_reports.values();
        self.published = reports.map(|received| received.report.work()).sum();
    }

    /// Records a load report of the server. `load` is the number of requests that wait or run
    /// there; those that are not this aggregator's own count as work of `part_cost` each. The
    /// report arrives late and may be wrong, so the work taken from it is limited.
    pub(crate) fn record_load_report(
        &mut self,
        batch: &BatchContext,
        load: f64,
        part_cost: Ms,
        fleet_latency_per_work: f64,
    ) {
        // A server puts the same report into many answers. A repeated value is not a new
        // observation, so the report keeps the time at which it first arrived.
        if std::mem::replace(&mut self.last_reported_load, load) == load {
            return;
        }
        let latency_per_work = fleet_latency_per_work.max(MIN_LATENCY_PER_WORK);
        let max_work = MAX_REPORTED_WORK_OBJECTIVES * batch.shortest_objective() / latency_per_work;
        let others = (load - self.in_flight.len() as f64).max(0.0);
        self.reported = (others * part_cost).min(max_work);
        self.reported_at = batch.now;
    }
}
