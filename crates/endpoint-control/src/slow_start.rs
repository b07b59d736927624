//! The limit of requests in flight at a server that is warming up.
//!
//! A server is overloaded if the work sent to it in a window of time exceeds a multiple of the work
//! that it can do in that window. Endpoint weights cannot prevent this: a weight gives the server a
//! share of the total traffic, and the total is unknown and changes with the traffic of each proxy.
//! A limit on the requests *in flight* can prevent it. Of the requests that are sent to the server
//! within a window, some are still in flight at its end: at most `K`, the limit. The others are
//! sent and end within the window, so the server does all their work within it, and their work is
//! at most what the server can do in that time. So with at most `K` requests in flight at any
//! moment, each of at most `w` work,
//!
//! ```text
//! work sent in a window <= K * w + capacity * window
//! ```
//!
//! The server is therefore not overloaded if `K * w <= (multiple - 1) * capacity * window`. This
//! holds whichever proxies send the requests, and however late they receive a change of the limit.
//!
//! The bound assumes that a request ends only after the server has done its work. A server that
//! rejects or fails requests immediately frees their places without doing work. So the server's
//! queue must be longer than `K`, which avoids rejections, and a server that fails requests is
//! ejected (see [`crate::ejection_quorum`]).

use broker_types::time::whole_micros;
use const_fnv1a_hash::fnv1a_hash_str_32;
use std::time::Duration;

/// Share of the admissible work that the limit uses. The rest is a margin, because the limit is
/// computed from the mean work of a request and single requests take more.
const USED_LIMIT_SHARE: f64 = 0.75;
/// Maximum limit in requests. It keeps the result of the floating-point calculation in the range of
/// an integer.
const MAX_REQUESTS_IN_FLIGHT: f64 = 1e6;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Properties of a deployment that determine the limit of requests in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRule {
    /// Minimum share of its capacity that a server has when it starts, from 0 to 1.
    pub initial_share: f64,
    /// Maximum time after its start until a server has its full capacity.
    pub warm_up_duration: Duration,
    /// A server is overloaded if the work sent to it within one
    /// [`overload_window`](Self::overload_window) exceeds this multiple of the work that it can do
    /// in that window.
    pub overload_multiple: f64,
    /// Length of the window of time over which overload is measured.
    pub overload_window: Duration,
    /// Capacity of a warmed-up server, in microseconds of work per second: one million for each
    /// core of the smallest machine type.
    pub capacity: f64,
    /// Work of a request including that of its call, in microseconds: the mean of the query class
    /// whose requests take the most work.
    pub request_work: f64,
}

impl SlowStartRule {
    /// Returns the minimum share of its capacity that a server has at the age `age`. It never
    /// decreases with age, so a sender that uses an outdated (smaller) age sends less, not more.
    #[must_use]
    pub fn capacity_share(&self, age: Duration) -> f64 {
        let progress = micros(age) / micros(self.warm_up_duration).max(1.0);
        (self.initial_share + (1.0 - self.initial_share) * progress).clamp(0.0, 1.0)
    }

    /// Returns whether even the slowest server has its full capacity at the age `age`.
    #[must_use]
    pub fn is_warmed_up(&self, age: Duration) -> bool {
        age >= self.warm_up_duration
    }

    /// Returns the maximum number of requests in flight at a server of the age `age`, from all
    /// proxies together.
    #[must_use]
    pub fn max_in_flight(&self, age: Duration) -> u32 {
        let capacity = self.capacity * self.capacity_share(age);
        let work_per_window = capacity * micros(self.overload_window) / MICROS_PER_SECOND;
        let max_work = USED_LIMIT_SHARE * (self.overload_multiple - 1.0) * work_per_window;
        (max_work / self.request_work.max(1.0)).clamp(0.0, MAX_REQUESTS_IN_FLIGHT) as u32
    }
}

/// Returns a duration in microseconds.
fn micros(span: Duration) -> f64 {
    whole_micros(span) as f64
}

/// One of several control instances. Each may grant a fixed share of each server's limit, so that
/// together they keep to the limit without communication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlInstance {
    /// Number of this instance, counted from 0.
    pub number: u32,
    /// Total number of control instances.
    pub count: u32,
}

impl ControlInstance {
    /// Returns this instance's share of a server's limit, as a number of requests. The shares of
    /// all instances add up to the limit. If the limit does not divide evenly, a hash of the
    /// server's name decides which instances get one request more, so that it is not the same
    /// instances for all servers.
    #[must_use]
    pub fn share_of_limit(self, limit: u32, server: &str) -> u32 {
        let count = self.count.max(1);
        let offset = fnv1a_hash_str_32(server) % count;
        let position = (self.number % count + offset) % count;
        limit / count + u32::from(position < limit % count)
    }
}
