//! The phases of the broker's life that affect client connections.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};

/// Phase of the broker's life. The order is that of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// The broker serves queries.
    Serving,
    /// Shutdown has started: requests that still arrive are served, but readiness checks fail.
    Draining,
    /// New connections and queries are rejected, and each connection is closed once it is idle.
    Closing,
}

/// The current phase, with notification of its changes.
pub(super) struct Lifecycle {
    phase: Cell<Phase>,
    /// Closed, and replaced, when the phase changes.
    phase_changed: RefCell<(Sender<()>, Receiver<()>)>,
}

impl Lifecycle {
    /// A lifecycle in the phase [`Phase::Serving`].
    pub(super) fn new() -> Self {
        Lifecycle {
            phase: Cell::new(Phase::Serving),
            phase_changed: RefCell::new(async_channel::bounded(1)),
        }
    }

    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Changes the phase, and notifies the waiting tasks.
    pub(super) fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        *self.phase_changed.borrow_mut() = async_channel::bounded(1);
    }

    /// Waits until the phase changes.
    pub(super) fn phase_changed(&self) -> impl Future<Output = ()> + 'static {
        let phase_changed = self.phase_changed.borrow().1.clone();
        async move { _ = phase_changed.recv().await }
    }
}
