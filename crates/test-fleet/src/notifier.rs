//! Wakes all tasks of the fleet's thread that wait for an event.

use async_channel::{Receiver, Sender};
use std::cell::RefCell;

/// The sending side: an event that any number of tasks can wait for.
pub(crate) struct Notifier {
    /// Never used to send: waiting receivers are woken when the channel is closed.
    channel: RefCell<Channel>,
}

struct Channel {
    _sender: Sender<()>,
    receiver: Receiver<()>,
}

/// Waits for the first event after the subscription.
pub(crate) struct Subscription(Receiver<()>);

impl Notifier {
    pub(crate) fn new() -> Self {
        Notifier {
            channel: RefCell::new(Channel::open()),
        }
    }

    /// Wakes all present subscriptions.
    pub(crate) fn notify_all(&self) {
        // Dropping the only sender closes the channel of the present subscriptions.
        self.channel.replace(Channel::open());
    }

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
    /// Waits until the event has happened.
    pub(crate) async fn notified(&self) {
        let _closed = self.0.recv().await;
    }
}
