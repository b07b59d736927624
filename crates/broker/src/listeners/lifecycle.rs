//! The phases of the broker's lifecycle that affect client connections.
//! [`ClientListeners`](super::ClientListeners) sets the phase; connections read it and wait for its
//! changes.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};

/// Phase of the broker's lifecycle. The variants are in chronological order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// The broker serves queries, and shutdown has not started.
    Serving,
    /// Shutdown has started: requests that still arrive are served, but readiness checks fail.
    Draining,
    /// New connections and queries are rejected, and each connection is closed once it is idle.
    Closing,
}

/// The current phase, with notification of its changes.
pub(super) struct Lifecycle {
    phase: Cell<Phase>,
    /// Notifies the tasks that wait for the next change of the phase. Each change replaces it.
    phase_notifier: RefCell<PhaseNotifier>,
}

/// A channel on which tasks wait for a change of the phase. Dropping the notifier closes the
/// channel, which wakes all of them.
struct PhaseNotifier {
    /// The channel's only sender; nothing is ever sent.
    _sender: Sender<()>,
    receiver: Receiver<()>,
}

impl PhaseNotifier {
    fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        PhaseNotifier {
            _sender: sender,
            receiver,
        }
    }
}

impl Lifecycle {
    /// Creates a lifecycle in the phase [`Phase::Serving`].
    pub(super) fn new() -> Self {
        Lifecycle {
            phase: Cell::new(Phase::Serving),
            phase_notifier: RefCell::new(PhaseNotifier::new()),
        }
    }

    /// Returns the current phase.
    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Changes the phase and wakes the tasks that wait for a change.
    pub(super) fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        *self.phase_notifier.borrow_mut() = PhaseNotifier::new();
    }

    /// Returns a future that completes at the first change of the phase after this call.
    pub(super) fn phase_changed(&self) -> impl Future<Output = ()> + 'static {
        let phase_changed = self.phase_notifier.borrow().receiver.clone();
        async move { _ = phase_changed.recv().await }
    }
}
