//! Tests of the requests that a client sends for queries.

use load_generator::{LoadQuery, raw_http2};
use std::time::Duration;

#[test]
fn query_is_written_with_the_names_of_the_public_protocol() {
    let request = LoadQuery::new("r7", "ranking", &[2, 5])
        .with_client_timeout(Duration::from_millis(2500))
        .with_idempotency_key("k1")
        .request();
    assert_eq!(request.method(), "POST");
    assert_eq!(request.uri(), "http://broker.svc/ranking");
    let body = r#"{"predicate":"c41e77d0","ranges":[{"portion":0.5,"range":2},{"portion":0.5,"range":5}]}"#;
    assert_eq!(String::from_utf8_lossy(request.body()), body);
    let headers: Vec<_> = request
        .headers()
        .iter()
        .map(|(name, value)| (name.as_str(), value.to_str().unwrap()))
        .collect();
    let expected = [
        ("x-request-id", "r7"),
        ("x-class", "ranking"),
        ("x-tenant", "public-site"),
        ("x-deadline", "2500m"),
        ("content-length", "87"),
        ("idempotency-key", "k1"),
    ];
    assert_eq!(headers, expected);
}

#[test]
fn raw_query_body_is_json_with_one_shard() {
    let body = String::from_utf8_lossy(raw_http2::QUERY_BODY);
    assert_eq!(
        body,
        r#"{"ranges":[{"range":0,"portion":1}],"predicate":"c41e77d0"}"#
    );
}
