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
    fault: Fault,
    /// How long a part takes at full speed.
    part_duration: Duration,
    /// The warm-up since the last restart, if there was one.
    warm_up: Option<WarmUp>,
    /// When its drain was published.
    draining_since: Option<Instant>,
}

/// The time after a restart in which a server's speed grows linearly from [`INITIAL_SPEED_SHARE`]
/// to full speed.
#[derive(Clone, Copy, Debug)]
struct WarmUp {
    started_at: Instant,
    duration: Duration,
}

impl FaultInjection {
    /// The state of a server that works, and takes this long for a part.
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

    /// When the server's drain was published, if it drains.
    pub(crate) fn draining_since(&self) -> Option<Instant> {
        self.draining_since
    }

    pub(crate) fn on_drain_published(&mut self, now: Instant) {
        self.draining_since = Some(now);
    }

    /// Makes the server faultless, warming up and not draining, as after a start of its process.
    pub(crate) fn on_restart(&mut self, now: Instant, warm_up_duration: Duration) {
        self.fault = Fault::None;
        self.warm_up = Some(WarmUp {
            started_at: now,
            duration: warm_up_duration,
        });
        self.draining_since = None;
    }

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
