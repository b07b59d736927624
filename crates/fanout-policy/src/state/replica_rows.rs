//! The replica rows: which servers hold each shard, in row order.

use super::{PartState, ServerIndex};
use std::collections::BTreeSet;

/// A server that serves.
pub(crate) struct ServingServer {
    /// Its index.
    pub(crate) index: ServerIndex,
    /// Its cell.
    pub(crate) cell: usize,
}

/// The holders of each shard, rebuilt with each endpoint list: by distance of their cell, then
/// by server name.
#[derive(Default)]
pub(crate) struct ReplicaRows(Vec<Vec<ServerIndex>>);

impl ReplicaRows {
    /// Rows of the serving servers, given in order of name.
    pub(crate) fn new(
        cells: usize,
        replica_cells: usize,
        serving: impl Iterator<Item = ServingServer>,
    ) -> Self {
        let mut servers_by_cell = vec![Vec::new(); cells];
        for server in serving {
            if let Some(servers) = servers_by_cell.get_mut(server.cell) {
                servers.push(server.index);
            }
        }
        let row = |home: usize| {
            (0..replica_cells.min(cells))
                .flat_map(|distance| servers_by_cell[(home + distance) % cells].clone())
                .collect()
        };
        ReplicaRows((0..cells).map(row).collect())
    }

    /// Servers that hold the shard.
    pub(crate) fn holders(&self, shard: usize) -> &[ServerIndex] {
        if self.0.is_empty() {
            &[]
        } else {
            &self.0[shard % self.0.len()]
        }
    }

    /// Largest number of holders of any of these parts' shards, at least 1.
    pub(crate) fn rows_for(&self, parts: &[PartState]) -> usize {
        let holders = parts.iter().map(|part| self.holders(part.shard).len());
        holders.max().unwrap_or(0).max(1)
    }

    /// Number of different servers.
    pub(crate) fn server_count(&self) -> usize {
        self.0.iter().flatten().collect::<BTreeSet<_>>().len()
    }

    /// Largest number of holders of any shard.
    pub(crate) fn max_holders(&self) -> usize {
        self.0.iter().map(Vec::len).max().unwrap_or(0)
    }
}
