//! Measures what clients' requests wait for until the policy receives them: in the backlog of the
//! listening socket, in the run queue of the
//! connections' tasks, for decoding, and in the event queue.
//!
//! [`RequestTimings`] owns the figures of an interval and logs them.

use super::arrival::Arrival;
use broker_types::time::Timestamp;
use query_api::Routed;
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};
use tracing::{debug, info};

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// How long one request has waited when it was decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestTiming {
    /// At most this long, the connection waited in the backlog after the request had arrived.
    pub(super) backlog: Duration,
    /// From then on, its connection was delayed for this long because of earlier invalid requests.
    pub(super) delay: Duration,
    /// From then on, at most this long until the decoding started.
    pub(super) run_queue: Duration,
    /// Duration of the decoding.
    pub(super) decoding: Duration,
}

impl RequestTiming {
    /// Computes the times of a request whose decoding started and ended at these times.
    pub(super) fn new(arrival: Arrival, started_at: Instant, ended_at: Instant) -> Self {
        let accepted_at = arrival.arrived_at.max(arrival.accepted_at);
        let ready_at = arrival
            .delayed_until
            .unwrap_or(accepted_at)
            .max(accepted_at);
        RequestTiming {
            backlog: accepted_at - arrival.arrived_at,
            delay: ready_at - accepted_at,
            run_queue: started_at.saturating_duration_since(ready_at),
            decoding: ended_at - started_at,
        }
    }
}

/// The requests of an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct IntervalFigures {
    valid: u64,
    invalid: u64,
    decoding_valid: Duration,
    decoding_invalid: Duration,
    longest_backlog: Duration,
    longest_run_queue: Duration,
    longest_decoding: Duration,
    longest_queue: Duration,
}

/// Record of what requests waited for since the last report.
#[derive(Default)]
pub(super) struct RequestTimings {
    figures: RefCell<IntervalFigures>,
    /// Earliest time of the next report.
    next_report: Cell<Timestamp>,
}

impl RequestTimings {
    /// Records a request that was decoded.
    pub(super) fn on_request_decoded(&self, timing: RequestTiming, routed: &Routed) {
        let is_valid = match routed {
            Routed::Query(_) => true,
            Routed::Immediate {
                is_valid_request, ..
            } => *is_valid_request,
        };
        debug!(
            name: "request_decoded", valid = is_valid,
            backlog_ms = timing.backlog.as_millis() as u64,
            delay_ms = timing.delay.as_millis() as u64,
            run_queue_ms = timing.run_queue.as_millis() as u64,
            decoding_us = timing.decoding.as_micros() as u64
        );
        let mut figures = self.figures.borrow_mut();
        if is_valid {
            figures.valid += 1;
            figures.decoding_valid += timing.decoding;
        } else {
            figures.invalid += 1;
            figures.decoding_invalid += timing.decoding;
        }
        figures.longest_backlog = figures.longest_backlog.max(timing.backlog);
        figures.longest_run_queue = figures.longest_run_queue.max(timing.run_queue);
        figures.longest_decoding = figures.longest_decoding.max(timing.decoding);
    }

    /// Records that the event loop has received a query that waited `waited` in the event queue.
    pub(super) fn on_query_dequeued(&self, waited: Duration) {
        let mut figures = self.figures.borrow_mut();
        figures.longest_queue = figures.longest_queue.max(waited);
    }

    /// Logs the figures and starts a new interval, if the interval has passed and there was a
    /// request.
    pub(super) fn report_if_due(&self, now: Timestamp) {
        if now < self.next_report.get() {
            return;
        }
        self.next_report.set(now + REPORT_INTERVAL);
        let figures = self.figures.take();
        if figures == IntervalFigures::default() {
            return;
        }
        info!(
            name: "request_times_reported",
            valid = figures.valid,
            invalid = figures.invalid,
            decoding_valid_ms = figures.decoding_valid.as_millis() as u64,
            decoding_invalid_ms = figures.decoding_invalid.as_millis() as u64,
            longest_backlog_ms = figures.longest_backlog.as_millis() as u64,
            longest_run_queue_ms = figures.longest_run_queue.as_millis() as u64,
            longest_decoding_us = figures.longest_decoding.as_micros() as u64,
            longest_queue_ms = figures.longest_queue.as_millis() as u64
        );
    }
}

#[cfg(test)]
mod tests;
