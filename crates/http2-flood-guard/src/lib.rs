//! Flood detection for HTTP/2 connections, without I/O or clock.
//!
//! An HTTP/2 library enforces the limits of the protocol itself: streams, windows, header lists.
//! Frames that cause work without carrying any part of a request are legal in any number (RFC 9113,
//! section 10.5): PING, SETTINGS, PRIORITY, empty DATA, small window updates, resets of new
//! streams, CONTINUATION without end. The [`FloodGuard`] reads the frame headers as bytes arrive,
//! and charges such frames to a token bucket that refills with time and with every response. A
//! client that sends requests and reads the responses never empties it.
//!
//! The guard also reports since when a frame or a header block has been incomplete, and whether the
//! connection speaks HTTP/2 at all.
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
