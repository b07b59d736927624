//! The guard of one connection and its limits.

use crate::frame::{FrameHeader, FrameKind};
use crate::frame_scanner::FrameScanner;
use crate::token_bucket::TokenBucket;
use crate::violation::Violation;
use broker_types::time::Timestamp;

/// Tokens of [`FloodLimits::new`] beyond two for each stream, for the control frames of an ordinary
/// client.
const BASE_BURST_TOKENS: u32 = 200;
/// Refill of [`FloodLimits::new`], in tokens a second.
const TOKENS_PER_SECOND: u32 = 100;
/// Tokens that [`FloodLimits::new`] grants for each response, for frames such as resets, window
/// updates and PING.
const TOKENS_PER_RESPONSE: u32 = 4;
/// Body bytes of a response for which a client may send one more window update without cost.
const BODY_BYTES_PER_WINDOW_UPDATE: usize = 1024;

/// Limits on frames that cause work without carrying any part of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FloodLimits {
    /// Tokens of a new connection, and the most that it can hold.
    pub burst_tokens: u32,
    /// Tokens that are refilled a second.
    pub tokens_per_second: u32,
    /// Tokens that each response adds.
    pub tokens_per_response: u32,
    /// Longest header block, in bytes of its frames' payloads.
    pub max_header_block_bytes: u32,
}

impl FloodLimits {
    /// Limits for connections with at most `max_streams` concurrent streams and header lists of at
    /// most `max_header_list_bytes`. A client may reset all its streams at once, twice, before it
    /// counts as a flood.
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

/// Watches what a client sends on one connection.
#[derive(Debug)]
pub struct FloodGuard {
    limits: FloodLimits,
    tokens: TokenBucket,
    scanner: FrameScanner,
    incomplete_since: Option<Timestamp>,
    /// Whether the client has sent its first SETTINGS frame, which completes the start of a
    /// connection.
    has_received_settings: bool,
    /// Length of the current header block so far, in bytes; 0 between header blocks.
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
    /// Returns a [`Violation`] if the connection has to be closed. The guard cannot be used any
    /// further then.
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

    /// Adds the tokens that a response earns. Its reader needs window updates in proportion to its
    /// body.
    pub fn on_response_sent(&mut self, body_bytes: usize) {
        let window_updates =
            u32::try_from(body_bytes / BODY_BYTES_PER_WINDOW_UPDATE).unwrap_or(u32::MAX);
        let tokens = self
            .limits
            .tokens_per_response
            .saturating_add(window_updates);
        self.tokens.add(tokens);
    }

    /// Since when the preface, a frame or a header block has been incomplete.
    #[must_use]
    pub fn incomplete_since(&self) -> Option<Timestamp> {
        self.incomplete_since
    }

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

/// Tokens that a frame costs.
fn token_cost(frame: FrameHeader) -> u32 {
    match frame.kind {
        // It carries a request, whose number the limit on concurrent streams bounds.
        FrameKind::Headers => 0,
        FrameKind::Data => u32::from(frame.payload_bytes == 0 && !frame.ends_stream()),
        // An acknowledgement responds to a frame of this side.
        FrameKind::Settings | FrameKind::Ping => u32::from(!frame.is_ack()),
        // A CONTINUATION frame is work that a longer HEADERS frame would save.
        FrameKind::Continuation
        | FrameKind::WindowUpdate
        | FrameKind::ResetStream
        | FrameKind::Priority
        | FrameKind::GoAway
        | FrameKind::Other => 1,
    }
}
