//! A connection between the program and a client, a data server or discovery, as that peer uses it.

use crate::WAIT_TIMEOUT;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Time between two attempts to accept a connection.
const ACCEPT_POLL: Duration = Duration::from_millis(1);

/// A connection, with the bytes that have arrived on it and that no step has consumed yet.
pub(crate) struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
}

/// A frame of the protocol between the broker and data servers.
#[derive(Debug, PartialEq)]
pub(crate) struct Frame {
    /// The character that identifies the kind of frame.
    pub(crate) kind: char,
    /// The rest of the frame.
    pub(crate) text: String,
}

impl Connection {
    /// Creates a connection whose reads fail after [`WAIT_TIMEOUT`].
    pub(crate) fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Connection {
            stream,
            input: Vec::new(),
        }
    }

    /// Accepts the first connection that arrives at any of the listeners.
    pub(crate) fn accept(listeners: &[&TcpListener]) -> Self {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            for listener in listeners {
                listener.set_nonblocking(true).unwrap();
                if let Ok((stream, _)) = listener.accept() {
                    stream.set_nonblocking(false).unwrap();
                    return Connection::new(stream);
                }
            }
            assert!(
                Instant::now() < until,
                "expected the broker to connect within {WAIT_TIMEOUT:?}"
            );
            std::thread::sleep(ACCEPT_POLL);
        }
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads more bytes. Returns whether any arrived; if not, the program has closed the connection.
    fn read_more(&mut self) -> bool {
        let mut chunk = [0; 4096];
        match self.stream.read(&mut chunk) {
            Ok(length) => {
                self.input.extend(&chunk[..length]);
                length > 0
            }
            Err(error) if error.kind() == ErrorKind::ConnectionReset => false,
            Err(error) => panic!("cannot read from the connection: {error}"),
        }
    }

    /// Waits until the program closes the connection, and checks that the steps have consumed all bytes
    /// that arrived on it.
    pub(crate) fn expect_closed(&mut self) {
        while self.read_more() {}
        assert!(
            self.input.is_empty(),
            "unexpected bytes before the end of the connection: {:?}",
            String::from_utf8_lossy(&self.input)
        );
    }

    /// Waits until the program closes the connection, and checks that it does so without a reset.
    pub(crate) fn expect_closed_without_reset(&mut self) {
        while self.stream.read(&mut [0; 4096]).unwrap() > 0 {}
        // If a reset has followed the orderly end, this write fails.
        self.send(b"\r\n");
    }

    /// Closes the connection with a reset.
    pub(crate) fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }

    /// Waits for an HTTP message, and returns its head, and its body if the head gives its length.
    pub(crate) fn read_http_message(&mut self) -> String {
        loop {
            let text = String::from_utf8_lossy(&self.input).into_owned();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = content_length(head);
                if body.len() >= length {
                    self.input.drain(..head.len() + 4 + length);
                    return format!("{head}\r\n\r\n{}", &body[..length]);
                }
            }
            assert!(
                self.read_more(),
                "the connection was closed before the end of an HTTP message: {text:?}"
            );
        }
    }

    /// Waits for a frame of the protocol between the broker and data servers. It consists of four
    /// bytes of length, a character for the kind of frame, and text.
    pub(crate) fn read_frame(&mut self) -> Frame {
        loop {
            if let Some((length, rest)) = self.input.split_first_chunk::<4>() {
                let length = u32::from_be_bytes(*length) as usize;
                if let Some(bytes) = rest.get(..length) {
                    let text = String::from_utf8(bytes[1..].to_vec()).unwrap();
                    let kind = char::from(bytes[0]);
                    self.input.drain(..4 + length);
                    return Frame { kind, text };
                }
            }
            assert!(
                self.read_more(),
                "the connection was closed before the end of a frame"
            );
        }
    }
}

/// Returns the length of a message's body; 0 if the head does not give it.
fn content_length(head: &str) -> usize {
    head.lines()
        .find_map(|line| line.strip_prefix("Content-Length: "))
        .map_or(0, |length| length.parse().unwrap())
}
