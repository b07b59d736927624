//! The JSON format of the endpoint list. Only this module contains the names of its fields.
//!
//! Each struct has the same name as the type into which it is converted, because deserialization
//! errors, which operators see in the log, contain the name of the struct.

use super::ServingState;
use serde::Deserialize;
use std::net::SocketAddr;

/// The list of data servers, or the changes to it.
#[derive(Debug, Deserialize)]
pub(super) struct EndpointList {
    #[serde(rename = "rev")]
    revision: u64,
    #[serde(rename = "all")]
    is_snapshot: bool,
    #[serde(rename = "targets")]
    endpoints: Vec<Endpoint>,
}

/// An entry of the list.
#[derive(Debug, Deserialize)]
struct Endpoint {
    #[serde(rename = "uid")]
    name: String,
    #[serde(rename = "endpoint")]
    address: Option<SocketAddr>,
    #[serde(default, rename = "az")]
    zone: String,
    #[serde(default, rename = "pod_group")]
    cell: usize,
    #[serde(rename = "state")]
    state: EndpointState,
    /// Unix time in milliseconds at which the server's process started. Zero or negative if the
    /// list contains no start time, which means that the process started long ago.
    #[serde(default, rename = "boot_ms")]
    started_unix_ms: f64,
}

/// State of a data server.
#[derive(Clone, Copy, Debug, Deserialize)]
enum EndpointState {
    #[serde(rename = "active")]
    Active,
    #[serde(rename = "leaving")]
    Draining,
    #[serde(rename = "left")]
    Removed,
}

impl From<EndpointList> for super::EndpointList {
    fn from(wire: EndpointList) -> Self {
        super::EndpointList {
            revision: wire.revision,
            is_snapshot: wire.is_snapshot,
            endpoints: wire
                .endpoints
                .into_iter()
                .map(super::Endpoint::from)
                .collect(),
        }
    }
}

impl From<Endpoint> for super::Endpoint {
    fn from(wire: Endpoint) -> Self {
        let has_start_time = wire.started_unix_ms > 0.0;
        super::Endpoint {
            name: wire.name,
            address: wire.address,
            zone: wire.zone,
            cell: wire.cell,
            state: wire.state.into(),
            started_unix_ms: has_start_time.then_some(wire.started_unix_ms as i64),
        }
    }
}

impl From<EndpointState> for ServingState {
    fn from(wire: EndpointState) -> Self {
        match wire {
            EndpointState::Active => ServingState::Serving,
            EndpointState::Draining => ServingState::Draining,
            EndpointState::Removed => ServingState::Removed,
        }
    }
}
