//! The phases of the broker's life that affect client connections. The listeners set the phase;
//! connections read it and wait for its changes.

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
    /// Replaced when the phase changes.
    phase_change: RefCell<PhaseChange>,
}

/// Wakes all tasks that wait for a change of the phase, when dropped.
struct PhaseChange {
    /// Closes the channel when dropped.
    _sender: Sender<()>,
    receiver: Receiver<()>,
}

impl PhaseChange {
    fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        PhaseChange {
            _sender: sender,
            receiver,
        }
    }
}

impl Lifecycle {
    /// A lifecycle in the phase [`Phase::Serving`].
    pub(super) fn new() -> Self {
        Lifecycle {
            phase: Cell::new(Phase::Serving),
            phase_change: RefCell::new(PhaseChange::new()),
        }
    }

    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Changes the phase, and notifies the waiting tasks.
    pub(super) fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        *self.phase_change.borrow_mut() = PhaseChange::new();
    }

    /// Waits until the phase changes.
    pub(super) fn phase_changed(&self) -> impl Future<Output = ()> + 'static {
        let phase_changed = self.phase_change.borrow().receiver.clone();
        async move { _ = phase_changed.recv().await }
    }
}
