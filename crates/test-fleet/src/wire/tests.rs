//! Tests of the names that the test doubles write in the platform file and in the endpoint list.

use super::{EndpointListWire, EndpointStateWire, EndpointWire};
use crate::Deployment;
use serde_json::{json, to_value};

#[test]
fn settings_of_a_deployment_have_the_names_of_the_platform() {
    let deployment = Deployment {
        cells: 2,
        shards: 9,
        max_in_flight: 300,
        max_parts_per_call: 5,
        tick_interval_ms: 2.5,
        latency_objective_ms: 700.0,
        client_timeout_ms: 3000.0,
        ..Deployment::default()
    };
    let class = |name: &str, gain: f64, semantics: &str| {
        json!({"Name": name, "Aim": 700.0, "GiveUp": 3000.0, "Gain": gain, "LateWorth": 0.3,
            "Semantics": semantics, "MemorySpan": 5000.0})
    };
    let expected = json!({
        "Allowed": {
            "Cancel": true, "DialTimeout": 250.0, "Keepalive": 15000.0, "MaxOpen": 300,
            "MaxRetryAfter": 2000.0, "Multiplex": 100, "Peers": false, "Probes": true,
            "RetryAfter": true, "SecondCopies": false, "SendCap": 4,
        },
        "Clients": {"MarksRetry": true},
        "FamilyInfo": {
            "Batch": 5, "Call": 1.0, "ClassNeed": [1.0, 1.0, 1.0], "FetchParts": [0, 0, 0],
            "MinShare": [1.0, 1.0, 0.7], "PartialEarns": [0.9, 0.9, 0.9], "Positions": 2,
            "Shards": 9, "Width": 1,
        },
        "MembershipMode": "pushed",
        "OverShareWorth": 0.1,
        "PeersTotal": 1,
        "Projects": [{"Name": "public-site", "QuotaPerS": 100_000.0, "Share": 1.0}],
        "Rules": {
            "AskWithin": 10000.0, "Cold": 16000.0, "ColdFrom": 0.18, "Fall": 1000.0,
            "FallMultiple": 2.5,
        },
        "Services": [
            class("lookup", 1.0, "repeatable"),
            class("watchlist-save", 1.0, "by_key"),
            class("ranking", 2.0, "repeatable"),
        ],
        "Tick": 2.5,
        "WorthBy": "request",
        "Zones": ["z"],
    });
    assert_eq!(deployment.settings(), expected);
}

#[test]
fn endpoint_list_has_the_names_of_discovery() {
    let endpoint = |name: &str, state: EndpointStateWire| EndpointWire {
        name: name.to_owned(),
        address: "127.0.0.1:80".to_owned(),
        zone: "z",
        model: "m",
        cell: 3,
        state,
        capacity: 1.0,
        started_at_ms: 5,
    };
    let list = EndpointListWire {
        revision: 7,
        is_snapshot: false,
        endpoints: vec![
            endpoint("s0", EndpointStateWire::Active),
            endpoint("s1", EndpointStateWire::Draining),
        ],
    };
    let target = |uid: &str, state: &str| {
        json!({"uid": uid, "endpoint": "127.0.0.1:80", "az": "z", "model": "m", "pod_group": 3,
            "state": state, "capacity_hint": 1.0, "boot_ms": 5})
    };
    let targets = [target("s0", "active"), target("s1", "leaving")];
    let expected = json!({"rev": 7, "all": false, "targets": targets});
    assert_eq!(to_value(list).unwrap(), expected);
}
