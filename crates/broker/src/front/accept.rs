//! Taking connections, for every front alike.

use super::slots::{Slot, Slots};
use crate::net::{LINGER, linger};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Wait after a failed accept, which is mostly for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What is done with a connection.
pub(super) trait Serve: 'static {
    /// The front's slots.
    fn slots(&self) -> &Rc<Slots>;
    /// Serves a connection to its end.
    fn serve(self: Rc<Self>, stream: Async<TcpStream>, slot: Slot) -> impl Future<Output = ()>;
    /// Tells a client that there is no room for it. Nothing is waited for.
    fn turn_away(&self, stream: &Async<TcpStream>);
}

/// A connection that has come and has no slot yet. Unless it gets one, also where accepting ends meanwhile, its
/// client is told that there is no room.
struct Arrived<'a, S: Serve> {
    front: &'a Rc<S>,
    executor: &'a LocalExecutor<'static>,
    stream: Option<Async<TcpStream>>,
}

impl<S: Serve> Arrived<'_, S> {
    fn admit(mut self, slot: Slot) {
        if let Some(stream) = self.stream.take() {
            self.executor
                .spawn(self.front.clone().serve(stream, slot))
                .detach();
        }
    }
}

impl<S: Serve> Drop for Arrived<'_, S> {
    fn drop(&mut self) {
        let Some(stream) = self.stream.take() else {
            return;
        };
        self.front.turn_away(&stream);
        // Its request may lie unread, which would make the end a reset and lose what it was told.
        if let Some(ending) = self.front.slots().end() {
            let linger = async move {
                let _ = linger(&stream, LINGER).await;
                drop(ending);
            };
            self.executor.spawn(linger).detach();
        }
    }
}

/// Accepts connections until dropped.
pub(super) async fn accept<S: Serve>(
    front: Rc<S>,
    listener: Rc<Async<TcpListener>>,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let arrived = Arrived {
                    front: &front,
                    executor: &executor,
                    stream: Some(stream),
                };
                if front.slots().make_room().await {
                    arrived.admit(front.slots().take());
                }
            }
            Err(error) => {
                warn!(name: "accept_failed", error = %error);
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
        // A flood of connections must not keep the one thread from those that are open.
        yield_now().await;
    }
}

/// Takes the connections that the system has accepted: their requests count as taken.
pub(super) fn accept_rest<S: Serve>(
    front: &Rc<S>,
    listener: &Async<TcpListener>,
    executor: &LocalExecutor<'static>,
) {
    while let Ok((stream, _)) = listener.get_ref().accept()
        && let Ok(stream) = Async::new(stream)
    {
        let arrived = Arrived {
            front,
            executor,
            stream: Some(stream),
        };
        if let Some(slot) = front.slots().try_take() {
            arrived.admit(slot);
        }
    }
}
