//! Tests of single requests: the responses to queries, to other requests and to invalid input.

use crate::fixture::{Fixture, OPERATOR_CONFIG, complete_answer, lookup, query_headers};
use load_generator::QueryOutcome;
use load_generator::raw_http2::{
    CONTINUATION, DATA, END_HEADERS, END_STREAM, HEADERS, PREFACE, QUERY_BODY, RawHttp2Client,
    SETTINGS, encode_fields, encode_frame, query_fields, query_frames, response_status,
};
use std::time::Duration;
use test_fleet::{Deployment, FleetPlan};

#[test]
fn query_has_the_same_answer_over_both_listeners() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    let shards = [0, 3, 5];
    fixture.run(async {
        let http2 = fixture.connect().await;
        let mut http1 = fixture.connect_http1().await;
        let over_http2 = http2.send_query(&lookup("a", &shards)).await;
        let over_http1 = http1.send(&lookup("b", &shards).request()).await.unwrap();
        assert_eq!(over_http2, complete_answer(&shards));
        assert_eq!(
            QueryOutcome::from_response(&over_http1),
            complete_answer(&shards)
        );
    });
    fixture.check_invariants();
}

/// Returns a request with an empty body.
fn empty_request(method: &str, path: &str) -> http::Request<Vec<u8>> {
    http::Request::builder()
        .method(method)
        .uri(format!("http://broker.svc{path}"))
        .header("content-length", "0")
        .body(Vec::new())
        .unwrap()
}

#[test]
fn request_that_is_no_query_has_the_same_status_over_both_listeners() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    fixture.run(async {
        let http2 = fixture.connect().await;
        let mut http1 = fixture.connect_http1().await;
        for (method, path, expected) in [
            ("GET", "/-/ready", 200),
            ("HEAD", "/-/ready", 200),
            ("POST", "/-/ready", 405),
            ("GET", "/lookup", 405),
            ("BREW", "/lookup", 501),
            ("POST", "/nothing", 404),
            ("OPTIONS", "/lookup", 405),
        ] {
            let request = empty_request(method, path);
            let over_http2 = http2.send(&request).await.unwrap();
            let over_http1 = http1.send(&request).await;
            assert_eq!(over_http2.status().as_u16(), expected, "{method} {path}");
            assert!(over_http2.headers().contains_key("date"), "{method} {path}");
            // The status of HEAD is not compared. A response to HEAD has no body, whatever length it
            // declares, but the HTTP/1.1 client of the test waits for a body of the declared length.
            // It does not wait here because the declared length is 0.
            if method != "HEAD" {
                assert_eq!(
                    over_http1.unwrap().status(),
                    over_http2.status(),
                    "{method} {path}"
                );
            }
        }
    });
    fixture.check_invariants();
}

/// The latency objective is so long that no attempt is cancelled: the id of a query is in use for as
/// long as the response to a cancelled attempt may arrive.
#[test]
fn request_id_already_in_flight_is_rejected_over_both_listeners() {
    let plan = FleetPlan {
        part_duration: Duration::from_millis(1000),
        ..FleetPlan::default()
    };
    let deployment = Deployment {
        latency_objective_ms: 8000.0,
        client_timeout_ms: 8000.0,
        ..Deployment::default()
    };
    let fixture = Fixture::start(plan, deployment, OPERATOR_CONFIG);
    fixture.run(async {
        let http2 = fixture.connect().await;
        let mut http1 = fixture.connect_http1().await;
        let first = http2.open(&lookup("same", &[0]).request()).await.unwrap();
        fixture.wait_for_attempts(1).await;
        assert_eq!(
            http2.send_query(&lookup("same", &[0])).await,
            QueryOutcome::Failed(400)
        );
        let response = http1.send(&lookup("same", &[0]).request()).await.unwrap();
        assert_eq!(response.status(), 400);
        assert_eq!(
            QueryOutcome::from_response(&first.response().await.unwrap()),
            complete_answer(&[0])
        );
        assert_eq!(
            http2.send_query(&lookup("same", &[0])).await,
            complete_answer(&[0])
        );
    });
}

#[test]
fn host_that_differs_from_authority_is_rejected_and_trailers_are_accepted() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    let mut raw = fixture.connect_raw();
    raw.send(&query_headers(1, "a", &[("host", "other.svc")]));
    raw.send(&encode_frame(DATA, END_STREAM, 1, QUERY_BODY));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 400);
    // A request with a part of its header block in CONTINUATION, and with trailers after its body.
    let block = query_fields("b", &[("host", "broker.svc")]);
    raw.send(&encode_frame(HEADERS, 0, 3, &block[..20]));
    raw.send(&encode_frame(CONTINUATION, END_HEADERS, 3, &block[20..]));
    raw.send(&encode_frame(DATA, 0, 3, QUERY_BODY));
    raw.send(&encode_frame(
        HEADERS,
        END_HEADERS | END_STREAM,
        3,
        &encode_fields(&[("checksum", "1")]),
    ));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 200);
}

/// Guards against a broker that waits for the rest of a body that exceeds the limit: the response must
/// be sent as soon as the declared or the received length is too large.
#[test]
fn oversized_body_is_answered_before_it_has_arrived() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    let mut raw = fixture.connect_raw();
    // Until the client acknowledges the broker's SETTINGS, the flow-control window of a stream is
    // 65,535 bytes (RFC 9113, section 6.9.2). The body on stream 3 is longer and would exceed it.
    raw.expect_frame(SETTINGS);
    raw.send(&encode_frame(SETTINGS, 1, 0, &[]));
    raw.send(&query_headers(1, "a", &[("content-length", "60000000")]));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 413);
    raw.send(&query_headers(3, "b", &[]));
    let chunk = vec![b' '; 16_384];
    for _ in 0..4 {
        raw.send(&encode_frame(DATA, 0, 3, &chunk));
    }
    raw.send(&encode_frame(DATA, 0, 3, &chunk[..100]));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 413);
    raw.send(&query_frames(5, "c"));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 200);
}

/// A request whose body stops in the middle gets 408, and the connection stays usable.
#[test]
fn incomplete_body_times_out_and_the_connection_stays_usable() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    let mut raw = fixture.connect_raw();
    raw.send(&query_headers(1, "a", &[]));
    raw.send(&encode_frame(DATA, 0, 1, &QUERY_BODY[..10]));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 408);
    raw.send(&query_frames(3, "b"));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 200);
}

/// A client uses HTTP/1.1 on the port for HTTP/2, HTTP/2 on the port for HTTP/1.1, or TLS. The first
/// two get a response that names the error; the connection is closed in all cases.
#[test]
fn wrong_protocol_is_answered_and_the_connection_closed() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    let mut http1 = fixture.connect_silent();
    http1.send(b"POST /lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}");
    let text = http1.text_until_close();
    assert!(
        text.starts_with("HTTP/1.1 400 ") && text.contains("HTTP/2 by prior knowledge"),
        "expected status 400 and a text that asks for HTTP/2 by prior knowledge, found {text:?}"
    );
    let mut http2 = RawHttp2Client::connect(fixture.broker.http1);
    http2.send(&[PREFACE, &encode_frame(SETTINGS, 0, 0, &[])].concat());
    let text = http2.text_until_close();
    assert!(
        text.starts_with("HTTP/1.1 505 "),
        "expected status 505, found {text:?}"
    );
    // The start of a TLS handshake.
    let mut tls = fixture.connect_silent();
    tls.send(b"\x16\x03\x01\x02\x00\x01\x00");
    tls.text_until_close();
}
