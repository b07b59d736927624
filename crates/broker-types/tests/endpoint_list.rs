//! Tests of the decoding of the endpoint list.

use broker_types::server::{EndpointList, ListScope, NodeId, ServerInfo, ServingState};
use broker_types::time::SignedTimestamp;

const CHANGES: &str = r#"{"rev":43,"all":false,"targets":[
    {"uid":"a","endpoint":"127.0.0.1:80","az":"y","model":"m","pod_group":3,"state":"leaving","boot_ms":0},
    {"uid":"b","endpoint":"127.0.0.1:81","az":"?","pod_group":1,"state":"active","boot_ms":1796125500000},
    {"uid":"c","state":"left"}]}"#;

fn server(name: &str, cell: usize, state: ServingState) -> ServerInfo {
    ServerInfo {
        name: NodeId(name.into()),
        cell,
        state,
        zone: None,
        started_at: None,
    }
}

#[test]
fn list_with_missing_and_unknown_fields_is_decoded() {
    let list: EndpointList = serde_json::from_str(CHANGES).unwrap();
    // Stands for the conversion of a Unix time to the program's clock. It changes the number, so
    // that the test fails if a start time is not converted.
    let from_unix_ms = |unix_ms: i64| SignedTimestamp::from_micros(unix_ms - 1);
    let servers = list.servers(&["x".to_owned(), "y".to_owned()], from_unix_ms);
    let draining = ServerInfo {
        zone: Some(1),
        ..server("a", 3, ServingState::Draining)
    };
    let active = ServerInfo {
        started_at: Some(SignedTimestamp::from_micros(1_796_125_499_999)),
        ..server("b", 1, ServingState::Serving)
    };
    let removed = server("c", 0, ServingState::Removed);
    assert_eq!(servers, [draining, active, removed]);
    assert_eq!(list.scope(), ListScope::Delta);
}

#[test]
fn list_with_an_unknown_state_is_rejected() {
    let unknown = r#"{"rev":1,"all":true,"targets":[{"uid":"a","state":"new"}]}"#;
    assert!(serde_json::from_str::<EndpointList>(unknown).is_err());
}

fn decode(text: &str) -> Result<EndpointList, String> {
    serde_json::from_str(text).map_err(|error| error.to_string())
}

/// Returns the text of a list with one entry, which has `fields` in addition to the required
/// fields.
fn list_with(fields: &str) -> String {
    format!(r#"{{"rev":1,"all":true,"targets":[{{"uid":"a","state":"active"{fields}}}]}}"#)
}

/// Operators see these texts in the log.
#[test]
fn malformed_list_is_rejected_with_the_line_and_column_of_the_error() {
    for (text, error) in [
        (r"{}", "missing field `rev` at line 1 column 2"),
        (r#"{"rev":1}"#, "missing field `all` at line 1 column 9"),
        (
            r#"{"rev":1,"all":true}"#,
            "missing field `targets` at line 1 column 20",
        ),
        (
            r#"{"rev":null}"#,
            "invalid type: null, expected u64 at line 1 column 11",
        ),
        (
            r#"{"rev":"a"}"#,
            "invalid type: string \"a\", expected u64 at line 1 column 10",
        ),
        (
            r#"{"rev":-1}"#,
            "invalid value: integer `-1`, expected u64 at line 1 column 9",
        ),
        (
            r#"{"rev":1.0}"#,
            "invalid type: floating point `1.0`, expected u64 at line 1 column 10",
        ),
        (
            r#"{"rev":1e300}"#,
            "invalid type: floating point `1e+300`, expected u64 at line 1 column 12",
        ),
        (
            r#"{"all":1}"#,
            "invalid type: integer `1`, expected a boolean at line 1 column 8",
        ),
        (
            r#"{"rev":1,"rev":2}"#,
            "duplicate field `rev` at line 1 column 14",
        ),
        (
            r#"{"targets":{}}"#,
            "invalid type: map, expected a sequence at line 1 column 11",
        ),
        (
            r#"{"targets":[1]}"#,
            "invalid type: integer `1`, expected struct Endpoint at line 1 column 13",
        ),
        (
            "1",
            "invalid type: integer `1`, expected struct EndpointList at line 1 column 1",
        ),
        (
            r#"{"targets":[{}]}"#,
            "missing field `uid` at line 1 column 14",
        ),
        (
            r#"{"targets":[{"uid":"a"}]}"#,
            "missing field `state` at line 1 column 23",
        ),
        (
            r#"{"targets":[{"uid":"a","state":"new"}]}"#,
            "unknown variant `new`, expected one of `active`, `leaving`, `left` at line 1 column 36",
        ),
    ] {
        assert_eq!(decode(text).expect_err(text), error, "{text}");
    }
    for fields in [
        r#","endpoint":"nowhere""#,
        r#","endpoint":1"#,
        r#","az":null"#,
        r#","az":1"#,
        r#","pod_group":null"#,
        r#","pod_group":3.0"#,
        r#","pod_group":-1"#,
        r#","boot_ms":null"#,
        r#","boot_ms":"1""#,
        r#","uid":"b""#,
    ] {
        assert!(decode(&list_with(fields)).is_err(), "{fields}");
    }
}

#[test]
fn optional_fields_of_an_entry_have_defaults() {
    for fields in ["", r#","endpoint":null,"unknown":[{}]"#] {
        let list = decode(&list_with(fields)).unwrap();
        assert_eq!(list.scope(), ListScope::Snapshot);
        assert_eq!(list.endpoints[0].address, None);
        let servers = list.servers(&["y".to_owned()], |_| SignedTimestamp::from_micros(0));
        assert_eq!(servers, [server("a", 0, ServingState::Serving)]);
    }
}

#[test]
fn start_time_may_be_any_number_and_is_ignored_unless_positive() {
    for (started, expected) in [
        ("0", None),
        ("-5", None),
        ("1.9", Some(1)),
        ("18446744073709551615", Some(i64::MAX)),
        ("1e300", Some(i64::MAX)),
    ] {
        let list = decode(&list_with(&format!(r#","boot_ms":{started}"#))).unwrap();
        let servers = list.servers(&[], SignedTimestamp::from_micros);
        let expected = expected.map(SignedTimestamp::from_micros);
        assert_eq!(servers[0].started_at, expected, "{started}");
    }
}

/// JSON arrays are accepted in place of objects; their values are in the order of the fields.
#[test]
fn list_of_values_without_field_names_is_decoded() {
    let list = decode(r#"[7,false,[["a",null,"y",2,"left",0]]]"#).unwrap();
    assert_eq!((list.revision, list.scope()), (7, ListScope::Delta));
    let servers = list.servers(&[], |_| SignedTimestamp::from_micros(0));
    assert_eq!(servers, [server("a", 2, ServingState::Removed)]);
}

#[test]
fn deeply_nested_value_is_ignored_or_rejected_without_a_panic() {
    for depth in [200, 100_000] {
        let nested = "[".repeat(depth) + &"]".repeat(depth);
        assert!(decode(&list_with(&format!(r#","unknown":{nested}"#))).is_ok());
        assert!(decode(&list_with(&format!(r#","az":{nested}"#))).is_err());
        assert!(decode(&nested).is_err());
    }
}
