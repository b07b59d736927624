//! Test double of a data server: the state that its connections share, and the loop that accepts
//! connections.

mod connection;

use crate::attempt_log::AttemptLog;
use crate::fault::FaultInjection;
use crate::notifier::Notifier;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use connection::Connection;
use std::cell::Cell;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Delay after a failed accept before the next attempt.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Test double of one data server. It runs on the fleet's thread.
pub(crate) struct Server {
    pub(crate) name: String,
    fault_injection: Arc<Mutex<FaultInjection>>,
    attempt_log: Arc<Mutex<AttemptLog>>,
    /// Number of parts in flight on all connections.
    parts_in_flight: Cell<usize>,
    /// Number of finished parts on all connections, for the faults that affect every n-th part.
    finished_parts: Cell<u32>,
    /// Notified when all connections must be reset.
    reset_connections: Notifier,
}

impl Server {
    pub(crate) fn new(
        name: String,
        fault_injection: Arc<Mutex<FaultInjection>>,
        attempt_log: Arc<Mutex<AttemptLog>>,
    ) -> Self {
        Server {
            name,
            fault_injection,
            attempt_log,
            parts_in_flight: Cell::new(0),
            finished_parts: Cell::new(0),
            reset_connections: Notifier::new(),
        }
    }

    /// Resets all existing connections.
    pub(crate) fn reset_connections(&self) {
        self.reset_connections.notify_all();
    }

    pub(crate) fn fault_injection(&self) -> MutexGuard<'_, FaultInjection> {
        lock(&self.fault_injection)
    }

    fn attempt_log(&self) -> MutexGuard<'_, AttemptLog> {
        lock(&self.attempt_log)
    }

    /// Adds one to the number of parts in flight.
    fn part_started(&self) {
        self.parts_in_flight.set(self.parts_in_flight.get() + 1);
    }

    /// Subtracts one from the number of parts in flight.
    fn part_ended(&self) {
        self.parts_in_flight
            .set(self.parts_in_flight.get().saturating_sub(1));
    }

    /// Counts a finished part and returns its number. The first part has the number 1.
    fn next_finished_part(&self) -> u32 {
        let number = self.finished_parts.get().wrapping_add(1);
        self.finished_parts.set(number);
        number
    }

    /// Serves a connection until either side closes it.
    async fn serve(self: Rc<Self>, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        Connection::new(&self, &stream).run().await;
    }
}

/// Locks a mutex and ignores that it is poisoned: the thread that panicked while it held the lock
/// has already reported its panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Closes a connection, with a reset if possible. The system resets a connection that is closed
/// while received bytes are unread; without unread bytes the peer receives an ordinary close.
fn reset(stream: &Async<TcpStream>) {
    // The option SO_LINGER would reset the connection in both cases, but the standard library does
    // not offer it.
    let _ = stream.get_ref().shutdown(Shutdown::Both);
}

/// Accepts connections until the task is dropped.
pub(crate) async fn accept_connections(
    server: Rc<Server>,
    listener: TcpListener,
    executor: Rc<LocalExecutor<'static>>,
) {
    let Ok(listener) = Async::new(listener) else {
        return;
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => executor.spawn(server.clone().serve(stream)).detach(),
            Err(_) => _ = Timer::after(ACCEPT_RETRY_DELAY).await,
        }
    }
}
