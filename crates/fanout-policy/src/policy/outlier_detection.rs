//! Outlier detection: what the outcome of an attempt says about its server, and when a server
//! is ejected.

use super::tuning::{
    EJECTION_CONSECUTIVE_FAILURES, EJECTION_ERROR_RATE, JITTER_RANGE, MAX_EJECTION, MIN_EJECTION,
    MIN_JITTER, OVERDUE_FACTOR, OVERDUE_MIN, OVERLOAD_EJECTION, OVERLOAD_EJECTION_SENDS,
    RECENT_ANSWER, RESTART_SILENCE, SMOOTHING, STRONG_SMOOTHING, TIMEOUT_LATENCY_LIMIT,
    UNREACHABLE_MAX_SENDS, ZONE_SMOOTHING,
};
use crate::aggregator::Aggregator;
use crate::api::{Ms, Outcome};
use crate::state::{InFlightAttempt, got_no_response, smooth};

impl Aggregator {
    /// Learns from the outcome of an attempt.
    pub(crate) fn on_outcome(&mut self, attempt: &InFlightAttempt, outcome: Outcome, elapsed: Ms) {
        let elapsed = attempt.valid_elapsed(elapsed, self.now);
        let jitter = MIN_JITTER + JITTER_RANGE * self.random.fraction();
        // Overdue, and nothing sent later was answered: a failure, even if a hedge was
        // faster and this attempt was cancelled. The forecast grows with load, so that
        // load alone does not count.
        let is_overdue = self.was_overdue(attempt, elapsed);
        let is_silent =
            is_overdue && attempt.sent_at > self.fleet.servers[attempt.server].last_served_sent_at;
        self.record_end(attempt);
        self.update_zone_silence(attempt, outcome, is_silent);
        self.update_class_health(attempt, outcome, is_overdue);
        match outcome {
            Outcome::NotSent => {}
            Outcome::TimedOut if self.was_paused() => {}
            Outcome::Cancelled if !is_silent => {}
            Outcome::Served => self.on_served(attempt, elapsed),
            Outcome::Overloaded => self.on_overloaded(attempt, jitter),
            Outcome::TimedOut => {
                if self.on_timeout(attempt, elapsed) {
                    self.on_failure(attempt, outcome, jitter);
                }
            }
            // Quick errors tell of the server, not of the load: the fan-out width ignores them.
            Outcome::Error
            | Outcome::Cancelled
            | Outcome::Unreachable
            | Outcome::ConnectionLost => {
                self.on_failure(attempt, outcome, jitter);
            }
        }
    }

    fn was_overdue(&self, attempt: &InFlightAttempt, elapsed: Ms) -> bool {
        let min_age = OVERDUE_MIN * self.shortest_objective();
        !self.was_paused() && elapsed > (OVERDUE_FACTOR * attempt.expected_latency).max(min_age)
    }

    fn update_zone_silence(
        &mut self,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        is_silent: bool,
    ) {
        let is_unanswered = got_no_response(outcome) || outcome == Outcome::Cancelled && is_silent;
        if !self.was_paused() && (is_unanswered || outcome == Outcome::Served) {
            let sample = f64::from(u8::from(is_unanswered));
            self.fleet
                .record_silence(attempt.server, ZONE_SMOOTHING, sample);
        }
    }

    fn update_class_health(
        &mut self,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        is_overdue: bool,
    ) {
        let server = &mut self.fleet.servers[attempt.server];
        let health = server.class_health.entry(attempt.class).or_default();
        let is_lost = is_overdue && attempt.sent_at > health.last_served_sent_at;
        if outcome == Outcome::Served {
            health.record_served(attempt.sent_at, STRONG_SMOOTHING);
        } else if is_lost || outcome == Outcome::Error {
            smooth(&mut health.error_rate, STRONG_SMOOTHING, 1.0);
        }
    }

    fn on_served(&mut self, attempt: &InFlightAttempt, elapsed: Ms) {
        let shortened = elapsed.min(attempt.expected_latency);
        let elapsed = if self.was_paused() {
            shortened
        } else {
            elapsed
        };
        let is_overdue = elapsed > OVERDUE_FACTOR * attempt.expected_latency;
        let weight = if is_overdue {
            STRONG_SMOOTHING
        } else {
            SMOOTHING
        };
        let restart_silence = RESTART_SILENCE * self.shortest_objective();
        let server = &mut self.fleet.servers[attempt.server];
        if server.is_unresponsive && attempt.sent_at - server.last_served_sent_at > restart_silence
        {
            // The server may have restarted without the endpoint list showing it yet.
            server.warming_since = Some(self.now);
        }
        self.record_answer(attempt, elapsed, weight);
    }

    /// Ejects a server that rejected a part for lack of capacity, each time for twice as
    /// long until it answers.
    fn on_overloaded(&mut self, attempt: &InFlightAttempt, jitter: f64) {
        self.fanout_widths[attempt.class].record_overload();
        let objective = self.shortest_objective();
        let max = MAX_EJECTION * objective;
        let min = (OVERLOAD_EJECTION * objective)
            .max(OVERLOAD_EJECTION_SENDS * self.mean_send_interval());
        let server = &mut self.fleet.servers[attempt.server];
        server.ejection_duration = (server.ejection_duration * 2.0).clamp(min.min(max), max);
        server.overloaded_until = self.now + server.ejection_duration * jitter;
        server.ejected_until = server.overloaded_until;
    }

    /// Learns from a timeout. Returns whether it counts as a failure: not if an attempt
    /// sent later was answered, since the backlog of a stall times out long after the
    /// stall.
    fn on_timeout(&mut self, attempt: &InFlightAttempt, elapsed: Ms) -> bool {
        let server = &mut self.fleet.servers[attempt.server];
        let is_new = attempt.sent_at > server.last_served_sent_at;
        if is_new {
            self.fanout_widths[attempt.class].record_overload();
        } else {
            self.fanout_widths[attempt.class].record_success();
        }
        if is_new {
            // The answer would have taken longer still: without this, an overloaded
            // server looks fast.
            let latency = elapsed / attempt.work_ahead.max(1.0);
            let latency = latency.min(TIMEOUT_LATENCY_LIMIT * self.fleet_latency_per_work);
            server.latency_per_work += SMOOTHING * (latency - server.latency_per_work).max(0.0);
            server.last_observed_at = self.now;
        }
        is_new
    }

    fn on_failure(&mut self, attempt: &InFlightAttempt, outcome: Outcome, jitter: f64) {
        let objective = self.shortest_objective();
        let send_interval = self.mean_send_interval();
        let server = &mut self.fleet.servers[attempt.server];
        smooth(&mut server.error_rate, SMOOTHING, 1.0);
        server.consecutive_failures += 1;
        // A server that answered what was sent later, or just before, has lost a
        // connection but is up.
        let is_up = outcome == Outcome::ConnectionLost
            && server.last_served_sent_at + RECENT_ANSWER * objective > attempt.sent_at;
        let is_unreachable =
            matches!(outcome, Outcome::Unreachable | Outcome::ConnectionLost) && !is_up;
        server.is_unresponsive |= is_unreachable || outcome == Outcome::TimedOut;
        let is_failing = server.consecutive_failures >= EJECTION_CONSECUTIVE_FAILURES
            && server.error_rate > EJECTION_ERROR_RATE;
        if !(is_unreachable || is_failing) || self.now < server.ejected_until {
            return;
        }
        // An unreachable server is ejected beyond the next sends to it, or each of them
        // would fail as well.
        let interval = if is_unreachable { send_interval } else { 0.0 };
        let min = interval.max(MIN_EJECTION * objective);
        let max = (UNREACHABLE_MAX_SENDS * interval).max(MAX_EJECTION * objective);
        server.ejection_duration = (server.ejection_duration * 2.0).clamp(min, max);
        server.ejected_until = self.now + server.ejection_duration * jitter;
        if is_unreachable {
            server.unreachable_until = server.ejected_until;
        }
    }
}
