//! When the endpoint list is polled again after a failure.

use super::tuning::{MAX_POLL_BACKOFF, MIN_POLL_BACKOFF, MIN_POLL_JITTER};
use crate::aggregator::Aggregator;
use crate::api::{EndpointListSource, Ms};

impl Aggregator {
    /// Schedules the next poll, with backoff and jitter: a list service that fails is often overloaded.
    pub(crate) fn back_off_polling(&mut self) {
        let wait = self.poll_backoff * (MIN_POLL_JITTER + self.random.fraction());
        let is_polled = self.settings.list_source == EndpointListSource::Polled;
        self.poll_at = is_polled.then_some(self.now + wait);
        self.poll_backoff =
            (self.poll_backoff * 2.0).min(self.settings.list_poll_deadline * MAX_POLL_BACKOFF);
    }

    /// Delay before the first poll after a failure.
    pub(crate) fn initial_poll_backoff(&self) -> Ms {
        self.settings
            .list_poll_deadline
            .min(self.settings.warm_up.duration)
            * MIN_POLL_BACKOFF
    }
}
