//! Names of the options and load report entries in the payloads of frames, for both sides.

/// Option of a part: the time for which the broker waits for the response, in milliseconds.
pub(crate) const WAIT_OPTION: &str = "d";
/// Option of a part: the idempotency key of its query.
pub(crate) const IDEMPOTENCY_KEY_OPTION: &str = "k";

/// Entry of a load report: the number of requests in flight at the server.
pub(crate) const REQUESTS_IN_FLIGHT_ENTRY: &str = "inflight";
/// Another name of the same entry, from the vocabulary of the broker's settings and of the
/// simulator's messages. The broker accepts both names.
pub(crate) const REQUESTS_IN_FLIGHT_SETTINGS_ENTRY: &str = "rif";
