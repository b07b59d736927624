//! A notification with which one task wakes another task on the same thread.

use async_channel::{Receiver, Sender};

/// A notification for a single waiting task. If it is sent several times while no task waits, one
/// notification is stored, and the next wait consumes it and returns immediately.
pub(crate) struct Notify {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Notify {
    /// Creates an instance that stores no notification.
    pub(crate) fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Notify { sender, receiver }
    }

    /// Wakes the waiting task. If no task waits, stores the notification for the next wait.
    pub(crate) fn notify_one(&self) {
        // Sending fails only if the channel is full, that is, if a notification is stored already.
        let _ = self.sender.try_send(());
    }

    /// Discards the stored notification, if there is one.
    pub(crate) fn clear(&self) {
        let _ = self.receiver.try_recv();
    }

    /// Waits for a notification and consumes it.
    pub(crate) async fn notified(&self) {
        // Receiving cannot fail: `self` holds a sender, so the channel is never closed.
        let _ = self.receiver.recv().await;
    }
}
