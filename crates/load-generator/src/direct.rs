//! A connection to a data server, as a broker has it.

use crate::query::{LoadQuery, QUERY_TEXT, QueryOutcome, ShardValue};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use server_protocol::Decoded;
use server_protocol::broker::{PartRequest, ServerMessage, decode, encode_call};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// A connection.
pub(crate) struct Direct {
    stream: Async<TcpStream>,
    input: Vec<u8>,
}

impl Direct {
    pub(crate) async fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(to).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Direct {
            stream,
            input: Vec::new(),
        })
    }

    /// Sends all parts in one call and waits for their answers.
    pub(crate) async fn ask(&mut self, ask: &LoadQuery) -> io::Result<QueryOutcome> {
        let ids: Vec<String> = ask
            .shards
            .iter()
            .map(|s| format!("{}.{s}", ask.id))
            .collect();
        let wait_ms = ask.client_timeout.as_millis() as u64;
        let parts = ids.iter().zip(&ask.shards);
        let bytes = encode_call(parts.map(|(id, shard)| PartRequest {
            id,
            shard: *shard,
            wait_ms,
            idempotency_key: None,
            text: QUERY_TEXT,
        }));
        self.stream.write_all(&bytes).await?;
        let (mut values, mut chunk) = (Vec::new(), [0; 4096]);
        while values.len() < ids.len() {
            match decode(&self.input).map_err(io::Error::other)? {
                Some(Decoded {
                    message: ServerMessage::PartResponse(response),
                    frame_len,
                }) => {
                    self.input.drain(..frame_len);
                    values.push(ShardValue {
                        shard: values.len(),
                        value: response.value,
                    });
                }
                Some(Decoded {
                    message: ServerMessage::FrameRejected(reason),
                    ..
                }) => return Err(io::Error::other(reason)),
                None => match self.stream.read(&mut chunk).await? {
                    0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                    n => self.input.extend_from_slice(&chunk[..n]),
                },
            }
        }
        Ok(QueryOutcome::Answered {
            complete: true,
            values,
        })
    }
}
