//! The replica rows. A row consists of one holder of each shard.
//!
//! A shard is held by adjacent cells: its home cell and the cells with the next higher indexes,
//! where cell 0 follows the last cell. The holders of a shard form a list in row order: by cell,
//! beginning with the home cell, and by name within a cell. Row `r` consists of the holder at
//! position `r` of each list. If the list of a shard has only `n` holders and `r` is `n` or more,
//! the row contains the holder at position `r` modulo `n`.

use super::ServerIndex;
use std::collections::BTreeSet;

/// A server in the state `Serving`.
pub(super) struct ServingServer {
    /// Index of the server.
    pub(super) index: ServerIndex,
    /// Cell of the server.
    pub(super) cell: usize,
}

/// The holders of each shard. They are determined anew with each update of the endpoint list.
#[derive(Default)]
pub(crate) struct ReplicaRows {
    /// Holders of the shards in row order, by the index of the home cell. The home cell of a shard
    /// is its number modulo the number of cells.
    holders: Vec<Vec<ServerIndex>>,
    /// Number of different servers that hold any shard.
    server_count: usize,
}

impl ReplicaRows {
    /// Creates the rows of the servers in `serving`, which must be in order of name. A server whose
    /// cell index is not below `cells` holds no shard.
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
        let holders_of_home_cell = |home: usize| {
            (0..replica_cells.min(cells))
                .flat_map(|distance| servers_by_cell[(home + distance) % cells].clone())
                .collect()
        };
        let holders: Vec<Vec<ServerIndex>> = (0..cells).map(holders_of_home_cell).collect();
        let server_count = holders.iter().flatten().collect::<BTreeSet<_>>().len();
        ReplicaRows {
            holders,
            server_count,
        }
    }

    /// Returns the servers that hold the shard, in row order: the server at position `r` is in
    /// row `r`. For a row beyond the end of this list, the caller repeats the list from its start.
    pub(crate) fn holders(&self, shard: usize) -> &[ServerIndex] {
        if self.holders.is_empty() {
            &[]
        } else {
            &self.holders[shard % self.holders.len()]
        }
    }

    /// Returns the number of different servers that hold any shard.
    pub(crate) fn server_count(&self) -> usize {
        self.server_count
    }

    /// Returns the maximum number of holders of any shard.
    pub(crate) fn max_holders(&self) -> usize {
        self.holders.iter().map(Vec::len).max().unwrap_or(0)
    }
}
