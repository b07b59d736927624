use super::connection::Outgoing;
use super::*;
use crate::event_queue::Event;
use async_io::Async;
use broker_types::time::MILLI;
use futures_lite::future::yield_now;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::pin::pin;
use std::task::{Context, Waker};

const SECOND: Micros = 1_000_000;

fn pool(limits: PoolLimits) -> (ServerPools, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut pool = ServerPools::new(Rc::default(), Rc::default(), Clock::start(), limits);
    pool.set_endpoint(0, server(), Some(listener.local_addr().unwrap()));
    (pool, listener)
}

fn limits() -> PoolLimits {
    let (dial_timeout, keepalive) = (SECOND / 4, 15 * SECOND);
    PoolLimits {
        max_connections: 10,
        max_parts_per_call: 2,
        max_parts_per_connection: 4,
        dial_timeout,
        idle_timeout: keepalive,
    }
}

fn server() -> NodeId {
    NodeId("s0".into())
}

fn sends(query: u64, parts: usize) -> Vec<OutgoingAttempt> {
    let send = |part| OutgoingAttempt {
        attempt: AttemptId {
            query: QueryId(query),
            part: PartIndex(part),
            attempt: 0,
        },
        server: server(),
        until: SECOND,
        expires: None,
        wire: format!("q{query}.{part}"),
        shard: part,
        key: None,
        text: "c41e77d0".into(),
    };
    (0..parts).map(send).collect()
}

fn outcomes(pool: &mut ServerPools, now: Micros) -> Vec<Outcome> {
    pool.take_ended_attempts(now)
        .iter()
        .map(|e| e.outcome)
        .collect()
}

fn broken() -> ConnectionEvent {
    ConnectionEvent::Closed(std::io::ErrorKind::ConnectionReset.into())
}

fn answer(wire: &str) -> ConnectionEvent {
    ConnectionEvent::FrameReceived(ServerMessage::PartResponse(PartResponse {
        id: wire.to_owned(),
        outcome: Outcome::Served,
        requests_in_flight: Some(1.0),
        value: "v".to_owned(),
    }))
}

#[test]
fn calls_are_spread_over_a_few_connections_and_an_idle_one_is_used_again() {
    let (mut pool, _listener) = pool(limits());
    pool.send_attempts(0, sends(1, 3));
    assert_eq!(pool.open_connections(), 2);
    pool.on_connection_event(10, 1, answer("q1.2"));
    pool.send_attempts(20, sends(2, 1));
    assert_eq!((pool.open_connections(), pool.conns[&1].out.len()), (2, 1));
    (3..20).for_each(|query| pool.send_attempts(30, sends(query, 1)));
    assert_eq!(
        pool.conns.values().map(|c| c.out.len()).collect::<Vec<_>>(),
        [4; 5]
    );
}

/// A server may close a connection right after its answer: the one that rested longest is the safest.
#[test]
fn of_idle_connections_the_one_that_rested_longest_is_used() {
    let (mut pool, _listener) = pool(limits());
    pool.send_attempts(0, sends(1, 3));
    for (now, id, wire) in [(10, 1, "q1.2"), (20, 0, "q1.1"), (30, 0, "q1.0")] {
        pool.on_connection_event(now, id, answer(wire));
    }
    pool.send_attempts(40, sends(2, 1));
    assert_eq!(pool.conns[&1].out.len(), 1);
}

/// The end of a connection that had come up is no news of whether its server can be reached.
#[test]
fn what_waits_behind_a_connection_that_was_up_is_not_sent() {
    let (mut pool, _listener) = pool(PoolLimits {
        max_connections: 1,
        ..limits()
    });
    pool.send_attempts(0, sends(1, 1));
    let (executor, queue) = (pool.executor.clone(), pool.conns[&0].queue.clone());
    let written = async {
        while !queue.unwritten().is_empty() {
            yield_now().await;
        }
    };
    async_io::block_on(executor.run(written));
    pool.send_attempts(10, sends(2, 1));
    pool.on_connection_event(20, 0, broken());
    assert_eq!(
        outcomes(&mut pool, 30),
        [Outcome::ConnectionLost, Outcome::NotSent]
    );
}

fn outcomes_of_spoilt(event: ConnectionEvent, sent: usize) -> (Vec<Outcome>, usize) {
    let (mut pool, _listener) = pool(PoolLimits {
        max_parts_per_call: 4,
        ..limits()
    });
    pool.send_attempts(0, sends(1, sent));
    pool.conns[&0].queue.begin(0);
    pool.conns[&0].queue.written();
    pool.on_connection_event(10, 0, event);
    (outcomes(&mut pool, 20), pool.open_connections())
}

/// An answer for what is not out stands in the place of one that will not come: it must not be waited for.
/// It is one failure of the server, whatever else was out on the connection, and none of a query's own.
#[test]
fn a_spoilt_answer_fails_one_attempt_and_closes_its_connection() {
    for event in [
        answer("q7.0"),
        ConnectionEvent::FrameInvalid(server_protocol::InvalidFrame::UnknownKind),
    ] {
        let outcomes = outcomes_of_spoilt(event, 3);
        assert_eq!(
            outcomes,
            (
                vec![Outcome::Error, Outcome::Cancelled, Outcome::Cancelled],
                0
            )
        );
    }
}

/// A second copy or noise after a good answer fails nothing, but nobody can tell what else would come.
#[test]
fn surplus_after_a_good_answer_closes_the_connection_and_fails_nothing() {
    for surplus in [
        answer("q1.0"),
        ConnectionEvent::FrameStarted,
        ConnectionEvent::FrameInvalid(server_protocol::InvalidFrame::UnknownKind),
    ] {
        let (mut pool, _listener) = pool(limits());
        pool.send_attempts(0, sends(1, 1));
        pool.on_connection_event(10, 0, answer("q1.0"));
        pool.on_connection_event(10, 0, surplus);
        assert_eq!(
            (outcomes(&mut pool, 20), pool.open_connections()),
            (vec![Outcome::Served], 0)
        );
    }
}

/// The answer to what was given up may cross the giving up: it spoils nothing, but counts only once.
#[test]
fn a_late_answer_to_what_was_given_up_is_passed_over() {
    let (mut pool, _listener) = pool(limits());
    pool.send_attempts(0, sends(1, 2));
    pool.conns[&0].queue.begin(0);
    pool.conns[&0].queue.written();
    pool.cancel(
        10,
        AttemptId {
            query: QueryId(1),
            part: PartIndex(0),
            attempt: 0,
        },
    );
    pool.on_connection_event(20, 0, answer("q1.0"));
    assert_eq!(
        (outcomes(&mut pool, 20), pool.open_connections()),
        (vec![Outcome::Cancelled], 1)
    );
    pool.on_connection_event(30, 0, answer("q1.0"));
    assert_eq!(
        (outcomes(&mut pool, 30), pool.open_connections()),
        (vec![Outcome::Error], 0)
    );
}

/// A slow server answers in its turn what several rounds have given up: that must not end what is out now.
#[test]
fn late_answers_to_more_than_may_be_out_spoil_nothing() {
    let (mut pool, _listener) = pool(PoolLimits {
        max_connections: 1,
        ..limits()
    });
    for query in 1..=limits().max_parts_per_connection as u64 + 2 {
        pool.send_attempts(0, sends(query, 1));
        while pool.conns[&0].queue.begin(0).is_some() {
            pool.conns[&0].queue.written();
        }
        pool.cancel(
            10,
            AttemptId {
                query: QueryId(query),
                part: PartIndex(0),
                attempt: 0,
            },
        );
    }
    pool.send_attempts(20, sends(100, 1));
    pool.take_ended_attempts(20);
    pool.on_connection_event(30, 0, answer("q1.0"));
    pool.on_connection_event(30, 0, answer("q100.0"));
    assert_eq!(
        (outcomes(&mut pool, 30), pool.open_connections()),
        (vec![Outcome::Served], 1)
    );
}

/// A length that does not fit promises bytes that never come: the attempt must not wait for its whole time.
#[test]
fn a_frame_that_does_not_go_on_is_spoilt() {
    let (mut pool, _listener) = pool(limits());
    pool.send_attempts(0, sends(1, 1));
    pool.conns[&0].queue.begin(0);
    pool.conns[&0].queue.written();
    pool.on_connection_event(10, 0, ConnectionEvent::FrameStarted);
    assert_eq!(pool.next_deadline(), 10 + limits().dial_timeout);
    pool.close_expired_connections(9 + limits().dial_timeout);
    assert_eq!(pool.open_connections(), 1);
    pool.close_expired_connections(10 + limits().dial_timeout);
    assert_eq!(
        (outcomes(&mut pool, SECOND / 2), pool.open_connections()),
        (vec![Outcome::Error], 0)
    );
}

/// Every dispatched attempt ends, also where no descriptor is left for it.
#[test]
fn with_no_descriptor_left_an_idle_connection_makes_room_or_the_attempt_ends() {
    let (mut pool, listener) = pool(PoolLimits {
        max_connections: 1,
        ..limits()
    });
    pool.send_attempts(0, sends(1, 1));
    let other = NodeId("s1".into());
    pool.set_endpoint(0, other.clone(), Some(listener.local_addr().unwrap()));
    let to_other = |query| {
        sends(query, 1)
            .into_iter()
            .map(|s| OutgoingAttempt {
                server: other.clone(),
                ..s
            })
            .collect()
    };
    pool.send_attempts(0, to_other(2));
    assert_eq!(outcomes(&mut pool, 30), [Outcome::Unreachable]);
    pool.on_connection_event(10, 0, answer("q1.0"));
    pool.send_attempts(20, to_other(3));
    assert_eq!(
        (outcomes(&mut pool, 30), pool.open_connections()),
        (vec![Outcome::Served], 1)
    );
}

/// A part that crosses the server's closing of an idle connection would end as a reset.
#[test]
fn idle_connections_are_closed_before_the_server_does() {
    let (mut pool, _listener) = pool(limits());
    pool.send_attempts(0, sends(1, 1));
    pool.on_connection_event(100, 0, answer("q1.0"));
    pool.close_expired_connections(11 * SECOND);
    assert_eq!(pool.open_connections(), 1);
    pool.close_expired_connections(12 * SECOND);
    assert_eq!(pool.open_connections(), 0);
}

/// Within the drain's grace nothing may go out, not even what waited for a connection when it began.
#[test]
fn what_waits_for_a_server_that_leaves_is_taken_back() {
    let (mut pool, _listener) = pool(limits());
    pool.send_attempts(0, sends(1, 2));
    pool.set_endpoint(10, server(), None);
    assert_eq!(outcomes(&mut pool, 30), [Outcome::NotSent; 2]);
    pool.send_attempts(20, sends(2, 1));
    assert_eq!(outcomes(&mut pool, 30), [Outcome::Unreachable]);
    pool.close_expired_connections(20);
    assert_eq!((pool.open_connections(), pool.servers.len()), (0, 0));
}

/// What was not written to its last byte never ran; what was may have, or may yet.
#[test]
fn the_end_of_an_attempt_tells_whether_it_may_have_run() {
    let (mut pool, _listener) = pool(limits());
    pool.send_attempts(0, sends(1, 1));
    assert_eq!(outcomes(&mut pool, SECOND), [Outcome::Unreachable]);
    pool.send_attempts(0, sends(2, 2));
    let queue = pool.conns[&0].queue.clone();
    queue.begin(0);
    pool.on_connection_event(20, 0, broken());
    assert_eq!(outcomes(&mut pool, 30), [Outcome::Unreachable; 2]);
    pool.send_attempts(30, sends(3, 1));
    let (executor, event_queue) = (pool.executor.clone(), pool.event_queue.clone());
    let queue = pool.conns[&1].queue.clone();
    let written = async {
        while !queue.unwritten().is_empty() {
            yield_now().await;
        }
    };
    async_io::block_on(executor.run(written));
    assert!(!event_queue.drain().iter().any(|i| matches!(
        i,
        Event::ServerConnection {
            connection: 1,
            event: ConnectionEvent::Closed(_)
        }
    )));
    pool.on_connection_event(40, 1, broken());
    assert_eq!(outcomes(&mut pool, 30), [Outcome::ConnectionLost]);
}

/// Over a cut link connections stay open and silent; one that has spoken is kept.
#[test]
fn a_connection_that_stays_silent_is_closed_with_the_attempt_that_waited_in_vain() {
    for spoke in [false, true] {
        let (mut pool, _listener) = pool(limits());
        pool.send_attempts(0, sends(1, 2));
        pool.conns[&0].queue.begin(0);
        pool.conns[&0].queue.written();
        if spoke {
            pool.on_connection_event(100, 0, answer("q1.1"));
        }
        let outcomes = outcomes(&mut pool, SECOND);
        pool.close_expired_connections(SECOND);
        assert_eq!(outcomes.last(), Some(&Outcome::TimedOut));
        assert_eq!(pool.open_connections(), usize::from(spoke));
    }
}

/// A further attempt at a part must not go out while a stuck socket holds back the giving up of the first.
#[test]
fn a_connection_that_is_stuck_in_a_frame_ends_with_the_first_attempt_given_up() {
    let (mut pool, _listener) = pool(limits());
    pool.send_attempts(0, sends(1, 2));
    pool.conns[&0].queue.begin(0);
    pool.cancel(
        SECOND / 2,
        AttemptId {
            query: QueryId(1),
            part: PartIndex(0),
            attempt: 0,
        },
    );
    assert_eq!(
        outcomes(&mut pool, SECOND / 2),
        [Outcome::Cancelled, Outcome::Unreachable]
    );
    assert_eq!(pool.open_connections(), 0);
}

/// A connected pair of sockets: ours, and the server's.
fn pair() -> (Async<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let ours = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (Async::new(ours).unwrap(), listener.accept().unwrap().0)
}

/// Polls the task once that writes to a socket.
fn poll_write(stream: &Async<TcpStream>, queue: &SendQueue) {
    let write = pin!(connection::write(stream, queue, Clock::start()));
    assert!(
        write
            .poll(&mut Context::from_waker(Waker::noop()))
            .is_pending()
    );
}

fn outgoing(wire: &str, until: Micros) -> Item {
    let text = "c41e77d0".into();
    Item::Call(vec![Outgoing {
        wire: wire.to_owned(),
        shard: 0,
        until,
        expires: None,
        key: None,
        text,
    }])
}

/// A send counts from its first byte: until the socket takes that, the part can be taken back.
#[test]
fn what_a_full_socket_has_not_taken_can_be_taken_back() {
    let (ours, mut server) = pair();
    let mut before = 0;
    while let Ok(n) = ours.get_ref().write(&[0; 4096]) {
        before += n;
    }
    let queue = SendQueue::default();
    queue.put(outgoing("q1.0", 3600 * SECOND));
    poll_write(&ours, &queue);
    assert!(queue.is_stuck() && queue.withdraw("q1.0"));
    let mut came = vec![0; before];
    server.read_exact(&mut came).unwrap();
    poll_write(&ours, &queue);
    ours.get_ref().shutdown(Shutdown::Write).unwrap();
    assert_eq!(server.read(&mut came).unwrap(), 0);
}

/// A connection that takes nothing looks idle once what waited for it was taken back: it must not be used again.
#[test]
fn a_connection_that_took_nothing_of_a_part_ends_with_its_time() {
    let (ours, _server) = pair();
    while ours.get_ref().write(&[0; 4096]).is_ok() {}
    let (mut pool, _listener) = pool(limits());
    pool.send_attempts(
        0,
        sends(1, 1)
            .into_iter()
            .map(|s| OutgoingAttempt {
                until: 3600 * SECOND,
                ..s
            })
            .collect(),
    );
    let queue = pool.conns[&0].queue.clone();
    poll_write(&ours, &queue);
    assert_eq!(
        (outcomes(&mut pool, 3600 * SECOND), pool.open_connections()),
        (vec![Outcome::Unreachable], 0)
    );
}

/// What a part waited for is no longer left to its client, and a part with nothing left is not sent.
#[test]
fn the_time_told_is_what_is_left_as_the_frame_is_written() {
    let queue = SendQueue::default();
    let told = |now| {
        let (_, frame) = queue.begin(now)?;
        queue.written();
        Some(String::from_utf8_lossy(&frame[5..]).into_owned())
    };
    queue.put(outgoing("q1.0", SECOND));
    assert_eq!(
        told(250 * MILLI).as_deref(),
        Some("q1.0 0 d=750 8\nc41e77d0")
    );
    queue.put(outgoing("q2.0", SECOND));
    queue.put(outgoing("q3.0", 2 * SECOND));
    assert_eq!(told(SECOND).as_deref(), Some("q3.0 0 d=1000 8\nc41e77d0"));
    assert_eq!(told(SECOND), None);
    assert!(
        queue.unwritten().contains("q2.0") && queue.withdraw("q2.0") && !queue.withdraw("q2.0")
    );
}

/// The server closes an idle connection, and a part goes out before the pool has heard of it: it must not end as
/// one that may have run, which some classes may not repeat.
#[test]
fn a_part_that_meets_the_closing_of_an_idle_connection_never_ran() {
    let (mut pool, listener) = pool(limits());
    pool.send_attempts(0, sends(1, 1));
    let (executor, event_queue, queue) = (
        pool.executor.clone(),
        pool.event_queue.clone(),
        pool.conns[&0].queue.clone(),
    );
    async_io::block_on(executor.run(async {
        while !queue.unwritten().is_empty() {
            yield_now().await;
        }
    }));
    let (mut server, _) = listener.accept().unwrap();
    assert!(server.read(&mut [0; 1024]).unwrap() > 0);
    pool.on_connection_event(10, 0, answer("q1.0"));
    assert_eq!(outcomes(&mut pool, 10), [Outcome::Served]);
    pool.send_attempts(20, sends(2, 1));
    drop(server);
    let news = async_io::block_on(executor.run(async {
        loop {
            let news = event_queue.drain();
            if !news.is_empty() {
                break news;
            }
            yield_now().await;
        }
    }));
    assert!(matches!(
        news[..],
        [Event::ServerConnection {
            connection: 0,
            event: ConnectionEvent::Closed(_)
        }]
    ));
    pool.on_connection_event(30, 0, broken());
    assert_eq!(outcomes(&mut pool, 30), [Outcome::NotSent]);
}

/// No time being left is no news of a server whose connection is up.
#[test]
fn a_part_whose_time_was_over_before_it_was_written_blames_no_server() {
    let (mut pool, listener) = pool(limits());
    pool.send_attempts(0, sends(1, 1));
    let queue = pool.conns[&0].queue.clone();
    let executor = pool.executor.clone();
    let _server = async_io::block_on(executor.run(async {
        while !queue.unwritten().is_empty() {
            yield_now().await;
        }
        listener.accept().unwrap()
    }));
    pool.on_connection_event(10, 0, answer("q1.0"));
    pool.take_ended_attempts(10);
    pool.send_attempts(20, sends(2, 1));
    assert!(queue.begin(SECOND).is_none());
    assert_eq!(outcomes(&mut pool, SECOND), [Outcome::NotSent]);
}

/// Not called off, as where the settings do not allow that: it has not left yet.
#[test]
fn what_an_ended_query_has_not_begun_to_send_is_taken_back() {
    let (mut pool, _listener) = pool(limits());
    pool.send_attempts(0, sends(1, 2));
    pool.send_attempts(0, sends(2, 1));
    pool.conns[&1].queue.begin(0);
    pool.cancel_unsent(10, QueryId(2), None);
    pool.cancel_unsent(10, QueryId(1), None);
    assert_eq!(outcomes(&mut pool, 10), [Outcome::NotSent; 2]);
    assert!(
        pool.flights
            .keys()
            .all(|attempt| attempt.query == QueryId(2))
    );
}

/// What must not be sent any more is given back at that moment; what was sent before is waited for.
#[test]
fn a_part_that_expires_is_given_back_unless_it_was_sent() {
    let (mut pool, _listener) = pool(limits());
    let expiring = |query| {
        sends(query, 1)
            .into_iter()
            .map(|s| OutgoingAttempt {
                expires: Some(SECOND / 2),
                ..s
            })
            .collect()
    };
    pool.send_attempts(0, expiring(1));
    pool.send_attempts(0, expiring(2));
    pool.conns[&1].queue.begin(SECOND / 2 - 1);
    assert_eq!(pool.next_deadline(), SECOND / 2);
    assert!(outcomes(&mut pool, SECOND / 2 - 1).is_empty());
    assert_eq!(outcomes(&mut pool, SECOND / 2), [Outcome::NotSent]);
    assert_eq!(pool.next_deadline(), SECOND);
    pool.conns[&1].queue.written();
    assert_eq!(outcomes(&mut pool, SECOND), [Outcome::TimedOut]);
    assert_eq!(pool.deadlines.len(), 0);
}
