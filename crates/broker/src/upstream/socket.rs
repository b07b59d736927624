//! The sockets of the connections. Each socket is opened, written and read by a task of its own,
//! which reports what happens as events to the event queue.

use super::receive_buffer::{ReadOutcome, ReceiveBudget, ReceiveBuffer};
use super::send_queue::{SendQueue, StartedFrame};
use crate::clock::{Clock, with_timeout};
use crate::event_queue::ServerConnectionId;
use crate::event_queue::{ConnectionEvent, Event, EventQueue};
use crate::executor::Executor;
use async_executor::Task;
use async_io::Async;
use broker_types::limits::PoolLimits;
use futures_lite::future::yield_now;
use futures_lite::{AsyncWriteExt, FutureExt};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Starts the tasks that open and serve sockets.
pub(super) struct Connector {
    executor: Rc<Executor>,
    /// Queue that the tasks report events to.
    event_queue: Rc<EventQueue>,
    clock: Clock,
    /// Maximum time for establishing a connection.
    dial_timeout: Duration,
    /// Memory for the receive buffers of all connections.
    receive_budget: Rc<ReceiveBudget>,
}

impl Connector {
    /// Creates a connector whose tasks run in `executor` and report events to `event_queue`.
    pub(super) fn new(
        executor: Rc<Executor>,
        event_queue: Rc<EventQueue>,
        clock: Clock,
        limits: &PoolLimits,
    ) -> Self {
        Connector {
            executor,
            event_queue,
            clock,
            dial_timeout: limits.dial_timeout,
            receive_budget: ReceiveBudget::new(limits.max_receive_bytes),
        }
    }

    /// Starts a task that opens a socket to the server at `address` and serves it as `connection`.
    pub(super) fn connect(
        &self,
        connection: ServerConnectionId,
        address: SocketAddr,
    ) -> SocketHandle {
        let send_queue = Rc::new(SendQueue::default());
        let receive_buffer = Rc::new(ReceiveBuffer::new(self.receive_budget.clone()));
        let task = SocketTask {
            connection,
            address,
            dial_timeout: self.dial_timeout,
            send_queue: send_queue.clone(),
            receive_buffer: receive_buffer.clone(),
            event_queue: self.event_queue.clone(),
            clock: self.clock,
        };
        SocketHandle {
            send_queue,
            receive_buffer,
            _task: self.executor.spawn(task.run()),
        }
    }
}

/// A socket that is served by a task. Dropping the handle closes the socket.
pub(super) struct SocketHandle {
    send_queue: Rc<SendQueue>,
    receive_buffer: Rc<ReceiveBuffer>,
    _task: Task<()>,
}

impl SocketHandle {
    /// Returns the queue of the frames to be written.
    pub(super) fn send_queue(&self) -> &Rc<SendQueue> {
        &self.send_queue
    }

    /// Returns the received bytes that have not been decoded yet.
    pub(super) fn receive_buffer(&self) -> &ReceiveBuffer {
        &self.receive_buffer
    }
}

/// State of the task that serves the socket of one connection.
struct SocketTask {
    connection: ServerConnectionId,
    /// Address of the server.
    address: SocketAddr,
    /// Maximum time for establishing the connection.
    dial_timeout: Duration,
    /// Queue of the frames to be written.
    send_queue: Rc<SendQueue>,
    /// Received bytes that the event loop has not decoded yet.
    receive_buffer: Rc<ReceiveBuffer>,
    /// Queue that the task reports events to.
    event_queue: Rc<EventQueue>,
    clock: Clock,
}

impl SocketTask {
    /// Opens the connection, then writes and reads until the connection ends, and reports the end
    /// with its reason as the last event.
    async fn run(self) {
        let dial = Async::<TcpStream>::connect(self.address);
        let reason = match with_timeout(self.dial_timeout, dial).await {
            Ok(stream) => {
                self.send_queue.on_connected();
                let write = write_frames(&stream, &self.send_queue, self.clock);
                // Reading is polled first, so that nothing is written to a connection that the
                // server has already closed.
                self.receive(&stream).or(write).await
            }
            Err(error) => error,
        };
        self.report(ConnectionEvent::Closed(reason));
    }

    /// Reports an event of this connection.
    fn report(&self, event: ConnectionEvent) {
        self.event_queue.push(Event::ServerConnection {
            connection: self.connection,
            event,
        });
    }

    /// Receives bytes and reports them until the connection ends. Returns the reason of the end.
    async fn receive(&self, stream: &Async<TcpStream>) -> io::Error {
        loop {
            self.receive_buffer.wait_for_space().await;
            match self.receive_buffer.read_from(stream).await {
                Ok(ReadOutcome::Received) => self.report_received(),
                Ok(ReadOutcome::NoSpace) => {}
                Ok(ReadOutcome::EndOfStream) => return io::ErrorKind::UnexpectedEof.into(),
                Err(error) => return error,
            }
            // Lets other tasks run: a server that sends continuously must not occupy the thread.
            yield_now().await;
        }
    }

    /// Reports that bytes were received, unless the event loop has yet to handle an earlier report.
    fn report_received(&self) {
        if self.receive_buffer.mark_received() {
            self.report(ConnectionEvent::DataReceived);
        }
    }
}

/// Writes the frames of a queue to a socket until an operation on the socket fails, and returns its
/// error.
pub(super) async fn write_frames(
    mut stream: &Async<TcpStream>,
    send_queue: &SendQueue,
    clock: Clock,
) -> io::Error {
    if let Err(error) = stream.get_ref().set_nodelay(true) {
        return error;
    }
    loop {
        send_queue.wait_for_frame().await;
        let Some(started) = send_queue.start_frame(clock.now()) else {
            continue;
        };
        let result = match write_first_bytes(stream, send_queue, started) {
            Ok(FirstWrite::Accepted { bytes, written }) => {
                let result = stream.write_all(&bytes[written..]).await;
                if result.is_ok() {
                    send_queue.finish_frame();
                }
                result
            }
            Ok(FirstWrite::SocketFull) => {
                send_queue.on_socket_full();
                let result = stream.writable().await;
                send_queue.on_socket_writable();
                result
            }
            Ok(FirstWrite::Interrupted) => Ok(()),
            Err(error) => Err(error),
        };
        if let Err(error) = result {
            return error;
        }
    }
}

/// Result of the first write of a frame.
enum FirstWrite {
    /// The socket accepted the first `written` bytes of `bytes`.
    Accepted { bytes: Vec<u8>, written: usize },
    /// The socket accepts no data at present. The frame was put back into its queue.
    SocketFull,
    /// A signal interrupted the write. The frame was put back into its queue.
    Interrupted,
}

/// Writes as much of a started frame as the socket accepts without blocking. If the socket accepts
/// no byte, puts the frame back into its queue.
fn write_first_bytes(
    stream: &Async<TcpStream>,
    send_queue: &SendQueue,
    started: StartedFrame,
) -> io::Result<FirstWrite> {
    match stream.get_ref().write(started.bytes()) {
        Ok(written) => Ok(FirstWrite::Accepted {
            bytes: started.into_bytes(),
            written,
        }),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            send_queue.requeue(started);
            Ok(FirstWrite::SocketFull)
        }
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {
            send_queue.requeue(started);
            Ok(FirstWrite::Interrupted)
        }
        Err(error) => Err(error),
    }
}
