//! Tests of the earliest arrival of bytes and connections, with chosen times.

use super::*;
use std::time::Duration;

const MILLISECOND: Duration = Duration::from_millis(1);

#[test]
fn bytes_found_on_a_socket_may_have_arrived_since_it_was_last_empty() {
    let start = Instant::now();
    let at = |milliseconds: u32| start + milliseconds * MILLISECOND;
    let mut unread = UnreadBytes::new(at(0), CurrentSlice::default());
    // Bytes that are found at once may have arrived with the connection, and so may the next ones
    // unless the read has emptied the socket.
    assert_eq!(unread.on_read(at(10), 1, false), at(0));
    assert_eq!(unread.on_read(at(11), 1, true), at(0));
    assert_eq!(unread.on_read(at(20), 1, true), at(11));
    // Bytes for which the broker has waited arrived when they were read.
    unread.on_empty();
    assert_eq!(unread.on_read(at(30), 1, true), at(30));
    // Bytes that are found after a pause may have arrived since its start.
    unread.on_empty();
    unread.on_wait_ended(at(40));
    unread.on_wait_ended(at(45));
    assert_eq!(unread.on_read(at(50), 1, true), at(40));
}

#[test]
fn removed_bytes_have_the_arrival_of_their_chunk() {
    let start = Instant::now();
    let at = |milliseconds: u32| start + milliseconds * MILLISECOND;
    let mut arrivals = BufferedArrivals::default();
    arrivals.on_appended(10, at(1));
    arrivals.on_appended(5, at(2));
    assert_eq!(arrivals.on_removed(0), None);
    assert_eq!(arrivals.on_removed(9), Some(at(1)));
    assert_eq!(arrivals.on_removed(1), Some(at(1)));
    assert_eq!(arrivals.on_removed(1), Some(at(2)));
    // Beyond the maximum number of chunks, bytes count as having arrived with the last one.
    for chunk in 0..2 * MAX_BUFFERED_CHUNKS as u32 {
        arrivals.on_appended(1, at(10 + chunk));
    }
    assert_eq!(arrivals.chunks.len(), MAX_BUFFERED_CHUNKS);
    let all = 4 + 2 * MAX_BUFFERED_CHUNKS;
    let last_kept = at(10 + MAX_BUFFERED_CHUNKS as u32 - 2);
    assert_eq!(arrivals.on_removed(all), Some(last_kept));
}

#[test]
fn connection_in_the_backlog_may_have_arrived_since_the_backlog_was_last_empty() {
    let start = Instant::now();
    let at = |milliseconds: u32| start + milliseconds * MILLISECOND;
    let mut backlog = Backlog::new(at(0));
    assert_eq!(backlog.on_accepted(at(5)), at(0));
    backlog.on_empty();
    assert_eq!(backlog.on_accepted(at(10)), at(10));
    assert_eq!(backlog.on_accepted(at(300)), at(10));
    backlog.on_empty();
    assert_eq!(backlog.on_accepted(at(400)), at(400));
    // A connection arrived after the acceptance of the one that was a whole backlog ahead of it.
    for number in 1..=MAX_BACKLOG as u32 {
        assert_eq!(backlog.on_accepted(at(400 + number)), at(400));
    }
    assert_eq!(backlog.on_accepted(at(900)), at(401));
    assert_eq!(backlog.accepted_at.len(), MAX_BACKLOG);
}
