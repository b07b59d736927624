//! The sockets of the connections. Each socket is opened, written and read by a task of its own,
//! which reports what happens as events to the event queue.

use super::send_queue::{SendQueue, StartedFrame};
use crate::clock::{Clock, with_timeout};
use crate::event_queue::ServerConnectionId;
use crate::event_queue::{ConnectionEvent, Event, EventQueue};
use crate::net::read_some;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use futures_lite::future::yield_now;
use futures_lite::{AsyncWriteExt, FutureExt};
use server_protocol::broker::decode;
use server_protocol::{Decoded, InvalidFrame};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Starts the tasks that open and serve sockets.
pub(super) struct Connector {
    executor: Rc<LocalExecutor<'static>>,
    /// Queue that the tasks report events to.
    event_queue: Rc<EventQueue>,
    clock: Clock,
    /// Maximum time for establishing a connection.
    dial_timeout: Duration,
}

impl Connector {
    /// Creates a connector whose tasks run in `executor` and report events to `event_queue`.
    pub(super) fn new(
        executor: Rc<LocalExecutor<'static>>,
        event_queue: Rc<EventQueue>,
        clock: Clock,
        dial_timeout: Duration,
    ) -> Self {
        Connector {
            executor,
            event_queue,
            clock,
            dial_timeout,
        }
    }

    /// Starts a task that opens a socket to the server at `address` and serves it as `connection`.
    pub(super) fn connect(
        &self,
        connection: ServerConnectionId,
        address: SocketAddr,
    ) -> SocketHandle {
        let send_queue = Rc::new(SendQueue::default());
        let task = SocketTask {
            connection,
            address,
            dial_timeout: self.dial_timeout,
            send_queue: send_queue.clone(),
            event_queue: self.event_queue.clone(),
            clock: self.clock,
        };
        SocketHandle {
            send_queue,
            _task: self.executor.spawn(task.run()),
        }
    }
}

/// A socket that is served by a task. Dropping the handle closes the socket.
pub(super) struct SocketHandle {
    send_queue: Rc<SendQueue>,
    _task: Task<()>,
}

impl SocketHandle {
    /// Returns the queue of the frames to be written.
    pub(super) fn send_queue(&self) -> &Rc<SendQueue> {
        &self.send_queue
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
    /// Queue that the task reports events to.
    event_queue: Rc<EventQueue>,
    clock: Clock,
}

impl SocketTask {
    /// Opens the connection, then writes and reads until the connection ends, and reports the end
    /// as the last event.
    async fn run(self) {
        let dial = Async::<TcpStream>::connect(self.address);
        let last_event = match with_timeout(self.dial_timeout, dial).await {
            Ok(stream) => {
                self.send_queue.on_connected();
                let write = async {
                    let error = write_frames(&stream, &self.send_queue, self.clock).await;
                    ConnectionEvent::Closed(error)
                };
                // Reading is polled first, so that nothing is written to a connection that the
                // server has already closed.
                self.read_frames(&stream).or(write).await
            }
            Err(error) => ConnectionEvent::Closed(error),
        };
        self.report(last_event);
    }

    /// Reports an event of this connection.
    fn report(&self, event: ConnectionEvent) {
        self.event_queue.push(Event::ServerConnection {
            connection: self.connection,
            event,
        });
    }

    /// Reads and reports frames until the connection ends. Returns the event that ended it, which
    /// the caller reports.
    async fn read_frames(&self, stream: &Async<TcpStream>) -> ConnectionEvent {
        let mut input = Vec::new();
        loop {
            if let Err(invalid) = self.report_frames(&mut input) {
                return ConnectionEvent::FrameInvalid(invalid);
            }
            if input.is_empty() {
                // Frees the buffer's memory while no frame is being received.
                input = Vec::new();
            } else {
                self.report(ConnectionEvent::PartialFrameReceived);
            }
            match read_some(stream, &mut input).await {
                Ok(0) => return ConnectionEvent::Closed(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => {}
                Err(error) => return ConnectionEvent::Closed(error),
            }
            // Lets other tasks run: a server that sends continuously must not occupy the thread.
            yield_now().await;
        }
    }

    /// Reports the complete frames at the start of `input` and removes them from it.
    fn report_frames(&self, input: &mut Vec<u8>) -> Result<(), InvalidFrame> {
        let mut decoded_len = 0;
        while let Some(Decoded { message, frame_len }) = decode(&input[decoded_len..])? {
            decoded_len += frame_len;
            self.report(ConnectionEvent::FrameReceived(message));
        }
        input.drain(..decoded_len);
        Ok(())
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
