//! Decoding of the settings object.

use fanout_policy::api::{EndpointListSource, RetrySafety};
use fanout_policy::json::{FieldError, JsonObject};
use fanout_policy::settings::{SiteSettings, decode};
use serde_json::{Value, json};

/// Settings with one class, one tenant and the optional fields.
fn settings() -> Value {
    json!({
        "Allowed": {"Cancel": true, "DialTimeout": 250.0, "Keepalive": 15000.0, "MaxOpen": 100.0, "MaxRetryAfter": 2000.0,
            "Multiplex": 50, "Peers": true, "RetryAfter": true, "SecondCopies": false, "SendCap": 4},
        "Clients": {"MarksRetry": true},
        "FamilyInfo": {"Batch": 2, "Call": 1.5, "ClassNeed": [0.9], "FetchParts": [2], "MinShare": [0.5],
            "PartialEarns": [0.8], "Positions": 6, "Shards": 12, "Width": 3},
        "Locality": 1, "MembershipMode": "on_request", "OverShareWorth": 0.1, "PeersTotal": 7,
        "Projects": [{"Name": "acme", "QuotaPerS": 1000.0}],
        "Rules": {"AskWithin": 9000.0, "Cold": 1000.0, "ColdFrom": 0.5, "Fall": 900.0, "FallMultiple": 2.5,
            "ExtraRatio": 0.1, "RatioSpan": 500.0},
        "Services": [{"Name": "save", "Aim": 800.0, "GiveUp": 4000.0, "Gain": 2.0, "LateWorth": 0.3,
            "Semantics": "by_key", "MemorySpan": 5000.0}],
        "Tick": 5.0, "WorthBy": "work", "Zones": ["near", "far"],
    })
}

fn decode_value(value: &Value) -> Result<SiteSettings, FieldError> {
    decode(&JsonObject::new("Env", value.as_object().unwrap()))
}

/// The error text of the settings with this field replaced.
fn error_with(pointer: &str, replacement: Value) -> String {
    let mut value = settings();
    *value.pointer_mut(pointer).expect(pointer) = replacement;
    decode_value(&value).expect_err(pointer).to_string()
}

#[test]
fn all_fields_are_decoded() {
    let site = decode_value(&settings()).unwrap();
    assert_eq!(
        (site.class_names, site.tenant_names),
        (vec!["save".to_owned()], vec!["acme".to_owned()])
    );
    assert_eq!(site.zone_names, ["near", "far"]);
    assert_eq!(
        (site.max_in_flight, site.max_parts_per_connection),
        (Some(100), Some(50))
    );
    assert_eq!(
        (site.dial_timeout, site.idle_timeout),
        (Some(250.0), Some(15_000.0))
    );
    let policy = site.settings;
    assert_eq!(
        (policy.cells, policy.replica_cells, policy.shards),
        (6, 3, 12)
    );
    assert_eq!(
        (policy.aggregators, policy.zone, policy.max_parts_per_call),
        (7, Some(1), 2)
    );
    assert_eq!(
        (policy.call_cost, policy.max_attempts, policy.tick),
        (1.5, 4, 5.0)
    );
    assert_eq!(
        (policy.hedging, policy.cancellation, policy.gossip),
        (false, true, true)
    );
    assert_eq!((policy.weight_by_work, policy.marks_retries), (true, true));
    assert_eq!(
        (policy.over_quota_weight, policy.max_retry_after),
        (0.1, Some(2000.0))
    );
    assert_eq!(
        (policy.list_source, policy.list_poll_deadline),
        (EndpointListSource::Polled, 9000.0)
    );
    assert_eq!(policy.tenants[0].quota_per_s, 1000.0);
    assert_eq!(
        (policy.warm_up.initial_capacity, policy.warm_up.duration),
        (0.5, 1000.0)
    );
    assert_eq!(
        (
            policy.warm_up.overload_factor,
            policy.warm_up.overload_window
        ),
        (2.5, 900.0)
    );
    let budget = policy.retry_budget.unwrap();
    assert_eq!(
        (budget.free_attempts, budget.per_request, budget.window),
        (0.0, 0.1, 500.0)
    );
    let class = &policy.classes[0];
    assert_eq!(
        (class.latency_objective, class.client_timeout),
        (800.0, 4000.0)
    );
    assert_eq!((class.priority_weight, class.late_weight), (2.0, 0.3));
    assert_eq!(
        (
            class.required_share,
            class.minimum_share,
            class.partial_weight
        ),
        (0.9, 0.5, 0.8)
    );
    assert_eq!(
        class.retry_safety,
        RetrySafety::IdempotencyKey { window: 5000.0 }
    );
    assert!(class.has_second_step);
}

#[test]
fn absent_optional_fields_have_defaults() {
    let mut value = settings();
    for field in [
        "Clients",
        "Locality",
        "OverShareWorth",
        "Projects",
        "WorthBy",
        "Zones",
    ] {
        value[field] = Value::Null;
    }
    value["Rules"]["AskWithin"] = Value::Null;
    value["Rules"]["ExtraRatio"] = Value::Null;
    value["Rules"]["RatioSpan"] = Value::Null;
    value["Allowed"]["RetryAfter"] = json!(false);
    let site = decode_value(&value).unwrap();
    assert!(site.tenant_names.is_empty() && site.zone_names.is_empty());
    let policy = site.settings;
    assert!(policy.tenants.is_empty() && policy.zone.is_none() && policy.retry_budget.is_none());
    assert!(!policy.weight_by_work && !policy.marks_retries && policy.max_retry_after.is_none());
    assert_eq!(
        (policy.over_quota_weight, policy.list_poll_deadline),
        (1.0, f64::INFINITY)
    );
}

#[test]
fn error_names_the_faulty_field() {
    assert_eq!(
        error_with("/FamilyInfo", Value::Null),
        "Env: field FamilyInfo is missing"
    );
    assert_eq!(
        error_with("/Allowed/SendCap", json!(2.5)),
        "Allowed: field SendCap is not a whole number"
    );
    assert_eq!(
        error_with("/MembershipMode", json!("x")),
        "Env: field MembershipMode is unknown"
    );
    assert_eq!(
        error_with("/Services/0/Semantics", json!("x")),
        "Services: field Semantics is unknown"
    );
    assert_eq!(
        error_with("/Services/0/MemorySpan", Value::Null),
        "Services: field MemorySpan is missing"
    );
    let too_few = "FamilyInfo: field MinShare has too few entries";
    assert_eq!(error_with("/FamilyInfo/MinShare", json!([])), too_few);
    let not_an_object = "Env: field Projects holds something that is not an object";
    assert_eq!(error_with("/Projects/0", json!(1)), not_an_object);
    assert_eq!(
        error_with("/Rules/RatioSpan", Value::Null),
        "Rules: field RatioSpan is missing"
    );
}
