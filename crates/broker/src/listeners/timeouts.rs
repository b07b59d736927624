//! Time limits for clients that apply to every version of HTTP.

use std::time::Duration;

/// Longest time from the start of a request to its end, and for a response to be written. A client
/// that sends or reads in very small steps would otherwise hold its connection without limit.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time without a byte of a request that has started, or before the first request of a
/// connection. Connections that are opened and never used would otherwise take all slots.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
