//! Flood detection for HTTP/2 connections, without I/O or clock.
//!
//! An HTTP/2 library enforces the limits that the protocol itself defines: the number of streams,
//! the flow-control windows, and the size of header lists. The protocol does not limit the number
//! of frames that cause work without carrying any part of a request (RFC 9113, section 10.5): PING,
//! SETTINGS, PRIORITY, empty DATA frames that do not end a request, window updates (a client may
//! enlarge the window by one byte at a time), stream resets (a client may reset each stream as soon
//! as it has opened it), GOAWAY, and frames of unknown types. It does not limit the number of
//! CONTINUATION frames in a header block either.
//!
//! The [`FloodGuard`] reads the frame headers in the bytes that a client sends. Each frame of these
//! kinds, except an acknowledgement, takes a token from a token bucket, which is refilled at a
//! constant rate and by every response. A client that sends requests and reads the responses never
//! empties the bucket.
//!
//! The guard also reports since when the preface, a frame or a header block has been incomplete, and
//! detects clients that do not speak HTTP/2. The preface includes the client's first SETTINGS
//! frame, which follows the bytes of [`PREFACE`].
//!
//! ```
//! use broker_types::time::Timestamp;
//! use http2_flood_guard::{FloodGuard, FloodLimits, PREFACE, Violation};
//!
//! let now = Timestamp::ORIGIN;
//! let limits = FloodLimits::new(100, 8 * 1024);
//! let mut guard = FloodGuard::new(now, limits);
//! assert_eq!(guard.on_received(now, PREFACE), Ok(()));
//! assert_eq!(guard.incomplete_since(), Some(now), "the client has not sent its SETTINGS");
//!
//! let mut guard = FloodGuard::new(now, limits);
//! assert_eq!(guard.on_received(now, b"GET / HTTP/1.1\r\n"), Err(Violation::Http1Request));
//! ```

mod frame;
mod frame_scanner;
mod guard;
mod token_bucket;
mod violation;

pub use frame::FrameKind;
pub use frame_scanner::PREFACE;
pub use guard::{FloodGuard, FloodLimits};
pub use violation::Violation;
