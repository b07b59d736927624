//! When the queries of a load are due.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::{Duration, Instant};

/// The arrival times of a Poisson process, or of a load without a rate.
pub(super) struct Arrivals {
    rate: Option<f64>,
    last_due: Instant,
    random: Pcg64Mcg,
}

impl Arrivals {
    pub(super) fn new(rate: Option<f64>, start: Instant, random: Pcg64Mcg) -> Self {
        Arrivals {
            rate,
            last_due: start,
            random,
        }
    }

    /// When the next query is due. Without a rate that is now.
    pub(super) fn next_due(&mut self) -> Instant {
        match self.rate {
            Some(rate) => self.last_due += exponential_gap(rate, &mut self.random),
            None => self.last_due = Instant::now(),
        }
        self.last_due
    }
}

/// An exponentially distributed time between two arrivals, so that they are independent of each
/// other.
fn exponential_gap(rate: f64, random: &mut Pcg64Mcg) -> Duration {
    Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / rate)
}
