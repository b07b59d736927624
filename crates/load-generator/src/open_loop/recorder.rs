//! Counts outcomes and latencies of a load.

use super::{ANSWER_GRACE, LoadProfile, LoadReport};
use crate::query::QueryOutcome;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::io;
use std::time::Instant;

/// The shortest latency that the histogram distinguishes from zero, in microseconds.
const MIN_LATENCY_US: u64 = 1;
/// The longest latency that the histogram holds, in microseconds; longer ones count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant decimal digits of the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The report of a load that is running.
pub(super) struct Recorder {
    report: RefCell<LoadReport>,
    counted_from: Instant,
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

    /// Records the outcome of a query that has just ended, unless it belongs to the warm-up or
    /// comes too late.
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

    pub(super) fn report(&self) -> LoadReport {
        self.report.borrow().clone()
    }
}
