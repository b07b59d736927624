//! Outlier detection: when a server is ejected, and for how long.
//!
//! [`OutlierDetector`] owns the ejections of one server.

use super::server_health::FailureVerdict;
use crate::api::Ms;
use crate::random::RandomSource;

/// First ejection, in shortest latency objectives.
const FIRST_EJECTION_OBJECTIVES: f64 = 0.7;
/// Longest ejection, in shortest latency objectives.
const MAX_EJECTION_OBJECTIVES: f64 = 4.0;
/// Longest ejection of an unreachable server, in intervals between this aggregator's sends to it.
const MAX_UNREACHABLE_EJECTION_SENDS: f64 = 8.0;
/// First ejection of a server that rejected a part for lack of capacity, in shortest latency
/// objectives.
const FIRST_OVERLOAD_EJECTION_OBJECTIVES: f64 = 0.15;
/// First ejection of a server that rejected a part for lack of capacity, in intervals between
/// this aggregator's sends to it; the longer of the two holds.
const FIRST_OVERLOAD_EJECTION_SENDS: f64 = 0.5;
/// Factor by which each further ejection is longer until an attempt is served.
const EJECTION_GROWTH_FACTOR: f64 = 2.0;
/// Smallest random factor on the length of an ejection.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// Range of the random factor on the length of an ejection.
const JITTER_FACTOR_RANGE: f64 = 0.5;

/// Random factor on the length of an ejection, so that aggregators do not all return at once.
#[derive(Clone, Copy)]
pub(crate) struct EjectionJitter(f64);

impl EjectionJitter {
    /// Draws a factor.
    pub(crate) fn draw(random: &mut RandomSource) -> Self {
        EjectionJitter(MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * random.fraction())
    }

    /// Length of an ejection that follows from the gossip of another aggregator.
    pub(crate) fn peer_ejection(self, shortest_objective: Ms) -> Ms {
        FIRST_EJECTION_OBJECTIVES * shortest_objective * self.0
    }
}

/// What the length of an ejection depends on besides the server.
#[derive(Clone, Copy)]
pub(crate) struct EjectionContext {
    now: Ms,
    shortest_objective: Ms,
    send_interval: Ms,
    jitter: EjectionJitter,
}

impl EjectionContext {
    /// The context at this time, with the mean time between this aggregator's sends to one server.
    pub(crate) fn new(
        now: Ms,
        shortest_objective: Ms,
        send_interval: Ms,
        jitter: EjectionJitter,
    ) -> Self {
        EjectionContext {
            now,
            shortest_objective,
            send_interval,
            jitter,
        }
    }
}

/// Wait before a part is sent again to a server that has rejected it so many times.
pub(crate) fn capacity_wait(shortest_objective: Ms, attempts: usize) -> Ms {
    FIRST_OVERLOAD_EJECTION_OBJECTIVES * shortest_objective * attempts as f64
}

/// Ejections of one server.
pub(crate) struct OutlierDetector {
    /// End of its ejection for any reason.
    ejected_until: Ms,
    /// End of its ejection for being unreachable.
    unreachable_until: Ms,
    /// End of its ejection for having rejected a part.
    overloaded_until: Ms,
    /// Length of the last ejection before jitter; 0 once the server has served a part since.
    duration: Ms,
}

impl OutlierDetector {
    /// A server that was never ejected.
    pub(crate) fn new() -> Self {
        OutlierDetector {
            ejected_until: f64::NEG_INFINITY,
            unreachable_until: f64::NEG_INFINITY,
            overloaded_until: f64::NEG_INFINITY,
            duration: 0.0,
        }
    }

    /// Whether the server is ejected.
    pub(crate) fn is_ejected(&self, now: Ms) -> bool {
        now < self.ejected_until
    }

    /// End of the ejection, if the server is ejected.
    pub(crate) fn ejected_until(&self, now: Ms) -> Option<Ms> {
        self.is_ejected(now).then_some(self.ejected_until)
    }

    /// Whether the server is ejected for having rejected a part.
    pub(crate) fn is_overloaded(&self, now: Ms) -> bool {
        self.overloaded_until > now
    }

    /// Rest of the ejection for overload or for being unreachable.
    pub(crate) fn known_delay(&self, now: Ms) -> Ms {
        (self.overloaded_until.max(self.unreachable_until) - now).max(0.0)
    }

    /// Handles a served attempt: the current ejection continues, and the next one is as short
    /// as a first one.
    pub(crate) fn on_answer(&mut self) {
        self.duration = 0.0;
        self.unreachable_until = f64::NEG_INFINITY;
    }

    /// Ejects a server that rejected a part for lack of capacity.
    pub(crate) fn on_overload(&mut self, context: &EjectionContext) {
        let objective = context.shortest_objective;
        let max = MAX_EJECTION_OBJECTIVES * objective;
        let min = (FIRST_OVERLOAD_EJECTION_OBJECTIVES * objective)
            .max(FIRST_OVERLOAD_EJECTION_SENDS * context.send_interval);
        self.duration = (self.duration * EJECTION_GROWTH_FACTOR).clamp(min.min(max), max);
        self.overloaded_until = context.now + self.duration * context.jitter.0;
        self.ejected_until = self.overloaded_until;
    }

    /// Ejects a server that fails or cannot be reached, if it is not ejected yet.
    pub(crate) fn on_failure(&mut self, verdict: FailureVerdict, context: &EjectionContext) {
        // An unreachable server is ejected beyond the next sends to it, or each of them
        // would fail as well.
        let interval = match verdict {
            FailureVerdict::Tolerable => return,
            FailureVerdict::Failing => 0.0,
            FailureVerdict::Unreachable => context.send_interval,
        };
        if self.is_ejected(context.now) {
            return;
        }
        let objective = context.shortest_objective;
        let min = interval.max(FIRST_EJECTION_OBJECTIVES * objective);
        let max =
            (MAX_UNREACHABLE_EJECTION_SENDS * interval).max(MAX_EJECTION_OBJECTIVES * objective);
        self.duration = (self.duration * EJECTION_GROWTH_FACTOR).clamp(min, max);
        self.ejected_until = context.now + self.duration * context.jitter.0;
        if verdict == FailureVerdict::Unreachable {
            self.unreachable_until = self.ejected_until;
        }
    }

    /// Ejects a server that fails for another aggregator.
    pub(crate) fn on_peer_failure(&mut self, now: Ms, duration: Ms) {
        self.ejected_until = self.ejected_until.max(now + duration);
    }

    /// Ends the ejection of a server that answers another aggregator again.
    pub(crate) fn on_peer_recovery(&mut self, now: Ms) {
        self.ejected_until = self.ejected_until.min(now);
    }
}
