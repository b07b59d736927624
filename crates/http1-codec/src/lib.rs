//! HTTP/1.1 framing (RFC 9112): decodes received bytes into complete messages and encodes
//! responses. This package does not use sockets.
//!
//! A decoder keeps its state between calls, so that the bytes of a body that arrives in many reads
//! are not scanned again for each read. Where lenient parsing would allow request smuggling, the
//! decoder is strict: it rejects whatever RFC 9112 allows a server to reject. Chunk extensions and
//! trailer fields are discarded.
//!
//! ```
//! use http1_codec::{Limits, Progress, RequestDecoder};
//!
//! let mut input = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n".to_vec();
//! let mut decoder = RequestDecoder::new(Limits { head_bytes: 16 * 1024, body_bytes: 64 * 1024 });
//! let Ok(Progress::Complete(message)) = decoder.decode(&mut input) else { panic!() };
//! assert_eq!((message.value.uri().path(), message.keep_alive, input.len()), ("/-/ready", true, 0));
//! ```

mod body;
mod decode;
mod encode;
mod error;
mod fields;
mod head;
mod limits;
mod partial_message;

pub use decode::{Message, Progress, RequestDecoder, ResponseDecoder};
pub use encode::{ResponseOptions, encode_response};
pub use error::ParseError;
pub use limits::Limits;
