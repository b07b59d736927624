//! Time limits for clients that apply to all versions of HTTP.

use std::time::Duration;

/// Maximum time for receiving a request from its start to its end, and likewise for writing a
/// response. Without it, a client that sends or reads a few bytes at a time could hold its
/// connection forever.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for which nothing is received while a request is incomplete, or before the first
/// request of a connection. Without it, connections that are opened and never used would occupy all
/// slots.
pub(super) const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);
