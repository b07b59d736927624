//! The list of data servers: as discovery sends it, and as the policy takes it.

use serde::Deserialize;
use std::net::SocketAddr;

pub use fanout_policy::api::{NodeId, Outcome, ServingState};

/// A data server, as the policy takes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerInfo {
    /// Name of the server.
    pub name: NodeId,
    /// Index of the server's cell.
    pub cell: usize,
    /// Whether the server may be sent parts.
    pub state: ServingState,
    /// Index of the server's zone; `None` where the configuration does not name it.
    pub zone: Option<usize>,
    /// Time at which the server's process started, in microseconds on the program's clock, negative before its origin;
    /// `None` where that is long ago.
    pub started_at: Option<i64>,
}

/// What the entries of an endpoint list are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All servers, as they were last known; perhaps outdated.
    Cached,
    /// All servers.
    Snapshot,
    /// The servers that have changed.
    Delta,
}

/// The list of data servers or its changes, as discovery sends it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Revision of the list.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether the entries are all servers, or only those that have changed.
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    /// The data servers.
    #[serde(rename = "targets")]
    pub endpoints: Vec<Endpoint>,
}

/// An entry of an [`EndpointList`].
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    /// Name of the server.
    #[serde(rename = "uid")]
    pub name: String,
    /// Address for connections from this broker; a removed server may have none.
    #[serde(rename = "endpoint")]
    pub address: Option<SocketAddr>,
    /// Name of the server's zone.
    #[serde(default, rename = "az")]
    pub zone: String,
    /// Index of the server's cell.
    #[serde(default, rename = "pod_group")]
    pub cell: usize,
    /// State of the server.
    pub state: EndpointState,
    /// Time at which the server's process started, in Unix milliseconds; 0 where that is long ago.
    #[serde(default, rename = "boot_ms")]
    pub started_unix_ms: f64,
}

/// State of a data server in an [`EndpointList`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// The server takes parts.
    Active,
    /// The server finishes the parts it has and takes no others.
    #[serde(rename = "leaving")]
    Draining,
    /// The server has been removed.
    #[serde(rename = "left")]
    Removed,
}

impl EndpointList {
    /// What the entries are to the policy.
    #[must_use]
    pub fn scope(&self) -> ListScope {
        if self.is_snapshot {
            ListScope::Snapshot
        } else {
            ListScope::Delta
        }
    }

    /// The entries as the policy takes them. `zones` are the configured names of the zones; `from_unix_ms` converts
    /// Unix time in milliseconds to the program's clock.
    pub fn servers(&self, zones: &[String], from_unix_ms: impl Fn(i64) -> i64) -> Vec<ServerInfo> {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.server(zones, &from_unix_ms))
            .collect()
    }
}

impl Endpoint {
    fn server(&self, zones: &[String], from_unix_ms: impl Fn(i64) -> i64) -> ServerInfo {
        let has_start_time = self.started_unix_ms > 0.0;
        ServerInfo {
            name: NodeId(self.name.as_str().into()),
            cell: self.cell,
            state: self.state.into(),
            zone: zones.iter().position(|zone| *zone == self.zone),
            started_at: has_start_time.then(|| from_unix_ms(self.started_unix_ms as i64)),
        }
    }
}

impl From<EndpointState> for ServingState {
    fn from(state: EndpointState) -> Self {
        match state {
            EndpointState::Active => ServingState::Serving,
            EndpointState::Draining => ServingState::Draining,
            EndpointState::Removed => ServingState::Removed,
        }
    }
}
