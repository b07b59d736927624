//! A connection to a data server over the servers' own protocol, as a broker has it.

use crate::query::{LoadQuery, QUERY_TEXT, QueryOutcome, ShardValue};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use server_protocol::broker::{PartRequest, PartResponse, ServerMessage, decode, encode_call};
use server_protocol::{Decoded, InvalidFrame};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// Bytes that are read at once.
const READ_CHUNK_BYTES: usize = 4096;

/// Why a query to a data server failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DirectError {
    /// The server sent something that is no frame of the protocol.
    #[error(transparent)]
    InvalidFrame(#[from] InvalidFrame),
    /// The server rejected the call, for this reason.
    #[error("{0}")]
    CallRejected(String),
    /// The server answered a part that the call does not hold.
    #[error("a response to part {0}, which was not requested")]
    UnknownPart(String),
    /// The connection failed or ended.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A connection that carries one query at a time.
pub(crate) struct DirectClient {
    stream: Async<TcpStream>,
    input: Vec<u8>,
}

impl DirectClient {
    pub(crate) async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(DirectClient {
            stream,
            input: Vec::new(),
        })
    }

    /// Sends all parts of a query in one call and waits for their responses.
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
