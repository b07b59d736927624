//! The task that opens, writes and reads the socket of one connection.

use super::connection::ServerConnectionId;
use super::send_queue::{SendQueue, StartedFrame};
use crate::clock::{Clock, with_timeout};
use crate::event_queue::{ConnectionEvent, Event, EventQueue};
use crate::net::read_some;
use async_io::Async;
use broker_types::time::Micros;
use futures_lite::future::yield_now;
use futures_lite::{AsyncWriteExt, FutureExt};
use server_protocol::broker::decode;
use server_protocol::{Decoded, InvalidFrame};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The socket of one connection and what its task works with.
pub(super) struct SocketTask {
    /// Number of the connection.
    pub(super) connection: ServerConnectionId,
    /// Address of the server.
    pub(super) address: SocketAddr,
    /// Time within which the connection must be established.
    pub(super) dial_timeout: Micros,
    /// Frames to be written.
    pub(super) send_queue: Rc<SendQueue>,
    /// Where events are reported.
    pub(super) event_queue: Rc<EventQueue>,
    /// The program's clock.
    pub(super) clock: Clock,
}

impl SocketTask {
    /// Opens the connection, writes and reads until it ends, and reports its end as the last event.
    pub(super) async fn run(self) {
        let dial_timeout = Duration::from_micros(self.dial_timeout);
        let dial = Async::<TcpStream>::connect(self.address);
        let last_event = match with_timeout(dial_timeout, dial).await {
            Ok(stream) => {
                self.send_queue.set_connected();
                let write = async {
                    let error = write_frames(&stream, &self.send_queue, self.clock).await;
                    ConnectionEvent::Closed(error)
                };
                // Reading is polled first: nothing is written to a connection that the server has closed by then.
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

    /// Reads and reports frames until the connection ends, and returns its last event.
    async fn read_frames(&self, stream: &Async<TcpStream>) -> ConnectionEvent {
        let mut input = Vec::new();
        loop {
            if let Err(invalid) = self.report_frames(&mut input) {
                return ConnectionEvent::FrameInvalid(invalid);
            }
            if input.is_empty() {
                // Frees the buffer while the connection is idle.
                input = Vec::new();
            } else {
                self.report(ConnectionEvent::FrameStarted);
            }
            match read_some(stream, &mut input).await {
                Ok(0) => return ConnectionEvent::Closed(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => {}
                Err(error) => return ConnectionEvent::Closed(error),
            }
            // A server that sends without pause must not keep the thread from all other tasks.
            yield_now().await;
        }
    }

    /// Reports the complete frames that `input` begins with, and removes them from it.
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

/// Writes the frames of a queue until that fails, and returns the error.
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
        let Some(started) = send_queue.start_frame(clock.now().as_micros()) else {
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
                send_queue.set_socket_full(true);
                let result = stream.writable().await;
                send_queue.set_socket_full(false);
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
    /// The socket accepted the first `written` bytes.
    Accepted { bytes: Vec<u8>, written: usize },
    /// The socket accepts nothing at present; the frame is back in its queue.
    SocketFull,
    /// A signal interrupted the write; the frame is back in its queue.
    Interrupted,
}

/// Writes as much of a started frame as the socket accepts at once, or puts it back if that is nothing.
fn write_first_bytes(
    stream: &Async<TcpStream>,
    send_queue: &SendQueue,
    started: StartedFrame,
) -> io::Result<FirstWrite> {
    let StartedFrame { frame, bytes } = started;
    match stream.get_ref().write(&bytes) {
        Ok(written) => Ok(FirstWrite::Accepted { bytes, written }),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            send_queue.requeue(frame);
            Ok(FirstWrite::SocketFull)
        }
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {
            send_queue.requeue(frame);
            Ok(FirstWrite::Interrupted)
        }
        Err(error) => Err(error),
    }
}
