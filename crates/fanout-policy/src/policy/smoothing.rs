//! Smoothing factors that the moving averages of several components share.

/// Weight of a sample in a moving average: about the last five samples count.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a sample that must count sooner: an overdue answer, or a failure within one class.
pub(crate) const STRONG_SAMPLE_WEIGHT: f64 = 0.3;
/// Share by which statistics without new samples return to their defaults in each control interval.
pub(crate) const DECAY_SHARE: f64 = 0.12;
