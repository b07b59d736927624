//! Smoothing factors of the moving averages, shared by several components.

/// Weight of a sample in a moving average: about the last five samples count.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a sample that must take effect sooner: the latency of an answer that took several
/// times its forecast, or the outcome of an attempt in the error rate of its class. With the
/// smaller weight, an aggregator that sends to a server only every few seconds would go on sending
/// to it for a minute after it has become overloaded.
pub(crate) const STRONG_SAMPLE_WEIGHT: f64 = 0.3;
/// Share of the distance to its default value by which an average returns in one control interval,
/// so that a server that was slow or failing is tried again. Latencies return only in intervals
/// without new samples, the error rate of a server only while it has no attempt in flight, and the
/// error rates of classes in every interval.
pub(crate) const DECAY_SHARE: f64 = 0.12;
