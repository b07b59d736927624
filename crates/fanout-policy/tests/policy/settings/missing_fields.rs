//! Fields that are absent or null, and fields that are required only together with others.

use super::fixture::{decode_valid, error_with, settings_with, settings_without, try_decode};
use fanout_policy::api::RetrySafety;
use serde_json::{Value, json};

/// Each required field, with the object that its error text names.
const REQUIRED: [(&str, &str); 29] = [
    ("/Allowed", "Env"),
    ("/FamilyInfo", "Env"),
    ("/Rules", "Env"),
    ("/Services", "Env"),
    ("/MembershipMode", "Env"),
    ("/PeersTotal", "Env"),
    ("/Tick", "Env"),
    ("/Allowed/SendCap", "Allowed"),
    ("/FamilyInfo/Batch", "FamilyInfo"),
    ("/FamilyInfo/Call", "FamilyInfo"),
    ("/FamilyInfo/ClassNeed", "FamilyInfo"),
    ("/FamilyInfo/FetchParts", "FamilyInfo"),
    ("/FamilyInfo/MinShare", "FamilyInfo"),
    ("/FamilyInfo/PartialEarns", "FamilyInfo"),
    ("/FamilyInfo/Positions", "FamilyInfo"),
    ("/FamilyInfo/Shards", "FamilyInfo"),
    ("/FamilyInfo/Width", "FamilyInfo"),
    ("/Projects/0/QuotaPerS", "Projects"),
    ("/Rules/Cold", "Rules"),
    ("/Rules/ColdFrom", "Rules"),
    ("/Rules/Fall", "Rules"),
    ("/Rules/FallMultiple", "Rules"),
    // Required because the settings have another field of the retry budget, `ExtraRatio`.
    ("/Rules/RatioSpan", "Rules"),
    ("/Services/0/Aim", "Services"),
    ("/Services/0/Gain", "Services"),
    ("/Services/0/GiveUp", "Services"),
    ("/Services/0/LateWorth", "Services"),
    // Required because `Semantics` is `by_key`: servers remember the keys for this time.
    ("/Services/0/MemorySpan", "Services"),
    ("/Services/0/Semantics", "Services"),
];

#[test]
fn required_field_that_is_absent_or_null_is_missing() {
    for (pointer, object) in REQUIRED {
        let field = pointer.rsplit('/').next().unwrap();
        let expected = format!("{object}: field {field} is missing or null");
        let absent = try_decode(&settings_without(pointer))
            .expect_err(&format!("{pointer} must be required"));
        assert_eq!(absent.to_string(), expected);
        assert_eq!(error_with(pointer, Value::Null), expected);
    }
}

#[test]
fn optional_field_may_be_absent_or_null() {
    for pointer in [
        "/Allowed/Cancel",
        "/Allowed/DialTimeout",
        "/Allowed/Keepalive",
        "/Allowed/MaxOpen",
        "/Allowed/MaxRetryAfter",
        "/Allowed/Multiplex",
        "/Allowed/Peers",
        "/Allowed/RetryAfter",
        "/Allowed/SecondCopies",
        "/Clients",
        "/Clients/MarksRetry",
        "/Locality",
        "/OverShareWorth",
        "/Projects",
        "/Projects/0/Name",
        "/Rules/AskWithin",
        "/Rules/ExtraRatio",
        "/Services/0/Name",
        "/WorthBy",
        "/Zones",
    ] {
        decode_valid(&settings_without(pointer));
        decode_valid(&settings_with(pointer, Value::Null));
    }
    let site = decode_valid(&settings_with("/Rules/SpareAttempts", Value::Null));
    assert_eq!(site.settings.retry_budget.unwrap().free_attempts, 0.0);
}

#[test]
fn retry_budget_requires_its_window_and_no_other_field() {
    let mut value = settings_without("/Rules/ExtraRatio");
    let budget = decode_valid(&value).settings.retry_budget.unwrap();
    let fields = (budget.free_attempts, budget.per_request, budget.window);
    assert_eq!(fields, (0.0, 0.0, 500.0));
    value["Rules"]["RatioSpan"] = Value::Null;
    assert!(decode_valid(&value).settings.retry_budget.is_none());
    value["Rules"]["SpareAttempts"] = json!(1);
    let error = try_decode(&value).unwrap_err().to_string();
    assert_eq!(error, "Rules: field RatioSpan is missing or null");
}

#[test]
fn field_is_not_checked_where_another_field_makes_it_unused() {
    for (semantics, safety) in [
        ("repeatable", RetrySafety::Idempotent),
        ("once", RetrySafety::NotIdempotent),
    ] {
        let mut value = settings_with("/Services/0/Semantics", json!(semantics));
        value["Services"][0]["MemorySpan"] = json!("x");
        assert_eq!(
            decode_valid(&value).settings.classes[0].retry_safety,
            safety
        );
    }
    let mut value = settings_with("/Allowed/MaxRetryAfter", json!("x"));
    for flag in [json!(false), Value::Null] {
        value["Allowed"]["RetryAfter"] = flag;
        assert_eq!(decode_valid(&value).settings.max_retry_after, None);
    }
}
