//! Outlier detection: when a server is ejected, and for how long.
//!
//! An ejected server receives no attempts while another holder of the shard can be used.
//! [`OutlierDetector`] owns the ejections of one server.

use super::server_health::FailureVerdict;
use crate::api::Ms;
use crate::random::RandomSource;

/// Length of the first ejection after failures, before jitter, in multiples of the shortest latency
/// objective. Only the queries that arrive during an ejection are spared an attempt at the failing
/// server, so the ejection must not be too short.
const FIRST_EJECTION_OBJECTIVES: f64 = 0.7;
/// Maximum length of an ejection before jitter, in multiples of the shortest latency objective.
const MAX_EJECTION_OBJECTIVES: f64 = 4.0;
/// Maximum length of the ejection of an unreachable server, in mean intervals between two sends of
/// this aggregator to one server, if that is longer than the general maximum.
const MAX_UNREACHABLE_EJECTION_SENDS: f64 = 8.0;
/// Length of the first ejection of a server that rejected a part for lack of capacity, in multiples
/// of the shortest latency objective. A part that is sent to an overloaded server again waits this
/// long for each attempt that it has had, see [`capacity_wait`].
const FIRST_OVERLOAD_EJECTION_OBJECTIVES: f64 = 0.15;
/// Like [`FIRST_OVERLOAD_EJECTION_OBJECTIVES`], but in mean intervals between two sends of this
/// aggregator to one server. The first ejection has the longer of these two lengths, limited to
/// [`MAX_EJECTION_OBJECTIVES`].
const FIRST_OVERLOAD_EJECTION_SENDS: f64 = 0.5;
/// Factor by which each ejection is longer than the previous one, until an attempt is served.
const EJECTION_GROWTH_FACTOR: f64 = 2.0;
/// Minimum of the random factor on the length of an ejection.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// Difference between the maximum and the minimum of the random factor on the length of an
/// ejection.
const JITTER_FACTOR_RANGE: f64 = 0.5;

/// Random factor on the length of an ejection, so that the aggregators do not all send to the
/// server again at the same time.
#[derive(Clone, Copy)]
pub(crate) struct EjectionJitter(f64);

impl EjectionJitter {
    /// Draws a random factor.
    pub(crate) fn draw(random: &mut RandomSource) -> Self {
        EjectionJitter(MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * random.fraction())
    }

    /// Returns the length of an ejection that another aggregator's gossip causes, in ms.
    pub(crate) fn peer_ejection(self, shortest_objective: Ms) -> Ms {
        FIRST_EJECTION_OBJECTIVES * shortest_objective * self.0
    }
}

/// Inputs to the length of an ejection that do not depend on the server.
#[derive(Clone, Copy)]
pub(crate) struct EjectionContext {
    now: Ms,
    /// Shortest latency objective of all classes.
    shortest_objective: Ms,
    /// Mean time between two sends of this aggregator to one server.
    send_interval: Ms,
    jitter: EjectionJitter,
}

impl EjectionContext {
    /// Creates the context of an ejection that starts at `now`. `send_interval` is the mean time
    /// between two sends of this aggregator to one server.
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

/// Returns the minimum time between the last attempt for a part and its next attempt at an
/// overloaded server, in ms. It is proportional to `attempts`, the number of attempts for the part
/// so far.
pub(crate) fn capacity_wait(shortest_objective: Ms, attempts: usize) -> Ms {
    FIRST_OVERLOAD_EJECTION_OBJECTIVES * shortest_objective * attempts as f64
}

/// Ejections of one server.
pub(crate) struct OutlierDetector {
    /// End of the last ejection, for whatever reason it started.
    ejected_until: Ms,
    /// End of the last ejection because the server was unreachable, as set when it started;
    /// negative infinity once the server has served a part since.
    unreachable_until: Ms,
    /// End of the last ejection because the server rejected a part for lack of capacity, as set
    /// when it started.
    overloaded_until: Ms,
    /// Length of the last ejection before jitter; 0 once the server has served a part since.
    duration: Ms,
}

impl OutlierDetector {
    /// Creates the state of a server that was never ejected.
    pub(crate) fn new() -> Self {
        OutlierDetector {
            ejected_until: f64::NEG_INFINITY,
            unreachable_until: f64::NEG_INFINITY,
            overloaded_until: f64::NEG_INFINITY,
            duration: 0.0,
        }
    }

    /// Returns whether the server is ejected.
    pub(crate) fn is_ejected(&self, now: Ms) -> bool {
        now < self.ejected_until
    }

    /// Returns the end of the current ejection, or `None` if the server is not ejected.
    pub(crate) fn ejected_until(&self, now: Ms) -> Option<Ms> {
        self.is_ejected(now).then_some(self.ejected_until)
    }

    /// Returns whether the time for which the server was last ejected for lack of capacity is not
    /// over, even if [`OutlierDetector::on_peer_recovery`] has ended that ejection early.
    pub(crate) fn is_overloaded(&self, now: Ms) -> bool {
        self.overloaded_until > now
    }

    /// Returns the remaining time of the ejections for lack of capacity and because the server
    /// was unreachable, whichever is longer, in ms; 0 if there is none. An ejection that
    /// [`OutlierDetector::on_peer_recovery`] has ended early counts for its full length. Forecasts
    /// assume that the server serves no part before that time has passed.
    pub(crate) fn remaining_unavailability(&self, now: Ms) -> Ms {
        (self.overloaded_until.max(self.unreachable_until) - now).max(0.0)
    }

    /// Handles a served attempt. A current ejection continues, but the next one has the length
    /// of a first ejection again, and the server no longer counts as unreachable.
    pub(crate) fn on_answer(&mut self) {
        self.duration = 0.0;
        self.unreachable_until = f64::NEG_INFINITY;
    }

    /// Ejects a server that rejected a part for lack of capacity. The new ejection replaces a
    /// current one.
    pub(crate) fn on_overload(&mut self, context: &EjectionContext) {
        let objective = context.shortest_objective;
        let max = MAX_EJECTION_OBJECTIVES * objective;
        let min = (FIRST_OVERLOAD_EJECTION_OBJECTIVES * objective)
            .max(FIRST_OVERLOAD_EJECTION_SENDS * context.send_interval);
        self.duration = (self.duration * EJECTION_GROWTH_FACTOR).clamp(min.min(max), max);
        self.overloaded_until = context.now + self.duration * context.jitter.0;
        self.ejected_until = self.overloaded_until;
    }

    /// Ejects a server that is failing or unreachable, unless it is already ejected.
    pub(crate) fn on_failure(&mut self, verdict: FailureVerdict, context: &EjectionContext) {
        // The ejection of an unreachable server lasts at least one mean interval between sends,
        // before jitter. A shorter ejection would end before the next send, so that every send
        // would go to the unreachable server and fail.
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

    /// Ejects a server for `duration` because another aggregator published that it is failing. A
    /// longer current ejection continues.
    pub(crate) fn on_peer_failure(&mut self, now: Ms, duration: Ms) {
        self.ejected_until = self.ejected_until.max(now + duration);
    }

    /// Ends the ejection of a server because another aggregator published that it is no longer
    /// failing. [`OutlierDetector::is_overloaded`] and
    /// [`OutlierDetector::remaining_unavailability`] do not change.
    pub(crate) fn on_peer_recovery(&mut self, now: Ms) {
        self.ejected_until = self.ejected_until.min(now);
    }
}
