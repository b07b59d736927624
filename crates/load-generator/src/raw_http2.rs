//! HTTP/2 client for tests. The test writes each frame itself and can therefore break the rules of
//! RFC 9113, which HTTP libraries do not permit.
//!
//! If an expected frame does not arrive, the client panics and names the frames that did.

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

/// Payload of SETTINGS that sets `SETTINGS_HEADER_TABLE_SIZE` (identifier 1) to 0. The peer then
/// does not add fields to the dynamic table, which this client does not implement.
const SETTINGS_WITHOUT_INDEXING: [u8; 6] = [0, 1, 0, 0, 0, 0];
/// Maximum time that a write waits for the peer to read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum wait for an expected frame, or for the end of the connection.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum timeout of a read. The standard library rejects a timeout of zero, because sockets
/// interpret zero as no timeout.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);
/// Maximum number of bytes that one read returns.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Encodes the frames of a whole query on a stream: HEADERS and DATA.
#[must_use]
pub fn query_frames(stream_id: u32, request_id: &str) -> Vec<u8> {
    let fields = query_fields(request_id, &[]);
    [
        encode_frame(HEADERS, END_HEADERS, stream_id, &fields),
        encode_frame(DATA, END_STREAM, stream_id, QUERY_BODY),
    ]
    .concat()
}

/// Outcome of one read of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    /// The connection is open and can be read again.
    Continued,
    /// The connection has ended or failed, or no bytes arrived before the deadline.
    Ended,
}

/// HTTP/2 connection on which the caller writes each frame itself.
pub struct RawHttp2Client {
    stream: TcpStream,
    /// Received bytes that are not decoded as frames yet.
    input: Vec<u8>,
}

impl RawHttp2Client {
    /// Connects without sending anything.
    ///
    /// # Panics
    ///
    /// Panics if the connection cannot be established.
    #[must_use]
    pub fn connect(address: SocketAddr) -> RawHttp2Client {
        let stream = TcpStream::connect(address)
            .unwrap_or_else(|error| panic!("expected a listener on {address}: {error}"));
        stream
            .set_nodelay(true)
            .expect("TCP_NODELAY should be supported on each TCP socket");
        stream
            .set_write_timeout(Some(WRITE_TIMEOUT))
            .expect("the write timeout should be accepted, because it is not zero");
        RawHttp2Client {
            stream,
            input: Vec::new(),
        }
    }

    /// Connects and sends the preface and SETTINGS. The SETTINGS make the peer encode its fields
    /// without the dynamic table.
    ///
    /// # Panics
    ///
    /// Panics if the connection cannot be established, or fails before all bytes are sent.
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
    /// Panics if the connection fails or the peer does not read for 20 seconds.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream
            .write_all(bytes)
            .expect("the peer should keep the connection open and read within 20 s");
    }

    /// Sends all bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has ended or the peer does not read for 20 seconds.
    pub fn try_send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits for the next frame. Returns `None` if the connection ends or no frame arrives within
    /// `timeout`.
    pub fn next_frame(&mut self, timeout: Duration) -> Option<Frame> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(frame) = Frame::take_from(&mut self.input) {
                return Some(frame);
            }
            if self.read(deadline) == ReadOutcome::Ended {
                return None;
            }
        }
    }

    /// Reads from the connection once and appends the bytes to the input.
    fn read(&mut self, deadline: Instant) -> ReadOutcome {
        let remaining = deadline.saturating_duration_since(Instant::now());
        self.stream
            .set_read_timeout(Some(remaining.max(MIN_READ_TIMEOUT)))
            .expect("the read timeout should be accepted, because it is not zero");
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

    /// Waits for a frame of the type `frame_type` and skips frames of other types.
    ///
    /// # Panics
    ///
    /// Panics if the connection ends, or if no frame at all arrives for 30 seconds.
    pub fn expect_frame(&mut self, frame_type: u8) -> Frame {
        let mut skipped: Vec<Frame> = Vec::new();
        loop {
            let Some(frame) = self.next_frame(READ_TIMEOUT) else {
                panic!(
                    "expected a frame of type {frame_type}, but the connection ended or sent \
                     nothing for {READ_TIMEOUT:?}; it sent before: {skipped:?}"
                );
            };
            if frame.frame_type == frame_type {
                return frame;
            }
            skipped.push(frame);
        }
    }

    /// Returns all frames that arrive until the connection ends.
    ///
    /// # Panics
    ///
    /// Panics if the connection does not end within `timeout`.
    pub fn frames_until_close(&mut self, timeout: Duration) -> Vec<Frame> {
        let start = Instant::now();
        let mut frames = Vec::new();
        while let Some(frame) = self.next_frame(timeout.saturating_sub(start.elapsed())) {
            frames.push(frame);
        }
        assert!(
            start.elapsed() < timeout,
            "expected the connection to end within {timeout:?}, but it is open; it sent {frames:?}"
        );
        frames
    }

    /// Reads until the connection ends, and returns as text all bytes that were not decoded as
    /// frames. A listener that expects another protocol may respond in the text of HTTP/1.1.
    ///
    /// # Panics
    ///
    /// Panics if the connection does not end within 30 seconds.
    pub fn text_until_close(&mut self) -> String {
        let deadline = Instant::now() + READ_TIMEOUT;
        while self.read(deadline) == ReadOutcome::Continued {}
        assert!(
            Instant::now() < deadline,
            "expected the connection to end within {READ_TIMEOUT:?}, but it is open; it sent {:?}",
            String::from_utf8_lossy(&self.input)
        );
        String::from_utf8_lossy(&self.input).into_owned()
    }
}
