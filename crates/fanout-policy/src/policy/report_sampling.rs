//! Conversion of an [`OutcomeReport`] into a few sample outcomes.
//!
//! The samples have about the same proportions as the counts in the report. This module has no
//! state.

use crate::api::Outcome;
use crate::view::OutcomeReport;

/// Number of samples to which the counts of a larger report are scaled down. Each scaled count is
/// rounded up, so there may be up to two more. Outlier detection works on shares and on
/// consecutive failures: more samples would add no information, and they would outweigh the
/// reports of other observers.
const SAMPLES_PER_LARGE_REPORT: u64 = 8;

/// Returns the sample outcomes that stand for a report. Failures come first: if the report also has
/// served attempts, these then reset the consecutive failures and show that the server is up.
pub(crate) fn sampled_outcomes(report: &OutcomeReport) -> impl Iterator<Item = Outcome> + use<> {
    let total = report.served + report.errors + report.connection_failures;
    let outcomes = [
        (Outcome::ConnectionLost, report.connection_failures),
        (Outcome::Error, report.errors),
        (Outcome::Served, report.served),
    ];
    let repeat = move |(outcome, attempts)| {
        let count = sample_count(attempts, total);
        (0..count).map(move |_| outcome)
    };
    outcomes.into_iter().flat_map(repeat)
}

/// Returns the number of samples that stand for `attempts` attempts with the same outcome, in a
/// report of `total` attempts.
fn sample_count(attempts: u64, total: u64) -> u64 {
    if total <= SAMPLES_PER_LARGE_REPORT {
        attempts
    } else {
        (attempts * SAMPLES_PER_LARGE_REPORT).div_ceil(total)
    }
}
