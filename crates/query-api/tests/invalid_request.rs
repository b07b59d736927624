//! Status codes and response texts of invalid requests, both of which are part of the protocol, and
//! the decoding of a valid request.

use broker_types::query::{ClassIndex, FinalResponse, Names, QueryRequest, TenantIndex};
use fanout_policy::settings::decode as decode_settings;
use http::Request;
use query_api::{InvalidRequest, decode};
use serde_json::Value;

const BODY: &str = r#"{"ranges":[{"range":0,"portion":1}],"predicate":"p"}"#;

/// Decodes a request with the settings of the file `settings.json`, and with the names of the
/// classes, tenants and zones in it.
fn decode_request(request: &Request<Vec<u8>>) -> Result<QueryRequest, InvalidRequest> {
    let settings: Value =
        serde_json::from_str(include_str!("../../broker-types/tests/settings.json")).unwrap();
    let fields = settings.as_object().unwrap();
    let site = decode_settings("settings", fields).unwrap();
    let names = Names {
        classes: site.class_names,
        tenants: site.tenant_names,
        zones: site.zone_names,
    };
    decode(request, &names, &site.settings)
}

/// Creates a POST request.
fn request(path: &str, headers: &[(&str, &str)], body: &str) -> Request<Vec<u8>> {
    let mut request = Request::post(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(body.as_bytes().to_vec()).unwrap()
}

/// Headers that the settings require for every class.
const HEADERS: [(&str, &str); 2] = [("x-request-id", "r1"), ("x-tenant", "acme")];

/// Asserts that a request is rejected with this status and response text.
#[track_caller]
fn assert_invalid(request: &Request<Vec<u8>>, status: u16, reason: &str) {
    let error = decode_request(request).unwrap_err();
    let expected = FinalResponse::Invalid {
        status,
        reason: reason.to_owned(),
    };
    assert_eq!(FinalResponse::from(error), expected);
}

#[test]
fn valid_query_is_decoded() {
    let query = decode_request(&request("/lookup", &HEADERS, BODY)).unwrap();
    assert_eq!((query.class, query.tenant), (ClassIndex(0), TenantIndex(0)));
    assert_eq!(query.parts.len(), 1);
    assert_eq!((&*query.id, &*query.payload), ("r1", "p"));
}

#[test]
fn request_with_an_invalid_path_or_method_is_rejected() {
    assert_invalid(
        &request("/none", &HEADERS, BODY),
        404,
        "the path names no class",
    );
    for (method, status) in [("PUT", 405), ("BREW", 501)] {
        let mut request = request("/lookup", &HEADERS, BODY);
        *request.method_mut() = method.parse().unwrap();
        assert_invalid(&request, status, "a query is a POST");
    }
}

#[test]
fn request_with_an_invalid_header_is_rejected() {
    let id = HEADERS[0];
    let tenant = HEADERS[1];
    for (path, headers, reason) in [
        ("/lookup", vec![tenant], "X-Request-Id is missing"),
        (
            "/lookup",
            vec![("x-request-id", "a,b"), tenant],
            "x-request-id is malformed",
        ),
        ("/lookup", vec![id, id, tenant], "x-request-id is malformed"),
        ("/lookup", vec![id], "X-Tenant is missing"),
        (
            "/lookup",
            vec![id, ("x-tenant", "x")],
            "X-Tenant names no tenant",
        ),
        (
            "/lookup",
            vec![id, tenant, ("x-class", "save")],
            "X-Class is not the path's class",
        ),
        ("/save", vec![id, tenant], "Idempotency-Key is missing"),
        (
            "/lookup",
            vec![id, tenant, ("x-deadline", "1s")],
            "X-Deadline is not a number with the unit m or u",
        ),
    ] {
        assert_invalid(&request(path, &headers, BODY), 400, reason);
    }
}

#[test]
fn request_with_an_invalid_body_is_rejected() {
    for (body, reason) in [
        (r#"{"ranges":[],"predicate":""}"#, "ranges is empty"),
        (
            r#"{"ranges":[{"range":9,"portion":1}],"predicate":""}"#,
            "a range is out of bounds",
        ),
        (
            r#"{"ranges":[{"range":0,"portion":0.5},{"range":0,"portion":0.5}],"predicate":""}"#,
            "a range is given twice",
        ),
        (
            r#"{"ranges":[{"range":0,"portion":2}],"predicate":""}"#,
            "a portion is out of bounds",
        ),
        (
            r#"{"ranges":[{"range":0,"portion":1,"price":-1}],"predicate":""}"#,
            "a price is out of bounds",
        ),
        (
            r#"{"ranges":[{"range":0,"portion":0.5}],"predicate":""}"#,
            "the portions do not add up to 1",
        ),
        (
            r#"{"predicate":""}"#,
            "the body is malformed: missing field `ranges` at line 1 column 16",
        ),
        (
            "5",
            "the body is malformed: invalid type: integer `5`, expected struct Body at line 1 column 1",
        ),
    ] {
        assert_invalid(&request("/lookup", &HEADERS, body), 400, reason);
    }
}

/// Guards against a body that is decoded to its end although a part before it is invalid, and
/// against a list of parts that is stored whole: either makes an invalid request as costly as it is
/// long. What follows the first invalid part is not even JSON.
#[test]
fn decoding_ends_at_the_first_invalid_part() {
    let repeated = r#"{"range":0,"portion":0},{"range":0,"portion":0},{"#;
    for (parts, reason) in [
        (repeated, "a range is given twice"),
        (r#"{"range":9,"portion":1},{"#, "a range is out of bounds"),
        (r#"{"range":0,"portion":2},{"#, "a portion is out of bounds"),
    ] {
        let body = format!(r#"{{"ranges":[{parts}"#);
        assert_invalid(&request("/lookup", &HEADERS, &body), 400, reason);
    }
}

#[test]
fn body_with_malformed_fields_is_rejected() {
    for (body, reason) in [
        (
            r#"{"ranges":[{"range":0,"portion":1}],"predicate":"","predicate":""}"#,
            "the body is malformed: duplicate field `predicate` at line 1 column 62",
        ),
        (
            r#"{"ranges":[],"ranges":[],"predicate":""}"#,
            "the body is malformed: duplicate field `ranges` at line 1 column 21",
        ),
        (
            r#"{"ranges":[{"range":0,"portion":1}],"predicate":""} x"#,
            "the body is malformed: trailing characters at line 1 column 53",
        ),
        (
            r#"{"ranges":0,"predicate":""}"#,
            "the body is malformed: invalid type: integer `0`, expected a sequence at line 1 column 11",
        ),
        (
            r#"{"ranges":[{"portion":1}],"predicate":""}"#,
            "the body is malformed: missing field `range` at line 1 column 24",
        ),
        (
            "[[]]",
            "the body is malformed: invalid length 1, expected struct Body with 2 elements at line 1 column 4",
        ),
    ] {
        assert_invalid(&request("/lookup", &HEADERS, body), 400, reason);
    }
}

/// Fields that the broker does not know are ignored, and a list of both fields is a body as well.
#[test]
fn body_may_have_unknown_fields_or_be_a_list() {
    for body in [
        r#"{"x":[{"y":null}],"predicate":"p","ranges":[{"range":0,"portion":1}]}"#,
        r#"[[{"range":0,"portion":1}],"p"]"#,
    ] {
        let query = decode_request(&request("/lookup", &HEADERS, body)).unwrap();
        assert_eq!((query.parts.len(), &*query.payload), (1, "p"), "{body}");
    }
}
