//! The list of data servers: as discovery sends it, and as the policy takes it.

mod wire;

use crate::time::SignedTimestamp;
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
    /// Time at which the server's process started; `None` where that is long ago.
    pub started_at: Option<SignedTimestamp>,
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

/// The list of data servers or its changes, from discovery or from the configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(from = "wire::EndpointList")]
pub struct EndpointList {
    /// Revision of the list.
    pub revision: u64,
    /// Whether the entries are all servers, or only those that have changed.
    pub is_snapshot: bool,
    /// The data servers.
    pub endpoints: Vec<Endpoint>,
}

/// An entry of an [`EndpointList`].
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the server.
    pub name: String,
    /// Address for connections from this broker; a removed server may have none.
    pub address: Option<SocketAddr>,
    /// Name of the server's zone.
    pub zone: String,
    /// Index of the server's cell.
    pub cell: usize,
    /// Whether the server may be sent parts.
    pub state: ServingState,
    /// Time at which the server's process started, in Unix milliseconds; `None` where that is long
    /// ago.
    pub started_unix_ms: Option<i64>,
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

    /// The entries as the policy takes them. `zones` are the configured names of the zones;
    /// `from_unix_ms` converts Unix time in milliseconds to the program's clock.
    pub fn servers(
        &self,
        zones: &[String],
        from_unix_ms: impl Fn(i64) -> SignedTimestamp,
    ) -> Vec<ServerInfo> {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.server(zones, &from_unix_ms))
            .collect()
    }
}

impl Endpoint {
    fn server(
        &self,
        zones: &[String],
        from_unix_ms: impl Fn(i64) -> SignedTimestamp,
    ) -> ServerInfo {
        ServerInfo {
            name: NodeId(self.name.as_str().into()),
            cell: self.cell,
            state: self.state,
            zone: zones.iter().position(|zone| *zone == self.zone),
            started_at: self.started_unix_ms.map(from_unix_ms),
        }
    }
}
