//! Record of one data server.

use super::decay;
use crate::api::{Ms, NodeId, ServingState};
use std::collections::{BTreeMap, VecDeque};

/// An attempt in flight as its server's record keeps it.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct SentAttempt {
    /// When it was sent.
    pub(crate) sent_at: Ms,
    /// Forecast latency when it was sent.
    pub(crate) expected_latency: Ms,
}

/// Work sent at one time.
#[derive(Clone, Copy)]
pub(crate) struct SentWork {
    /// When it was sent.
    pub(crate) sent_at: Ms,
    /// How much.
    pub(crate) work: Ms,
}

/// Outcomes of one class at a server.
#[derive(Default)]
pub(crate) struct ClassHealth {
    /// Share of failed attempts, smoothed.
    pub(crate) error_rate: f64,
    /// Send time of the newest attempt that was served.
    pub(crate) last_served_sent_at: Ms,
}

impl ClassHealth {
    /// Records an attempt that was served, with this weight in the average.
    pub(crate) fn record_served(&mut self, sent_at: Ms, weight: f64) {
        decay(&mut self.error_rate, weight);
        self.last_served_sent_at = self.last_served_sent_at.max(sent_at);
    }
}

/// What another aggregator published about a server.
#[derive(Clone, Copy, Default)]
pub(crate) struct PeerLoadReport {
    /// Its outstanding work there.
    pub(crate) work: Ms,
    /// Whether its attempts there have just failed.
    pub(crate) is_failing: bool,
    /// When the report arrived.
    pub(crate) received_at: Ms,
}

/// Work of other aggregators according to the server's own load report.
pub(crate) struct ReportedWork {
    /// How much.
    pub(crate) work: Ms,
    /// When the report first arrived.
    pub(crate) received_at: Ms,
}

/// What is known of one data server.
pub(crate) struct Server {
    pub(crate) node: NodeId,
    pub(crate) cell: usize,
    pub(crate) state: ServingState,
    pub(crate) zone: Option<usize>,
    /// Work sent and not yet ended.
    pub(crate) outstanding_work: Ms,
    /// Attempts sent and not yet ended, in order of sending.
    pub(crate) in_flight: Vec<SentAttempt>,
    /// Latency per outstanding work, smoothed.
    pub(crate) latency_per_work: f64,
    /// When its latency was last observed.
    pub(crate) last_observed_at: Ms,
    /// Send time of the newest attempt that was served.
    pub(crate) last_served_sent_at: Ms,
    /// Share of failed attempts, smoothed.
    pub(crate) error_rate: f64,
    /// Failed attempts since the last one that was served.
    pub(crate) consecutive_failures: u32,
    /// Outcomes by class.
    pub(crate) class_health: BTreeMap<usize, ClassHealth>,
    /// End of its ejection.
    pub(crate) ejected_until: Ms,
    /// End of its ejection for being unreachable.
    pub(crate) unreachable_until: Ms,
    /// End of its ejection for having rejected a part.
    pub(crate) overloaded_until: Ms,
    /// Length of the last ejection; 0 once it has served a part since.
    pub(crate) ejection_duration: Ms,
    /// Whether an attempt timed out or its connection failed, and none has been served since.
    pub(crate) is_unresponsive: bool,
    /// When it started, if it may still be warming up.
    pub(crate) warming_since: Option<Ms>,
    /// Work sent while it is warming up.
    pub(crate) slow_start_sends: VecDeque<SentWork>,
    /// The current control interval's random draw for a send while it is warming up.
    pub(crate) slow_start_draw: f64,
    /// Parts sent in this batch; they share calls.
    pub(crate) parts_in_batch: usize,
    /// Outstanding work of other aggregators according to gossip.
    pub(crate) peer_work: Ms,
    /// Work of other aggregators according to its own load report.
    pub(crate) reported_work: ReportedWork,
    /// Number of requests that its last load report stated.
    pub(crate) last_reported_load: f64,
    /// The newest report of each other aggregator.
    pub(crate) peer_reports: BTreeMap<usize, PeerLoadReport>,
}

impl Server {
    /// A server about which nothing but this latency is known.
    pub(crate) fn new(node: NodeId, latency_per_work: f64) -> Self {
        Server {
            node,
            cell: 0,
            state: ServingState::Removed,
            zone: None,
            outstanding_work: 0.0,
            in_flight: Vec::new(),
            latency_per_work,
            last_observed_at: f64::NEG_INFINITY,
            last_served_sent_at: f64::NEG_INFINITY,
            error_rate: 0.0,
            consecutive_failures: 0,
            class_health: BTreeMap::new(),
            ejected_until: f64::NEG_INFINITY,
            unreachable_until: f64::NEG_INFINITY,
            overloaded_until: f64::NEG_INFINITY,
            ejection_duration: 0.0,
            is_unresponsive: false,
            warming_since: None,
            slow_start_sends: VecDeque::new(),
            slow_start_draw: 1.0,
            parts_in_batch: 0,
            peer_work: 0.0,
            reported_work: ReportedWork {
                work: 0.0,
                received_at: f64::NEG_INFINITY,
            },
            last_reported_load: f64::NAN,
            peer_reports: BTreeMap::new(),
        }
    }

    /// Replaces the report of an aggregator and returns the previous one.
    pub(crate) fn replace_peer_report(
        &mut self,
        peer: usize,
        report: PeerLoadReport,
    ) -> PeerLoadReport {
        let previous = self.peer_reports.insert(peer, report).unwrap_or_default();
        self.peer_work = (self.peer_work + report.work - previous.work).max(0.0);
        previous
    }

    /// Removes the reports that arrived at `deadline` or before.
    pub(crate) fn discard_peer_reports(&mut self, deadline: Ms) {
        self.peer_reports
            .retain(|_, report| report.received_at > deadline);
        self.peer_work = self.peer_reports.values().map(|report| report.work).sum();
    }

    /// Records an attempt that is sent.
    pub(crate) fn record_send(&mut self, now: Ms, work: Ms, expected_latency: Ms) {
        self.outstanding_work += work;
        self.parts_in_batch += 1;
        self.in_flight.push(SentAttempt {
            sent_at: now,
            expected_latency,
        });
        if self.warming_since.is_some() {
            self.slow_start_sends
                .push_back(SentWork { sent_at: now, work });
        }
    }

    /// Removes an attempt that has ended.
    pub(crate) fn record_end(&mut self, work: Ms, sent: SentAttempt) {
        self.outstanding_work = (self.outstanding_work - work).max(0.0);
        if let Some(position) = self.in_flight.iter().position(|attempt| *attempt == sent) {
            self.in_flight.remove(position);
        }
    }

    /// Time by which the oldest attempt in flight is late that was sent after the newest
    /// served one.
    pub(crate) fn unanswered_lateness(&self, now: Ms) -> Ms {
        let mut in_flight = self.in_flight.iter();
        let oldest = in_flight.find(|attempt| attempt.sent_at > self.last_served_sent_at);
        let lateness = |attempt: &SentAttempt| now - attempt.sent_at - attempt.expected_latency;
        oldest.map_or(0.0, lateness).max(0.0)
    }

    /// Share of failed attempts of a class, smoothed.
    pub(crate) fn class_error_rate(&self, class: usize) -> f64 {
        self.class_health
            .get(&class)
            .map_or(0.0, |health| health.error_rate)
    }

    /// Work sent at or after `start` while warming up.
    pub(crate) fn slow_start_work_since(&self, start: Ms) -> Ms {
        self.slow_start_sends
            .iter()
            .filter(|send| send.sent_at >= start)
            .map(|send| send.work)
            .sum()
    }

    /// Takes over the number of requests that the server reports as its load, with this cost each.
    pub(crate) fn record_load_report(&mut self, now: Ms, load: f64, part_cost: Ms, max_work: Ms) {
        // Servers repeat one report in many answers: a repeat is as old as the first.
        if std::mem::replace(&mut self.last_reported_load, load) == load {
            return;
        }
        let others = (load - self.in_flight.len() as f64).max(0.0);
        let work = (others * part_cost).min(max_work);
        self.reported_work = ReportedWork {
            work,
            received_at: now,
        };
    }
}
