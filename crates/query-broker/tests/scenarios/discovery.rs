//! Discovery's side of the protocol: the requests that it expects and the responses that it sends.

use crate::connection::Connection;
use crate::script::{EndpointState, EndpointUpdate};
use serde_json::{Value, json};
use std::net::SocketAddr;

impl EndpointState {
    /// Returns the value of `state` in discovery's responses.
    fn wire_name(self) -> &'static str {
        match self {
            EndpointState::Active => "active",
            EndpointState::Draining => "leaving",
            EndpointState::Removed => "left",
        }
    }
}

/// Returns a data server's entry on the endpoint list.
pub(crate) fn endpoint_entry(server: usize, address: SocketAddr, state: EndpointState) -> Value {
    json!({"uid": format!("s{server}"), "endpoint": address.to_string(), "az": "z", "model": "m", "pod_group": 0,
        "state": state.wire_name(), "capacity_hint": 1.0, "boot_ms": 0})
}

/// Returns the response with an update of the endpoint list.
pub(crate) fn update_response(update: &EndpointUpdate, addresses: &[SocketAddr]) -> String {
    let endpoints = update.endpoints.iter();
    let targets: Vec<Value> = endpoints
        .map(|endpoint| endpoint_entry(endpoint.server, addresses[endpoint.server], endpoint.state))
        .collect();
    let body =
        json!({"rev": update.revision, "all": update.is_full, "targets": targets}).to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Waits for a request for the changes since a revision.
pub(crate) fn expect_watch(connection: &mut Connection, revision: u64) {
    let request = connection.read_http_message();
    let start = format!("GET /api/targets?index={revision}&wait=");
    assert!(
        request.starts_with(&start),
        "expected a watch from revision {revision}, found {request}"
    );
}

/// Waits for a request for the full list.
pub(crate) fn expect_full_list(connection: &mut Connection) {
    let request = connection.read_http_message();
    assert!(
        request.starts_with("GET /api/targets"),
        "expected a request for the full list, found {request}"
    );
    assert!(
        !request.contains('?'),
        "expected a request for the full list, found {request}"
    );
}
