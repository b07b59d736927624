//! A connection of the program, seen from the other end.

use crate::BOUND;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Pause between two looks for a connection.
const ACCEPT_POLL: Duration = Duration::from_millis(1);

/// A connection, and what has arrived on it and was not yet expected.
pub(crate) struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
}

/// A frame of the protocol of data servers: its letter and the text behind it.
#[derive(Debug, PartialEq)]
pub(crate) struct Frame {
    pub(crate) letter: char,
    pub(crate) text: String,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(BOUND)).unwrap();
        Connection {
            stream,
            input: Vec::new(),
        }
    }

    /// Accepts from whichever listener is connected to first.
    pub(crate) fn accept(listeners: &[&TcpListener]) -> Self {
        let until = Instant::now() + BOUND;
        loop {
            for listener in listeners {
                listener.set_nonblocking(true).unwrap();
                if let Ok((stream, _)) = listener.accept() {
                    stream.set_nonblocking(false).unwrap();
                    return Connection::new(stream);
                }
            }
            assert!(Instant::now() < until, "nobody connected");
            std::thread::sleep(ACCEPT_POLL);
        }
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads on; false: the program has closed the connection.
    fn read(&mut self) -> bool {
        let mut chunk = [0; 4096];
        match self.stream.read(&mut chunk) {
            Ok(length) => {
                self.input.extend(&chunk[..length]);
                length > 0
            }
            Err(error) if error.kind() == ErrorKind::ConnectionReset => false,
            Err(error) => panic!("nothing came in time: {error}"),
        }
    }

    /// Waits for the end of the connection; nothing more may come before it.
    pub(crate) fn expect_closed(&mut self) {
        while self.read() {}
        assert!(
            self.input.is_empty(),
            "more came: {:?}",
            String::from_utf8_lossy(&self.input)
        );
    }

    /// Waits for the end of the connection, which must not be a reset.
    pub(crate) fn expect_closed_without_reset(&mut self) {
        while self.stream.read(&mut [0; 4096]).unwrap() > 0 {}
        // One that was reset behind its end takes no more bytes.
        self.send(b"\r\n");
    }

    /// Closes the connection with a reset.
    pub(crate) fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }

    /// Waits for an HTTP message: its head, and its body if it has a length.
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
            assert!(self.read(), "closed after {text:?}");
        }
    }

    /// Waits for a frame of the protocol of data servers: four bytes of length, a letter, and text.
    pub(crate) fn read_frame(&mut self) -> Frame {
        loop {
            if let Some((length, rest)) = self.input.split_first_chunk::<4>() {
                let length = u32::from_be_bytes(*length) as usize;
                if let Some(bytes) = rest.get(..length) {
                    let text = String::from_utf8(bytes[1..].to_vec()).unwrap();
                    let letter = char::from(bytes[0]);
                    self.input.drain(..4 + length);
                    return Frame { letter, text };
                }
            }
            assert!(self.read(), "closed before a frame");
        }
    }
}

/// The length of a message's body; 0 if its head gives none.
fn content_length(head: &str) -> usize {
    head.lines()
        .find_map(|line| line.strip_prefix("Content-Length: "))
        .map_or(0, |length| length.parse().unwrap())
}
