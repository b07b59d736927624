//! The endpoint list and the requests for it.

use serde::Serialize;

/// Path of the endpoint list.
pub(crate) const LIST_PATH: &str = "/api/targets";
/// Query parameter with the revision that the client knows.
pub(crate) const REVISION_PARAMETER: &str = "index";
/// Query parameter with the longest duration of a watch, in milliseconds.
pub(crate) const WATCH_PARAMETER: &str = "wait";

/// The endpoint list, or its changes after a revision.
#[derive(Debug, Serialize)]
pub(crate) struct EndpointListWire {
    #[serde(rename = "rev")]
    pub(crate) revision: u64,
    /// Whether the list is complete; it holds changes only otherwise.
    #[serde(rename = "all")]
    pub(crate) is_snapshot: bool,
    #[serde(rename = "targets")]
    pub(crate) endpoints: Vec<EndpointWire>,
}

/// A data server in the endpoint list.
#[derive(Debug, Serialize)]
pub(crate) struct EndpointWire {
    #[serde(rename = "uid")]
    pub(crate) name: String,
    #[serde(rename = "endpoint")]
    pub(crate) address: String,
    #[serde(rename = "az")]
    pub(crate) zone: &'static str,
    pub(crate) model: &'static str,
    #[serde(rename = "pod_group")]
    pub(crate) cell: usize,
    pub(crate) state: EndpointStateWire,
    #[serde(rename = "capacity_hint")]
    pub(crate) capacity: f64,
    /// When its process started, in Unix milliseconds.
    #[serde(rename = "boot_ms")]
    pub(crate) started_at_ms: u64,
}

/// The state of a data server.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) enum EndpointStateWire {
    #[serde(rename = "active")]
    Active,
    #[serde(rename = "leaving")]
    Draining,
}
