//! Tuned values. Those without a stated source were chosen in simulator runs, which `journal/`
//! records.

use super::batch_timer::CONTROL_INTERVAL_MS as CONTROL_INTERVAL;
use crate::api::Ms;

/// Margin by which another server's forecast must be better for a part to leave its row, in
/// objectives.
pub(super) const FALLBACK_MARGIN: f64 = 0.06;
/// Added to the forecast of a server in another zone for the cost of the crossing, in objectives.
pub(super) const CROSS_ZONE_PENALTY: f64 = 0.05;
/// Added to the forecast per unit of error rate for the attempt that an error costs, in objectives.
pub(super) const ERROR_PENALTY: f64 = 0.5;

/// Weight of a sample in a moving average: about the last five samples count.
pub(crate) const SMOOTHING: f64 = 0.2;
/// Weight of a sample that must count sooner: an overdue answer, or a failure within one class.
pub(crate) const STRONG_SMOOTHING: f64 = 0.3;
/// Share by which statistics without new samples return to their defaults in each control interval.
pub(crate) const DECAY: f64 = 0.12;
/// Weight of a sample in the share of unanswered attempts of a zone: about the last ten samples
/// count.
pub(crate) const ZONE_SMOOTHING: f64 = 0.1;
/// Latency in ms per ms of outstanding work before any observation.
pub(crate) const INITIAL_LATENCY_PER_WORK: f64 = 0.8;
/// Lower bound of a latency per work, or of an initial capacity, used as a divisor.
pub(super) const MIN_DIVISOR: f64 = 0.2;
/// Age of the observations from which the fleet's latency is taken, in ms.
pub(crate) const FLEET_LATENCY_WINDOW: Ms = 4.0 * CONTROL_INTERVAL;
/// Limit of the latency taken from a timeout, in multiples of the fleet's: the part may have
/// been lost.
pub(super) const TIMEOUT_LATENCY_LIMIT: f64 = 4.0;
/// Quantile of answer times taken as the cost of a part.
pub(crate) const PART_COST_QUANTILE: f64 = 0.2;
/// Relative step of the part cost estimate.
pub(crate) const PART_COST_STEP: f64 = 0.05;
/// Largest factor by which a cost hint changes the cost of a part, up or down.
pub(super) const MAX_HINT_FACTOR: f64 = 2.0;
/// Cost of a part before any observation, in multiples of the cost of a call.
pub(crate) const INITIAL_PART_COST: f64 = 2.0;
/// Share of a server's speed by which its reported work drains: new work replaces about half of it.
pub(super) const REPORTED_WORK_DRAIN: f64 = 0.5;

/// Error rate above which a server is ejected.
pub(super) const EJECTION_ERROR_RATE: f64 = 0.45;
/// Consecutive failures from which a server is ejected.
pub(super) const EJECTION_CONSECUTIVE_FAILURES: u32 = 2;
/// First ejection, in shortest objectives.
pub(super) const MIN_EJECTION: f64 = 0.7;
/// Longest ejection, in shortest objectives.
pub(super) const MAX_EJECTION: f64 = 4.0;
/// Longest ejection of an unreachable server, in intervals between this aggregator's sends to it.
pub(super) const UNREACHABLE_MAX_SENDS: f64 = 8.0;
/// A lost connection does not count after an answer to an attempt sent this much earlier, in
/// objectives.
pub(super) const RECENT_ANSWER: f64 = 0.25;
/// First ejection of a server that rejected a part for lack of capacity, in shortest objectives.
pub(super) const OVERLOAD_EJECTION: f64 = 0.15;
/// The same in intervals between this aggregator's sends to the server; the longer of the two
/// holds.
pub(super) const OVERLOAD_EJECTION_SENDS: f64 = 0.5;
/// Smallest random factor on the length of an ejection.
pub(super) const MIN_JITTER: f64 = 0.75;
/// Range of the random factor on the length of an ejection.
pub(super) const JITTER_RANGE: f64 = 0.5;

/// An attempt is overdue after this multiple of its forecast: earlier hedges double work that
/// only waits.
pub(super) const OVERDUE_FACTOR: f64 = 3.0;
/// Least age of an overdue attempt, in objectives.
pub(super) const OVERDUE_MIN: f64 = 0.25;
/// A hedged request is sent once an attempt is late by this multiple of the hedge's own forecast.
pub(super) const HEDGE_FACTOR: f64 = 2.0;
/// Without hedging: highest forecast at which an overdue attempt is cancelled for a retry, in
/// objectives.
pub(super) const CANCEL_MAX_FORECAST: f64 = 0.15;
/// Age in objectives from which an attempt is cancelled even before it is overdue.
pub(super) const CANCEL_AGE: f64 = 0.4;

/// Lowest admission limit, for the smallest weight: forecast latency as a share of the time left.
pub(super) const MIN_ADMISSION_LIMIT: f64 = 0.5;
/// Highest admission limit, for the largest weight.
pub(super) const MAX_ADMISSION_LIMIT: f64 = 0.75;
/// Weight of a sample in the moving average of forecast errors.
pub(crate) const FORECAST_ERROR_SMOOTHING: f64 = 0.1;
/// Largest forecast error, in objectives: below the admission limit, so that an idle fleet
/// always admits.
pub(crate) const MAX_FORECAST_ERROR: f64 = 0.45;
/// Weight of the slowest part's forecast against the mean where the answer does not need all parts.
pub(super) const SLOWEST_PART_WEIGHT: f64 = 0.5;
/// A tenant is over its quota from this multiple of an even share, since queries arrive unevenly.
pub(super) const QUOTA_SLACK: f64 = 1.3;
/// Ratio of two client timeouts within which they count as equal.
pub(crate) const CLIENT_TIMEOUT_TOLERANCE: f64 = 0.99;
/// Votes that a query with another timeout takes from the estimate: in a retry storm few are
/// first attempts.
pub(crate) const CLIENT_TIMEOUT_DISSENT: f64 = 0.15;
/// Largest number of votes for the client timeout estimate.
pub(crate) const MAX_CLIENT_TIMEOUT_VOTES: f64 = 16.0;
/// Votes from which the client timeout estimate is used.
pub(crate) const CLIENT_TIMEOUT_VOTES: f64 = 8.0;

/// Lost connections from which a query counts as a poison query: one may be chance.
pub(super) const POISON_LOST_CONNECTIONS: usize = 2;
/// Largest reserve for a second step, in objectives: the first step has more parts.
pub(crate) const MAX_SECOND_STEP: f64 = 0.5;
/// Retry-after as a share of the time left: long enough for queues to shrink, short enough to
/// be in time.
pub(super) const RETRY_AFTER_SHARE: f64 = 0.3;
/// Least time left for a retry to be in time, in objectives.
pub(super) const RETRY_MIN_TIME_LEFT: f64 = 0.1;
/// A repeat is assumed to arrive within this multiple of the retry-after.
pub(super) const RETRY_DELAY_FACTOR: f64 = 2.0;
/// Fraction of its weight that a late answer must earn to be waited for, among many aggregators.
pub(super) const MIN_LATE_WEIGHT: f64 = 0.2;
/// Ticks reserved before a client's deadline for the reply.
pub(super) const REPLY_TICKS: f64 = 2.0;
/// Tolerance of sums of weights, which are rounded in transit.
pub(super) const SHARE_TOLERANCE: f64 = 5e-5;

/// Share of the overload limit of a warming server that is used: traffic arrives in bursts.
pub(super) const SLOW_START_SAFETY: f64 = 0.75;
/// Silence after which a server that answers is assumed to have restarted, in objectives.
pub(super) const RESTART_SILENCE: f64 = 2.5;

/// Time between gossip messages without a send, in shortest objectives.
pub(super) const GOSSIP_INTERVAL: f64 = 0.06;
/// Unit of published work, in shortest objectives.
pub(super) const GOSSIP_WORK_STEP: f64 = 1.0 / 128.0;
/// Time in ms after which a report of another aggregator expires, since that may have failed.
pub(crate) const PEER_REPORT_LIFETIME: Ms = 1.5 * CONTROL_INTERVAL;
