//! Limits of the connections to data servers.

use std::time::Duration;

/// Limits of the connection pool to the data servers.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Maximum number of connections to all servers together.
    pub max_connections: usize,
    /// Maximum number of parts in a call.
    pub max_parts_per_call: usize,
    /// Maximum number of parts in flight on a connection.
    pub max_parts_per_connection: usize,
    /// Maximum memory for data that was received on all connections and has not been decoded yet, in
    /// bytes.
    pub max_receive_bytes: usize,
    /// Maximum time for establishing a connection.
    pub dial_timeout: Duration,
    /// Time after which a server closes an idle connection. The broker closes its idle connections
    /// earlier: an attempt that is sent while the server closes the connection ends with a
    /// connection reset, which does not show whether the part ran.
    pub idle_timeout: Duration,
}
