//! The requests of clients.

use crate::script::{ConnectionName, PeerName, Query};
use crate::testbed::Testbed;
use serde_json::{Value, json};

/// Returns the HTTP/1.1 request of a query. Each shard contributes the same share (`portion`) of the
/// answer.
pub(crate) fn request(query: &Query) -> Vec<u8> {
    let Query {
        id,
        class,
        shards,
        deadline,
    } = query;
    let portion = 1.0 / shards.len() as f64;
    let ranges: Vec<Value> = shards
        .iter()
        .map(|shard| json!({"range": shard, "portion": portion}))
        .collect();
    let body = json!({"ranges": ranges, "predicate": "c41e77d0"}).to_string();
    let length = body.len();
    format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Tenant: acme\r\n\
         Idempotency-Key: k{id}\r\nX-Deadline: {deadline}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Connects clients, each of which sends a query to shard 0 and leaves its connection open.
pub(crate) fn start_busy_clients(testbed: &mut Testbed, count: usize) {
    for index in 0..count {
        let name = ConnectionName {
            peer: PeerName::BusyClient(index),
            number: 1,
        };
        let query = Query {
            id: name.to_string(),
            class: "lookup".to_owned(),
            shards: vec![0],
            // 60,000 milliseconds.
            deadline: "60000m".to_owned(),
        };
        testbed.connection(name).send(&request(&query));
    }
}
