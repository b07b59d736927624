//! Recorder of the outcomes and latencies of a load.

use super::{ANSWER_GRACE, LoadProfile, LoadReport};
use crate::query::QueryOutcome;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::io;
use std::time::Instant;

/// Minimum latency that the histogram distinguishes from zero, in microseconds.
const MIN_LATENCY_US: u64 = 1;
/// Maximum latency in the histogram, in microseconds. Longer latencies are recorded as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Number of significant decimal digits that the histogram keeps of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Records the outcomes of a load's queries while the load runs.
pub(super) struct Recorder {
    report: RefCell<LoadReport>,
    /// End of the warm-up. Queries that were due earlier are not counted.
    counted_from: Instant,
    /// Outcomes that are recorded later are not counted.
    counted_until: Instant,
}

impl Recorder {
    pub(super) fn new(profile: &LoadProfile, start: Instant) -> io::Result<Self> {
        let latency =
            Histogram::new_with_bounds(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .map_err(io::Error::other)?;
        Ok(Recorder {
            report: RefCell::new(LoadReport {
                latency,
                served: 0,
                unserved: 0,
                measured_duration: profile.duration - profile.warm_up,
            }),
            counted_from: start + profile.warm_up,
            counted_until: start + profile.duration + ANSWER_GRACE,
        })
    }

    /// Records the outcome of a query that was due at `due` and has just ended. Has no effect if
    /// the query was due during the warm-up, or if it ended more than [`ANSWER_GRACE`] after the
    /// end of the load.
    pub(super) fn record(&self, due: Instant, outcome: &QueryOutcome) {
        if due < self.counted_from || Instant::now() > self.counted_until {
            return;
        }
        let mut report = self.report.borrow_mut();
        if outcome.is_answered() {
            report.served += 1;
            let latency_us = due.elapsed().as_micros() as u64;
            report.latency.saturating_record(latency_us);
        } else {
            report.unserved += 1;
        }
    }

    /// Returns the report of the outcomes that were recorded so far.
    pub(super) fn report(&self) -> LoadReport {
        self.report.borrow().clone()
    }
}
