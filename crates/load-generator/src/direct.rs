//! Client of a data server that uses the protocol between brokers and data servers.

use crate::query::{LoadQuery, QUERY_TEXT, QueryOutcome, ShardValue};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use server_protocol::broker::{PartRequest, PartResponse, ServerMessage, decode, encode_call};
use server_protocol::{Decoded, InvalidFrame};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// Maximum number of bytes that one read returns.
const READ_CHUNK_BYTES: usize = 4096;

/// Reason why a query to a data server failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DirectError {
    /// The server sent bytes that are not a valid frame of the protocol.
    #[error("invalid frame from the data server: {0}")]
    InvalidFrame(#[from] InvalidFrame),
    /// The server rejected the call. Contains the reason that it gave.
    #[error("the data server rejected the call: {0}")]
    CallRejected(String),
    /// The server responded to a part that the call does not contain.
    #[error("the data server responded to part {0}, which the call does not contain")]
    UnknownPart(String),
    /// The connection failed or ended.
    #[error("the connection to the data server failed: {0}")]
    Io(#[from] io::Error),
}

/// A connection to a data server. It carries one query at a time.
pub(crate) struct DirectClient {
    stream: Async<TcpStream>,
    /// Received bytes that are not decoded yet.
    input: Vec<u8>,
}

impl DirectClient {
    /// Connects to a data server.
    pub(crate) async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(DirectClient {
            stream,
            input: Vec::new(),
        })
    }

    /// Sends all parts of a query in one call and waits for the response to each. The result is
    /// always a complete answer, because the client does not check the outcomes of the parts: it is
    /// the baseline of measurements, in which data servers have no faults.
    pub(crate) async fn send_query(
        &mut self,
        query: &LoadQuery,
    ) -> Result<QueryOutcome, DirectError> {
        let part_ids: Vec<String> = query
            .shards
            .iter()
            .map(|shard| format!("{}.{shard}", query.id))
            .collect();
        self.send_call(query, &part_ids).await?;
        let mut values = Vec::new();
        while values.len() < part_ids.len() {
            let response = self.read_response().await?;
            let Some(part) = part_ids.iter().position(|id| *id == response.id) else {
                return Err(DirectError::UnknownPart(response.id));
            };
            values.push(ShardValue {
                shard: query.shards[part],
                value: response.value,
            });
        }
        Ok(QueryOutcome::Answered {
            complete: true,
            values,
        })
    }

    /// Sends a call with one part for each shard of the query.
    async fn send_call(&mut self, query: &LoadQuery, part_ids: &[String]) -> io::Result<()> {
        let wait_ms = query.client_timeout.as_millis() as u64;
        let parts = part_ids
            .iter()
            .zip(&query.shards)
            .map(|(id, shard)| PartRequest {
                id,
                shard: *shard,
                wait_ms,
                idempotency_key: None,
                text: QUERY_TEXT,
            });
        let call = encode_call(parts);
        self.stream.write_all(&call).await
    }

    /// Waits for the next response to a part.
    async fn read_response(&mut self) -> Result<PartResponse, DirectError> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            match decode(&self.input)? {
                Some(Decoded {
                    message: ServerMessage::PartResponse(response),
                    frame_len,
                }) => {
                    self.input.drain(..frame_len);
                    return Ok(response);
                }
                Some(Decoded {
                    message: ServerMessage::FrameRejected(reason),
                    ..
                }) => return Err(DirectError::CallRejected(reason)),
                None => match self.stream.read(&mut chunk).await? {
                    0 => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                    length => self.input.extend_from_slice(&chunk[..length]),
                },
            }
        }
    }
}
