//! Faults of data servers, and the time that a server takes for a part.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

/// Speed of a server immediately after a restart, as a share of its full speed.
const INITIAL_SPEED_SHARE: f64 = 0.2;
/// Lower bound of the warm-up in the computation of the speed, in seconds. It avoids a division by
/// zero.
const MIN_WARM_UP_SECONDS: f64 = 1e-3;

/// Fault of a data server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// The server has no fault.
    #[default]
    None,
    /// The server takes longer for each part. The value is the additional time at full speed; while
    /// the server warms up, the additional time is longer, like the rest of the part's duration.
    Slow(Duration),
    /// The server accepts parts and never responds to them. It responds to probes.
    Hang,
    /// The server responds to every n-th part with an error. With 1 that is each part, with 0 none.
    ErrorEvery(u32),
    /// The server rejects each part.
    RejectAll,
    /// The server resets the connection instead of responding to every n-th part. With 1 that is
    /// each part, with 0 none.
    ResetEvery(u32),
    /// The server sends an invalid frame instead of the response to every n-th part. With 1 that is
    /// each part, with 0 none.
    GarbleEvery(u32),
    /// The server does not listen, and its connections are reset. Set by
    /// [`Fleet::kill`](crate::Fleet::kill); the value alone stops nothing.
    Down,
}

/// Properties of a data server that tests change while it runs.
#[derive(Debug, Default)]
pub(crate) struct FaultInjection {
    fault: Fault,
    /// Time that a part takes at full speed.
    part_duration: Duration,
    /// Warm-up after the last restart; `None` if the server was never restarted.
    warm_up: Option<WarmUp>,
    /// Time at which the server's drain was published; `None` if the server does not drain.
    draining_since: Option<Instant>,
}

/// Period after a restart in which the speed of a server grows linearly from
/// [`INITIAL_SPEED_SHARE`] to full speed.
#[derive(Clone, Copy, Debug)]
struct WarmUp {
    started_at: Instant,
    duration: Duration,
}

impl FaultInjection {
    /// Creates the properties of a server that has no fault, is fully warmed up, does not drain,
    /// and takes `part_duration` for a part.
    pub(crate) fn new(part_duration: Duration) -> Self {
        FaultInjection {
            part_duration,
            ..FaultInjection::default()
        }
    }

    pub(crate) fn fault(&self) -> Fault {
        self.fault
    }

    pub(crate) fn set_fault(&mut self, fault: Fault) {
        self.fault = fault;
    }

    pub(crate) fn set_part_duration(&mut self, part_duration: Duration) {
        self.part_duration = part_duration;
    }

    /// Returns the time at which the server's drain was published, or `None` if it does not drain.
    pub(crate) fn draining_since(&self) -> Option<Instant> {
        self.draining_since
    }

    pub(crate) fn on_drain_published(&mut self, now: Instant) {
        self.draining_since = Some(now);
    }

    /// Resets the properties to those of a process that has just started: no fault, no drain, and a
    /// warm-up that starts at `now`.
    pub(crate) fn on_restart(&mut self, now: Instant, warm_up_duration: Duration) {
        self.fault = Fault::None;
        self.warm_up = Some(WarmUp {
            started_at: now,
            duration: warm_up_duration,
        });
        self.draining_since = None;
    }

    /// Returns the time that a part takes if it arrives at `now`.
    pub(crate) fn part_duration_at(&self, now: Instant) -> Duration {
        let delay = if let Fault::Slow(delay) = self.fault {
            delay
        } else {
            Duration::ZERO
        };
        let speed = self.warm_up.map_or(1.0, |warm_up| warm_up.speed_at(now));
        (self.part_duration + delay).div_f64(speed)
    }
}

impl WarmUp {
    /// Returns the speed at `now` as a share of the full speed.
    fn speed_at(self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.started_at).as_secs_f64();
        let progress = elapsed / self.duration.as_secs_f64().max(MIN_WARM_UP_SECONDS);
        INITIAL_SPEED_SHARE + (1.0 - INITIAL_SPEED_SHARE) * progress.min(1.0)
    }
}
