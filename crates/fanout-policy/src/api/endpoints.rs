//! Entries and updates of the endpoint list.

use super::{Ms, NodeId};

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// The server accepts requests.
    Serving,
    /// The server finishes the requests that it has received and accepts no new ones.
    Draining,
    /// The server has been removed from the list.
    Removed,
}

/// One server in the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the server.
    pub node: NodeId,
    /// Index of the cell that it belongs to, see [`Settings::cells`](super::Settings::cells).
    pub cell: usize,
    /// Its serving state.
    pub state: ServingState,
    /// Index of its zone; `None` if the list names no zones.
    pub zone: Option<usize>,
    /// Time of the last start of its process; `None` if the list states no recent start. It is
    /// used only until the warm-up after that start is over.
    pub started: Option<Ms>,
}

/// Kind of an endpoint list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The update contains only the entries that have changed.
    Delta,
    /// The update is the complete current list.
    Snapshot,
    /// The update is the complete list as last written to disk. It may be out of date.
    Cached,
    /// A poll failed or the subscription was interrupted. The update has no entries.
    Failed,
}
