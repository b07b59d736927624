//! An HTTP/2 client that writes its frames by itself, so that it can break the rules of RFC 9113 as
//! no library does.
//!
//! It is made for tests: if an expected frame does not arrive, it panics with the frames that did.

mod fields;
mod frame;

pub use crate::wire::QUERY_BODY;
pub use fields::{encode_fields, query_fields, response_status};
pub use frame::{
    CONTINUATION, DATA, END_HEADERS, END_STREAM, Frame, GOAWAY, HEADERS, PING, RST_STREAM,
    SETTINGS, WINDOW_UPDATE, encode_frame,
};

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The connection preface of a client (RFC 9113, section 3.4).
pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// The payload of SETTINGS with `SETTINGS_HEADER_TABLE_SIZE` (1) set to 0, so that the peer indexes
/// no fields.
const SETTINGS_WITHOUT_INDEXING: [u8; 6] = [0, 1, 0, 0, 0, 0];
/// Longest wait for the peer to take what is written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for an expected frame or text.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// The shortest timeout of a read; sockets interpret zero as no timeout.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);
/// Bytes that are read at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Encodes a whole query on a stream: HEADERS and DATA.
#[must_use]
pub fn query_frames(stream_id: u32, request_id: &str) -> Vec<u8> {
    let fields = query_fields(request_id, &[]);
    [
        encode_frame(HEADERS, END_HEADERS, stream_id, &fields),
        encode_frame(DATA, END_STREAM, stream_id, QUERY_BODY),
    ]
    .concat()
}

/// What a read of the connection led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    /// The connection may be read again.
    Continued,
    /// The connection has ended, or nothing came until the deadline.
    Ended,
}

/// A connection whose frames the caller writes.
pub struct RawHttp2Client {
    stream: TcpStream,
    /// Received bytes that are not yet taken as frames.
    input: Vec<u8>,
}

impl RawHttp2Client {
    /// Connects and sends nothing.
    ///
    /// # Panics
    ///
    /// If the connection cannot be made.
    #[must_use]
    pub fn connect(address: SocketAddr) -> RawHttp2Client {
        let stream = TcpStream::connect(address).expect("the address is that of a listener");
        stream
            .set_nodelay(true)
            .expect("the option exists on every TCP socket");
        stream
            .set_write_timeout(Some(WRITE_TIMEOUT))
            .expect("the timeout is not zero");
        RawHttp2Client {
            stream,
            input: Vec::new(),
        }
    }

    /// Connects and sends the preface and SETTINGS, with which the peer indexes no fields.
    ///
    /// # Panics
    ///
    /// If the connection cannot be made.
    #[must_use]
    pub fn connect_with_preface(address: SocketAddr) -> RawHttp2Client {
        let mut client = RawHttp2Client::connect(address);
        let settings = encode_frame(SETTINGS, 0, 0, &SETTINGS_WITHOUT_INDEXING);
        client.send(&[PREFACE, &settings].concat());
        client
    }

    /// Sends all bytes.
    ///
    /// # Panics
    ///
    /// If the connection fails or the peer does not read in time.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream
            .write_all(bytes)
            .expect("the peer keeps the connection open and reads");
    }

    /// Sends all bytes.
    ///
    /// # Errors
    ///
    /// If the connection has ended or the peer does not read in time.
    pub fn try_send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits for the next frame; `None` if the connection ends or no frame comes within this time.
    pub fn next_frame(&mut self, within: Duration) -> Option<Frame> {
        let deadline = Instant::now() + within;
        loop {
            if let Some(frame) = Frame::take_from(&mut self.input) {
                return Some(frame);
            }
            if self.read(deadline) == ReadOutcome::Ended {
                return None;
            }
        }
    }

    /// Reads once.
    fn read(&mut self, deadline: Instant) -> ReadOutcome {
        let remaining = deadline.saturating_duration_since(Instant::now());
        self.stream
            .set_read_timeout(Some(remaining.max(MIN_READ_TIMEOUT)))
            .expect("the timeout is not zero");
        let mut chunk = [0; READ_CHUNK_BYTES];
        match self.stream.read(&mut chunk) {
            Ok(0) => ReadOutcome::Ended,
            Ok(length) => {
                self.input.extend(&chunk[..length]);
                ReadOutcome::Continued
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => ReadOutcome::Continued,
            Err(_) => ReadOutcome::Ended,
        }
    }

    /// Waits for a frame of this type and skips others.
    ///
    /// # Panics
    ///
    /// If the connection ends or no such frame comes in time.
    pub fn expect_frame(&mut self, frame_type: u8) -> Frame {
        let mut skipped: Vec<Frame> = Vec::new();
        loop {
            let Some(frame) = self.next_frame(READ_TIMEOUT) else {
                panic!("no frame of kind {frame_type}, but {skipped:?}");
            };
            if frame.frame_type == frame_type {
                return frame;
            }
            skipped.push(frame);
        }
    }

    /// Collects all frames until the connection ends.
    ///
    /// # Panics
    ///
    /// If the connection does not end within this time.
    pub fn frames_until_close(&mut self, within: Duration) -> Vec<Frame> {
        let start = Instant::now();
        let mut frames = Vec::new();
        while let Some(frame) = self.next_frame(within.saturating_sub(start.elapsed())) {
            frames.push(frame);
        }
        assert!(
            start.elapsed() < within,
            "the connection stays open; it sent {frames:?}"
        );
        frames
    }

    /// Reads until the connection ends, and returns all bytes that were not taken as frames, as
    /// text.
    ///
    /// # Panics
    ///
    /// If the connection does not end in time.
    pub fn text_until_close(&mut self) -> String {
        let deadline = Instant::now() + READ_TIMEOUT;
        while self.read(deadline) == ReadOutcome::Continued {}
        assert!(Instant::now() < deadline, "the connection stays open");
        String::from_utf8_lossy(&self.input).into_owned()
    }
}
