//! Codec for the frames exchanged by brokers and data servers. It works on byte slices and does no
//! I/O.
//!
//! A frame consists of a length of four bytes (big endian; it counts all bytes after itself), one
//! byte for the kind, and a payload whose form depends on the kind. Module [`broker`] encodes and
//! decodes for a broker, module [`server`] for a data server. Both `decode` functions decode the
//! first frame of the bytes that have arrived. They return a [`Decoded`] message once the frame is
//! complete. If the frame is invalid, they return an [`InvalidFrame`], and the connection must be
//! closed.
//!
//! ```
//! use server_protocol::broker::{self, PartRequest, ServerMessage};
//! use server_protocol::server::{self, BrokerMessage};
//! use server_protocol::PartStatus;
//!
//! let part = PartRequest { id: "9b.3", shard: 3, wait_ms: 240, idempotency_key: None, text: "c41e77d0" };
//! let call = broker::encode_call([part]);
//! assert_eq!(server::decode(&call[..6]), Ok(None));
//! let decoded = server::decode(&call).unwrap().unwrap();
//! assert_eq!(decoded.frame_len, call.len());
//! let BrokerMessage::Call(parts) = decoded.message else { panic!() };
//!
//! let response = server::encode_part_response(&parts[0].id, PartStatus::Succeeded, 2, "5be2");
//! let decoded = broker::decode(&response).unwrap().unwrap();
//! let ServerMessage::PartResponse(response) = decoded.message else { panic!() };
//! assert_eq!((response.id.as_str(), response.value.as_str()), ("9b.3", "5be2"));
//! assert_eq!(response.requests_in_flight, Some(2.0));
//! ```

pub mod broker;
mod error;
mod fields;
mod frame;
mod part_status;
pub mod server;

pub use error::InvalidFrame;
pub use part_status::PartStatus;

/// Message that was decoded from the start of the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoded<M> {
    /// The decoded message.
    pub message: M,
    /// Length of the message's whole frame, in bytes. The next frame starts after it.
    pub frame_len: usize,
}
