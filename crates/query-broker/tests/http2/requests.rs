//! Single requests: what is served, and what each malformed one is owed (RFC 9113, section 8).

use crate::rig::{lookup, rig, whole};
use load_generator::QueryOutcome;
use load_generator::raw_http2::{
    CONTINUATION, DATA, END_HEADERS, END_STREAM, GOAWAY, HEADERS, QUERY_BODY, RST_STREAM,
    RawHttp2Client, SETTINGS, encode_frame, query_fields, query_frames, response_status,
};
use std::time::Duration;

const PROTOCOL_ERROR: u32 = 1;

/// The same query over both fronts has the same answer.
#[test]
fn both_fronts_answer_alike() {
    let rig = rig(Duration::ZERO);
    rig.run(async {
        let http2 = rig.connect().await;
        let mut http1 = rig.connect_http1().await;
        assert_eq!(
            http2.send_query(&lookup("a", &[0, 3, 5])).await,
            whole(&[0, 3, 5])
        );
        let response = http1
            .send(&lookup("b", &[0, 3, 5]).request())
            .await
            .unwrap();
        assert_eq!(QueryOutcome::from_response(&response), whole(&[0, 3, 5]));
        for (method, path, expected) in [
            ("GET", "/-/ready", 200),
            ("HEAD", "/-/ready", 200),
            ("POST", "/-/ready", 405),
            ("GET", "/lookup", 405),
            ("BREW", "/lookup", 501),
            ("POST", "/nothing", 404),
            ("OPTIONS", "/lookup", 405),
        ] {
            let request = http::Request::builder()
                .method(method)
                .uri(format!("http://broker.svc{path}"));
            let mut request = request.body(Vec::new()).unwrap();
            request
                .headers_mut()
                .insert("content-length", "0".parse().unwrap());
            let two = http2.send(&request).await.unwrap();
            let one = http1.send(&request).await;
            assert_eq!(two.status().as_u16(), expected, "{method} {path}");
            assert!(two.headers().contains_key("date"), "{method} {path}");
            // A response to HEAD has no body whatever its length says: the client here would wait for one.
            if method != "HEAD" {
                assert_eq!(one.unwrap().status(), two.status(), "{method} {path}");
            }
        }
    });
    rig.check_books();
}

#[test]
fn the_id_of_another_open_request_is_turned_down_over_both_fronts() {
    let rig = rig(Duration::from_millis(1000));
    rig.run(async {
        let http2 = rig.connect().await;
        let mut http1 = rig.connect_http1().await;
        let first = http2.open(&lookup("same", &[0]).request()).await.unwrap();
        rig.attempts(1).await;
        assert_eq!(
            http2.send_query(&lookup("same", &[0])).await,
            QueryOutcome::Failed(400)
        );
        let response = http1.send(&lookup("same", &[0]).request()).await.unwrap();
        assert_eq!(response.status(), 400);
        assert_eq!(
            QueryOutcome::from_response(&first.response().await.unwrap()),
            whole(&[0])
        );
        assert_eq!(http2.send_query(&lookup("same", &[0])).await, whole(&[0]));
    });
}

/// Malformed requests end their stream and nothing else; where the library cannot tell a name, it ends the connection,
/// which RFC 9113 allows (section 5.4.2). Either way others are served.
#[test]
fn malformed_requests_end_their_stream_alone() {
    let rig = rig(Duration::ZERO);
    let mut raw = RawHttp2Client::connect_with_preface(rig.program.http2.unwrap());
    let rows: &[(&str, &[(&str, &str)])] = &[
        ("no method", &[(":method", "")]),
        ("no scheme", &[(":scheme", "")]),
        ("no path", &[(":path", "")]),
        ("a pseudo-header behind the others", &[(":protocol", "x")]),
        ("a name that no pseudo-header has", &[(":odd", "x")]),
        (
            "two methods",
            &[(":method", "POST"), ("a", "b"), (":status", "200")],
        ),
        ("connection", &[("connection", "close")]),
        ("keep-alive", &[("keep-alive", "1")]),
        ("transfer-encoding", &[("transfer-encoding", "chunked")]),
        ("upgrade", &[("upgrade", "h2c")]),
        ("te", &[("te", "gzip")]),
        ("capitals in a name", &[("X-Odd", "1")]),
        (
            "a length that is more than DATA",
            &[("content-length", "1000")],
        ),
        (
            "a length that is less than DATA",
            &[("content-length", "3")],
        ),
        ("a length that is none", &[("content-length", "x")]),
    ];
    for (n, (what, changes)) in rows.iter().enumerate() {
        let stream = 1 + 4 * n as u32;
        raw.send(&encode_frame(
            HEADERS,
            END_HEADERS,
            stream,
            &query_fields(&format!("bad{n}"), changes),
        ));
        raw.send(&encode_frame(DATA, END_STREAM, stream, QUERY_BODY));
        raw.send(&query_frames(stream + 2, &format!("good{n}")));
        let mut refused = false;
        loop {
            let next = raw
                .next_frame(Duration::from_secs(30))
                .unwrap_or_else(|| panic!("{what}: the connection ended"));
            match next.frame_type {
                GOAWAY => {
                    assert!(
                        next.error_code() == PROTOCOL_ERROR && what.contains("a name"),
                        "{what}: GOAWAY {}",
                        next.error_code()
                    );
                    raw = RawHttp2Client::connect_with_preface(rig.program.http2.unwrap());
                    refused = true;
                    break;
                }
                RST_STREAM if next.stream_id == stream => {
                    assert_eq!(next.error_code(), PROTOCOL_ERROR, "{what}");
                    refused = true;
                }
                HEADERS if next.stream_id == stream => {
                    assert_eq!(response_status(&next), 400, "{what}");
                    refused = true;
                }
                DATA if next.stream_id == stream + 2 && next.flags & END_STREAM != 0 => break,
                _ => {}
            }
        }
        // The reset may come behind the other stream's answer.
        while !refused {
            let next = raw
                .next_frame(Duration::from_secs(30))
                .unwrap_or_else(|| panic!("{what}: nothing came of it"));
            refused = next.stream_id == stream && [RST_STREAM, HEADERS].contains(&next.frame_type);
        }
    }
    let odd = |id: &String| id.starts_with("bad");
    rig.fleet.attempt_log(|log| {
        assert!(
            !log.attempts().iter().any(|a| odd(&a.part_id)),
            "a malformed request was served"
        );
    });
}

#[test]
fn a_host_that_is_not_the_authority_is_refused_and_trailers_are_taken() {
    let rig = rig(Duration::ZERO);
    let mut raw = RawHttp2Client::connect_with_preface(rig.program.http2.unwrap());
    raw.send(&encode_frame(
        HEADERS,
        END_HEADERS,
        1,
        &query_fields("a", &[("host", "other.svc")]),
    ));
    raw.send(&encode_frame(DATA, END_STREAM, 1, QUERY_BODY));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 400);
    // Fields in a CONTINUATION, and trailers behind the body.
    let block = query_fields("b", &[("host", "broker.svc")]);
    raw.send(&encode_frame(HEADERS, 0, 3, &block[..20]));
    raw.send(&encode_frame(CONTINUATION, END_HEADERS, 3, &block[20..]));
    raw.send(&encode_frame(DATA, 0, 3, QUERY_BODY));
    raw.send(&encode_frame(
        HEADERS,
        END_HEADERS | END_STREAM,
        3,
        &load_generator::raw_http2::encode_fields(&[("checksum", "1")]),
    ));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 200);
}

/// A body beyond what is taken is answered at once, whatever of it is still to come.
#[test]
fn a_body_that_is_too_long_is_answered_at_once() {
    let rig = rig(Duration::ZERO);
    let mut raw = RawHttp2Client::connect_with_preface(rig.program.http2.unwrap());
    // The windows that SETTINGS give hold once they are acknowledged.
    raw.expect_frame(SETTINGS);
    raw.send(&encode_frame(SETTINGS, 1, 0, &[]));
    raw.send(&encode_frame(
        HEADERS,
        END_HEADERS,
        1,
        &query_fields("a", &[("content-length", "60000000")]),
    ));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 413);
    raw.send(&encode_frame(
        HEADERS,
        END_HEADERS,
        3,
        &query_fields("b", &[]),
    ));
    let slice = vec![b' '; 16_384];
    for _ in 0..4 {
        raw.send(&encode_frame(DATA, 0, 3, &slice));
    }
    raw.send(&encode_frame(DATA, 0, 3, &slice[..100]));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 413);
    raw.send(&query_frames(5, "c"));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 200);
}

/// A request that stops in the middle is told so, and its connection serves on.
#[test]
fn a_half_sent_body_is_told_in_time() {
    let rig = rig(Duration::ZERO);
    let mut raw = RawHttp2Client::connect_with_preface(rig.program.http2.unwrap());
    raw.send(&encode_frame(
        HEADERS,
        END_HEADERS,
        1,
        &query_fields("a", &[]),
    ));
    raw.send(&encode_frame(DATA, 0, 1, &QUERY_BODY[..10]));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 408);
    raw.send(&query_frames(3, "b"));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 200);
}

/// HTTP/1.1 on this port, and the preface on the other one: a clear end, and no hang.
#[test]
fn the_wrong_port_is_told() {
    let rig = rig(Duration::ZERO);
    let mut old = RawHttp2Client::connect(rig.program.http2.unwrap());
    old.send(b"POST /lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}");
    let text = old.text_until_close();
    assert!(
        text.starts_with("HTTP/1.1 400 ") && text.contains("HTTP/2 by prior knowledge"),
        "{text}"
    );
    let mut new = RawHttp2Client::connect(rig.program.http1);
    new.send(
        &[
            load_generator::raw_http2::PREFACE,
            &encode_frame(4, 0, 0, &[]),
        ]
        .concat(),
    );
    let text = new.text_until_close();
    assert!(text.starts_with("HTTP/1.1 505 "), "{text}");
    let mut noise = RawHttp2Client::connect(rig.program.http2.unwrap());
    noise.send(b"\x16\x03\x01\x02\x00\x01\x00");
    noise.text_until_close();
}
