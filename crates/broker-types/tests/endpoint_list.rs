//! Decoding of the endpoint list.

use broker_types::server::{EndpointList, ListScope, NodeId, ServerInfo, ServingState};

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
    let servers = list.servers(&["x".to_owned(), "y".to_owned()], |unix_ms| unix_ms - 1);
    let draining = ServerInfo {
        zone: Some(1),
        ..server("a", 3, ServingState::Draining)
    };
    let active = ServerInfo {
        started_at: Some(1_796_125_499_999),
        ..server("b", 1, ServingState::Serving)
    };
    let removed = server("c", 0, ServingState::Removed);
    assert_eq!(servers, [draining, active, removed]);
    assert_eq!(list.scope(), ListScope::Delta);
}

#[test]
fn list_with_an_unknown_state_is_refused() {
    let unknown = r#"{"rev":1,"all":true,"targets":[{"uid":"a","state":"new"}]}"#;
    assert!(serde_json::from_str::<EndpointList>(unknown).is_err());
}
