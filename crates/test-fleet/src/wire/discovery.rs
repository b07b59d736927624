//! Format of the endpoint list and of the requests for it.

use serde::Serialize;

/// Path of the endpoint list.
pub(crate) const LIST_PATH: &str = "/api/targets";
/// Query parameter that contains the revision of the client's endpoint list.
pub(crate) const REVISION_PARAMETER: &str = "index";
/// Query parameter that contains the maximum duration of a watch, in milliseconds.
pub(crate) const WATCH_PARAMETER: &str = "wait";

/// The endpoint list, or its changes after a revision.
#[derive(Debug, Serialize)]
pub(crate) struct EndpointListWire {
    #[serde(rename = "rev")]
    pub(crate) revision: u64,
    /// Whether the list is complete. If not, it contains only the changed endpoints.
    #[serde(rename = "all")]
    pub(crate) is_snapshot: bool,
    #[serde(rename = "targets")]
    pub(crate) endpoints: Vec<EndpointWire>,
}

/// Data server in the endpoint list.
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
    /// Time at which the server's process started, in milliseconds since the Unix epoch.
    #[serde(rename = "boot_ms")]
    pub(crate) started_at_ms: u64,
}

/// State of a data server.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) enum EndpointStateWire {
    #[serde(rename = "active")]
    Active,
    #[serde(rename = "leaving")]
    Draining,
}
