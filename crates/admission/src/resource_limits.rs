//! Limits of the listeners, derived from the file descriptors and the memory that are available for
//! client connections.

use thiserror::Error;

/// The HTTP/2 listener, if there is one, gets the memory for client connections divided by this
/// number.
const HTTP2_MEMORY_DIVISOR: u64 = 2;
/// The HTTP/2 listener, if there is one, gets the descriptors for client connections divided by
/// this number. Its share of the descriptors is smaller than its share of the memory, because it
/// needs few connections, but one HTTP/2 connection may use as much memory as many HTTP/1.1
/// connections.
const HTTP2_DESCRIPTOR_DIVISOR: u64 = 4;

/// Memory in bytes that an HTTP/2 stream uses in addition to its header list and to the data that
/// the connection's flow-control window bounds: its task and its table entries.
const STREAM_OVERHEAD_BYTES: u64 = 4 * 1024;
/// Memory in bytes that an HTTP/2 connection uses in addition to its streams and its flow-control
/// window: its tables for header compression, and its read and write buffers.
const CONNECTION_OVERHEAD_BYTES: u64 = 64 * 1024;

/// Default for [`Http2Overrides::max_streams`]. RFC 9113, section 6.5.2, recommends at least 100.
const DEFAULT_MAX_STREAMS: u32 = 200;
/// Default for [`Http2Overrides::connection_window`], in bytes. Several request bodies of the
/// maximum length fit into it.
const DEFAULT_CONNECTION_WINDOW_BYTES: u32 = 512 * 1024;
/// Default for [`Http2Overrides::max_header_list`], in bytes.
const DEFAULT_MAX_HEADER_LIST_BYTES: u32 = 8 * 1024;

/// The resources that the platform assigns to client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientResources {
    /// Number of file descriptors; each connection takes one. At least 1 if there is an HTTP/2
    /// listener, which always gets one.
    pub descriptors: u64,
    /// Memory in bytes; `None` if only the descriptors limit the number of connections.
    pub memory_bytes: Option<u64>,
    /// Maximum memory that an HTTP/1.1 connection uses, in bytes.
    pub http1_connection_bytes: u64,
}

impl ClientResources {
    fn memory_or_unlimited(&self) -> u64 {
        self.memory_bytes.unwrap_or(u64::MAX)
    }

    /// Returns the maximum number of HTTP/1.1 connections for which the resources suffice.
    fn fitting_http1_connections(&self) -> usize {
        let by_memory = self.memory_or_unlimited() / self.http1_connection_bytes.max(1);
        self.descriptors.min(by_memory) as usize
    }

    /// Returns the resources that remain when the HTTP/2 listener uses its limits in full.
    fn remaining_after(&self, http2: &Http2Limits) -> ClientResources {
        let connections = http2.max_connections as u64;
        let used_bytes = connections * http2.connection_bytes();
        ClientResources {
            descriptors: self.descriptors - connections,
            memory_bytes: self.memory_bytes.map(|bytes| bytes - used_bytes),
            ..*self
        }
    }
}

/// The operator's settings for the HTTP/2 listener. A setting that is `None` takes its default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Http2Overrides {
    /// Maximum number of connections. Default: as many as the resources allow.
    pub max_connections: Option<usize>,
    /// Maximum number of concurrent streams of a connection.
    pub max_streams: Option<u32>,
    /// Flow-control window of a connection, in bytes.
    pub connection_window: Option<u32>,
    /// Maximum size of a request's header list, in bytes.
    pub max_header_list: Option<u32>,
}

/// The limits of the HTTP/2 listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Http2Limits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum number of concurrent streams of a connection.
    pub max_streams: u32,
    /// Flow-control window of a connection, in bytes.
    pub connection_window: u32,
    /// Maximum size of a request's header list, in bytes.
    pub max_header_list: u32,
}

impl Http2Limits {
    /// Returns the maximum memory that one connection uses, in bytes: its flow-control window, all
    /// its streams and the overhead of the connection itself.
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
    /// Maximum number of HTTP/1.1 connections.
    pub max_http1_connections: usize,
    /// Limits of the HTTP/2 listener; `None` if there is no such listener.
    pub http2: Option<Http2Limits>,
}

/// The limits of the HTTP/2 listener, which the operator sets or which are defaults, need more
/// resources than are available to that listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AllocationError {
    /// The memory of the HTTP/2 listener does not suffice for a single connection.
    #[error(
        "an HTTP/2 connection may use {connection_bytes} bytes, but only {available_bytes} bytes are available for \
         all HTTP/2 connections together: lower http2-streams, http2-header-list or http2-connection-window"
    )]
    ConnectionTooLarge {
        /// Maximum memory that one connection uses with these settings, in bytes.
        connection_bytes: u64,
        /// Memory that is available to the HTTP/2 listener, in bytes.
        available_bytes: u64,
    },
    /// The operator's maximum number of connections exceeds the number for which the resources
    /// suffice.
    #[error(
        "http2-connections {requested} exceeds the limit of {fitting} connections: each may use {connection_bytes} \
         bytes, and {available_bytes} bytes and {available_descriptors} descriptors are available for HTTP/2"
    )]
    TooManyConnections {
        /// Maximum number of connections that the operator has set.
        requested: usize,
        /// Number of connections for which the resources suffice.
        fitting: usize,
        /// Maximum memory that one connection uses with these settings, in bytes.
        connection_bytes: u64,
        /// Memory that is available to the HTTP/2 listener, in bytes.
        available_bytes: u64,
        /// Number of descriptors that are available to the HTTP/2 listener.
        available_descriptors: u64,
    },
}

/// Divides the resources among the listeners; `http2` is `None` if there is no HTTP/2 listener.
/// The HTTP/1.1 listener gets all resources that the HTTP/2 listener does not use at its limits.
///
/// # Errors
///
/// Returns an [`AllocationError`] if the operator's settings for HTTP/2, or the defaults in their
/// place, need more resources than are available to the HTTP/2 listener.
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
        max_http1_connections: resources
            .remaining_after(&http2)
            .fitting_http1_connections(),
        http2: Some(http2),
    })
}

fn allocate_http2(
    resources: &ClientResources,
    overrides: Http2Overrides,
) -> Result<Http2Limits, AllocationError> {
    let available_bytes = resources.memory_or_unlimited() / HTTP2_MEMORY_DIVISOR;
    // With fewer than `HTTP2_DESCRIPTOR_DIVISOR` descriptors the quotient is 0. The listener gets
    // one all the same, so that only a lack of memory leads to `ConnectionTooLarge`.
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
