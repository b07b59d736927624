//! Faults of data servers, and how long a server takes for a part.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

/// The share of its speed at which a restarted server begins.
const INITIAL_SPEED_SHARE: f64 = 0.2;
/// The shortest warm-up that is computed with, in seconds; it keeps the division defined.
const MIN_WARM_UP_SECONDS: f64 = 1e-3;

/// A fault of a data server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// The server works.
    #[default]
    None,
    /// Each part takes this much longer.
    Slow(Duration),
    /// The server accepts parts and never answers them.
    Hang,
    /// Every n-th part ends in an error; with 1, all of them.
    ErrorEvery(u32),
    /// The server rejects every part.
    RejectAll,
    /// The server resets the connection in place of every n-th answer.
    ResetEvery(u32),
    /// The server sends an invalid frame in place of every n-th answer.
    GarbleEvery(u32),
    /// The server does not listen, and its connections are reset.
    Down,
}

/// The state of a data server that tests change while it runs.
#[derive(Debug, Default)]
pub(crate) struct FaultInjection {
    pub(crate) fault: Fault,
    /// How long a part takes at full speed.
    pub(crate) part_duration: Duration,
    /// The warm-up since the last restart, if there was one.
    pub(crate) warm_up: Option<WarmUp>,
    /// When its drain was published.
    pub(crate) draining_since: Option<Instant>,
}

/// The time after a restart in which a server's speed grows linearly from [`INITIAL_SPEED_SHARE`] to full speed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUp {
    pub(crate) started_at: Instant,
    pub(crate) duration: Duration,
}

impl FaultInjection {
    /// How long a part takes that arrives at this moment.
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
    fn speed_at(self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.started_at).as_secs_f64();
        let progress = elapsed / self.duration.as_secs_f64().max(MIN_WARM_UP_SECONDS);
        INITIAL_SPEED_SHARE + (1.0 - INITIAL_SPEED_SHARE) * progress.min(1.0)
    }
}
