//! Tests of the division of descriptors and memory among the listeners.

use admission::resource_limits::{
    AllocationError, ClientResources, Http2Overrides, ListenerLimits, allocate,
};
use proptest::prelude::*;

const RESOURCES: ClientResources = ClientResources {
    descriptors: 600,
    memory_bytes: Some(115 << 20),
    http1_connection_bytes: 128 << 10,
};

#[test]
fn http1_gets_all_resources_without_an_http2_listener() {
    let limits = allocate(RESOURCES, None).unwrap();
    let expected = ListenerLimits {
        max_http1_connections: 600,
        http2: None,
    };
    assert_eq!(limits, expected);
}

#[test]
fn too_high_connection_limit_is_rejected_with_the_highest_possible_limit() {
    let overrides = Http2Overrides {
        max_connections: Some(100),
        ..Http2Overrides::default()
    };
    let error = allocate(RESOURCES, Some(overrides)).unwrap_err();
    assert!(matches!(
        error,
        AllocationError::TooManyConnections {
            requested: 100,
            fitting: 19,
            ..
        }
    ));
    assert_eq!(
        error.to_string(),
        "http2-connections 100 exceeds the limit of 19 connections: each may use 3047424 bytes, and 60293120 bytes \
         and 150 descriptors are available for HTTP/2"
    );
}

#[test]
fn settings_under_which_no_connection_fits_are_rejected_with_the_keywords_to_lower() {
    let overrides = Http2Overrides {
        max_streams: Some(65_536),
        ..Http2Overrides::default()
    };
    let error = allocate(RESOURCES, Some(overrides)).unwrap_err();
    assert!(matches!(error, AllocationError::ConnectionTooLarge { .. }));
    let text = error.to_string();
    let advice = ": lower http2-streams, http2-header-list or http2-connection-window";
    assert!(text.ends_with(advice), "{text}");
}

fn overrides() -> impl Strategy<Value = Http2Overrides> {
    let max_connections = prop::option::of(1usize..200);
    let max_streams = prop::option::of(1u32..2000);
    let connection_window = prop::option::of(65_536u32..1 << 24);
    let max_header_list = prop::option::of(1024u32..65_536);
    (
        max_connections,
        max_streams,
        connection_window,
        max_header_list,
    )
        .prop_map(
            |(max_connections, max_streams, connection_window, max_header_list)| Http2Overrides {
                max_connections,
                max_streams,
                connection_window,
                max_header_list,
            },
        )
}

proptest! {
    /// For any resources and any operator's settings that are accepted, both listeners together
    /// stay within the resources when each uses its limits in full.
    #[test]
    fn both_listeners_at_their_limits_fit_the_resources(
        descriptors in 4u64..5000, memory_bytes in prop::option::of(1u64 << 16..1 << 32), overrides in overrides(),
    ) {
        let resources = ClientResources { descriptors, memory_bytes, http1_connection_bytes: 128 << 10 };
        let Ok(limits) = allocate(resources, Some(overrides)) else {
            return Ok(());
        };
        let http1 = limits.max_http1_connections as u64;
        let http2 = limits.http2.expect("overrides for HTTP/2 were passed");
        let http2_connections = http2.max_connections as u64;
        prop_assert!(http1 + http2_connections <= descriptors);
        prop_assert!(http2_connections >= 1);
        let used = http1 * resources.http1_connection_bytes + http2_connections * http2.connection_bytes();
        prop_assert!(memory_bytes.is_none_or(|bytes| used <= bytes));
    }
}
