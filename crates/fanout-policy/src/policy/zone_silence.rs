//! Share of attempts that get no response, by zone: a network partition makes a whole zone silent.
//!
//! [`ZoneSilence`] owns these averages.

use crate::statistics::smooth;
use std::collections::BTreeMap;

/// Weight of a sample: about the last ten samples count.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Whether a server responded to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Response {
    /// It did.
    Received,
    /// It did not.
    Missing,
}

/// Share of attempts that got no response, by zone, smoothed.
#[derive(Default)]
pub(crate) struct ZoneSilence {
    by_zone: BTreeMap<usize, f64>,
}

impl ZoneSilence {
    /// Updates the average of a server's zone, if the zone is known.
    pub(crate) fn record(&mut self, zone: Option<usize>, response: Response) {
        let Some(zone) = zone else {
            return;
        };
        let sample = match response {
            Response::Received => 0.0,
            Response::Missing => 1.0,
        };
        let silence = self.by_zone.entry(zone).or_default();
        smooth(silence, SAMPLE_WEIGHT, sample);
    }

    /// Share of attempts in a zone that got no response; 0 if the zone is not known.
    pub(crate) fn of_zone(&self, zone: Option<usize>) -> f64 {
        let silence = zone.and_then(|zone| self.by_zone.get(&zone));
        silence.copied().unwrap_or(0.0)
    }
}
