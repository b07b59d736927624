//! Codec for the frames exchanged by brokers and data servers. It works on byte slices and does no
//! I/O.
//!
//! A frame is a length of four bytes (big endian, counting what follows), one byte for the kind,
//! and a payload whose form depends on the kind. [`broker`] encodes and decodes for a broker,
//! [`server`] for a data server. Both sides decode the first message of the bytes that have
//! arrived, as a [`Decoded`] once it is complete, or give an [`InvalidFrame`], after which the
//! connection is of no further use.
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

/// A message decoded from the beginning of the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoded<M> {
    /// The message.
    pub message: M,
    /// Length of its whole frame in bytes: the next frame begins after it.
    pub frame_len: usize,
}
