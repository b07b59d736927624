//! Outcomes of attempts whose connection fails.

use super::*;
use crate::event_queue::Event;
use std::io::Read;

/// The end of a connection that had been established does not show whether its server is reachable.
#[test]
fn attempt_queued_on_an_established_connection_ends_as_not_sent_when_it_fails() {
    let (mut pools, _listener) = pools_with(single_socket());
    pools.send_attempts(0, attempts(1, 1));
    run_until_written(&pools, CONNECTION_0);
    pools.send_attempts(10, attempts(2, 1));
    pools.on_connection_event(20, CONNECTION_0, connection_reset());
    assert_eq!(
        take_outcomes(&mut pools, 30),
        [Outcome::ConnectionLost, Outcome::NotSent]
    );
}

/// A part that was not written completely never ran; one that was may have run, or may run yet.
#[test]
fn outcome_shows_whether_the_attempt_may_have_run() {
    let (mut pools, _listener) = pools_with(limits());
    pools.send_attempts(0, attempts(1, 1));
    assert_eq!(take_outcomes(&mut pools, SECOND), [Outcome::Unreachable]);

    pools.send_attempts(0, attempts(2, 2));
    start_frame(&pools, CONNECTION_0);
    pools.on_connection_event(20, CONNECTION_0, connection_reset());
    assert_eq!(take_outcomes(&mut pools, 30), [Outcome::Unreachable; 2]);

    pools.send_attempts(30, attempts(3, 1));
    run_until_written(&pools, CONNECTION_1);
    let has_closed = pools.event_queue.drain().iter().any(|event| {
        matches!(
            event,
            Event::ServerConnection {
                connection: CONNECTION_1,
                event: ConnectionEvent::Closed(_)
            }
        )
    });
    assert!(!has_closed);
    pools.on_connection_event(40, CONNECTION_1, connection_reset());
    assert_eq!(take_outcomes(&mut pools, 30), [Outcome::ConnectionLost]);
}

/// Over a severed link connections stay open and silent; one that has received data is kept.
#[test]
fn silent_connection_is_closed_when_its_attempt_times_out() {
    for has_responded in [false, true] {
        let (mut pools, _listener) = pools_with(limits());
        pools.send_attempts(0, attempts(1, 2));
        write_frame(&pools, CONNECTION_0);
        if has_responded {
            pools.on_connection_event(100, CONNECTION_0, response("q1.1"));
        }
        let outcomes = take_outcomes(&mut pools, SECOND);
        pools.close_expired_connections(SECOND);
        assert_eq!(outcomes.last(), Some(&Outcome::TimedOut));
        assert_eq!(pools.open_connections(), usize::from(has_responded));
    }
}

/// A further attempt at a part must not be sent while a blocked socket holds back the cancellation of the first.
#[test]
fn connection_blocked_within_a_frame_is_closed_when_an_attempt_is_cancelled() {
    let (mut pools, _listener) = pools_with(limits());
    pools.send_attempts(0, attempts(1, 2));
    start_frame(&pools, CONNECTION_0);
    pools.cancel(SECOND / 2, attempt(1, 0));
    assert_eq!(
        take_outcomes(&mut pools, SECOND / 2),
        [Outcome::Cancelled, Outcome::Unreachable]
    );
    assert_eq!(pools.open_connections(), 0);
}

/// The server closes an idle connection, and an attempt is sent before the pools have handled that: it must not end
/// as one that may have run, which some classes may not repeat.
#[test]
fn attempt_sent_on_a_connection_that_the_server_has_closed_ends_as_not_sent() {
    let (mut pools, listener) = pools_with(limits());
    pools.send_attempts(0, attempts(1, 1));
    run_until_written(&pools, CONNECTION_0);
    let (mut server, _) = listener.accept().unwrap();
    assert!(server.read(&mut [0; 1024]).unwrap() > 0);
    pools.on_connection_event(10, CONNECTION_0, response("q1.0"));
    assert_eq!(take_outcomes(&mut pools, 10), [Outcome::Served]);
    pools.send_attempts(20, attempts(2, 1));
    drop(server);
    let (executor, event_queue) = (pools.executor.clone(), pools.event_queue.clone());
    let events = async_io::block_on(executor.run(async {
        loop {
            let events = event_queue.drain();
            if !events.is_empty() {
                break events;
            }
            yield_now().await;
        }
    }));
    assert!(matches!(
        events[..],
        [Event::ServerConnection {
            connection: CONNECTION_0,
            event: ConnectionEvent::Closed(_)
        }]
    ));
    pools.on_connection_event(30, CONNECTION_0, connection_reset());
    assert_eq!(take_outcomes(&mut pools, 30), [Outcome::NotSent]);
}
