//! Socket operations shared by clients' connections, data servers' connections and discovery.

use crate::clock::with_timeout;
use async_io::Async;
use futures_lite::AsyncRead;
use futures_lite::future::yield_now;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::future::poll_fn;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::task::ready;
use std::time::Duration;

/// Time for which a connection that the broker closes is still read, so that a reset does not
/// destroy its last response (RFC 9112, section 9.6).
pub const LINGER: Duration = Duration::from_millis(500);
/// The same for a connection whose last response was read by the client long ago.
pub const LINGER_IDLE: Duration = Duration::from_millis(100);
/// Most bytes that one read takes.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Least number of bytes by which a buffer grows.
const MIN_GROWTH_BYTES: usize = READ_CHUNK_BYTES / 4;

/// Waits until the socket is readable and appends what it holds to `input`. Returns the number of
/// bytes read; 0 at the end of the stream. Nothing is taken from the socket before this returns, so
/// the future may be dropped while it waits.
///
/// The bytes go through a buffer on the stack. The future lives as long as its connection, so a
/// buffer inside it would cost its memory for each idle connection.
///
/// # Errors
///
/// The error of the socket.
pub async fn read_some(mut stream: &Async<TcpStream>, input: &mut Vec<u8>) -> io::Result<usize> {
    poll_fn(|cx| {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let length = ready!(Pin::new(&mut stream).poll_read(cx, &mut chunk))?;
        // Doubling could use twice the memory that is planned for the buffers of all connections.
        if input.capacity() - input.len() < length {
            input.reserve_exact(length.max(MIN_GROWTH_BYTES));
        }
        input.extend(&chunk[..length]);
        Ok(length).into()
    })
    .await
}

/// Returns whether the peer has closed its sending side or the connection has failed. Data that the
/// peer sent before may still be unread.
#[must_use]
pub fn has_hung_up(stream: &Async<TcpStream>) -> bool {
    let mut polled = [PollFd::new(stream.get_ref(), PollFlags::RDHUP)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let hung_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut polled, Some(&no_wait)).is_ok() && polled[0].revents().intersects(hung_up)
}

/// Closes the sending side of a connection and discards what the client still sends, until the
/// client has closed its side or `limit` has passed. Closing a socket with unread bytes would cause
/// a reset.
///
/// # Errors
///
/// The error of the socket, or [`io::ErrorKind::TimedOut`] if the client does not close its side in
/// time.
pub async fn linger(stream: &Async<TcpStream>, limit: Duration) -> io::Result<()> {
    // Fails where the HTTP/2 library has closed the sending side already.
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let mut discarded = Vec::new();
    let drain = async {
        while read_some(stream, &mut discarded).await? > 0 {
            discarded.clear();
            yield_now().await;
        }
        Ok(())
    };
    with_timeout(limit, drain).await
}
