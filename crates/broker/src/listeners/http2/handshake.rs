//! The start of an HTTP/2 connection: receiving the client's preface and exchanging settings.

use super::guarded_connection::GuardedConnection;
use super::guarded_socket::{GuardState, GuardedSocket};
use super::lifetime::CLOSE_TIMEOUT;
use crate::clock::with_timeout;
use crate::executor::CurrentSlice;
use crate::listeners::arrival::{Arrival, LastArrival, UnreadBytes, read_with_arrival};
use crate::listeners::context::ListenerContext;
use crate::listeners::reply::{CLOSING_RESPONSE, error_reply};
use crate::listeners::slots::{ConnectionSlots, EvictionPriority};
use crate::listeners::timeouts::RECEIVE_TIMEOUT;
use crate::net::{LINGER, linger};
use admission::resource_limits::Http2Limits;
use async_io::{Async, Timer};
use broker_types::time::Timestamp;
use bytes::Bytes;
use futures_lite::{AsyncWriteExt, FutureExt};
use h2::server;
use http1_codec::encode_response;
use http2_flood_guard::{FloodGuard, FloodLimits, PREFACE, Violation};
use query_api::MAX_BODY_BYTES;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Part of [`STREAM_WINDOW_BYTES`] beyond the maximum length of a body, in bytes. It lets a client
/// send more than the maximum, so that a body that is too long is detected. Without it, the client
/// would wait for a window update after the maximum, and its request would time out.
const STREAM_WINDOW_MARGIN_BYTES: u32 = 1024;
/// Flow-control window of a stream, in bytes. A body of maximum length fits without a window
/// update.
const STREAM_WINDOW_BYTES: u32 = MAX_BODY_BYTES as u32 + STREAM_WINDOW_MARGIN_BYTES;
/// Maximum number of bytes of a response that the `h2` library buffers for each stream.
const SEND_BUFFER_BYTES: usize = 32 * 1024;
/// Time for which the `h2` library keeps the state of a stream that was reset. Frames that the
/// client sent on the stream before it received the reset are ignored during this time, instead of
/// being an error (RFC 9113, section 5.4.2).
const RESET_STREAM_MEMORY: Duration = Duration::from_secs(1);
/// Text of the response to a client that speaks HTTP/1.
const PRIOR_KNOWLEDGE_REQUIRED: &str =
    "this port speaks HTTP/2 by prior knowledge (RFC 9113, section 3.3)";

/// Reason why the preface of a connection was not received.
#[derive(Debug, Error)]
pub(super) enum PrefaceError {
    /// The client sent bytes that are not the preface.
    #[error(transparent)]
    Violation(#[from] Violation),
    /// The client disconnected or did not send the whole preface within [`RECEIVE_TIMEOUT`], or the
    /// connection was evicted.
    #[error("the connection was closed before its preface")]
    Closed,
}

/// The start of the input of a connection, with its preface.
pub(super) struct ReceivedPreface {
    /// The preface and what followed it in the same read.
    pub(super) bytes: Vec<u8>,
    /// When the last of these bytes arrived.
    pub(super) arrival: Arrival,
    /// The bytes that have not been read yet.
    pub(super) unread: UnreadBytes,
}

/// Reads the connection preface and what follows it in the same read. The connection may be
/// evicted meanwhile.
pub(super) async fn read_preface(
    stream: &Async<TcpStream>,
    mut arrival: Arrival,
    slots: &ConnectionSlots,
    slice: &CurrentSlice,
) -> Result<ReceivedPreface, PrefaceError> {
    // This guard checks only the bytes of `PREFACE`, which precede the first frame. Its limits
    // apply to frames and therefore have no effect.
    let mut guard = FloodGuard::new(Timestamp::ORIGIN, FloodLimits::new(1, 1));
    let mut received = Vec::new();
    let mut unread = UnreadBytes::new(arrival.arrived_at, slice.clone());
    let evictable = slots.evictable(EvictionPriority::Unused);
    let read = async {
        while received.len() < PREFACE.len() {
            let inspected = received.len();
            let read = read_with_arrival(stream, &mut received, &mut unread).await;
            let read = read.map_err(|_| PrefaceError::Closed)?;
            if read.len == 0 {
                return Err(PrefaceError::Closed);
            }
            arrival.arrived_at = read.arrived_at;
            let end = received.len().min(PREFACE.len());
            guard.on_received(Timestamp::ORIGIN, &received[inspected..end])?;
        }
        Ok(())
    };
    let closed = async {
        let timeout = async { _ = Timer::after(RECEIVE_TIMEOUT).await };
        evictable.evicted().or(timeout).await;
        Err(PrefaceError::Closed)
    };
    read.or(closed).await?;
    Ok(ReceivedPreface {
        bytes: received,
        arrival,
        unread,
    })
}

/// Closes a connection whose client does not speak HTTP/2. A client that speaks HTTP/1 gets an
/// HTTP/1.1 response that says what this port expects.
pub(super) async fn reject_protocol(
    context: &ListenerContext,
    stream: &Async<TcpStream>,
    violation: Violation,
) -> io::Result<()> {
    if violation == Violation::Http1Request {
        let reply = error_reply(400, PRIOR_KNOWLEDGE_REQUIRED);
        let response = context.with_date(reply.response);
        let encoded = encode_response(&response, CLOSING_RESPONSE);
        with_timeout(CLOSE_TIMEOUT, (&*stream).write_all(&encoded)).await?;
    }
    linger(stream, LINGER).await
}

/// Exchanges settings with the client, after [`read_preface`] has read `preface`.
/// The result is boxed, so that the task of a connection does not reserve memory for it before the
/// settings are exchanged.
pub(super) async fn handshake(
    limits: Http2Limits,
    context: &ListenerContext,
    stream: Rc<Async<TcpStream>>,
    preface: ReceivedPreface,
) -> io::Result<Box<GuardedConnection>> {
    let clock = context.clock();
    let flood_limits = FloodLimits::new(limits.max_streams, limits.max_header_list);
    let guard = GuardState::new(FloodGuard::new(clock.now(), flood_limits));
    let _ = stream.get_ref().set_nodelay(true);
    let last_arrival = LastArrival::new(preface.arrival);
    let socket = GuardedSocket::new(
        stream,
        preface,
        guard.clone(),
        last_arrival.clone(),
        context,
    );
    let max_streams = limits.max_streams as usize;
    let handshake = server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(limits.connection_window)
        .max_concurrent_streams(limits.max_streams)
        .max_header_list_size(limits.max_header_list)
        .max_send_buffer_size(SEND_BUFFER_BYTES)
        .max_concurrent_reset_streams(max_streams)
        .max_pending_accept_reset_streams(max_streams)
        .reset_stream_duration(RESET_STREAM_MEMORY)
        .handshake::<_, Bytes>(socket);
    let handshake = async { handshake.await.map_err(io::Error::other) };
    let h2 = with_timeout(RECEIVE_TIMEOUT, handshake).await?;
    Ok(Box::new(GuardedConnection::new(h2, guard, last_arrival)))
}
