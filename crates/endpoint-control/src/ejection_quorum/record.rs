//! The record of one server: the latest report of each proxy, and the server's ejections. Decides
//! whether the reports are a quorum to eject the server.

use super::report::ServerReport;
use super::rule::EjectionRule;
use crate::ProxyName;
use broker_types::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// The reason why a quorum votes to eject a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuorumReason {
    /// Too many requests to the server failed or had no answer, but at least one of the voting
    /// proxies had an answer from it. So the server is reachable.
    Failing,
    /// None of the voting proxies had an answer from the server.
    Unreachable,
}

/// A report and the time at which it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    received_at: Timestamp,
    report: ServerReport,
}

/// The latest ejection of a server, which may be over.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    duration: Duration,
    ends_at: Timestamp,
}

/// The reports about one server, and its ejections.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerRecord {
    /// The latest report of each proxy.
    reports: BTreeMap<ProxyName, ReceivedReport>,
    /// End of the current ejection; `None` if the server is not ejected.
    ejected_until: Option<Timestamp>,
    /// The current ejection or, if the server is not ejected, the previous one. The duration of the
    /// next ejection follows from it.
    last_ejection: Option<Ejection>,
}

impl ServerRecord {
    /// Returns whether the record holds neither reports nor ejections, so that it can be removed.
    pub(super) fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.ejected_until.is_none() && self.last_ejection.is_none()
    }

    pub(super) fn has_reports(&self) -> bool {
        !self.reports.is_empty()
    }

    pub(super) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns the end of the current ejection, or `None` if the server is not ejected.
    pub(super) fn ejected_until(&self) -> Option<Timestamp> {
        self.ejected_until
    }

    /// Stores a proxy's report. It replaces the proxy's previous report.
    pub(super) fn on_report(&mut self, now: Timestamp, proxy: &ProxyName, report: ServerReport) {
        let received = ReceivedReport {
            received_at: now,
            report,
        };
        self.reports.insert(proxy.clone(), received);
    }

    /// Drops reports whose age has reached [`EjectionRule::report_lifetime`], and the latest
    /// ejection once [`EjectionRule::forget_after`] has passed since its end.
    pub(super) fn drop_outdated(&mut self, now: Timestamp, rule: &EjectionRule) {
        self.reports
            .retain(|_, report| now.saturating_since(report.received_at) < rule.report_lifetime);
        self.last_ejection = self
            .last_ejection
            .filter(|last| now < last.ends_at + rule.forget_after);
    }

    /// Ejects the server. The ejection lasts twice as long as the previous one, up to the rule's
    /// maximum. Without a previous ejection it lasts for the rule's first duration.
    pub(super) fn eject(&mut self, now: Timestamp, rule: &EjectionRule) {
        let duration = self.last_ejection.map_or(rule.first_duration, |last| {
            (2 * last.duration).min(rule.max_duration)
        });
        let ends_at = now + duration;
        self.last_ejection = Some(Ejection { duration, ends_at });
        self.ejected_until = Some(ends_at);
    }

    /// Ends the ejection once its duration has passed.
    ///
    /// The caller calls [`ServerRecord::drop_outdated`] before this function. If this function is
    /// called so late that [`EjectionRule::forget_after`] has already passed since the end of the
    /// ejection, `drop_outdated` has removed `last_ejection` although the server is still marked as
    /// ejected. The ejection's duration is then lost, so the ejection is recorded again with the
    /// rule's first duration.
    pub(super) fn readmit(&mut self, now: Timestamp, rule: &EjectionRule) {
        let Some(ends_at) = self.ejected_until.filter(|until| *until <= now) else {
            return;
        };
        let last = self.last_ejection;
        let duration = last.map_or(rule.first_duration, |last| last.duration);
        self.last_ejection = Some(Ejection { duration, ends_at });
        self.ejected_until = None;
        // Requests that failed before or during the ejection do not show whether the server works
        // now. If the reports about them were kept, they could eject it again immediately.
        self.reports.clear();
    }

    /// Returns the reason why a quorum votes to eject the server, or `None` if the votes are too
    /// few for a quorum.
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
        let reporting_proxies = self.reports.len() as f64;
        let min_share_votes = (rule.min_vote_share * reporting_proxies).ceil().max(1.0) as usize;
        // A report of one proxy proves nothing if others are connected, because the proxy's own
        // link may be at fault. So the minimum number of votes is needed even if the other proxies
        // send no requests to this server and therefore have no reports about it. If fewer proxies
        // than the minimum are connected, more votes are not possible, and the votes of all of them
        // suffice.
        let needed_votes = min_share_votes.max(rule.min_votes.min(connected_proxies));
        if votes.is_empty() || votes.len() < needed_votes {
            return None;
        }
        if votes.iter().all(|report| report.is_unreachable()) {
            Some(QuorumReason::Unreachable)
        } else {
            Some(QuorumReason::Failing)
        }
    }
}
