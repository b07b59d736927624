//! The send queue of one connection.

use super::super::send_queue::OutgoingFrame;
use super::*;
use std::io::Read;
use std::net::Shutdown;

/// Creates a call with one part.
fn call(wire_id: &str, deadline: Timestamp) -> OutgoingFrame {
    OutgoingFrame::Call(vec![outgoing_part(wire_id, deadline)])
}

/// A part counts as sent once the socket has accepted the first byte of its frame. Until then it
/// must be possible to withdraw the part, and nothing of it may reach the server afterwards.
#[test]
fn part_can_be_withdrawn_while_the_socket_is_full() {
    let (broker, mut server) = socket_pair();
    let filled = fill_send_buffer(&broker);
    let send_queue = SendQueue::default();
    send_queue.push(call("q1.0", at(HOUR)));
    poll_write(&broker, &send_queue);
    assert!(send_queue.is_blocked() && send_queue.try_withdraw("q1.0"));
    let mut received = vec![0; filled];
    server.read_exact(&mut received).unwrap();
    poll_write(&broker, &send_queue);
    broker.get_ref().shutdown(Shutdown::Write).unwrap();
    assert_eq!(server.read(&mut received).unwrap(), 0);
}

/// The time that a part has spent in the queue must be subtracted from the time that its frame
/// gives to the server. A part without time left must not be sent.
#[test]
fn frame_contains_the_time_left_when_it_is_written() {
    let send_queue = SendQueue::default();
    let write_payload = |now| {
        let started = send_queue.start_frame(now)?;
        send_queue.finish_frame();
        // The payload follows the length of the frame (4 bytes) and its kind (1 byte).
        Some(String::from_utf8_lossy(&started.bytes()[5..]).into_owned())
    };
    send_queue.push(call("q1.0", at(SECOND)));
    let payload = write_payload(at(SECOND / 4));
    assert_eq!(payload.as_deref(), Some("q1.0 0 d=750 8\nc41e77d0"));
    send_queue.push(call("q2.0", at(SECOND)));
    send_queue.push(call("q3.0", at(2 * SECOND)));
    let payload = write_payload(at(SECOND));
    assert_eq!(payload.as_deref(), Some("q3.0 0 d=1000 8\nc41e77d0"));
    assert_eq!(write_payload(at(SECOND)), None);
    assert!(send_queue.unwritten_parts().contains("q2.0"));
    assert!(send_queue.try_withdraw("q2.0") && !send_queue.try_withdraw("q2.0"));
}
