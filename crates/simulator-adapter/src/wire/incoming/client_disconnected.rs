//! The disconnect of a client.

use fanout_policy::api::{Event, QueryId};
use serde::Deserialize;
use std::sync::Arc;
use wire_fields::text;

/// The disconnect of the client of a query.
#[derive(Debug, Deserialize)]
pub(crate) struct ClientDisconnectedWire {
    #[serde(rename = "OpId", deserialize_with = "text")]
    query: Arc<str>,
}

impl From<ClientDisconnectedWire> for Event {
    fn from(wire: ClientDisconnectedWire) -> Self {
        Event::ClientDisconnected(QueryId(wire.query))
    }
}
