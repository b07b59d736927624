//! The request ids in use.
//!
//! The id of a part in a frame consists of the request id of its query and the shard, and a frame
//! contains nothing else that says which query it belongs to. A request id therefore stays in use
//! until no frame can refer to it any more: while its query is in flight, and afterwards while a
//! response to one of its parts is outstanding on an open connection to a data server.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The set of the request ids in use, which the leases share.
type SharedIds = Rc<RefCell<BTreeSet<Rc<str>>>>;

/// The request ids in use. Their number is bounded by the number of queries in flight and the number
/// of parts on all connections to data servers.
#[derive(Default)]
pub(crate) struct RequestIds {
    in_use: SharedIds,
}

impl RequestIds {
    /// Puts a request id in use until the returned lease and all its clones are dropped. Returns
    /// `None` if the id is in use.
    pub(crate) fn try_acquire(&self, id: &Rc<str>) -> Option<RequestIdLease> {
        let is_free = self.in_use.borrow_mut().insert(id.clone());
        is_free.then(|| {
            let leased = LeasedId {
                id: id.clone(),
                in_use: self.in_use.clone(),
            };
            RequestIdLease {
                _leased: Rc::new(leased),
            }
        })
    }
}

/// Keeps a request id in use. A query holds a lease, and so does each of its parts that was assigned
/// to a connection, until its response has arrived or the connection is closed.
#[derive(Clone, Debug)]
pub struct RequestIdLease {
    _leased: Rc<LeasedId>,
}

/// A request id in use. Dropping it frees the id.
#[derive(Debug)]
struct LeasedId {
    id: Rc<str>,
    in_use: SharedIds,
}

impl Drop for LeasedId {
    fn drop(&mut self) {
        self.in_use.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
