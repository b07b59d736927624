//! The times at which the queries of a load are due.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::{Duration, Instant};

/// Generator of arrival times. With a rate they form a Poisson process; without one, each query is
/// due when its time is requested.
pub(super) struct Arrivals {
    /// Mean number of arrivals per second.
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

    /// Returns the time at which the next query is due. Without a rate that is the current time.
    pub(super) fn next_due(&mut self) -> Instant {
        match self.rate {
            Some(rate) => self.last_due += exponential_gap(rate, &mut self.random),
            None => self.last_due = Instant::now(),
        }
        self.last_due
    }
}

/// Returns a random time between two arrivals. It is exponentially distributed, so arrivals are
/// independent of each other.
fn exponential_gap(rate: f64, random: &mut Pcg64Mcg) -> Duration {
    Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / rate)
}
