//! How much each front may hold.

/// Share of the clients' memory and descriptors that the HTTP/2 front gets where there is one: it needs few
/// descriptors, but a connection of it may hold as much as many of HTTP/1.1.
const HTTP2_MEMORY: (u64, u64) = (1, 2);
const HTTP2_SOCKETS: (u64, u64) = (1, 4);
/// What a stream holds beside its header list and its share of the connection's window: its task, its tables.
pub const STREAM_OVERHEAD_BYTES: u64 = 4 * 1024;
/// What a connection holds beside its streams: its tables for header compression, and buffers both ways.
pub const CONNECTION_OVERHEAD_BYTES: u64 = 64 * 1024;

/// Most streams of a connection, where the operator says nothing (RFC 9113, section 6.5.2, asks for 100 at least).
pub const DEFAULT_MAX_STREAMS: u32 = 200;
/// Window of a connection, likewise: several of the longest bodies.
pub const DEFAULT_CONNECTION_WINDOW: u32 = 512 * 1024;
/// Longest header list, likewise.
pub const DEFAULT_MAX_HEADER_LIST: u32 = 8 * 1024;

/// What the platform gives to clients' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientResources {
    /// Most descriptors.
    pub descriptors: u64,
    /// Most memory in bytes; `None`: as much as the descriptors ask for.
    pub memory_bytes: Option<u64>,
    /// What an HTTP/1.1 connection holds at the most, in bytes.
    pub http1_connection_bytes: u64,
}

/// What an operator asks of the HTTP/2 front; `None`: derived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Http2Overrides {
    /// Most connections.
    pub max_connections: Option<usize>,
    /// Most streams of a connection.
    pub max_streams: Option<u32>,
    /// Window of a connection, in bytes.
    pub connection_window: Option<u32>,
    /// Longest header list, in bytes.
    pub max_header_list: Option<u32>,
}

/// What the HTTP/2 front may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Http2Limits {
    /// Most connections.
    pub max_connections: usize,
    /// Most streams of a connection.
    pub max_streams: u32,
    /// Window of a connection, in bytes.
    pub connection_window: u32,
    /// Longest header list, in bytes.
    pub max_header_list: u32,
}

impl Http2Limits {
    /// The most that a connection holds, in bytes.
    #[must_use]
    pub fn connection_bytes(&self) -> u64 {
        u64::from(self.connection_window)
            + u64::from(self.max_streams)
                * (u64::from(self.max_header_list) + STREAM_OVERHEAD_BYTES)
            + CONNECTION_OVERHEAD_BYTES
    }
}

/// What both fronts may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Most HTTP/1.1 connections.
    pub max_http1_connections: usize,
    /// The HTTP/2 front, if there is one.
    pub http2: Option<Http2Limits>,
}

/// Divides what is given. The error says what to do about it.
pub fn allocate(
    given: ClientResources,
    http2: Option<Http2Overrides>,
) -> Result<ListenerLimits, String> {
    let memory_bytes = given.memory_bytes.unwrap_or(u64::MAX);
    let http1 = |descriptors: u64, memory_bytes: u64| {
        descriptors.min(memory_bytes / given.http1_connection_bytes.max(1)) as usize
    };
    let Some(asked) = http2 else {
        return Ok(ListenerLimits {
            max_http1_connections: http1(given.descriptors, memory_bytes),
            http2: None,
        });
    };
    let share = memory_bytes / HTTP2_MEMORY.1 * HTTP2_MEMORY.0;
    let descriptors = (given.descriptors / HTTP2_SOCKETS.1 * HTTP2_SOCKETS.0).max(1);
    let mut front = Http2Limits {
        max_connections: 0,
        max_streams: asked.max_streams.unwrap_or(DEFAULT_MAX_STREAMS),
        connection_window: asked.connection_window.unwrap_or(DEFAULT_CONNECTION_WINDOW),
        max_header_list: asked.max_header_list.unwrap_or(DEFAULT_MAX_HEADER_LIST),
    };
    let fit = (share / front.connection_bytes()).min(descriptors) as usize;
    front.max_connections = asked.max_connections.unwrap_or(fit);
    if fit == 0 {
        return Err(format!(
            "a connection may hold {} bytes, but {share} are there for all: lower http2-streams, http2-header-list or \
             http2-connection-window",
            front.connection_bytes()
        ));
    }
    if front.max_connections > fit {
        return Err(format!(
            "http2-connections {} do not fit: {fit} do, with {} bytes each of {share} and {descriptors} descriptors",
            front.max_connections,
            front.connection_bytes()
        ));
    }
    // What HTTP/2 leaves is HTTP/1.1's.
    let used = if given.memory_bytes.is_some() {
        front.max_connections as u64 * front.connection_bytes()
    } else {
        0
    };
    let max_http1_connections = http1(
        given.descriptors - front.max_connections as u64,
        memory_bytes - used,
    );
    Ok(ListenerLimits {
        max_http1_connections,
        http2: Some(front),
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const GIVEN: ClientResources = ClientResources {
        descriptors: 600,
        memory_bytes: Some(115 << 20),
        http1_connection_bytes: 128 << 10,
    };

    #[test]
    fn without_http2_all_is_left_to_http1() {
        let fronts = allocate(GIVEN, None).unwrap();
        assert_eq!(
            fronts,
            ListenerLimits {
                max_http1_connections: 600,
                http2: None
            }
        );
    }

    #[test]
    fn what_does_not_fit_is_refused_with_the_figure_that_would() {
        let error = allocate(
            GIVEN,
            Some(Http2Overrides {
                max_connections: Some(100),
                ..Http2Overrides::default()
            }),
        )
        .unwrap_err();
        assert!(
            error.contains("http2-connections 100 do not fit: 19 do"),
            "{error}"
        );
        let huge = Http2Overrides {
            max_streams: Some(65_536),
            ..Http2Overrides::default()
        };
        assert!(
            allocate(GIVEN, Some(huge))
                .unwrap_err()
                .contains("lower http2-streams")
        );
    }

    proptest! {
        /// Whatever is given and asked, both fronts at their fullest stay within what is given.
        #[test]
        fn both_fronts_fit(
            descriptors in 4u64..5000, memory_bytes in prop::option::of(1u64 << 16..1 << 32),
            max_connections in prop::option::of(1usize..200), max_streams in prop::option::of(1u32..2000),
            window in prop::option::of(65_536u32..1 << 24), max_header_list in prop::option::of(1024u32..65_536),
        ) {
            let given = ClientResources { descriptors, memory_bytes, http1_connection_bytes: 128 << 10 };
            let asked = Http2Overrides { max_connections, max_streams, connection_window: window, max_header_list };
            if let Ok(ListenerLimits { max_http1_connections, http2: Some(h2) }) = allocate(given, Some(asked)) {
                prop_assert!((max_http1_connections + h2.max_connections) as u64 <= descriptors);
                prop_assert!(h2.max_connections >= 1);
                let holds = max_http1_connections as u64 * given.http1_connection_bytes + h2.max_connections as u64 * h2.connection_bytes();
                prop_assert!(memory_bytes.is_none_or(|m| holds <= m));
            }
        }
    }
}
