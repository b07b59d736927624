//! Parameters of the deployment that the tests use, and builders of timestamps.

use broker_types::time::Timestamp;
use endpoint_control::leases::LeaseTimes;
use endpoint_control::slow_start::SlowStartRule;
use std::time::Duration;

/// The rule for servers with two cores, which do two million microseconds of work per second
/// (`capacity`), and for requests that take 126,000 microseconds of work (`request_work`): 90 ms
/// for the one part of a request and 36 ms for the request's call. `overload_multiple` and
/// `overload_window` are the published parameters of overload.
pub(crate) const SLOW_START_RULE: SlowStartRule = SlowStartRule {
    initial_share: 0.18,
    warm_up_duration: Duration::from_secs(16),
    overload_multiple: 2.5,
    overload_window: Duration::from_secs(1),
    capacity: 2e6,
    request_work: 126_000.0,
};

pub(crate) const LEASE_TIMES: LeaseTimes = LeaseTimes {
    time_to_live: Duration::from_secs(2),
    max_request_duration: Duration::from_secs(4),
    max_pause: Duration::from_secs(10),
};

/// Returns the time `micros` microseconds after the origin.
pub(crate) const fn at_micros(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// Returns the time `number` seconds after the origin.
pub(crate) const fn at_seconds(number: u64) -> Timestamp {
    at_micros(number * 1_000_000)
}
