//! Endpoint lists: their declaration, and the updates that refer to a declared list.

use fanout_policy::api::{Endpoint, ListUpdate, NodeId, ServingState};
use serde::Deserialize;
use std::sync::Arc;
use wire_fields::{choice, objects, optional_number, optional_whole_number, text, whole_number};

/// The declaration of an endpoint list.
#[derive(Debug, Deserialize)]
pub(crate) struct DeclaredListWire {
    #[serde(rename = "Slot", deserialize_with = "whole_number")]
    slot: u64,
    #[serde(rename = "MembersList", deserialize_with = "objects")]
    endpoints: Vec<EndpointWire>,
}

impl DeclaredListWire {
    /// Returns the slot number by which updates refer to the list.
    pub(crate) fn slot(&self) -> u64 {
        self.slot
    }
}

impl From<DeclaredListWire> for Vec<Endpoint> {
    fn from(wire: DeclaredListWire) -> Self {
        wire.endpoints.into_iter().map(Endpoint::from).collect()
    }
}

/// An entry of an endpoint list.
#[derive(Debug, Deserialize)]
struct EndpointWire {
    #[serde(rename = "Mode", deserialize_with = "choice")]
    state: ServingStateWire,
    #[serde(rename = "Node", deserialize_with = "text")]
    node: Arc<str>,
    #[serde(
        rename = "Position",
        default,
        deserialize_with = "optional_whole_number"
    )]
    cell: Option<u64>,
    #[serde(rename = "Dc", default, deserialize_with = "optional_whole_number")]
    zone: Option<u64>,
    /// Time at which the server's process started. 0 or less means that it has been running for a
    /// long time, which counts as no start time.
    #[serde(rename = "StartTime", default, deserialize_with = "optional_number")]
    started_ms: Option<f64>,
}

impl From<EndpointWire> for Endpoint {
    fn from(wire: EndpointWire) -> Self {
        Endpoint {
            node: NodeId(wire.node),
            cell: wire.cell.unwrap_or(0) as usize,
            state: wire.state.into(),
            zone: wire.zone.map(|zone| zone as usize),
            started: wire.started_ms.filter(|time| *time > 0.0),
        }
    }
}

/// The state of a server in an endpoint list.
#[derive(Clone, Copy, Debug, Deserialize)]
enum ServingStateWire {
    #[serde(rename = "in_service")]
    Serving,
    #[serde(rename = "terminating")]
    Draining,
    #[serde(rename = "terminated")]
    Removed,
}

impl From<ServingStateWire> for ServingState {
    fn from(wire: ServingStateWire) -> Self {
        match wire {
            ServingStateWire::Serving => ServingState::Serving,
            ServingStateWire::Draining => ServingState::Draining,
            ServingStateWire::Removed => ServingState::Removed,
        }
    }
}

/// An update of an instance's endpoint list, without the list.
#[derive(Debug, Deserialize)]
pub(crate) struct ListUpdateWire {
    #[serde(rename = "Mode", deserialize_with = "choice")]
    update: ListUpdateKindWire,
}

/// The kind of an update: how the declared list relates to the instance's endpoint list.
#[derive(Clone, Copy, Debug, Deserialize)]
enum ListUpdateKindWire {
    /// The declared list contains only the entries that have changed.
    #[serde(rename = "diff")]
    Delta,
    /// The declared list is the complete current list.
    #[serde(rename = "snapshot")]
    Snapshot,
    /// The declared list is the complete list as last written to disk.
    #[serde(rename = "disk")]
    Cached,
    /// There is no declared list, because fetching one failed.
    #[serde(rename = "error")]
    Failed,
}

impl From<ListUpdateWire> for ListUpdate {
    fn from(wire: ListUpdateWire) -> Self {
        match wire.update {
            ListUpdateKindWire::Delta => ListUpdate::Delta,
            ListUpdateKindWire::Snapshot => ListUpdate::Snapshot,
            ListUpdateKindWire::Cached => ListUpdate::Cached,
            ListUpdateKindWire::Failed => ListUpdate::Failed,
        }
    }
}

/// The slot number of the declared list that an update refers to. A failed update has none.
#[derive(Debug, Deserialize)]
pub(crate) struct ListReferenceWire {
    #[serde(rename = "Slot", deserialize_with = "whole_number")]
    slot: u64,
}

impl From<ListReferenceWire> for u64 {
    fn from(wire: ListReferenceWire) -> Self {
        wire.slot
    }
}
