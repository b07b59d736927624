//! Quota of each client connection in the capacity for queries and parts.

use std::collections::BTreeMap;
use std::fmt;

/// Number of a client connection, unique within the life of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A connection may use up to this multiple of the capacity that remains free.
///
/// This is the dynamic threshold by which switches share a buffer among ports (Choudhury and Hahne,
/// IEEE/ACM Transactions on Networking 6(2), 1998). With a factor of 2, one connection alone can
/// use up to two thirds of the capacity and two can use two fifths each, so that some capacity
/// always stays free for connections that use none. The rule needs no estimate of the number of
/// connections.
const MAX_MULTIPLE_OF_FREE: usize = 2;

/// The capacity for queries and parts, and how much of it each connection uses.
#[derive(Debug)]
pub struct ConnectionQuota {
    capacity: usize,
    in_use: usize,
    in_use_by_connection: BTreeMap<ConnectionId, usize>,
}

impl ConnectionQuota {
    /// A quota for so many queries and parts together.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        ConnectionQuota {
            capacity,
            in_use: 0,
            in_use_by_connection: BTreeMap::new(),
        }
    }

    /// Acquires units for a query and its parts. Returns `false`, and acquires nothing, where the
    /// connection would exceed its quota.
    ///
    /// A connection that uses nothing always acquires its units, however much is in use: whether
    /// the capacity as a whole suffices is checked by the policy engine.
    #[must_use]
    pub fn try_acquire(&mut self, connection: ConnectionId, units: usize) -> bool {
        let own = self.in_use_by(connection);
        let free = self.capacity.saturating_sub(self.in_use + units);
        if own > 0 && own + units > MAX_MULTIPLE_OF_FREE * free {
            return false;
        }
        self.in_use += units;
        *self.in_use_by_connection.entry(connection).or_insert(0) += units;
        true
    }

    /// Releases units that [`ConnectionQuota::try_acquire`] acquired.
    pub fn release(&mut self, connection: ConnectionId, units: usize) {
        let own = self.in_use_by(connection);
        debug_assert!(
            units <= own,
            "connection {connection} releases {units} units, but uses {own}"
        );
        let released = units.min(own);
        self.in_use -= released;
        if released == own {
            self.in_use_by_connection.remove(&connection);
        } else {
            self.in_use_by_connection.insert(connection, own - released);
        }
    }

    /// Number of queries and parts in use by all connections.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// Number of connections that use some of the capacity.
    #[must_use]
    pub fn holders(&self) -> usize {
        self.in_use_by_connection.len()
    }

    fn in_use_by(&self, connection: ConnectionId) -> usize {
        let own = self.in_use_by_connection.get(&connection);
        own.copied().unwrap_or(0)
    }
}
