//! The figures of the deployment that the tests use.

use broker_types::time::Timestamp;
use endpoint_control::leases::LeaseTimes;
use endpoint_control::slow_start::SlowStartRule;
use std::time::Duration;

/// Two cores, parts of 90 ms and calls of 36 ms, and the public figures of overload.
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

/// The time so many microseconds after the origin.
pub(crate) const fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// The time so many seconds after the origin.
pub(crate) const fn seconds(number: u64) -> Timestamp {
    at(number * 1_000_000)
}
