//! The flood guard of one connection, and its limits.

use crate::frame::{FrameHeader, FrameKind};
use crate::frame_scanner::FrameScanner;
use crate::token_bucket::TokenBucket;
use crate::violation::Violation;
use broker_types::time::Timestamp;

/// Part of [`FloodLimits::burst_tokens`] that does not depend on the number of streams. It suffices
/// for the control frames of an ordinary client.
const BASE_BURST_TOKENS: u32 = 200;
/// Refill rate that [`FloodLimits::new`] sets, in tokens per second.
const TOKENS_PER_SECOND: u32 = 100;
/// Number of tokens that [`FloodLimits::new`] grants for each response. They pay for the frames
/// that a client sends along with a request, such as resets, window updates and PING.
const TOKENS_PER_RESPONSE: u32 = 4;
/// Number of body bytes of a response for which one further token is granted, because the client
/// has to send window updates to receive a long body.
const BODY_BYTES_PER_WINDOW_UPDATE: usize = 1024;

/// Limits that a [`FloodGuard`] enforces on one connection.
///
/// Each frame that causes work without carrying any part of a request takes a token from a bucket,
/// and so does each CONTINUATION frame. A frame for which the bucket has no token is a violation.
/// The length of a header block is limited separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FloodLimits {
    /// Number of tokens that a new connection has, which is also the maximum that it can hold.
    pub burst_tokens: u32,
    /// Refill rate, in tokens per second.
    pub tokens_per_second: u32,
    /// Number of tokens that each response adds, whatever the length of its body.
    pub tokens_per_response: u32,
    /// Maximum length of a header block, in bytes. The payloads of its HEADERS and CONTINUATION
    /// frames are counted.
    pub max_header_block_bytes: u32,
}

impl FloodLimits {
    /// Creates the limits for connections with at most `max_streams` concurrent streams and header
    /// lists of at most `max_header_list_bytes`. The initial tokens include two for each stream, so
    /// that a client can reset all of its streams twice in immediate succession without exceeding
    /// the limits.
    ///
    /// `max_header_list_bytes` refers to the decoded header list. The guard counts the bytes of the
    /// encoded header block, of which there may be twice as many.
    #[must_use]
    pub fn new(max_streams: u32, max_header_list_bytes: u32) -> Self {
        FloodLimits {
            burst_tokens: 2 * max_streams + BASE_BURST_TOKENS,
            tokens_per_second: TOKENS_PER_SECOND,
            tokens_per_response: TOKENS_PER_RESPONSE,
            max_header_block_bytes: 2 * max_header_list_bytes,
        }
    }
}

/// Inspects the bytes that a client sends on one connection, and reports violations of its
/// [`FloodLimits`].
#[derive(Debug)]
pub struct FloodGuard {
    limits: FloodLimits,
    tokens: TokenBucket,
    scanner: FrameScanner,
    /// See [`Self::incomplete_since`].
    incomplete_since: Option<Timestamp>,
    /// Whether the client has sent its first SETTINGS frame, which is the second part of its
    /// connection preface (RFC 9113, section 3.4).
    has_received_settings: bool,
    /// Number of bytes of the current header block that have been announced by frame headers; 0
    /// between header blocks.
    header_block_bytes: u32,
}

impl FloodGuard {
    /// Creates a guard for a new connection.
    #[must_use]
    pub fn new(now: Timestamp, limits: FloodLimits) -> Self {
        FloodGuard {
            limits,
            tokens: TokenBucket::new(now, limits.burst_tokens, limits.tokens_per_second),
            scanner: FrameScanner::default(),
            incomplete_since: Some(now),
            has_received_settings: false,
            header_block_bytes: 0,
        }
    }

    /// Inspects the bytes that the client sent next.
    ///
    /// # Errors
    ///
    /// Returns a [`Violation`] if the connection has to be closed. The guard must not be used after
    /// that.
    pub fn on_received(&mut self, now: Timestamp, mut bytes: &[u8]) -> Result<(), Violation> {
        while !bytes.is_empty() {
            let scanned = self.scanner.scan(bytes)?;
            bytes = &bytes[scanned.consumed..];
            if let Some(frame) = scanned.frame {
                self.on_frame(now, frame)?;
            }
        }
        let is_complete = self.scanner.is_between_frames()
            && self.header_block_bytes == 0
            && self.has_received_settings;
        self.incomplete_since = if is_complete {
            None
        } else {
            Some(self.incomplete_since.unwrap_or(now))
        };
        Ok(())
    }

    /// Adds the tokens that are granted for a response with a body of `body_bytes`. Their number
    /// grows with the length of the body, because so does the number of window updates that the
    /// client has to send to receive it.
    pub fn on_response_sent(&mut self, body_bytes: usize) {
        let window_updates =
            u32::try_from(body_bytes / BODY_BYTES_PER_WINDOW_UPDATE).unwrap_or(u32::MAX);
        let tokens = self
            .limits
            .tokens_per_response
            .saturating_add(window_updates);
        self.tokens.add(tokens);
    }

    /// Returns since when the preface, a frame or a header block has been incomplete, or `None` if
    /// none is. The preface includes the client's first SETTINGS frame, and counts as incomplete
    /// from the creation of the guard.
    ///
    /// Only the end of the bytes of each call of [`Self::on_received`] counts. While every call ends
    /// within a frame or a header block, the time remains that of the first of these calls, even if
    /// frames have been completed since.
    #[must_use]
    pub fn incomplete_since(&self) -> Option<Timestamp> {
        self.incomplete_since
    }

    /// Checks a frame whose header has arrived, and takes the tokens that it costs.
    fn on_frame(&mut self, now: Timestamp, frame: FrameHeader) -> Result<(), Violation> {
        let is_first = !std::mem::replace(&mut self.has_received_settings, true);
        if is_first && frame.kind != FrameKind::Settings {
            return Err(Violation::MissingSettings);
        }
        if matches!(frame.kind, FrameKind::Headers | FrameKind::Continuation) {
            self.on_header_block_fragment(frame)?;
        }
        if self.tokens.try_take(now, token_cost(frame)) {
            Ok(())
        } else {
            Err(Violation::Flood(frame.kind))
        }
    }

    /// Counts a fragment of a header block (RFC 9113, section 4.3).
    fn on_header_block_fragment(&mut self, frame: FrameHeader) -> Result<(), Violation> {
        self.header_block_bytes = self.header_block_bytes.saturating_add(frame.payload_bytes);
        if self.header_block_bytes > self.limits.max_header_block_bytes {
            return Err(Violation::HeaderBlockTooLong);
        }
        if frame.ends_headers() {
            self.header_block_bytes = 0;
        }
        Ok(())
    }
}

/// Returns the number of tokens that a frame costs.
fn token_cost(frame: FrameHeader) -> u32 {
    match frame.kind {
        // HEADERS carries a request. The limit on concurrent streams bounds the number of open
        // requests, and a client that resets streams to open more of them needs a token for each
        // RST_STREAM.
        FrameKind::Headers => 0,
        // A DATA frame carries a part of a request if it has a payload or ends the request.
        FrameKind::Data => u32::from(frame.payload_bytes == 0 && !frame.ends_stream()),
        // An acknowledgement is the required response to a frame that the server sent.
        FrameKind::Settings | FrameKind::Ping => u32::from(!frame.is_ack()),
        // CONTINUATION carries a part of a request, but costs a token all the same, because a
        // client can avoid the additional frame by sending a longer HEADERS frame.
        FrameKind::Continuation
        | FrameKind::WindowUpdate
        | FrameKind::ResetStream
        | FrameKind::Priority
        | FrameKind::GoAway
        | FrameKind::Other => 1,
    }
}
