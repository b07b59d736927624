//! The figures of the deployment that the tests use.

use broker_types::time::SECOND;
use endpoint_control::leases::LeaseTimes;
use endpoint_control::slow_start::SlowStartRule;

/// Two cores, parts of 90 ms and calls of 36 ms, and the public figures of overload.
pub(crate) const SLOW_START_RULE: SlowStartRule = SlowStartRule {
    initial_share: 0.18,
    warm_up_duration: 16 * SECOND,
    overload_multiple: 2.5,
    overload_window: SECOND,
    capacity: 2e6,
    request_work: 126_000.0,
};

pub(crate) const LEASE_TIMES: LeaseTimes = LeaseTimes {
    time_to_live: 2 * SECOND,
    max_request_duration: 4 * SECOND,
    max_pause: 10 * SECOND,
};
