//! Seeded random numbers, so that the same seed and the same events lead to the same decisions.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};

/// Deterministic random number generator.
pub(crate) struct RandomSource(Pcg64Mcg);

impl RandomSource {
    /// Creates a generator with the given seed.
    pub(crate) fn new(seed: u64) -> Self {
        RandomSource(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Draws a uniformly distributed number from 0 to below 1.
    pub(crate) fn fraction(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws a uniformly distributed whole number from 0 to below `limit`; 0 if `limit` is 0.
    pub(crate) fn below(&mut self, limit: usize) -> usize {
        ((self.fraction() * limit as f64) as usize).min(limit.saturating_sub(1))
    }
}
