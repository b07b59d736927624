//! The list of data servers, as discovery sends it and in the form that the policy engine takes.

mod wire;

use crate::time::SignedTimestamp;
use serde::Deserialize;
use std::net::SocketAddr;

pub use fanout_policy::api::{NodeId, Outcome, ServingState};

/// A data server, in the form that the policy engine takes.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerInfo {
    /// Name of the server.
    pub name: NodeId,
    /// Index of the server's cell.
    pub cell: usize,
    /// Whether the server accepts requests.
    pub state: ServingState,
    /// Index of the server's zone among the configured zones; `None` if the endpoint list names no
    /// zone for the server, or one that the configuration does not contain.
    pub zone: Option<usize>,
    /// Time at which the server's process started; `None` if the list contains no start time, or
    /// one that is not positive, which means that the process started long ago.
    pub started_at: Option<SignedTimestamp>,
}

/// Which servers an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All servers, from a stored copy of the list, which may be out of date.
    Cached,
    /// All servers, up to date.
    Snapshot,
    /// Only the servers that have changed.
    Delta,
}

/// The list of data servers, or the changes to it, from discovery or from the configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(from = "wire::EndpointList")]
pub struct EndpointList {
    /// Revision of the list.
    pub revision: u64,
    /// `true` if the entries are all servers; `false` if they are only the servers that have
    /// changed.
    pub is_snapshot: bool,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}

/// An entry of an [`EndpointList`].
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the server.
    pub name: String,
    /// Address to which the broker connects; `None` if the entry contains no address, which is
    /// accepted in every state of the server. The broker sends no attempts to a server without one.
    pub address: Option<SocketAddr>,
    /// Name of the server's zone.
    pub zone: String,
    /// Index of the server's cell.
    pub cell: usize,
    /// Whether the server accepts requests.
    pub state: ServingState,
    /// Unix time in milliseconds at which the server's process started; `None` if the list contains
    /// no start time, or one that is not positive, which means that the process started long ago.
    pub started_unix_ms: Option<i64>,
}

impl EndpointList {
    /// Returns which servers the list contains, in the form that the policy engine takes. The
    /// result is never [`ListScope::Cached`]: the list does not show whether it is a stored copy,
    /// so a caller that reads a stored copy passes that scope itself.
    #[must_use]
    pub fn scope(&self) -> ListScope {
        if self.is_snapshot {
            ListScope::Snapshot
        } else {
            ListScope::Delta
        }
    }

    /// Converts the entries to the form that the policy engine takes. `zones` are the configured
    /// names of the zones, in the order of their indices. `from_unix_ms` converts a Unix time in
    /// milliseconds to the program's clock.
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
