//! Wakes a task that waits for another one on the same thread.

use async_channel::{Receiver, Sender};

/// Wakes the one task that waits on it. Notifications that arrive while no task waits count as one,
/// which the next wait consumes.
pub(crate) struct Notify {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Notify {
    /// Returns a value without a notification.
    pub(crate) fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Notify { sender, receiver }
    }

    /// Wakes the waiting task, or the next one that waits.
    pub(crate) fn notify_one(&self) {
        // A full channel holds a notification already.
        let _ = self.sender.try_send(());
    }

    /// Discards a notification that no task has consumed.
    pub(crate) fn clear(&self) {
        let _ = self.receiver.try_recv();
    }

    /// Waits for a notification and consumes it.
    pub(crate) async fn notified(&self) {
        // This value holds a sender, so that the channel cannot be closed.
        let _ = self.receiver.recv().await;
    }
}
