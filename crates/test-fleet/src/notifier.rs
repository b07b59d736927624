//! Notification of all tasks of the fleet's thread that wait for an event.

use async_channel::{Receiver, Sender};
use std::cell::RefCell;

/// An event that may occur repeatedly, and for which any number of tasks can wait.
pub(crate) struct Notifier {
    /// Channel of the next event. No message is ever sent on it; the event closes the channel,
    /// which wakes all waiting receivers.
    channel: RefCell<Channel>,
}

struct Channel {
    _sender: Sender<()>,
    receiver: Receiver<()>,
}

/// Subscription to the first event after its creation.
pub(crate) struct Subscription(Receiver<()>);

impl Notifier {
    pub(crate) fn new() -> Self {
        Notifier {
            channel: RefCell::new(Channel::open()),
        }
    }

    /// Notifies all existing subscriptions. Later subscriptions wait for the next call.
    pub(crate) fn notify_all(&self) {
        // This drops the only sender of the old channel and so closes it.
        self.channel.replace(Channel::open());
    }

    /// Creates a subscription to the next event.
    pub(crate) fn subscribe(&self) -> Subscription {
        Subscription(self.channel.borrow().receiver.clone())
    }
}

impl Channel {
    fn open() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Channel {
            _sender: sender,
            receiver,
        }
    }
}

impl Subscription {
    /// Waits until the event has occurred. Returns immediately if it already has.
    pub(crate) async fn notified(&self) {
        let _closed = self.0.recv().await;
    }
}
