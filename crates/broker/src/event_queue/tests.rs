//! Tests of the event queue: the event that dropping a query's handle causes, and the response that
//! the handle receives.

use super::*;
use broker_types::query::{ClassIndex, TenantIndex};

fn request() -> QueryRequest {
    QueryRequest {
        id: "9b1f".into(),
        class: ClassIndex(0),
        tenant: TenantIndex(0),
        client_timeout: std::time::Duration::from_millis(1),
        is_retry: false,
        idempotency_key: None,
        parts: Vec::new(),
        payload: "text".into(),
    }
}

/// Submits a query, and returns its handle and the query as the event loop receives it.
fn submit(queue: &EventQueue) -> (QueryHandle<'_>, ReceivedQuery) {
    let handle = queue.submit_query(
        ConnectionId(3),
        request(),
        Timestamp::ORIGIN,
        Timestamp::ORIGIN,
    );
    assert_eq!(queue.pending_queries(), 1);
    let event = queue.drain().pop();
    assert_eq!(queue.pending_queries(), 0);
    let Some(Event::QueryReceived(query)) = event else {
        panic!("expected the queue to hold the submitted query as its last event");
    };
    (handle, query)
}

#[test]
fn handle_dropped_before_response_reports_disconnect() {
    let queue = EventQueue::default();
    let (handle, query) = submit(&queue);
    drop(handle);
    let events = queue.drain();
    assert!(
        matches!(events[..], [Event::ClientDisconnected { query: id }] if id == query.id),
        "expected exactly one event, which reports the disconnect of the submitted query"
    );
}

/// Guards against a queue that clients fill by disconnecting right after their requests.
#[test]
fn query_whose_handle_is_dropped_while_it_is_queued_leaves_no_event() {
    let queue = EventQueue::default();
    let kept = queue.submit_query(
        ConnectionId(3),
        request(),
        Timestamp::ORIGIN,
        Timestamp::ORIGIN,
    );
    drop(queue.submit_query(
        ConnectionId(4),
        request(),
        Timestamp::ORIGIN,
        Timestamp::ORIGIN,
    ));
    assert_eq!(queue.pending_queries(), 1);
    let events = queue.drain();
    assert!(matches!(&events[..], [Event::QueryReceived(query)] if query.id == kept.id));
}

#[test]
fn handle_dropped_after_response_reports_nothing() {
    let queue = EventQueue::default();
    let (handle, query) = submit(&queue);
    query.reply.try_send(FinalResponse::Failed).unwrap();
    drop(query);
    assert_eq!(async_io::block_on(handle.response()), FinalResponse::Failed);
    drop(handle);
    assert!(queue.drain().is_empty());
}

#[test]
fn query_dropped_without_response_has_failed() {
    let queue = EventQueue::default();
    let (handle, query) = submit(&queue);
    drop(query);
    assert_eq!(async_io::block_on(handle.response()), FinalResponse::Failed);
}
