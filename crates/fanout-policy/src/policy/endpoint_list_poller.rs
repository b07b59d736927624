//! Schedule of the polls of the endpoint list, with backoff after failed polls.
//!
//! A poll stays open and delivers changes of the list until it fails, so that a new one is needed
//! only after a failure. [`EndpointListPoller`] owns the time of the next poll and the backoff.

use crate::api::{EndpointListSource, Ms, Settings};
use crate::random::RandomSource;

/// First delay after a failed poll before jitter, as a share of [`Settings::list_poll_deadline`] or
/// of the duration of a warm-up, whichever is shorter. The deadline may be infinite.
const INITIAL_BACKOFF_SHARE: f64 = 0.03;
/// Maximum delay after a failed poll before jitter, as a share of [`Settings::list_poll_deadline`].
const MAX_BACKOFF_SHARE: f64 = 0.3;
/// Minimum of the random factor on the delay after a failed poll. The maximum is greater by 1.
const MIN_JITTER_FACTOR: f64 = 0.5;
/// Factor by which the delay grows with each consecutive failed poll.
const BACKOFF_GROWTH_FACTOR: f64 = 2.0;

/// Whether to poll the endpoint list now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollDecision {
    /// A poll is due.
    Poll,
    /// No poll is due.
    Wait,
}

/// Decides when the endpoint list is polled.
pub(crate) struct EndpointListPoller {
    /// Time of the next poll; `None` if the last poll has not failed, or if the list is pushed.
    poll_at: Option<Ms>,
    /// Delay after the next failed poll, before jitter.
    backoff: Ms,
}

impl EndpointListPoller {
    /// Creates a poller whose first poll is due immediately, unless the list is pushed.
    pub(crate) fn new(settings: &Settings) -> Self {
        EndpointListPoller {
            poll_at: is_polled(settings).then_some(f64::NEG_INFINITY),
            backoff: initial_backoff(settings),
        }
    }

    /// Returns [`PollDecision::Poll`] once for each poll that is due.
    pub(crate) fn poll_if_due(&mut self, now: Ms) -> PollDecision {
        match self.poll_at.take_if(|at| now >= *at) {
            Some(_) => PollDecision::Poll,
            None => PollDecision::Wait,
        }
    }

    /// Resets the backoff after the list service has delivered an update.
    pub(crate) fn on_success(&mut self, settings: &Settings) {
        self.backoff = initial_backoff(settings);
    }

    /// Schedules the next poll after a failed one, with backoff and jitter, since a list service
    /// that fails is often overloaded.
    pub(crate) fn on_failure(&mut self, now: Ms, settings: &Settings, random: &mut RandomSource) {
        let wait = self.backoff * (MIN_JITTER_FACTOR + random.fraction());
        let max_backoff = settings.list_poll_deadline * MAX_BACKOFF_SHARE;
        self.poll_at = is_polled(settings).then_some(now + wait);
        self.backoff = (self.backoff * BACKOFF_GROWTH_FACTOR).min(max_backoff);
    }
}

/// Returns whether the aggregator must poll for the endpoint list, that is, the list is not pushed.
fn is_polled(settings: &Settings) -> bool {
    settings.list_source == EndpointListSource::Polled
}

/// Returns the delay after the first failed poll, before jitter, in ms.
fn initial_backoff(settings: &Settings) -> Ms {
    let deadline = settings.list_poll_deadline.min(settings.warm_up.duration);
    deadline * INITIAL_BACKOFF_SHARE
}
