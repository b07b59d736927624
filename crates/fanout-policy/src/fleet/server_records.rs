//! Records of the data servers, by index.

use super::Server;
use std::ops::{Index, IndexMut};

/// Index of a server's record. It does not change until the server is forgotten; the record is then
/// reused for another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServerIndex(usize);

/// The records of all servers. The record of a forgotten server stays until it is reused.
#[derive(Default)]
pub(crate) struct ServerRecords(Vec<Server>);

impl ServerRecords {
    /// Returns the number of records, including those of forgotten servers.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Adds a record and returns its index.
    pub(crate) fn push(&mut self, server: Server) -> ServerIndex {
        self.0.push(server);
        ServerIndex(self.0.len() - 1)
    }

    /// Returns all records, including those of forgotten servers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Server> {
        self.0.iter()
    }

    /// Returns all records as mutable references.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.0.iter_mut()
    }

    /// Returns the indexes of all records.
    pub(crate) fn indexes(&self) -> impl Iterator<Item = ServerIndex> + use<> {
        (0..self.0.len()).map(ServerIndex)
    }
}

impl Index<ServerIndex> for ServerRecords {
    type Output = Server;

    fn index(&self, index: ServerIndex) -> &Server {
        &self.0[index.0]
    }
}

impl IndexMut<ServerIndex> for ServerRecords {
    fn index_mut(&mut self, index: ServerIndex) -> &mut Server {
        &mut self.0[index.0]
    }
}
