//! Limits and times of the model, which counts time in steps.

use broker_types::time::Timestamp;
use endpoint_control::leases::LeaseTimes;
use std::time::Duration;

/// A step of the model.
pub(crate) const STEP: Duration = Duration::from_micros(1);
/// The model ends at this step.
pub(crate) const LAST_STEP: Timestamp = Timestamp::from_micros(6);
pub(crate) const TIMES: LeaseTimes = LeaseTimes {
    time_to_live: STEP,
    max_request_duration: STEP,
    max_pause: STEP,
};
pub(crate) const PROXIES: usize = 2;
/// Requests that the server may have in flight.
pub(crate) const SERVER_LIMIT: u32 = 2;
