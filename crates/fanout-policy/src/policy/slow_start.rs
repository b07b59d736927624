//! Slow start: how much work a server may be sent while it warms up.
//!
//! [`SlowStart`] owns the start of one server and what it was sent since, [`ServedRate`] the
//! speed of a warm one.

use super::batch_context::BatchContext;
use super::batch_timer::CONTROL_INTERVAL_MS;
use super::smoothing::SAMPLE_WEIGHT;
use crate::api::{Ms, WarmUp};
use crate::statistics::smooth;
use std::collections::VecDeque;

/// Share of the overload limit of a warming server that is used: traffic arrives in bursts.
const LIMIT_SAFETY_SHARE: f64 = 0.75;
/// Least time that a warm-up is assumed to take.
const MIN_WARM_UP_MS: Ms = 1.0;

/// Work sent at one time.
#[derive(Clone, Copy)]
struct SentWork {
    sent_at: Ms,
    work: Ms,
}

/// The slow start of one server.
pub(crate) struct SlowStart {
    /// When the server started, if it may still be warming up.
    warming_since: Option<Ms>,
    /// Work sent while it is warming up.
    sends: VecDeque<SentWork>,
    /// The current control interval's random draw for a send above the allowance.
    draw: f64,
}

impl SlowStart {
    /// A server that is warm.
    pub(crate) fn new() -> Self {
        SlowStart {
            warming_since: None,
            sends: VecDeque::new(),
            draw: 1.0,
        }
    }

    /// When the server started, if it may still be warming up.
    pub(crate) fn warming_since(&self) -> Option<Ms> {
        self.warming_since
    }

    /// Applies the start that the endpoint list states, unless a later one is known.
    pub(crate) fn on_listed_start(&mut self, batch: &BatchContext, started: Ms) {
        let is_recent = started + batch.settings.warm_up.duration > batch.now;
        if is_recent && self.warming_since.is_none_or(|since| since < started) {
            self.warming_since = Some(started);
        }
    }

    /// Starts a warm-up now: the server may have restarted without the endpoint list
    /// showing it yet.
    pub(crate) fn on_assumed_restart(&mut self, now: Ms) {
        self.warming_since = Some(now);
    }

    /// Counts work that is sent, if the server is warming up.
    pub(crate) fn record_send(&mut self, now: Ms, work: Ms) {
        if self.warming_since.is_some() {
            self.sends.push_back(SentWork { sent_at: now, work });
        }
    }

    /// Starts a control interval with this random draw, and ends the slow start of a server
    /// that is warm.
    pub(crate) fn start_interval(&mut self, batch: &BatchContext, draw: f64) {
        let rule = &batch.settings.warm_up;
        let window_start = batch.now - rule.overload_window;
        self.draw = draw;
        self.sends.retain(|send| send.sent_at >= window_start);
        let is_warming = |since: &Ms| since + rule.duration > batch.now;
        self.warming_since = self.warming_since.filter(is_warming);
    }

    /// Whether the server can be sent `work` without overload while it warms up. A warming
    /// server fails when it receives more than a multiple of its capacity for the overload
    /// window, from all aggregators together. What they have all served by a warm server is
    /// no more than that can do, so each keeps to the limit times what it has served by one
    /// itself; before that is known, to an even share on one core.
    ///
    /// `peer_work` is the outstanding work of the other aggregators, if it is known.
    pub(crate) fn allows(
        &self,
        batch: &BatchContext,
        work: Ms,
        served_rate: &ServedRate,
        peer_work: Option<Ms>,
    ) -> bool {
        let rule = &batch.settings.warm_up;
        let Some(capacity) = self.capacity(batch.now, rule) else {
            return true;
        };
        let limit = LIMIT_SAFETY_SHARE * rule.overload_factor * capacity * rule.overload_window;
        let even_share = 1.0 / batch.settings.aggregators.max(1) as f64;
        let allowance = limit * even_share.max(served_rate.rate);
        let sent = self.work_sent_since(batch.now - rule.overload_window);
        if sent + work <= allowance {
            return true;
        }
        // An allowance below the work of one part: sent with that probability, drawn in
        // each control interval, or where gossip shows that the outstanding work leaves
        // capacity within the window.
        let spare = (rule.overload_factor - 1.0) * capacity * rule.overload_window;
        let has_spare = peer_work.is_some_and(|peer_work| peer_work + work <= spare);
        let probability = allowance / work * CONTROL_INTERVAL_MS / rule.overload_window;
        sent == 0.0 && (has_spare || self.draw < probability)
    }

    /// Share of its full capacity that the server has now; `None` if it is warm.
    fn capacity(&self, now: Ms, rule: &WarmUp) -> Option<f64> {
        let since = self.warming_since?;
        let progress = (now - since).max(0.0) / rule.duration.max(MIN_WARM_UP_MS);
        let is_warming = progress < 1.0;
        is_warming.then_some(rule.initial_capacity + (1.0 - rule.initial_capacity) * progress)
    }

    fn work_sent_since(&self, start: Ms) -> Ms {
        let sends = self.sends.iter().filter(|send| send.sent_at >= start);
        sends.map(|send| send.work).sum()
    }
}

/// Rate at which a warm server serves the work of this aggregator.
#[derive(Default)]
pub(crate) struct ServedRate {
    /// Work served in the current control interval.
    work_in_interval: Ms,
    /// Work served per warm server and ms, smoothed.
    rate: f64,
}

impl ServedRate {
    /// Counts the work of an attempt that was served.
    pub(crate) fn record_served(&mut self, work: Ms) {
        self.work_in_interval += work;
    }

    /// Ends a control interval in which so many servers were warm.
    pub(crate) fn end_interval(&mut self, warm_servers: usize) {
        let warm_servers = warm_servers.max(1) as f64;
        let work = std::mem::take(&mut self.work_in_interval);
        let rate = work / CONTROL_INTERVAL_MS / warm_servers;
        smooth(&mut self.rate, SAMPLE_WEIGHT, rate);
    }
}
