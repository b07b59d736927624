//! What is known of one server: the last report of each proxy, the votes among them, and its
//! ejections.

use super::report::ServerReport;
use super::rule::EjectionRule;
use crate::ProxyName;
use broker_types::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Why a quorum votes to eject a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuorumReason {
    /// Some of the voters had answers from the server.
    Failing,
    /// None of the voters had an answer from the server.
    Unreachable,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    received_at: Timestamp,
    report: ServerReport,
}

/// An ejection that has ended or will end.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    duration: Duration,
    ends_at: Timestamp,
}

/// The reports about one server, and its ejections.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerRecord {
    /// The last report of each proxy.
    reports: BTreeMap<ProxyName, ReceivedReport>,
    /// When the present ejection ends.
    ejected_until: Option<Timestamp>,
    last_ejection: Option<Ejection>,
}

impl ServerRecord {
    /// Whether nothing is known of the server.
    pub(super) fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.ejected_until.is_none() && self.last_ejection.is_none()
    }

    pub(super) fn has_reports(&self) -> bool {
        !self.reports.is_empty()
    }

    pub(super) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// When the present ejection ends.
    pub(super) fn ejected_until(&self) -> Option<Timestamp> {
        self.ejected_until
    }

    /// Takes a proxy's report in place of its last one.
    pub(super) fn on_report(&mut self, now: Timestamp, proxy: &ProxyName, report: ServerReport) {
        let received = ReceivedReport {
            received_at: now,
            report,
        };
        self.reports.insert(proxy.clone(), received);
    }

    /// Drops reports past their lifetime, and the last ejection once it no longer counts.
    pub(super) fn drop_outdated(&mut self, now: Timestamp, rule: &EjectionRule) {
        self.reports
            .retain(|_, report| now.saturating_since(report.received_at) < rule.report_lifetime);
        self.last_ejection = self
            .last_ejection
            .filter(|last| now < last.ends_at + rule.forget_after);
    }

    /// Ejects the server; the duration doubles with each ejection.
    pub(super) fn eject(&mut self, now: Timestamp, rule: &EjectionRule) {
        let duration = self.last_ejection.map_or(rule.first_duration, |last| {
            (2 * last.duration).min(rule.max_duration)
        });
        let ends_at = now + duration;
        self.last_ejection = Some(Ejection { duration, ends_at });
        self.ejected_until = Some(ends_at);
    }

    /// Ends the ejection once its duration has passed.
    pub(super) fn readmit(&mut self, now: Timestamp, rule: &EjectionRule) {
        let Some(ends_at) = self.ejected_until.filter(|until| *until <= now) else {
            return;
        };
        let last = self.last_ejection;
        let duration = last.map_or(rule.first_duration, |last| last.duration);
        self.last_ejection = Some(Ejection { duration, ends_at });
        self.ejected_until = None;
        // Reports from before its return say nothing about the server now.
        self.reports.clear();
    }

    /// Why a quorum votes to eject the server; `None` without a quorum.
    pub(super) fn quorum_reason(
        &self,
        connected_proxies: usize,
        rule: &EjectionRule,
    ) -> Option<QuorumReason> {
        let votes: Vec<&ServerReport> = self
            .reports
            .values()
            .map(|received| &received.report)
            .filter(|report| report.is_vote_to_eject(rule))
            .collect();
        let reporting = self.reports.len() as f64;
        let share = (rule.min_vote_share * reporting).ceil().max(1.0) as usize;
        // One proxy alone proves nothing where others exist, even if none of them sends to this
        // server. Where it is the only one, there is no other view.
        let needed = share.max(rule.min_votes.min(connected_proxies));
        if votes.is_empty() || votes.len() < needed {
            return None;
        }
        if votes.iter().all(|report| report.is_unreachable()) {
            Some(QuorumReason::Unreachable)
        } else {
            Some(QuorumReason::Failing)
        }
    }
}
