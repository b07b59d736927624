//! How many attempts the report of another observer counts as.
//!
//! A report is sampled in the proportion of its outcomes; this module has no state.

use crate::api::Outcome;
use crate::view::OutcomeReport;

/// Largest number of attempts that one report counts as. Outlier detection works on shares and
/// on consecutive failures, so that more samples add nothing and would outweigh the reports of
/// others.
const MAX_SAMPLES: u64 = 8;

/// The outcomes that a report counts as: failures first, so that the answers beside them show
/// that the server is up.
pub(crate) fn samples(report: &OutcomeReport) -> impl Iterator<Item = Outcome> + use<> {
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

/// Number of samples that stand for these attempts out of a report's total.
fn sample_count(attempts: u64, total: u64) -> u64 {
    if total <= MAX_SAMPLES {
        attempts
    } else {
        (attempts * MAX_SAMPLES).div_ceil(total)
    }
}
