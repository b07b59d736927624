//! Exponentially weighted moving averages.

/// Moves an average towards a sample by the share `weight` of their difference.
pub(crate) fn smooth(average: &mut f64, weight: f64, sample: f64) {
    *average += weight * (sample - *average);
}

/// Moves an average towards zero by the share `weight` of its value.
pub(crate) fn decay(average: &mut f64, weight: f64) {
    *average *= 1.0 - weight;
}
