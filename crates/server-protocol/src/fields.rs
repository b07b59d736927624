//! Names of the fields in the payloads of frames, for both sides.

/// Option of a part: how long the broker will wait for the response, in milliseconds.
pub(crate) const WAIT_OPTION: &str = "d";
/// Option of a part: the query's idempotency key.
pub(crate) const IDEMPOTENCY_KEY_OPTION: &str = "k";

/// The number of requests in flight in a load report.
pub(crate) const REQUESTS_IN_FLIGHT: &str = "inflight";
/// The name of the same number where load reports use the names of the settings.
pub(crate) const REQUESTS_IN_FLIGHT_IN_SETTINGS: &str = "rif";
