//! Entries and updates of the endpoint list.

use super::{Ms, NodeId};

/// Whether a server accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// It accepts requests.
    Serving,
    /// It finishes the requests it has and accepts no others.
    Draining,
    /// It has been removed.
    Removed,
}

/// One server in the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server.
    pub node: NodeId,
    /// Its cell.
    pub cell: usize,
    /// Its state.
    pub state: ServingState,
    /// Index of its zone, where the list names zones.
    pub zone: Option<usize>,
    /// When its process last started; `None` if long ago.
    pub started: Option<Ms>,
}

/// Kind of an endpoint list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed entries only.
    Delta,
    /// The complete current list.
    Snapshot,
    /// The complete list as last written to disk, possibly out of date.
    Cached,
    /// A poll failed or the subscription broke; there are no entries.
    Failed,
}
