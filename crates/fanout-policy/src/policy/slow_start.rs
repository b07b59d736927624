//! Slow start: how much work a server may be sent while it warms up.
//!
//! [`SlowStart`] owns the start time of one server and the work that this aggregator has sent to
//! it since. [`ServedRate`] owns the rate at which a warm server serves this aggregator's work.

use super::batch_context::BatchContext;
use super::batch_timer::CONTROL_INTERVAL_MS;
use super::smoothing::SAMPLE_WEIGHT;
use crate::api::{Ms, WarmUp};
use crate::statistics::smooth;
use std::collections::VecDeque;

/// Share of the overload limit of a warming server up to which work is sent. The rest is a margin
/// for bursts of traffic.
const LIMIT_SAFETY_SHARE: f64 = 0.75;
/// Minimum duration of a warm-up that is used as a divisor, in ms.
const MIN_WARM_UP_MS: Ms = 1.0;

/// Work of one attempt with its send time.
#[derive(Clone, Copy)]
struct SentWork {
    sent_at: Ms,
    work: Ms,
}

/// The slow start of one server.
pub(crate) struct SlowStart {
    /// Start time of the server, if it may still be warming up.
    warming_since: Option<Ms>,
    /// Work that this aggregator has sent during the warm-up.
    sends: VecDeque<SentWork>,
    /// Random number from 0 to below 1, drawn in each control interval, that decides whether an
    /// attempt above the allowance may be sent; 1 before the first draw.
    draw: f64,
}

impl SlowStart {
    /// Creates the state of a server that is fully warmed up.
    pub(crate) fn new() -> Self {
        SlowStart {
            warming_since: None,
            sends: VecDeque::new(),
            draw: 1.0,
        }
    }

    /// Returns the start time of the server if it may still be warming up.
    pub(crate) fn warming_since(&self) -> Option<Ms> {
        self.warming_since
    }

    /// Applies the start time that the endpoint list states. It is ignored if the warm-up is
    /// over by now, or if a later start has been recorded.
    pub(crate) fn on_listed_start(&mut self, batch: &BatchContext, started: Ms) {
        let is_recent = started + batch.settings.warm_up.duration > batch.now;
        if is_recent && self.warming_since.is_none_or(|since| since < started) {
            self.warming_since = Some(started);
        }
    }

    /// Starts a warm-up now. It is called for a server that has probably restarted, since the
    /// endpoint list may not show the restart yet.
    pub(crate) fn on_assumed_restart(&mut self, now: Ms) {
        self.warming_since = Some(now);
    }

    /// Records work that is sent to the server, if the server is warming up.
    pub(crate) fn record_send(&mut self, now: Ms, work: Ms) {
        if self.warming_since.is_some() {
            self.sends.push_back(SentWork { sent_at: now, work });
        }
    }

    /// Starts a control interval, and ends the slow start once the warm-up is over. `draw` is a
    /// random number from 0 to below 1 for the new interval.
    pub(crate) fn start_interval(&mut self, batch: &BatchContext, draw: f64) {
        let warm_up = &batch.settings.warm_up;
        let window_start = batch.now - warm_up.overload_window;
        self.draw = draw;
        self.sends.retain(|send| send.sent_at >= window_start);
        let is_warming = |since: &Ms| since + warm_up.duration > batch.now;
        self.warming_since = self.warming_since.filter(is_warming);
    }

    /// Returns whether the server can receive `work` without being overloaded; always true for a
    /// warm server. `peer_work` is the outstanding work that the other aggregators published,
    /// or `None` without current gossip.
    ///
    /// A warming server fails if all aggregators together send it more, within the overload
    /// window, than `overload_factor` times the work that it can serve in that time. Each
    /// aggregator therefore keeps to its own allowance. This is the product of two values: the
    /// limit for a server with one core, which serves 1 ms of work per ms once it is warm, and
    /// the rate at which a warm server serves the work of this aggregator, in ms of work per ms.
    /// Apart from the work of warming servers, see [`ServedRate`], the rates of all aggregators
    /// add up to at most the full speed of one server, which is above 1 if it has several cores.
    /// Allowances that are computed from these rates therefore add up to at most the limit of
    /// that server. An aggregator with a rate below an even share of one core uses that share
    /// instead, and the sum of the allowances may then be higher.
    pub(crate) fn allows(
        &self,
        batch: &BatchContext,
        work: Ms,
        served_rate: &ServedRate,
        peer_work: Option<Ms>,
    ) -> bool {
        let warm_up = &batch.settings.warm_up;
        let Some(capacity) = self.capacity(batch.now, warm_up) else {
            return true;
        };
        let limit =
            LIMIT_SAFETY_SHARE * warm_up.overload_factor * capacity * warm_up.overload_window;
        let even_share = 1.0 / batch.settings.aggregators.max(1) as f64;
        let allowance = limit * even_share.max(served_rate.rate);
        let sent = self.work_sent_since(batch.now - warm_up.overload_window);
        if sent + work <= allowance {
            return true;
        }
        // The allowance may be smaller than the work of one part. If nothing was sent within
        // the window, one part may then exceed the allowance in either of two cases:
        // - The published work of the other aggregators and the work of this part together are
        //   at most `spare`: the work that a server with one core may receive within a window
        //   in addition to the work that it serves in that time.
        // - The random draw permits it. There is one draw per control interval, with a
        //   probability for which the expected work per window equals the allowance.
        let spare = (warm_up.overload_factor - 1.0) * capacity * warm_up.overload_window;
        let has_spare = peer_work.is_some_and(|peer_work| peer_work + work <= spare);
        let probability = allowance / work * CONTROL_INTERVAL_MS / warm_up.overload_window;
        sent == 0.0 && (has_spare || self.draw < probability)
    }

    /// Returns the share of its full capacity that the server has now, or `None` if it is warm.
    /// The share grows linearly from the initial capacity to 1 during the warm-up.
    fn capacity(&self, now: Ms, warm_up: &WarmUp) -> Option<f64> {
        let since = self.warming_since?;
        let progress = (now - since).max(0.0) / warm_up.duration.max(MIN_WARM_UP_MS);
        let is_warming = progress < 1.0;
        is_warming.then_some(warm_up.initial_capacity + (1.0 - warm_up.initial_capacity) * progress)
    }

    /// Returns the work that this aggregator has sent to the server at or after `start`.
    fn work_sent_since(&self, start: Ms) -> Ms {
        let sends = self.sends.iter().filter(|send| send.sent_at >= start);
        sends.map(|send| send.work).sum()
    }
}

/// Rate at which a warm server serves the work of this aggregator. It is the work that all servers
/// serve, divided by the number of warm servers. The work that warming servers serve is included,
/// so the rate is too high while servers warm up.
#[derive(Default)]
pub(crate) struct ServedRate {
    /// Work served by all servers, warm or not, in the current control interval.
    work_in_interval: Ms,
    /// Moving average of the work served per ms and warm server, in ms of work per ms.
    rate: f64,
}

impl ServedRate {
    /// Adds the work of an attempt that was served.
    pub(crate) fn record_served(&mut self, work: Ms) {
        self.work_in_interval += work;
    }

    /// Ends a control interval: updates the rate with the work that was served in it, divided
    /// by `warm_servers`, the number of warm servers.
    pub(crate) fn end_interval(&mut self, warm_servers: usize) {
        let warm_servers = warm_servers.max(1) as f64;
        let work = std::mem::take(&mut self.work_in_interval);
        let rate = work / CONTROL_INTERVAL_MS / warm_servers;
        smooth(&mut self.rate, SAMPLE_WEIGHT, rate);
    }
}
