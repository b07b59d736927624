//! Divides the platform's limits on descriptors and memory between clients and data servers.

use crate::ConfigError;
use admission::resource_limits::ClientResources;
use broker_types::limits::PoolLimits;
use broker_types::time::millis;
use fanout_policy::settings::SiteSettings;

/// Most descriptors that are used, and those that are assumed where the configuration names no
/// limit.
pub(crate) const MAX_DESCRIPTORS: u64 = 1024;
/// Least limit on descriptors to serve with.
const MIN_DESCRIPTORS: u64 = 64;
/// Most descriptors that are neither a client's nor a data server's connection: listener,
/// discovery, the event queue, signals, standard streams, and connections that are being rejected.
const RESERVED_DESCRIPTORS: u64 = 32;

/// Bytes of a mebibyte, the unit of the memory limit.
const MEBIBYTE: u64 = 1 << 20;
/// Client connections may fill this fraction of the memory limit: numerator.
const CLIENT_MEMORY_NUMERATOR: u64 = 3;
/// Client connections may fill this fraction of the memory limit: denominator.
const CLIENT_MEMORY_DENOMINATOR: u64 = 5;
/// Most memory of an HTTP/1.1 connection while it sends a request, in bytes.
const HTTP1_CONNECTION_BYTES: u64 = 128 * 1024;

/// Time to establish a connection to a data server where the settings name none, in milliseconds.
const DEFAULT_DIAL_TIMEOUT_MS: f64 = 250.0;
/// Idle time after which a data server closes a connection where the settings name none, in
/// milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 15_000.0;
/// Most parts on one connection at once where the settings name no limit.
const DEFAULT_PARTS_PER_CONNECTION: u64 = 100;

/// The platform's limits on the process; absent where the configuration names none.
#[derive(Default)]
pub(crate) struct PlatformLimits {
    /// File descriptors.
    pub(crate) descriptors: Option<u64>,
    /// Memory.
    pub(crate) memory_mebibytes: Option<u64>,
}

/// The limits on connections that follow from those on the process.
pub(crate) struct ResourceLimits {
    /// Descriptors for connections of clients and data servers together.
    connection_descriptors: u64,
    /// Memory for client connections in bytes, where it is limited.
    client_memory: Option<u64>,
}

impl ResourceLimits {
    /// Divides the platform's limits.
    pub(crate) fn new(limits: PlatformLimits) -> Result<Self, ConfigError> {
        Ok(ResourceLimits {
            connection_descriptors: connection_descriptors(limits.descriptors)?,
            client_memory: client_memory(limits.memory_mebibytes)?,
        })
    }

    /// What client connections may use: two thirds of the descriptors, and their fraction of the
    /// memory.
    pub(crate) fn clients(&self) -> ClientResources {
        ClientResources {
            descriptors: self.connection_descriptors * 2 / 3,
            memory_bytes: self.client_memory,
            http1_connection_bytes: HTTP1_CONNECTION_BYTES,
        }
    }

    /// What connections to data servers may use: a third of the descriptors.
    pub(crate) fn pool(&self, site: &SiteSettings) -> PoolLimits {
        let max_parts_per_call = site.settings.max_parts_per_call;
        let max_parts_per_connection =
            site.max_parts_per_connection
                .unwrap_or(DEFAULT_PARTS_PER_CONNECTION) as usize;
        PoolLimits {
            max_connections: (self.connection_descriptors / 3) as usize,
            max_parts_per_call,
            max_parts_per_connection: max_parts_per_connection.max(max_parts_per_call),
            dial_timeout: millis(site.dial_timeout.unwrap_or(DEFAULT_DIAL_TIMEOUT_MS)),
            idle_timeout: millis(site.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT_MS)),
        }
    }
}

fn connection_descriptors(limit: Option<u64>) -> Result<u64, ConfigError> {
    let descriptors = limit.unwrap_or(MAX_DESCRIPTORS);
    if descriptors < MIN_DESCRIPTORS {
        return Err(ConfigError::LimitTooSmall { field: "sockets" });
    }
    Ok(descriptors.min(MAX_DESCRIPTORS) - RESERVED_DESCRIPTORS)
}

/// The memory for client connections, in bytes. Without it, the limit on descriptors alone would
/// let requests that are received in part fill the memory of a small machine.
fn client_memory(limit: Option<u64>) -> Result<Option<u64>, ConfigError> {
    let Some(mebibytes) = limit else {
        return Ok(None);
    };
    let bytes =
        mebibytes.saturating_mul(MEBIBYTE) / CLIENT_MEMORY_DENOMINATOR * CLIENT_MEMORY_NUMERATOR;
    if bytes < HTTP1_CONNECTION_BYTES {
        return Err(ConfigError::LimitTooSmall { field: "memory_mb" });
    }
    Ok(Some(bytes))
}
