//! Codec for the frames exchanged by brokers and data servers. It works on byte slices and does no I/O.
//!
//! A frame is a length of four bytes (big endian, counting what follows), one byte for the kind, and a payload
//! whose form depends on the kind. [`broker`] encodes and decodes for a broker, [`server`] for a data server.

pub mod broker;
pub mod error;
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
