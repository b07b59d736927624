use super::slots::{Rank, Slots};
use super::*;
use crate::clock::with_timeout;
use crate::net::read_some;
use fanout_policy::json::JsonObject;
use fanout_policy::settings::decode;
use futures_lite::future::yield_now;
use std::io::{Read, Write};
use std::net::TcpStream;

fn shared() -> Rc<Shared> {
    let settings: serde_json::Value =
        serde_json::from_str(include_str!("../../../broker-types/tests/settings.json")).unwrap();
    let site = decode(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap();
    let names = Names {
        classes: vec!["a".into()],
        tenants: vec!["acme".into()],
        zones: Vec::new(),
    };
    Shared::new(Rc::default(), site.settings, names)
}

/// One that was to make room may get a request in the same moment and stay; accepting waited for its end,
/// and new connections were not taken meanwhile.
#[test]
fn accepting_goes_on_where_one_that_was_to_make_room_stays() {
    let executor = Rc::new(LocalExecutor::new());
    let front = Rc::new(Http1::new(shared(), 2));
    let slots: Rc<Slots> = accept::Serve::slots(&*front).clone();
    let stays = slots.take();
    let _stays = slots.evictable(Rank::Fresh);
    let (leaving, slot) = (slots.clone(), slots.take());
    let leaves = executor.spawn(async move {
        leaving.evictable(Rank::Served).closed().await;
        drop(slot);
    });
    let listener = Rc::new(Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap());
    let _client = TcpStream::connect(listener.get_ref().local_addr().unwrap()).unwrap();
    let _accept = executor.spawn(accept::accept(front.clone(), listener, executor.clone()));
    let taken = async {
        leaves.await;
        while front.open() < 2 {
            yield_now().await;
        }
        Ok(())
    };
    async_io::block_on(executor.run(with_timeout(Duration::from_secs(30), taken))).unwrap();
    drop(stays);
}

/// The program is to end while a client that has come waits for a slot: it was closed without a word.
#[test]
fn one_that_waits_for_a_slot_as_accepting_ends_is_told_so() {
    let executor = Rc::new(LocalExecutor::new());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let mut client = TcpStream::connect(listener.get_ref().local_addr().unwrap()).unwrap();
    let mut listening = Listening::start(Http1::new(shared(), 1), listener, &executor);
    let slots: Rc<Slots> = accept::Serve::slots(&*listening.front).clone();
    let _taken = slots.take();
    let evictable = slots.evictable(Rank::Served);
    let closed = async {
        evictable.closed().await; // asked to make room, it stays
        listening.close(&executor).await;
        Ok(())
    };
    async_io::block_on(executor.run(with_timeout(Duration::from_secs(30), closed))).unwrap();
    let mut answer = [0; 12];
    client.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 503");
}

/// The system has accepted a client as the program ceases to listen, and its request comes a moment later: it was
/// closed with no answer.
#[test]
fn one_that_came_as_accepting_ended_is_answered() {
    let executor = Rc::new(LocalExecutor::new());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let mut client = TcpStream::connect(listener.get_ref().local_addr().unwrap()).unwrap();
    let shared = shared();
    let mut listening = Listening::start(Http1::new(shared.clone(), 1), listener, &executor);
    let body = r#"{"ranges":[{"range":0,"portion":1}],"predicate":""}"#;
    let head = "POST /a HTTP/1.1\r\nHost: a\r\nX-Request-Id: b\r\nX-Tenant: acme\r\n";
    let request = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    let asked = async {
        listening.close(&executor).await;
        shared.set_stage(Stage::Closing);
        // It is served, finds nothing, and waits.
        for _ in 0..10 {
            yield_now().await;
        }
        client.write_all(request.as_bytes())?;
        let client = Async::new(client)?;
        let mut answer = Vec::new();
        while read_some(&client, &mut answer).await? > 0 {}
        Ok(answer)
    };
    let answer =
        async_io::block_on(executor.run(with_timeout(Duration::from_secs(30), asked))).unwrap();
    assert!(
        answer.starts_with(b"HTTP/1.1 503"),
        "{:?}",
        String::from_utf8_lossy(&answer)
    );
}
