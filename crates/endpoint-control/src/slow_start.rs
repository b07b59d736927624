//! The limit of requests in flight at a server that is warming up.
//!
//! The work that is sent to such a server in any window of time has to stay under a multiple of the
//! work that the server can do in that window. Weights cannot ensure that: a share of an unknown
//! total is unknown, and the total changes with the traffic of each proxy. A limit on the requests
//! *in flight* can. A request that reaches the server within a window was either in flight at its
//! beginning, or took the place of one that ended within it; and the server completes no more than
//! its capacity. So with at most `K` requests in flight at any moment, each of at most `w` work,
//!
//! ```text
//! work sent in a window <= K * w + capacity * window
//! ```
//!
//! and `K * w <= (multiple - 1) * capacity * window` keeps the rule, whoever sends and however late
//! the senders learn of a change. A server that rejects or fails requests at once frees their
//! places without doing work: its queue must be longer than `K`, and a server that fails is
//! ejected, see [`crate::ejection_quorum`].

use broker_types::time::whole_micros;
use const_fnv1a_hash::fnv1a_hash_str_32;
use std::time::Duration;

/// Share of the admissible work that the limit uses, since the work of requests varies.
const USED_LIMIT_SHARE: f64 = 0.75;
/// The largest limit that is computed; it keeps the conversion to an integer defined.
const MAX_REQUESTS_IN_FLIGHT: f64 = 1e6;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// The figures of a deployment that determine the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRule {
    /// The share of its capacity that a server has at least when it starts.
    pub initial_share: f64,
    /// Time after which a server has all of its capacity at the latest.
    pub warm_up_duration: Duration,
    /// A server is overloaded when the work sent to it exceeds this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... over a window of this length.
    pub overload_window: Duration,
    /// Capacity of a warmed-up server, in microseconds of work a second: a million for each core of
    /// the smallest machine type.
    pub capacity: f64,
    /// Work of a request with its call, in microseconds: the mean of the class with the most work.
    pub request_work: f64,
}

impl SlowStartRule {
    /// The share of its capacity that a server of this age has at least. It never decreases with
    /// age, so that a sender with outdated figures sends less.
    #[must_use]
    pub fn capacity_share(&self, age: Duration) -> f64 {
        let progress = micros(age) / micros(self.warm_up_duration).max(1.0);
        (self.initial_share + (1.0 - self.initial_share) * progress).clamp(0.0, 1.0)
    }

    /// Whether a server of this age has warmed up in any case.
    #[must_use]
    pub fn is_warmed_up(&self, age: Duration) -> bool {
        age >= self.warm_up_duration
    }

    /// The largest number of requests in flight at a server of this age, from all proxies together.
    #[must_use]
    pub fn max_in_flight(&self, age: Duration) -> u32 {
        let capacity = self.capacity * self.capacity_share(age);
        let work_per_window = capacity * micros(self.overload_window) / MICROS_PER_SECOND;
        let max_work = USED_LIMIT_SHARE * (self.overload_multiple - 1.0) * work_per_window;
        (max_work / self.request_work.max(1.0)).clamp(0.0, MAX_REQUESTS_IN_FLIGHT) as u32
    }
}

/// A time span in microseconds.
fn micros(span: Duration) -> f64 {
    whole_micros(span) as f64
}

/// One of the control instances that divide the limits of all servers among themselves without
/// communication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlInstance {
    /// Its number, from 0.
    pub number: u32,
    /// Number of control instances.
    pub count: u32,
}

impl ControlInstance {
    /// This instance's share of a server's limit. The shares of all instances add up to the limit.
    /// The instances that get the remainder differ between servers, so that no instance always gets
    /// less.
    #[must_use]
    pub fn share_of_limit(self, limit: u32, server: &str) -> u32 {
        let count = self.count.max(1);
        let offset = fnv1a_hash_str_32(server) % count;
        let position = (self.number % count + offset) % count;
        limit / count + u32::from(position < limit % count)
    }
}
