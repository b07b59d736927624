//! State that the listeners share.

use super::lifecycle::Lifecycle;
use super::request::DateHeader;
use crate::event_queue::EventQueue;
use admission::ConnectionId;
use broker_types::query::Names;
use fanout_policy::api::Settings;
use std::cell::Cell;
use std::rc::Rc;

/// State that the listeners share.
pub struct ListenerContext {
    pub(super) events: Rc<EventQueue>,
    pub(super) settings: Settings,
    pub(super) names: Names,
    pub(super) date: DateHeader,
    lifecycle: Lifecycle,
    last_connection: Cell<ConnectionId>,
}

impl ListenerContext {
    /// Creates the state of a broker that serves queries and submits them to `events`.
    pub fn new(events: Rc<EventQueue>, settings: Settings, names: Names) -> Rc<Self> {
        Rc::new(ListenerContext {
            events,
            settings,
            names,
            date: DateHeader::new(),
            lifecycle: Lifecycle::new(),
            last_connection: Cell::new(ConnectionId::default()),
        })
    }

    pub(super) fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// Assigns an identifier to a new connection.
    pub(super) fn next_connection(&self) -> ConnectionId {
        let id = ConnectionId(self.last_connection.get().0 + 1);
        self.last_connection.set(id);
        id
    }
}
