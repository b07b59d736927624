//! Parameters of the model. Its time advances in steps of one microsecond.

use broker_types::time::Timestamp;
use endpoint_control::leases::LeaseTimes;
use std::time::Duration;

/// Length of a step of the model.
pub(crate) const STEP: Duration = Duration::from_micros(1);
/// Time after which the model takes no further step.
pub(crate) const LAST_STEP: Timestamp = Timestamp::from_micros(6);
/// Time limits of leases: one step each.
pub(crate) const TIMES: LeaseTimes = LeaseTimes {
    time_to_live: STEP,
    max_request_duration: STEP,
    max_pause: STEP,
};
/// Number of proxies.
pub(crate) const PROXIES: usize = 2;
/// Maximum number of requests in flight at the server, from all proxies together.
pub(crate) const SERVER_LIMIT: u32 = 2;
