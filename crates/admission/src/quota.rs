//! Limits the share of the capacity for queries and parts that each client connection may use.

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

/// A connection may use at most this multiple of the capacity that remains free.
///
/// This is the dynamic threshold algorithm with which network switches share a buffer among their
/// ports (Choudhury and Hahne, IEEE/ACM Transactions on Networking 6(2), 1998). With a factor of 2,
/// a single busy connection can use up to two thirds of the capacity, and two busy connections can
/// use up to two fifths each. The rest stays free for connections that have nothing in use yet. The
/// algorithm needs no estimate of the number of connections.
///
/// The quota does not apply to a connection that has nothing in use, so that a single large query
/// can exceed these shares.
const MAX_MULTIPLE_OF_FREE: usize = 2;

/// The capacity for queries and parts, and how much of it each connection uses.
///
/// Capacity is counted in units: a query takes one unit for itself and one for each of its parts.
#[derive(Debug)]
pub struct ConnectionQuota {
    capacity: usize,
    in_use: usize,
    in_use_by_connection: BTreeMap<ConnectionId, usize>,
}

impl ConnectionQuota {
    /// Creates a quota that divides `capacity` units among the connections; nothing is in use yet.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        ConnectionQuota {
            capacity,
            in_use: 0,
            in_use_by_connection: BTreeMap::new(),
        }
    }

    /// Acquires units for a query and its parts. Returns `false`, and acquires nothing, if the
    /// connection would exceed its quota.
    ///
    /// A connection that has nothing in use always acquires its units, even if the capacity is
    /// exhausted. The quota only divides the capacity among the connections; the policy engine
    /// checks whether the total capacity suffices.
    #[must_use]
    pub fn try_acquire(&mut self, connection: ConnectionId, units: usize) -> bool {
        let used = self.in_use_by(connection);
        let free = self.capacity.saturating_sub(self.in_use + units);
        if used > 0 && used + units > MAX_MULTIPLE_OF_FREE * free {
            return false;
        }
        self.in_use += units;
        *self.in_use_by_connection.entry(connection).or_insert(0) += units;
        true
    }

    /// Releases units that the connection acquired with [`ConnectionQuota::try_acquire`].
    pub fn release(&mut self, connection: ConnectionId, units: usize) {
        let used = self.in_use_by(connection);
        debug_assert!(
            units <= used,
            "connection {connection} releases {units} units, but has only {used} in use"
        );
        let released = units.min(used);
        self.in_use -= released;
        if released == used {
            self.in_use_by_connection.remove(&connection);
        } else {
            self.in_use_by_connection
                .insert(connection, used - released);
        }
    }

    /// Returns the number of units that all connections together have in use.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// Returns the number of connections that have at least one unit in use.
    #[must_use]
    pub fn active_connections(&self) -> usize {
        self.in_use_by_connection.len()
    }

    fn in_use_by(&self, connection: ConnectionId) -> usize {
        let used = self.in_use_by_connection.get(&connection);
        used.copied().unwrap_or(0)
    }
}
