//! Share of attempts that get no response, by zone.
//!
//! In a network partition no server of a zone responds. If the latency of a server has not been
//! observed recently, its error rate is therefore assumed to be at least the share of its zone. The
//! servers of the zone are then avoided without a failed attempt at each of them. [`ZoneSilence`]
//! owns these shares.

use crate::statistics::smooth;
use std::collections::BTreeMap;

/// Weight of a sample in the moving average of a zone: about the last ten samples count.
const ZONE_SAMPLE_WEIGHT: f64 = 0.1;

/// Whether a server responded to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Response {
    /// The server responded.
    Received,
    /// The server did not respond.
    Missing,
}

/// Moving averages of the share of attempts that got no response, by zone.
#[derive(Default)]
pub(crate) struct ZoneSilence {
    /// Average by index of the zone.
    by_zone: BTreeMap<usize, f64>,
}

impl ZoneSilence {
    /// Updates the average of a zone with one attempt; does nothing if the zone is `None`.
    pub(crate) fn record(&mut self, zone: Option<usize>, response: Response) {
        let Some(zone) = zone else {
            return;
        };
        let sample = match response {
            Response::Received => 0.0,
            Response::Missing => 1.0,
        };
        let silence = self.by_zone.entry(zone).or_default();
        smooth(silence, ZONE_SAMPLE_WEIGHT, sample);
    }

    /// Returns the share of attempts in a zone that got no response; 0 if the zone is `None` or
    /// has no samples.
    pub(crate) fn no_response_share(&self, zone: Option<usize>) -> f64 {
        let silence = zone.and_then(|zone| self.by_zone.get(&zone));
        silence.copied().unwrap_or(0.0)
    }
}
