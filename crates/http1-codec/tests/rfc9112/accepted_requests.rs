//! Requests that RFC 9112 allows.

use crate::support::{decode_bytewise, decode_in_one_read, expand};
use http::Method;

/// A request that must be accepted, and its expected properties.
struct AcceptedRequest {
    /// Section of RFC 9112 and description of the case.
    description: &'static str,
    /// Text of the request, for [`expand`].
    template: &'static str,
    path: &'static str,
    body: &'static str,
    keep_alive: bool,
}

/// Creates a case that expects the path `/a`, no body, and a connection that stays open.
const fn accepted(description: &'static str, template: &'static str) -> AcceptedRequest {
    AcceptedRequest {
        description,
        template,
        path: "/a",
        body: "",
        keep_alive: true,
    }
}

impl AcceptedRequest {
    /// Expects this path.
    const fn with_path(self, path: &'static str) -> Self {
        AcceptedRequest { path, ..self }
    }

    /// Expects this body.
    const fn with_body(self, body: &'static str) -> Self {
        AcceptedRequest { body, ..self }
    }

    /// Expects that the connection is closed after the request.
    const fn closing(self) -> Self {
        AcceptedRequest {
            keep_alive: false,
            ..self
        }
    }
}

const CASES: &[AcceptedRequest] = &[
    accepted("2.2 empty lines before", "~~GET /a HTTP/1.1~Host: a~~"),
    accepted("2.2 lines that end in LF", "GET /a HTTP/1.1\nHost: a\n\n"),
    accepted("2.3 a later minor version", "GET /a HTTP/1.2~Host: a~~"),
    accepted("3.1 an unregistered method", "BREW /a HTTP/1.1~Host: a~~"),
    accepted("3.2 an empty Host", "GET /a HTTP/1.1~Host:~~"),
    accepted("3.2 Host with a port", "GET /a HTTP/1.1~hOST: a.b:80~~"),
    accepted(
        "3.2 Host with an address",
        "GET /a HTTP/1.1~Host: [::1]:80~~",
    ),
    accepted("3.2.1 a query", "GET /a?b=c HTTP/1.1~Host: a~~"),
    accepted("3.2.2 an absolute URI", "GET http://b/a HTTP/1.1~Host: a~~"),
    accepted(
        "3.2.4 the server as a whole",
        "OPTIONS * HTTP/1.1~Host: a~~",
    )
    .with_path("*"),
    accepted(
        "5.1 whitespace around a value",
        "POST /a HTTP/1.1~Host:\ta \t~Content-Length:  1 ~~x",
    )
    .with_body("x"),
    accepted(
        "5.5 bytes beyond ASCII",
        "GET /a HTTP/1.1~Host: a~A: \u{e9}~~",
    ),
    accepted(
        "6.1 chunked in upper case",
        "POST /a HTTP/1.1~Host: a~Transfer-Encoding: CHUNKED~~1~x~0~~",
    )
    .with_body("x"),
    accepted("6.3 no body", "GET /a HTTP/1.1~Host: a~~"),
    accepted(
        "6.3 a body with GET",
        "GET /a HTTP/1.1~Host: a~Content-Length: 1~~x",
    )
    .with_body("x"),
    accepted(
        "7.1 chunks",
        "POST /a HTTP/1.1~Host: a~Transfer-Encoding: chunked~~1~x~00A~0123456789~000~~",
    )
    .with_body("x0123456789"),
    accepted(
        "7.1.1 extensions",
        "POST /a HTTP/1.1~Host: a~Transfer-Encoding: chunked~~1;a=\"b\"~x~0 ;c~~",
    )
    .with_body("x"),
    accepted(
        "7.1.2 trailers",
        "POST /a HTTP/1.1~Host: a~Transfer-Encoding: chunked~~0~A: b~~",
    ),
    accepted("9.3 HTTP/1.0", "GET /a HTTP/1.0~~").closing(),
    accepted(
        "9.3 HTTP/1.0 with keep-alive",
        "GET /a HTTP/1.0~Connection: Keep-Alive~~",
    ),
    accepted(
        "9.3 close with other options",
        "GET /a HTTP/1.1~Host: a~Connection: x, Close~~",
    )
    .closing(),
    accepted(
        "9.3 close over two lines",
        "GET /a HTTP/1.1~Host: a~Connection: x~Connection: close~~",
    )
    .closing(),
    accepted(
        "9.3 close overrides keep-alive",
        "GET /a HTTP/1.1~Host: a~Connection: close, keep-alive~~",
    )
    .closing(),
];

#[test]
fn allowed_request_is_accepted_up_to_its_end() {
    for case in CASES {
        let description = case.description;
        let text = expand(case.template);
        let in_one_read = decode_in_one_read(&format!("{text}GET")).unwrap();
        let bytewise = decode_bytewise(&text).unwrap();
        for message in [in_one_read.request, bytewise] {
            let message = message.unwrap_or_else(|| {
                panic!("{description}: expected a complete request, found an incomplete one")
            });
            assert_eq!(message.value.uri().path(), case.path, "{description}");
            assert_eq!(message.value.body(), case.body.as_bytes(), "{description}");
            assert_eq!(message.keep_alive, case.keep_alive, "{description}");
        }
        assert_eq!(
            in_one_read.rest, b"GET",
            "{description}: bytes after the request must stay in the input"
        );
    }
}

#[test]
fn methods_are_case_sensitive_tokens() {
    let decoded = decode_in_one_read("get / HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    assert_ne!(decoded.request.unwrap().value.method(), Method::GET);
}
