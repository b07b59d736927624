//! Divides the platform's limits on file descriptors and memory between client connections and
//! connections to data servers.

use crate::ConfigError;
use admission::resource_limits::ClientResources;
use broker_types::limits::PoolLimits;
use broker_types::time::millis;
use fanout_policy::settings::SiteSettings;

/// Maximum number of descriptors that the broker uses, even if the configuration allows more. Also
/// the limit if the configuration has none.
pub(crate) const MAX_DESCRIPTORS: u64 = 1024;
/// Minimum of the limit on descriptors.
const MIN_DESCRIPTORS: u64 = 64;
/// Descriptors reserved for everything that is neither a client connection nor a connection to a
/// data server: the listener, discovery, the event queue, signals, standard streams, and
/// connections that are being rejected.
const RESERVED_DESCRIPTORS: u64 = 32;

/// Bytes in a mebibyte, the unit of the memory limit.
const MEBIBYTE: u64 = 1 << 20;
/// Numerator of the fraction of the memory limit that client connections may use.
const CLIENT_MEMORY_NUMERATOR: u64 = 3;
/// Denominator of the fraction of the memory limit that client connections may use.
const CLIENT_MEMORY_DENOMINATOR: u64 = 5;
/// The memory limit divided by this number is the memory for data received from data servers.
const RECEIVE_MEMORY_DIVISOR: u64 = 8;
/// Memory for data received from data servers if the configuration has no memory limit, in bytes.
const DEFAULT_RECEIVE_BYTES: u64 = 16 * MEBIBYTE;
/// Maximum memory of an HTTP/1.1 client connection while a request arrives on it, in bytes.
const HTTP1_CONNECTION_BYTES: u64 = 128 * 1024;
/// Minimum of the memory limit, in mebibytes. With this limit, the fraction for client connections
/// suffices for one HTTP/1.1 connection.
const MIN_MEMORY_MEBIBYTES: u64 = (HTTP1_CONNECTION_BYTES * CLIENT_MEMORY_DENOMINATOR)
    .div_ceil(CLIENT_MEMORY_NUMERATOR * MEBIBYTE);

/// Time within which a connection to a data server must be established, in milliseconds, if the
/// settings have no `DialTimeout`.
const DEFAULT_DIAL_TIMEOUT_MS: f64 = 250.0;
/// Idle time after which a data server closes a connection, in milliseconds, if the settings have
/// no `Keepalive`. The broker closes its idle connections before the data server does.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 15_000.0;
/// Maximum number of parts in flight on one connection to a data server if the settings have no
/// limit.
const DEFAULT_PARTS_PER_CONNECTION: u64 = 100;

/// The platform's limits on the process. A field is `None` if the configuration has no such limit.
#[derive(Default)]
pub(crate) struct PlatformLimits {
    /// Maximum number of file descriptors.
    pub(crate) descriptors: Option<u64>,
    /// Maximum memory, in mebibytes.
    pub(crate) memory_mebibytes: Option<u64>,
}

/// Resources for connections, derived from the platform's limits on the process.
pub(crate) struct ResourceLimits {
    /// Number of descriptors for client connections and connections to data servers together.
    connection_descriptors: u64,
    /// Memory for client connections, in bytes; `None` if memory is not limited.
    client_memory: Option<u64>,
    /// Memory for data received from data servers, in bytes.
    receive_memory: u64,
}

impl ResourceLimits {
    /// Derives the resources for connections from the platform's limits.
    ///
    /// # Errors
    ///
    /// [`ConfigError::LimitTooSmall`] for a limit below its minimum.
    pub(crate) fn new(limits: PlatformLimits) -> Result<Self, ConfigError> {
        Ok(ResourceLimits {
            connection_descriptors: connection_descriptors(limits.descriptors)?,
            client_memory: client_memory(limits.memory_mebibytes)?,
            receive_memory: receive_memory(limits.memory_mebibytes),
        })
    }

    /// Returns the resources for client connections: two thirds of the descriptors, and the memory
    /// for client connections.
    pub(crate) fn clients(&self) -> ClientResources {
        ClientResources {
            descriptors: self.connection_descriptors * 2 / 3,
            memory_bytes: self.client_memory,
            http1_connection_bytes: HTTP1_CONNECTION_BYTES,
        }
    }

    /// Returns the limits on connections to data servers, which may use a third of the descriptors.
    /// If the settings allow fewer parts in flight on a connection than in a call, the limit on the
    /// connection is raised to that of the call, because no connection would otherwise have room
    /// for a full call.
    pub(crate) fn pool(&self, site: &SiteSettings) -> PoolLimits {
        let max_parts_per_call = site.settings.max_parts_per_call;
        let max_parts_per_connection =
            site.max_parts_per_connection
                .unwrap_or(DEFAULT_PARTS_PER_CONNECTION) as usize;
        PoolLimits {
            max_connections: (self.connection_descriptors / 3) as usize,
            max_parts_per_call,
            max_parts_per_connection: max_parts_per_connection.max(max_parts_per_call),
            max_receive_bytes: usize::try_from(self.receive_memory).unwrap_or(usize::MAX),
            dial_timeout: millis(site.dial_timeout.unwrap_or(DEFAULT_DIAL_TIMEOUT_MS)),
            idle_timeout: millis(site.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT_MS)),
        }
    }
}

/// Returns the number of descriptors for connections, given the platform's limit on descriptors.
fn connection_descriptors(limit: Option<u64>) -> Result<u64, ConfigError> {
    let descriptors = limit.unwrap_or(MAX_DESCRIPTORS);
    if descriptors < MIN_DESCRIPTORS {
        return Err(ConfigError::LimitTooSmall {
            field: "sockets",
            found: descriptors,
            min: MIN_DESCRIPTORS,
        });
    }
    Ok(descriptors.min(MAX_DESCRIPTORS) - RESERVED_DESCRIPTORS)
}

/// Returns the memory for data received from data servers in bytes, given the platform's limit in
/// mebibytes.
fn receive_memory(limit: Option<u64>) -> u64 {
    limit.map_or(DEFAULT_RECEIVE_BYTES, |mebibytes| {
        mebibytes.saturating_mul(MEBIBYTE) / RECEIVE_MEMORY_DIVISOR
    })
}

/// Returns the memory for client connections in bytes, given the platform's limit in mebibytes.
///
/// The limit on descriptors does not suffice: on a machine with little memory, as many connections
/// as there are descriptors, each with a partly received request, would exhaust the memory.
fn client_memory(limit: Option<u64>) -> Result<Option<u64>, ConfigError> {
    let Some(mebibytes) = limit else {
        return Ok(None);
    };
    let bytes =
        mebibytes.saturating_mul(MEBIBYTE) / CLIENT_MEMORY_DENOMINATOR * CLIENT_MEMORY_NUMERATOR;
    if bytes < HTTP1_CONNECTION_BYTES {
        return Err(ConfigError::LimitTooSmall {
            field: "memory_mb",
            found: mebibytes,
            min: MIN_MEMORY_MEBIBYTES,
        });
    }
    Ok(Some(bytes))
}
