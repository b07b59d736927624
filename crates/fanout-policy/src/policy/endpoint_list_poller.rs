//! When the endpoint list is polled.
//!
//! [`EndpointListPoller`] owns the time of the next poll and the backoff after failed polls.

use crate::api::{EndpointListSource, Ms, Settings};
use crate::random::RandomSource;

/// First delay after a failed poll, as a share of the poll deadline.
const MIN_BACKOFF_SHARE: f64 = 0.03;
/// Longest delay after a failed poll, as a share of the poll deadline.
const MAX_BACKOFF_SHARE: f64 = 0.3;
/// Smallest random factor on the delay after a failed poll; the largest is greater by 1.
const MIN_JITTER_FACTOR: f64 = 0.5;
/// Factor by which the delay grows with each failed poll.
const BACKOFF_GROWTH_FACTOR: f64 = 2.0;

/// Whether the endpoint list is to be polled now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollDecision {
    /// Poll now.
    Poll,
    /// No poll is due.
    Wait,
}

/// Schedule of the polls of the endpoint list.
pub(crate) struct EndpointListPoller {
    /// When to poll next; `None` while an answer is awaited or the list is pushed.
    poll_at: Option<Ms>,
    /// Delay after the next failed poll, before jitter.
    backoff: Ms,
}

impl EndpointListPoller {
    /// A poller that polls at once where the list is not pushed.
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

    /// Resets the backoff after an answer of the list service.
    pub(crate) fn on_success(&mut self, settings: &Settings) {
        self.backoff = initial_backoff(settings);
    }

    /// Schedules the next poll with backoff and jitter: a list service that fails is often
    /// overloaded.
    pub(crate) fn on_failure(&mut self, now: Ms, settings: &Settings, random: &mut RandomSource) {
        let wait = self.backoff * (MIN_JITTER_FACTOR + random.fraction());
        let max_backoff = settings.list_poll_deadline * MAX_BACKOFF_SHARE;
        self.poll_at = is_polled(settings).then_some(now + wait);
        self.backoff = (self.backoff * BACKOFF_GROWTH_FACTOR).min(max_backoff);
    }
}

fn is_polled(settings: &Settings) -> bool {
    settings.list_source == EndpointListSource::Polled
}

fn initial_backoff(settings: &Settings) -> Ms {
    let deadline = settings.list_poll_deadline.min(settings.warm_up.duration);
    deadline * MIN_BACKOFF_SHARE
}
