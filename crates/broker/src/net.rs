//! Socket operations that are used for clients' connections, for connections to data servers and
//! for the connection to discovery.

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

/// Time for which the broker continues to read from a connection after it has closed its sending
/// side. Closing a socket that holds unread data resets the connection, and a reset can destroy the
/// last response before the client has read it (RFC 9112, section 9.6).
pub const LINGER: Duration = Duration::from_millis(500);
/// Shorter time that is used in place of [`LINGER`] for a connection that was idle. Its client has
/// already read the last response, if there was one, so a reset can no longer destroy it.
pub const LINGER_IDLE: Duration = Duration::from_millis(100);
/// Maximum number of bytes that one read takes from a socket.
pub const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Minimum number of bytes by which an input buffer grows.
const MIN_GROWTH_BYTES: usize = READ_CHUNK_BYTES / 4;

/// Waits until the socket is readable and appends up to 16 KiB of the received bytes to `input`.
/// Returns the number of bytes read, which is 0 at the end of the stream. The future may be dropped
/// while it waits without losing data, because it takes bytes from the socket only when it
/// completes.
///
/// The bytes are read into a buffer on the stack and copied from there. A connection holds this
/// future for as long as it waits for data, so a buffer inside the future would occupy memory for
/// each idle connection.
///
/// # Errors
///
/// Returns the error of the read.
pub async fn read_some(mut stream: &Async<TcpStream>, input: &mut Vec<u8>) -> io::Result<usize> {
    poll_fn(|cx| {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let length = ready!(Pin::new(&mut stream).poll_read(cx, &mut chunk))?;
        // The default growth of a vector doubles its capacity, which could use twice the memory
        // that is planned for the buffers of all connections.
        if input.capacity() - input.len() < length {
            input.reserve_exact(length.max(MIN_GROWTH_BYTES));
        }
        input.extend(&chunk[..length]);
        Ok(length).into()
    })
    .await
}

/// Returns whether the peer has closed its sending side or the connection has failed. The socket
/// may still hold unread data that the peer sent before.
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

/// Closes the sending side of a connection, and discards the data that the client still sends until
/// the client has closed its side or `limit` has passed. The data has to be read because closing a
/// socket that holds unread bytes resets the connection.
///
/// # Errors
///
/// Returns the error of the read, or [`io::ErrorKind::TimedOut`] if the client does not close its
/// side within `limit`.
pub async fn linger(stream: &Async<TcpStream>, limit: Duration) -> io::Result<()> {
    // This fails if the HTTP/2 library has already closed the sending side, which is no error here.
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let mut discarded = Vec::new();
    let drain = async {
        while read_some(stream, &mut discarded).await? > 0 {
            discarded.clear();
            // Lets other tasks run: a client that sends continuously must not occupy the thread.
            yield_now().await;
        }
        Ok(())
    };
    with_timeout(limit, drain).await
}
