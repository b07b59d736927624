//! Objects with unknown, duplicate, deeply nested or several faulty fields, and the texts of the
//! errors.

use super::fixture::{
    decode_valid, error_with, settings_with, settings_with_duplicate, try_decode,
};
use serde_json::{Value, json};

#[test]
fn error_names_the_faulty_field() {
    assert_eq!(
        error_with("/FamilyInfo", Value::Null),
        "Env: field FamilyInfo is missing or null"
    );
    assert_eq!(
        error_with("/Allowed/SendCap", json!(2.5)),
        "Allowed: field SendCap is not a whole number of at least 0"
    );
    assert_eq!(
        error_with("/MembershipMode", json!("x")),
        "Env: field MembershipMode is not one of the accepted values"
    );
    assert_eq!(
        error_with("/Services/0/Semantics", json!("x")),
        "Services: field Semantics is not one of the accepted values"
    );
    assert_eq!(
        error_with("/Services/0/MemorySpan", Value::Null),
        "Services: field MemorySpan is missing or null"
    );
    let too_few = "FamilyInfo: field MinShare has too few elements";
    assert_eq!(error_with("/FamilyInfo/MinShare", json!([])), too_few);
    let not_an_object = "Env: field Projects has an element that is not an object";
    assert_eq!(error_with("/Projects/0", json!(1)), not_an_object);
    assert_eq!(
        error_with("/Rules/RatioSpan", Value::Null),
        "Rules: field RatioSpan is missing or null"
    );
}

/// An operator needs the place of a fault to mend it. Where several fields are faulty, the error
/// may report any one of them, but has to give that field, its object and its problem.
#[test]
fn error_names_one_of_several_faulty_fields() {
    let mut value = settings_with("/Tick", json!("x"));
    value["FamilyInfo"]["Shards"] = json!(-1);
    value["Services"][0]["Aim"] = Value::Null;
    let error = try_decode(&value).unwrap_err().to_string();
    let faults = [
        "Env: field Tick is not a number",
        "FamilyInfo: field Shards is not a whole number of at least 0",
        "Services: field Aim is missing or null",
    ];
    assert!(faults.contains(&error.as_str()), "{error}");
}

#[test]
fn unknown_field_is_ignored() {
    for pointer in [
        "/Unknown",
        "/FamilyInfo/Unknown",
        "/Allowed/Unknown",
        "/Rules/Unknown",
        "/Clients/Unknown",
        "/Services/0/Unknown",
        "/Projects/0/Unknown",
    ] {
        decode_valid(&settings_with(pointer, json!({"x": [null, 1.5]})));
    }
    // There is one class, so that the second number of the list is unused.
    decode_valid(&settings_with("/FamilyInfo/ClassNeed", json!([0.9, 0.8])));
}

#[test]
fn last_of_duplicate_fields_is_decoded() {
    let value = settings_with_duplicate("PeersTotal", "\"x\"", "9");
    assert_eq!(decode_valid(&value).settings.aggregators, 9);
    let value = settings_with_duplicate("PeersTotal", "9", "\"x\"");
    let error = try_decode(&value).unwrap_err().to_string();
    assert_eq!(
        error,
        "Env: field PeersTotal is not a whole number of at least 0"
    );
}

#[test]
fn deeply_nested_value_is_ignored_or_rejected_without_a_panic() {
    let nested = (0..100).fold(json!(1), |inner, depth| match depth % 2 {
        0 => json!([inner]),
        _ => json!({"x": inner}),
    });
    // `WorthBy` and names may have a value of any type.
    decode_valid(&settings_with("/Unknown", nested.clone()));
    decode_valid(&settings_with("/WorthBy", nested.clone()));
    decode_valid(&settings_with("/Services/0/Name", nested.clone()));
    let expected = "Env: field Tick is not a number";
    assert_eq!(error_with("/Tick", nested.clone()), expected);
    let expected = "Clients: field MarksRetry is not true or false";
    assert_eq!(error_with("/Clients/MarksRetry", nested), expected);
}
