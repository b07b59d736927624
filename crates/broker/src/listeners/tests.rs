//! Tests that a new connection is accepted or gets a response when all slots are in use and when
//! the listener is closed.

use super::accept::{ListeningSocket, accept_connections};
use super::slots::{ConnectionSlots, EvictionPriority};
use super::*;
use crate::clock::{Clock, with_timeout};
use crate::event_queue::{Event, EventQueue, ReceivedQuery};
use crate::net::{LINGER, LINGER_IDLE, read_some};
use admission::resource_limits::Http2Limits;
use async_io::Timer;
use broker_types::query::Names;
use fanout_policy::settings::decode;
use futures_lite::future::yield_now;
use load_generator::raw_http2::{PREFACE, SETTINGS, encode_frame, query_frames};
use std::io;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time for which a connection waits for a slot.
const SLOT_WAIT: Duration = Duration::from_millis(100);
/// Time limit of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A request of a query that leaves the client a second, with its length and its body.
fn request() -> String {
    let body = r#"{"ranges":[{"range":0,"portion":1}],"predicate":""}"#;
    let head = "POST /lookup HTTP/1.1\r\nHost: a\r\nX-Request-Id: b\r\nX-Tenant: acme\r\nX-Deadline: 1000m";
    format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Creates the context of a broker in the phase [`Phase::Serving`].
fn context(executor: &Executor) -> Rc<ListenerContext> {
    context_with(executor, Rc::default(), Clock::start())
}

/// Creates the context of a broker in the phase [`Phase::Serving`] that submits queries to `events`.
fn context_with(executor: &Executor, events: Rc<EventQueue>, clock: Clock) -> Rc<ListenerContext> {
    let settings: serde_json::Value =
        serde_json::from_str(include_str!("../../../broker-types/tests/settings.json")).unwrap();
    let site = decode("settings", settings.as_object().unwrap()).unwrap();
    let names = Names {
        classes: vec!["lookup".into()],
        tenants: vec!["acme".into(), "public-site".into()],
        zones: Vec::new(),
    };
    let slice = executor.current_slice();
    ListenerContext::new(events, site.settings, names, clock, slice)
}

/// Both slots are in use by connections that may be evicted. The one that is evicted first receives
/// a request at that moment, so it stays open and keeps its slot; the other one is closed when it
/// is evicted. Guards against a listener that waits for the first one to close instead of evicting
/// the second one, and accepts no connection meanwhile.
#[test]
fn accepting_continues_when_evicted_connection_stays_open() {
    let executor = Rc::new(Executor::default());
    let listener = Rc::new(Http1Listener::new(context(&executor), 2));
    let slots: Rc<ConnectionSlots> = listener.slots().clone();
    let kept_slot = slots.take();
    let _evictable_that_stays_open = slots.evictable(EvictionPriority::Unused);
    let (slots_of_evicted, slot) = (slots.clone(), slots.take());
    let evicted_connection = executor.spawn(async move {
        let evictable = slots_of_evicted.evictable(EvictionPriority::Idle);
        evictable.evicted().await;
        drop(slot);
    });
    let socket = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let _client = TcpStream::connect(socket.get_ref().local_addr().unwrap()).unwrap();
    let _accepting = executor.spawn(accept_connections(
        listener.clone(),
        Rc::new(ListeningSocket::new(socket)),
        executor.clone(),
    ));
    let accepted = async {
        evicted_connection.await;
        while listener.open_connections() < 2 {
            yield_now().await;
        }
        Ok(())
    };
    async_io::block_on(executor.run(with_timeout(TEST_TIMEOUT, accepted))).unwrap();
    drop(kept_slot);
}

/// A new connection is waiting for a slot when the listener is closed, which cancels the accepting
/// task. Guards against closing the new connection without a response.
#[test]
fn connection_waiting_for_slot_is_rejected_when_listener_closes() {
    let executor = Rc::new(Executor::default());
    let socket = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let mut client = TcpStream::connect(socket.get_ref().local_addr().unwrap()).unwrap();
    let mut listener =
        Listener::start(Http1Listener::new(context(&executor), 1), socket, &executor);
    let slots: Rc<ConnectionSlots> = listener.handler.slots().clone();
    let _slot = slots.take();
    let evictable = slots.evictable(EvictionPriority::Idle);
    let closed = async {
        evictable.evicted().await; // The evicted connection stays open and keeps its slot.
        listener.close(&executor).await;
        Ok(())
    };
    async_io::block_on(executor.run(with_timeout(TEST_TIMEOUT, closed))).unwrap();
    let mut response = [0; 12];
    client.read_exact(&mut response).unwrap();
    assert_eq!(&response, b"HTTP/1.1 503");
}

/// A connection is in the backlog of the listening socket when the listener is closed, and its
/// request arrives shortly after. Guards against closing the connection without a response.
#[test]
fn connection_from_backlog_gets_response_after_listener_closed() {
    let executor = Rc::new(Executor::default());
    let socket = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let mut client = TcpStream::connect(socket.get_ref().local_addr().unwrap()).unwrap();
    let context = context(&executor);
    let mut listener = Listener::start(Http1Listener::new(context.clone(), 1), socket, &executor);
    let request = request();
    let response = async {
        listener.close(&executor).await;
        context.lifecycle().set_phase(Phase::Closing);
        // Lets the connection's task run until it waits for a request.
        for _ in 0..10 {
            yield_now().await;
        }
        client.write_all(request.as_bytes())?;
        let client = Async::new(client)?;
        let mut response = Vec::new();
        while read_some(&client, &mut response).await? > 0 {}
        Ok(response)
    };
    let response = async_io::block_on(executor.run(with_timeout(TEST_TIMEOUT, response))).unwrap();
    assert!(
        response.starts_with(b"HTTP/1.1 503"),
        "{:?}",
        String::from_utf8_lossy(&response)
    );
}

/// Starts a listener on a free port, and returns it with its address.
fn start_listener<H: ConnectionHandler>(
    handler: H,
    executor: &Rc<Executor>,
) -> (Listener<H>, SocketAddr) {
    let socket = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = socket.get_ref().local_addr().unwrap();
    (Listener::start(handler, socket, executor), address)
}

/// Returns the next query that a listener submits.
async fn next_query(events: &EventQueue) -> ReceivedQuery {
    loop {
        events.wait().await;
        let query = events.drain().into_iter().find_map(|event| match event {
            Event::QueryReceived(query) => Some(query),
            _ => None,
        });
        if let Some(query) = query {
            return query;
        }
    }
}

/// Sends `request` on a connection that waits [`SLOT_WAIT`] until a slot is free, behind
/// `connections_before` others in the backlog. Returns how long after the request was sent its
/// client's time starts. `listener` creates a listener with one slot.
fn start_of_client_time<H: ConnectionHandler>(
    listener: impl Fn(Rc<ListenerContext>) -> H,
    connections_before: usize,
    request: &[u8],
) -> Duration {
    let (executor, events) = (Rc::new(Executor::default()), Rc::<EventQueue>::default());
    let clock = Clock::start();
    let listener = listener(context_with(&executor, events.clone(), clock));
    let (listener, address) = start_listener(listener, &executor);
    let slot = listener.handler.slots().take();
    let started = async {
        let connect = || TcpStream::connect(address);
        let before: io::Result<Vec<_>> = (0..connections_before).map(|_| connect()).collect();
        let _before = before?;
        let mut client = connect()?;
        client.write_all(request)?;
        let sent_at = clock.now();
        Timer::after(SLOT_WAIT).await;
        drop(slot);
        let query = next_query(&events).await;
        Ok(query.arrived_at.saturating_since(sent_at))
    };
    async_io::block_on(executor.run(with_timeout(TEST_TIMEOUT, started))).unwrap()
}

/// Guards against a request that gets its full time anew when it is read. Its client's time passes
/// while the connection waits for a slot, and while it waits in the backlog because the broker makes
/// room for the connection before it.
#[test]
fn time_of_a_request_that_waits_for_a_slot_starts_when_it_arrives() {
    let request = request();
    for connections_before in [0, 1] {
        let http1 = |context| Http1Listener::new(context, 1);
        let elapsed = start_of_client_time(http1, connections_before, request.as_bytes());
        assert!(
            elapsed < SLOT_WAIT / 2,
            "the time started {elapsed:?} after the request was sent"
        );
    }
}

/// The same as the test above, over HTTP/2.
#[test]
fn time_of_an_http2_request_that_waits_for_a_slot_starts_when_it_arrives() {
    let limits = Http2Limits {
        max_connections: 1,
        max_streams: 10,
        connection_window: 1 << 19,
        max_header_list: 1 << 13,
    };
    let settings = encode_frame(SETTINGS, 0, 0, &[]);
    let request = [PREFACE, &settings, &query_frames(1, "b")].concat();
    for connections_before in [0, 1] {
        let http2 = |context| Http2Listener::new(context, limits);
        let elapsed = start_of_client_time(http2, connections_before, &request);
        assert!(
            elapsed < SLOT_WAIT / 2,
            "the time started {elapsed:?} after the request was sent"
        );
    }
}

/// Guards against requests that are read too late: clients that send half a request and stay hold
/// all slots, and one of them is evicted. No response was sent on its connection, so it must not
/// keep its slot while it lingers, even if no more connections may linger without a slot.
#[test]
fn evicted_connection_with_half_a_request_frees_its_slot_at_once() {
    let (executor, events) = (Rc::new(Executor::default()), Rc::<EventQueue>::default());
    let context = context_with(&executor, events.clone(), Clock::start());
    let (listener, address) = start_listener(Http1Listener::new(context, 1), &executor);
    let slots = listener.handler.slots();
    let _closing: Vec<_> = std::iter::from_fn(|| slots.try_close_without_slot()).collect();
    let served = async {
        let mut stalled = TcpStream::connect(address)?;
        stalled.write_all(b"POST /a HTTP/1.1\r\n")?;
        while slots.try_take().is_some() {
            yield_now().await;
        }
        let started_at = Instant::now();
        let mut client = TcpStream::connect(address)?;
        client.write_all(request().as_bytes())?;
        next_query(&events).await;
        Ok((started_at.elapsed(), stalled, client))
    };
    let (elapsed, ..) =
        async_io::block_on(executor.run(with_timeout(TEST_TIMEOUT, served))).unwrap();
    assert!(
        elapsed < LINGER / 2,
        "the request was read after {elapsed:?}"
    );
}

/// Guards against a query that waits for the event loop although its client's time has passed while
/// it waited unread: it must be rejected at once. No event loop runs here.
#[test]
fn query_whose_time_has_passed_is_rejected_without_the_event_loop() {
    let (executor, events) = (Rc::new(Executor::default()), Rc::<EventQueue>::default());
    let context = context_with(&executor, events.clone(), Clock::start());
    let (listener, address) = start_listener(Http1Listener::new(context, 1), &executor);
    let slot = listener.handler.slots().take();
    let response = async {
        let mut client = TcpStream::connect(address)?;
        client.write_all(request().replace("1000m", "50m").as_bytes())?;
        Timer::after(SLOT_WAIT).await;
        drop(slot);
        let mut response = Vec::new();
        read_some(&Async::new(client)?, &mut response).await?;
        Ok(response)
    };
    let response = async_io::block_on(executor.run(with_timeout(TEST_TIMEOUT, response))).unwrap();
    assert!(response.starts_with(b"HTTP/1.1 503"));
    assert!(events.drain().is_empty());
}

/// During the shutdown, bytes may arrive on an unused connection while the broker closes it. Guards
/// against a reset: the connection must linger, because no other connection needs its slot.
#[test]
fn unused_connection_is_closed_without_reset_during_shutdown() {
    let executor = Rc::new(Executor::default());
    let context = context(&executor);
    let (listener, address) = start_listener(Http1Listener::new(context.clone(), 1), &executor);
    let slots = listener.handler.slots();
    let closed = async {
        let client = Async::new(TcpStream::connect(address)?)?;
        while slots.try_take().is_some() {
            yield_now().await;
        }
        // Lets the connection's task run until it waits for a request.
        for _ in 0..10 {
            yield_now().await;
        }
        context.lifecycle().set_phase(Phase::Closing);
        listener.handler.close_idle();
        assert_eq!(read_some(&client, &mut Vec::new()).await?, 0);
        // After a reset, which follows the first write, the second one fails.
        client.get_ref().write_all(b"P")?;
        Timer::after(LINGER_IDLE / 5).await;
        client.get_ref().write_all(b"O")
    };
    async_io::block_on(executor.run(with_timeout(TEST_TIMEOUT, closed))).unwrap();
}
