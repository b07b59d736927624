//! Work that waits or runs at a server.
//!
//! [`OutstandingWork`] owns what this aggregator has sent there, what others published by
//! gossip, and what the server itself reported.

use super::batch_context::BatchContext;
use super::batch_timer::CONTROL_INTERVAL_MS;
use super::latency::MIN_LATENCY_PER_WORK;
use crate::api::Ms;
use crate::queries::InFlightAttempt;
use std::collections::BTreeMap;

/// Share of a server's speed by which its reported work drains: new work replaces about half of it.
const REPORTED_WORK_DRAIN_SHARE: f64 = 0.5;
/// Time after which a report of another aggregator expires, since that aggregator may have failed.
const PEER_REPORT_LIFETIME_MS: Ms = 1.5 * CONTROL_INTERVAL_MS;
/// Most work that a load report may state: what takes this time at the fleet's latency, in
/// shortest latency objectives.
const MAX_REPORTED_WORK_OBJECTIVES: f64 = 3.0;

/// What an aggregator that has not reported is assumed to do.
const NO_REPORT: PeerReport = PeerReport::Answering { work: 0.0 };

/// What another aggregator published about a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PeerReport {
    /// Its attempts there have just failed.
    Failing {
        /// Time for which the server is ejected.
        ejection: Ms,
    },
    /// Its attempts there are answered.
    Answering {
        /// Its outstanding work there.
        work: Ms,
    },
}

impl PeerReport {
    fn work(self) -> Ms {
        match self {
            PeerReport::Failing { .. } => 0.0,
            PeerReport::Answering { work } => work,
        }
    }
}

/// The newest report of another aggregator about a server.
#[derive(Clone, Copy)]
struct ReceivedReport {
    report: PeerReport,
    received_at: Ms,
}

/// One attempt in flight.
#[derive(Clone, Copy, PartialEq)]
struct SentAttempt {
    sent_at: Ms,
    expected_latency: Ms,
}

impl SentAttempt {
    fn of(attempt: &InFlightAttempt) -> Self {
        SentAttempt {
            sent_at: attempt.sent_at,
            expected_latency: attempt.expected_latency,
        }
    }
}

/// Outstanding work at one server.
pub(crate) struct OutstandingWork {
    /// Own work sent and not yet ended.
    own: Ms,
    /// Own attempts in flight, in order of sending.
    in_flight: Vec<SentAttempt>,
    /// Parts sent in the current batch; they share calls.
    parts_in_batch: usize,
    /// Work of the other aggregators, the sum of their reports.
    published: Ms,
    /// The newest report of each other aggregator.
    peer_reports: BTreeMap<usize, ReceivedReport>,
    /// Work of other aggregators according to the server's own load report.
    reported: Ms,
    /// When that load report first arrived.
    reported_at: Ms,
    /// Number of requests that it stated.
    last_reported_load: f64,
}

impl OutstandingWork {
    /// No work.
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

    /// Own work sent and not yet ended.
    pub(crate) fn own(&self) -> Ms {
        self.own
    }

    /// Work that the other aggregators published.
    pub(crate) fn published(&self) -> Ms {
        self.published
    }

    /// Outstanding work of other aggregators, from gossip and from the server's load report.
    pub(crate) fn peers(&self, now: Ms, latency_per_work: f64) -> Ms {
        let age = now - self.reported_at;
        let drained = REPORTED_WORK_DRAIN_SHARE * age / latency_per_work.max(MIN_LATENCY_PER_WORK);
        self.published + (self.reported - drained).max(0.0)
    }

    /// Whether no own attempt is in flight.
    pub(crate) fn has_no_attempt_in_flight(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Whether another part would open a call: parts sent in one batch share calls.
    pub(crate) fn next_part_opens_call(&self, max_parts_per_call: usize) -> bool {
        self.parts_in_batch
            .is_multiple_of(max_parts_per_call.max(1))
    }

    /// Time by which the oldest attempt in flight is late of those sent after `answered_until`.
    pub(crate) fn lateness(&self, now: Ms, answered_until: Ms) -> Ms {
        let mut in_flight = self.in_flight.iter();
        let oldest = in_flight.find(|attempt| attempt.sent_at > answered_until);
        let lateness = |attempt: &SentAttempt| now - attempt.sent_at - attempt.expected_latency;
        oldest.map_or(0.0, lateness).max(0.0)
    }

    /// Starts a batch.
    pub(crate) fn on_batch(&mut self) {
        self.parts_in_batch = 0;
    }

    /// Adds an attempt that is sent.
    pub(crate) fn record_send(&mut self, attempt: &InFlightAttempt) {
        self.own += attempt.work;
        self.parts_in_batch += 1;
        self.in_flight.push(SentAttempt::of(attempt));
    }

    /// Removes an attempt that has ended.
    pub(crate) fn record_end(&mut self, attempt: &InFlightAttempt) {
        self.own = (self.own - attempt.work).max(0.0);
        let sent = SentAttempt::of(attempt);
        if let Some(position) = self.in_flight.iter().position(|known| *known == sent) {
            self.in_flight.remove(position);
        }
    }

    /// Replaces the report of another aggregator and returns the previous one.
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
        let previous = previous.map_or(NO_REPORT, |previous| previous.report);
        self.published = (self.published + report.work() - previous.work()).max(0.0);
        previous
    }

    /// Discards the reports of other aggregators that have expired.
    pub(crate) fn expire_peer_reports(&mut self, now: Ms) {
        let deadline = now - PEER_REPORT_LIFETIME_MS;
        self.peer_reports
            .retain(|_, received| received.received_at > deadline);
        let reports = self.peer_reports.values();
        self.published = reports.map(|received| received.report.work()).sum();
    }

    /// Records the number of requests that the server reports as its load, each with
    /// this cost. The report is late and may be wrong, so that it is limited.
    pub(crate) fn record_load_report(
        &mut self,
        batch: &BatchContext,
        load: f64,
        part_cost: Ms,
        fleet_latency_per_work: f64,
    ) {
        // Servers repeat one report in many answers: a repeat is as old as the first.
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
