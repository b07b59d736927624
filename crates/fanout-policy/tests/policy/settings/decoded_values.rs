//! The values that valid settings decode to, defaults included.

use super::fixture::{decode_valid, settings, settings_with, try_decode};
use fanout_policy::api::{EndpointListSource, RetrySafety};
use serde_json::{Value, json};

#[test]
fn all_fields_are_decoded() {
    let site = try_decode(&settings()).unwrap();
    assert_eq!(site.class_names, ["save"]);
    assert_eq!(site.tenant_names, ["acme"]);
    assert_eq!(site.zone_names, ["near", "far"]);
    assert_eq!(site.max_in_flight, Some(100));
    assert_eq!(site.max_parts_per_connection, Some(50));
    assert_eq!(site.dial_timeout, Some(250.0));
    assert_eq!(site.idle_timeout, Some(15_000.0));

    let policy = site.settings;
    assert_eq!(policy.cells, 6);
    assert_eq!(policy.replica_cells, 3);
    assert_eq!(policy.shards, 12);
    assert_eq!(policy.aggregators, 7);
    assert_eq!(policy.zone, Some(1));
    assert_eq!(policy.max_parts_per_call, 2);
    assert_eq!(policy.call_cost, 1.5);
    assert_eq!(policy.max_attempts, 4);
    assert_eq!(policy.tick, 5.0);
    assert!(!policy.hedging);
    assert!(policy.cancellation);
    assert!(policy.gossip);
    assert!(policy.weight_by_work);
    assert!(policy.marks_retries);
    assert_eq!(policy.over_quota_weight, 0.1);
    assert_eq!(policy.max_retry_after, Some(2000.0));
    assert_eq!(policy.list_source, EndpointListSource::Polled);
    assert_eq!(policy.list_poll_deadline, 9000.0);
    assert_eq!(policy.tenants[0].quota_per_s, 1000.0);

    assert_eq!(policy.warm_up.initial_capacity, 0.5);
    assert_eq!(policy.warm_up.duration, 1000.0);
    assert_eq!(policy.warm_up.overload_factor, 2.5);
    assert_eq!(policy.warm_up.overload_window, 900.0);

    let budget = policy.retry_budget.unwrap();
    assert_eq!(budget.free_attempts, 0.0);
    assert_eq!(budget.per_request, 0.1);
    assert_eq!(budget.window, 500.0);

    let class = &policy.classes[0];
    let retry_safety = RetrySafety::IdempotencyKey { window: 5000.0 };
    assert_eq!(class.latency_objective, 800.0);
    assert_eq!(class.client_timeout, 4000.0);
    assert_eq!(class.priority_weight, 2.0);
    assert_eq!(class.late_weight, 0.3);
    assert_eq!(class.required_share, 0.9);
    assert_eq!(class.minimum_share, 0.5);
    assert_eq!(class.partial_weight, 0.8);
    assert_eq!(class.retry_safety, retry_safety);
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
    // Without `RetryAfter`, the field `MaxRetryAfter` of the settings has no effect.
    value["Allowed"]["RetryAfter"] = json!(false);
    let site = try_decode(&value).unwrap();
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
fn whole_number_is_accepted_up_to_the_maximum_u64() {
    for (value, expected) in [
        (json!(0), 0),
        (json!(-0.0), 0),
        (json!(3.0), 3),
        (json!(9_223_372_036_854_775_808_u64), 1 << 63),
        (json!(u64::MAX), u64::MAX),
        (json!(9.2e18), 9_200_000_000_000_000_000),
    ] {
        let site = decode_valid(&settings_with("/Allowed/MaxOpen", value.clone()));
        assert_eq!(site.max_in_flight, Some(expected), "{value}");
        let site = decode_valid(&settings_with("/PeersTotal", value));
        assert_eq!(site.settings.aggregators as u64, expected);
    }
    // The maximum number of attempts is 32 bits wide: of a larger number the low 32 bits are used.
    let site = decode_valid(&settings_with("/Allowed/SendCap", json!((1_u64 << 32) + 1)));
    assert_eq!(site.settings.max_attempts, 1);
}

#[test]
fn number_may_be_whole_negative_or_huge() {
    for (value, expected) in [
        (json!(3), 3.0),
        (json!(-1), -1.0),
        (json!(1e300), 1e300),
        (json!(u64::MAX), u64::MAX as f64),
    ] {
        let site = decode_valid(&settings_with("/Tick", value.clone()));
        assert_eq!(site.settings.tick, expected);
        let site = decode_valid(&settings_with("/Services/0/Aim", value));
        assert_eq!(site.settings.classes[0].latency_objective, expected);
    }
}

#[test]
fn name_that_is_not_a_string_is_decoded_as_empty() {
    for name in [json!(1), json!(true), json!(["x"]), json!({}), Value::Null] {
        let site = decode_valid(&settings_with("/Services/0/Name", name.clone()));
        assert_eq!(site.class_names, [""]);
        let site = decode_valid(&settings_with("/Projects/0/Name", name.clone()));
        assert_eq!(site.tenant_names, [""]);
        let site = decode_valid(&settings_with("/Zones/0", name));
        assert_eq!(site.zone_names, ["", "far"]);
    }
}

#[test]
fn priority_weight_is_per_request_unless_worth_by_is_work() {
    for value in [
        json!("request"),
        json!(1),
        json!([]),
        json!({"work": null}),
        Value::Null,
    ] {
        let site = decode_valid(&settings_with("/WorthBy", value));
        assert!(!site.settings.weight_by_work);
    }
}
