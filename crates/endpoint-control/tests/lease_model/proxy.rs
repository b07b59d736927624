//! A proxy of the model: the limits that it reads, and the requests that it may have in flight
//! under them.

use crate::parameters::{SERVER_LIMIT, TIMES};
use broker_types::time::Timestamp;
use std::collections::VecDeque;

/// A message of the control instance that the proxy has not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum SentMessage {
    /// Grants or renews a lease.
    Lease,
    /// Revokes a lease by setting the proxy's limit to 0.
    Revocation,
}

/// Requests that were sent under an earlier limit and may still be in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct RemainingRequests {
    /// The earlier limit, which is the maximum number of these requests.
    units: u32,
    /// When the last of the requests has ended.
    until: Timestamp,
}

/// A proxy and its stream from the control instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ProxyState {
    pub(crate) connected: bool,
    /// Limits that were sent to the proxy and not yet read, in order of sending.
    pub(crate) unread_limits: VecDeque<u32>,
    /// When the previous stream ended; `None` while a stream is open. The proxy may still read the
    /// messages of that stream until the maximum pause of a proxy has passed since its end. After
    /// that, it never reads them.
    stream_ended_at: Option<Timestamp>,
    /// The limit that the proxy uses now.
    pub(crate) limit: u32,
    /// When the time to live of the limit ends.
    limit_until: Timestamp,
    remaining_requests: Vec<RemainingRequests>,
    /// Whether an acknowledgement has been sent to the control instance and has not arrived.
    pub(crate) acknowledgement_sent: bool,
    /// The message on the open stream that the proxy has not acknowledged; `None` if there is no
    /// such message or no stream is open.
    pub(crate) unacknowledged: Option<SentMessage>,
    /// Whether the proxy ever held the whole limit of the server.
    pub(crate) held_whole_limit: bool,
}

impl ProxyState {
    /// Creates a proxy that is connected and holds no lease.
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

    /// Returns the maximum number of requests that the proxy may have in flight now.
    pub(crate) fn max_in_flight(&self, now: Timestamp) -> u32 {
        let current = if now < self.limit_until {
            self.limit
        } else {
            0
        };
        // The limit applies to all requests in flight, those under earlier limits included. So the
        // maximum is the largest of the limits and not their sum.
        self.remaining_requests
            .iter()
            .filter(|remaining| now < remaining.until)
            .map(|remaining| remaining.units)
            .max()
            .unwrap_or(0)
            .max(current)
    }

    /// Returns whether the proxy can read a message now.
    pub(crate) fn can_read(&self, now: Timestamp) -> bool {
        let is_readable = |ended_at: Timestamp| now <= ended_at + TIMES.max_pause;
        !self.unread_limits.is_empty() && self.stream_ended_at.is_none_or(is_readable)
    }

    /// Reads the next limit, uses it in place of the current one, and sends an acknowledgement if
    /// the stream is still open.
    pub(crate) fn read(&mut self, now: Timestamp) {
        let Some(limit) = self.unread_limits.pop_front() else {
            return;
        };
        if self.limit > 0 {
            self.stop_using_limit(now.min(self.limit_until));
        }
        self.remaining_requests
            .retain(|remaining| now < remaining.until);
        // Two states that differ only in the order or repetition of remaining requests become
        // equal, so that the checker explores them only once.
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

    /// Records that requests under the current limit may have been sent until `stopped_at`.
    fn stop_using_limit(&mut self, stopped_at: Timestamp) {
        self.remaining_requests.push(RemainingRequests {
            units: self.limit,
            until: stopped_at + TIMES.max_request_duration,
        });
    }

    /// Updates the proxy after the model has advanced the time to `now`: drops the limit if its time
    /// to live has ended, the requests that have ended, and the messages that can no longer be read.
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
            // The time at which the stream ended no longer matters. With one fixed value, states
            // that differ only in this time become equal, and the checker explores them only once.
            self.stream_ended_at = Some(Timestamp::ORIGIN);
        }
    }

    /// Ends the stream. Messages that were not read stay readable for the maximum pause.
    pub(crate) fn disconnect(&mut self, now: Timestamp) {
        self.connected = false;
        self.stream_ended_at = Some(now);
        self.acknowledgement_sent = false;
        self.unacknowledged = None;
    }

    /// Begins a new stream and drops the messages of the previous stream that were not read.
    pub(crate) fn connect(&mut self) {
        self.connected = true;
        self.stream_ended_at = None;
        self.unread_limits.clear();
    }
}
