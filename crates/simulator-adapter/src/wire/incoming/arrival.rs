//! The arrival of queries and of their parts.

use fanout_policy::api::{ClassIndex, Part, PartId, Query, QueryId, TenantIndex};
use serde::Deserialize;
use std::sync::Arc;
use wire_fields::{flag, number, optional_number, optional_whole_number, text, whole_number};

/// The fields that the arrivals of queries and of parts have in common.
#[derive(Debug, Deserialize)]
pub(crate) struct ArrivalWire {
    #[serde(rename = "Service", deserialize_with = "whole_number")]
    class: u64,
    /// Index of the shard for a part, below 0 for a query.
    #[serde(rename = "Slice", deserialize_with = "number")]
    shard: f64,
    /// Number that a query and its parts have in common.
    #[serde(rename = "GroupNo", deserialize_with = "whole_number")]
    group: u64,
}

impl ArrivalWire {
    /// Returns the class of the query.
    pub(crate) fn class(&self) -> ClassIndex {
        ClassIndex(self.class as usize)
    }

    /// Returns whether the message is the arrival of a query rather than of a part.
    pub(crate) fn is_query(&self) -> bool {
        self.shard < 0.0
    }
}

/// The arrival of a query.
#[derive(Debug, Deserialize)]
pub(crate) struct QueryWire {
    #[serde(rename = "OpId", deserialize_with = "text")]
    id: Arc<str>,
    #[serde(rename = "Team", default, deserialize_with = "optional_whole_number")]
    tenant: Option<u64>,
    /// Simulated time at which the client stops waiting for an answer.
    #[serde(rename = "GiveUpAt", deserialize_with = "number")]
    client_deadline_ms: f64,
    /// Whether the client marked the query as a retry.
    #[serde(rename = "AgainByClient", default, deserialize_with = "flag")]
    is_retry: bool,
}

impl QueryWire {
    /// Returns the query that arrives. `arrival` holds the other fields of the same message.
    pub(crate) fn query(self, arrival: &ArrivalWire) -> Query {
        Query {
            id: QueryId(self.id),
            group: arrival.group,
            class: arrival.class(),
            tenant: TenantIndex(self.tenant.unwrap_or(0) as usize),
            client_deadline: self.client_deadline_ms,
            // Queries arrive at the time of their batch.
            waited: 0.0,
            is_retry: self.is_retry,
        }
    }
}

/// The arrival of a part of a query.
#[derive(Debug, Deserialize)]
pub(crate) struct PartWire {
    #[serde(rename = "OpId", deserialize_with = "text")]
    id: Arc<str>,
    #[serde(rename = "Slice", deserialize_with = "whole_number")]
    shard: u64,
    /// Weight of the part in the answer, as a share of the total weight of the parts of the same
    /// step. The parts that arrive after the first answer to a query form its second step.
    #[serde(rename = "Measure", deserialize_with = "number")]
    weight: f64,
    /// Approximate work of the part.
    #[serde(rename = "Effort", default, deserialize_with = "optional_number")]
    cost_hint_ms: Option<f64>,
}

impl PartWire {
    /// Returns the part that arrives. `arrival` holds the other fields of the same message.
    pub(crate) fn part(self, arrival: &ArrivalWire) -> Part {
        Part {
            id: PartId(self.id),
            group: arrival.group,
            shard: self.shard as usize,
            weight: self.weight,
            cost_hint: self.cost_hint_ms,
        }
    }
}
