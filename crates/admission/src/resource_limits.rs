//! Limits of the listeners, derived from the descriptors and the memory for client connections.

use thiserror::Error;

/// Where there is an HTTP/2 listener, it gets one part in so many of the memory for client
/// connections.
const HTTP2_MEMORY_DIVISOR: u64 = 2;
/// Likewise for descriptors: HTTP/2 needs few, but one of its connections may use as much memory as
/// many of HTTP/1.1.
const HTTP2_DESCRIPTOR_DIVISOR: u64 = 4;

/// Memory in bytes that an HTTP/2 stream uses beside its header list and its share of the
/// connection's window: its task and its table entries.
const STREAM_OVERHEAD_BYTES: u64 = 4 * 1024;
/// Memory in bytes that an HTTP/2 connection uses beside its streams: its tables for header
/// compression, and its read and write buffers.
const CONNECTION_OVERHEAD_BYTES: u64 = 64 * 1024;

/// Default for [`Http2Overrides::max_streams`]. RFC 9113, section 6.5.2, asks for at least 100.
const DEFAULT_MAX_STREAMS: u32 = 200;
/// Default for [`Http2Overrides::connection_window`], in bytes: several of the longest bodies.
const DEFAULT_CONNECTION_WINDOW_BYTES: u32 = 512 * 1024;
/// Default for [`Http2Overrides::max_header_list`], in bytes.
const DEFAULT_MAX_HEADER_LIST_BYTES: u32 = 8 * 1024;

/// What the platform gives to client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientResources {
    /// Number of descriptors.
    pub descriptors: u64,
    /// Memory in bytes; `None` where only the descriptors limit the connections.
    pub memory_bytes: Option<u64>,
    /// The most memory that an HTTP/1.1 connection uses, in bytes.
    pub http1_connection_bytes: u64,
}

impl ClientResources {
    fn memory_or_unlimited(&self) -> u64 {
        self.memory_bytes.unwrap_or(u64::MAX)
    }

    /// Number of HTTP/1.1 connections that the resources suffice for.
    fn fitting_http1_connections(&self) -> usize {
        let by_memory = self.memory_or_unlimited() / self.http1_connection_bytes.max(1);
        self.descriptors.min(by_memory) as usize
    }

    /// What the HTTP/2 listener leaves over.
    fn without(&self, http2: &Http2Limits) -> ClientResources {
        let connections = http2.max_connections as u64;
        let used_bytes = connections * http2.connection_bytes();
        ClientResources {
            descriptors: self.descriptors - connections,
            memory_bytes: self.memory_bytes.map(|bytes| bytes - used_bytes),
            ..*self
        }
    }
}

/// The operator's settings for the HTTP/2 listener; each that is `None` takes its default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Http2Overrides {
    /// Limit of connections. Default: as many as fit.
    pub max_connections: Option<usize>,
    /// Limit of concurrent streams of a connection.
    pub max_streams: Option<u32>,
    /// Flow-control window of a connection, in bytes.
    pub connection_window: Option<u32>,
    /// Longest header list of a request, in bytes.
    pub max_header_list: Option<u32>,
}

/// The limits of the HTTP/2 listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Http2Limits {
    /// Limit of connections.
    pub max_connections: usize,
    /// Limit of concurrent streams of a connection.
    pub max_streams: u32,
    /// Flow-control window of a connection, in bytes.
    pub connection_window: u32,
    /// Longest header list of a request, in bytes.
    pub max_header_list: u32,
}

impl Http2Limits {
    /// The most memory that a connection uses, in bytes.
    #[must_use]
    pub fn connection_bytes(&self) -> u64 {
        let stream_bytes = u64::from(self.max_header_list) + STREAM_OVERHEAD_BYTES;
        u64::from(self.connection_window)
            + u64::from(self.max_streams) * stream_bytes
            + CONNECTION_OVERHEAD_BYTES
    }
}

/// The limits of both listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Limit of HTTP/1.1 connections.
    pub max_http1_connections: usize,
    /// Limits of the HTTP/2 listener; `None` where there is none.
    pub http2: Option<Http2Limits>,
}

/// The operator's settings for HTTP/2 need more than the platform gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AllocationError {
    /// Not even one connection fits.
    #[error(
        "a connection may use {connection_bytes} bytes, but only {available_bytes} are available for all: lower \
         http2-streams, http2-header-list or http2-connection-window"
    )]
    ConnectionTooLarge {
        /// The most memory that a connection uses with these settings, in bytes.
        connection_bytes: u64,
        /// Memory of the HTTP/2 listener, in bytes.
        available_bytes: u64,
    },
    /// The limit of connections is too high.
    #[error(
        "http2-connections {requested} exceeds the limit of {fitting} connections, with {connection_bytes} bytes each \
         of {available_bytes} and {available_descriptors} descriptors"
    )]
    TooManyConnections {
        /// The limit that the operator set.
        requested: usize,
        /// Number of connections that fit.
        fitting: usize,
        /// The most memory that a connection uses with these settings, in bytes.
        connection_bytes: u64,
        /// Memory of the HTTP/2 listener, in bytes.
        available_bytes: u64,
        /// Descriptors of the HTTP/2 listener.
        available_descriptors: u64,
    },
}

/// Divides the resources among the listeners; `http2` is `None` where there is no HTTP/2 listener.
/// HTTP/1.1 gets what HTTP/2 leaves over.
///
/// # Errors
///
/// [`AllocationError`] where the operator's settings for HTTP/2 do not fit.
pub fn allocate(
    resources: ClientResources,
    http2: Option<Http2Overrides>,
) -> Result<ListenerLimits, AllocationError> {
    let Some(overrides) = http2 else {
        return Ok(ListenerLimits {
            max_http1_connections: resources.fitting_http1_connections(),
            http2: None,
        });
    };
    let http2 = allocate_http2(&resources, overrides)?;
    Ok(ListenerLimits {
        max_http1_connections: resources.without(&http2).fitting_http1_connections(),
        http2: Some(http2),
    })
}

fn allocate_http2(
    resources: &ClientResources,
    overrides: Http2Overrides,
) -> Result<Http2Limits, AllocationError> {
    let available_bytes = resources.memory_or_unlimited() / HTTP2_MEMORY_DIVISOR;
    let available_descriptors = (resources.descriptors / HTTP2_DESCRIPTOR_DIVISOR).max(1);
    let mut limits = Http2Limits {
        max_connections: 0,
        max_streams: overrides.max_streams.unwrap_or(DEFAULT_MAX_STREAMS),
        connection_window: overrides
            .connection_window
            .unwrap_or(DEFAULT_CONNECTION_WINDOW_BYTES),
        max_header_list: overrides
            .max_header_list
            .unwrap_or(DEFAULT_MAX_HEADER_LIST_BYTES),
    };
    let connection_bytes = limits.connection_bytes();
    let fitting = (available_bytes / connection_bytes).min(available_descriptors) as usize;
    if fitting == 0 {
        return Err(AllocationError::ConnectionTooLarge {
            connection_bytes,
            available_bytes,
        });
    }
    let requested = overrides.max_connections.unwrap_or(fitting);
    if requested > fitting {
        return Err(AllocationError::TooManyConnections {
            requested,
            fitting,
            connection_bytes,
            available_bytes,
            available_descriptors,
        });
    }
    limits.max_connections = requested;
    Ok(limits)
}
