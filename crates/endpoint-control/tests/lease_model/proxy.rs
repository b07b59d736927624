//! A proxy of the model: the limits that it reads, and the requests that it may have in flight.

use crate::figures::{SERVER_LIMIT, TIMES};
use broker_types::time::Timestamp;
use std::collections::VecDeque;

/// A message of the control instance that the proxy has not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum SentMessage {
    Lease,
    Release,
}

/// Requests under an earlier limit that may still be in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct RemainingRequests {
    units: u32,
    until: Timestamp,
}

/// A proxy and its stream from the control instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ProxyState {
    pub(crate) connected: bool,
    /// Limits that were sent to the proxy and not read, in order.
    pub(crate) unread_limits: VecDeque<u32>,
    /// When its last stream ended. It reads what was sent before within the longest pause, or
    /// never.
    stream_ended_at: Option<Timestamp>,
    /// The limit that it uses.
    pub(crate) limit: u32,
    /// Until when it uses the limit.
    limit_until: Timestamp,
    remaining_requests: Vec<RemainingRequests>,
    /// Whether an acknowledgement is on its way to the control instance.
    pub(crate) acknowledgement_sent: bool,
    pub(crate) unacknowledged: Option<SentMessage>,
    /// Whether it ever held the whole limit.
    pub(crate) held_whole_limit: bool,
}

impl ProxyState {
    pub(crate) fn connected() -> Self {
        ProxyState {
            connected: true,
            unread_limits: VecDeque::new(),
            stream_ended_at: None,
            limit: 0,
            limit_until: Timestamp::ORIGIN,
            remaining_requests: Vec::new(),
            acknowledgement_sent: false,
            unacknowledged: None,
            held_whole_limit: false,
        }
    }

    /// The largest number of requests that it may have in flight at this moment.
    pub(crate) fn max_in_flight(&self, now: Timestamp) -> u32 {
        let current = if now < self.limit_until {
            self.limit
        } else {
            0
        };
        // One limit holds for all requests in flight: a larger earlier one is not added to the
        // current one.
        self.remaining_requests
            .iter()
            .filter(|remaining| now < remaining.until)
            .map(|remaining| remaining.units)
            .max()
            .unwrap_or(0)
            .max(current)
    }

    pub(crate) fn can_read(&self, now: Timestamp) -> bool {
        let is_readable = |ended_at: Timestamp| now <= ended_at + TIMES.max_pause;
        !self.unread_limits.is_empty() && self.stream_ended_at.is_none_or(is_readable)
    }

    /// Reads the next limit and uses it in place of its current one.
    pub(crate) fn read(&mut self, now: Timestamp) {
        let Some(limit) = self.unread_limits.pop_front() else {
            return;
        };
        if self.limit > 0 {
            self.stop_using_limit(now.min(self.limit_until));
        }
        self.remaining_requests
            .retain(|remaining| now < remaining.until);
        // States that differ only in the order of equal remaining requests are one state.
        self.remaining_requests.sort_unstable();
        self.remaining_requests.dedup();
        self.limit = limit;
        self.held_whole_limit |= limit == SERVER_LIMIT;
        self.limit_until = if limit > 0 {
            now + TIMES.time_to_live
        } else {
            Timestamp::ORIGIN
        };
        if self.connected {
            self.acknowledgement_sent = true;
        }
    }

    fn stop_using_limit(&mut self, stopped_at: Timestamp) {
        self.remaining_requests.push(RemainingRequests {
            units: self.limit,
            until: stopped_at + TIMES.max_request_duration,
        });
    }

    pub(crate) fn on_step(&mut self, now: Timestamp) {
        if self.limit > 0 && self.limit_until <= now {
            self.stop_using_limit(self.limit_until);
            (self.limit, self.limit_until) = (0, Timestamp::ORIGIN);
        }
        self.remaining_requests
            .retain(|remaining| now < remaining.until);
        let is_lost = |ended_at: Timestamp| now > ended_at + TIMES.max_pause;
        if self.stream_ended_at.is_some_and(is_lost) {
            self.unread_limits.clear();
            // When it ended no longer matters: such states are one state.
            self.stream_ended_at = Some(Timestamp::ORIGIN);
        }
    }

    pub(crate) fn disconnect(&mut self, now: Timestamp) {
        self.connected = false;
        self.stream_ended_at = Some(now);
        self.acknowledgement_sent = false;
        self.unacknowledged = None;
    }

    /// Begins a new stream; what was not read from the last one is dropped with it.
    pub(crate) fn connect(&mut self) {
        self.connected = true;
        self.stream_ended_at = None;
        self.unread_limits.clear();
    }
}
