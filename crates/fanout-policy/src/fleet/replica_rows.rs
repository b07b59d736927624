//! The replica rows: which servers hold each shard, in row order.

use super::ServerIndex;
use std::collections::BTreeSet;

/// A server that serves.
pub(super) struct ServingServer {
    /// Its index.
    pub(super) index: ServerIndex,
    /// Its cell.
    pub(super) cell: usize,
}

/// The holders of each shard, rebuilt with each endpoint list.
#[derive(Default)]
pub(crate) struct ReplicaRows {
    /// Holders by home cell of a shard: by distance of their cell, then by server name.
    holders: Vec<Vec<ServerIndex>>,
    /// Number of different servers.
    servers: usize,
}

impl ReplicaRows {
    /// Rows of the serving servers, given in order of name.
    pub(super) fn new(
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
        let holders: Vec<Vec<ServerIndex>> = (0..cells).map(row).collect();
        let servers = holders.iter().flatten().collect::<BTreeSet<_>>().len();
        ReplicaRows { holders, servers }
    }

    /// Servers that hold the shard.
    pub(crate) fn holders(&self, shard: usize) -> &[ServerIndex] {
        if self.holders.is_empty() {
            &[]
        } else {
            &self.holders[shard % self.holders.len()]
        }
    }

    /// Number of different servers.
    pub(crate) fn server_count(&self) -> usize {
        self.servers
    }

    /// Largest number of holders of any shard.
    pub(crate) fn max_holders(&self) -> usize {
        self.holders.iter().map(Vec::len).max().unwrap_or(0)
    }
}
