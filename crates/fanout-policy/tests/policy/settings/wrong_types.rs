//! Fields whose value has the wrong type, is out of range, or is none of the allowed texts.

use super::fixture::{settings_with, try_decode};
use serde_json::{Value, json};

const WHOLE_NUMBERS: [&str; 9] = [
    "/PeersTotal",
    "/Locality",
    "/FamilyInfo/Positions",
    "/FamilyInfo/Width",
    "/FamilyInfo/Shards",
    "/FamilyInfo/Batch",
    "/Allowed/SendCap",
    "/Allowed/MaxOpen",
    "/Allowed/Multiplex",
];
const NUMBERS: [&str; 20] = [
    "/Tick",
    "/OverShareWorth",
    "/FamilyInfo/Call",
    "/Allowed/MaxRetryAfter",
    "/Allowed/DialTimeout",
    "/Allowed/Keepalive",
    "/Rules/AskWithin",
    "/Rules/SpareAttempts",
    "/Rules/ExtraRatio",
    "/Rules/RatioSpan",
    "/Rules/Cold",
    "/Rules/ColdFrom",
    "/Rules/Fall",
    "/Rules/FallMultiple",
    "/Services/0/Aim",
    "/Services/0/GiveUp",
    "/Services/0/Gain",
    "/Services/0/LateWorth",
    "/Services/0/MemorySpan",
    "/Projects/0/QuotaPerS",
];
const FLAGS: [&str; 5] = [
    "/Allowed/Cancel",
    "/Allowed/SecondCopies",
    "/Allowed/RetryAfter",
    "/Allowed/Peers",
    "/Clients/MarksRetry",
];
const CHOICES: [&str; 2] = ["/MembershipMode", "/Services/0/Semantics"];
const OBJECTS: [&str; 4] = ["/FamilyInfo", "/Allowed", "/Rules", "/Clients"];
const LISTS_OF_OBJECTS: [&str; 2] = ["/Services", "/Projects"];
const LISTS_OF_NUMBERS: [&str; 4] = [
    "/FamilyInfo/ClassNeed",
    "/FamilyInfo/MinShare",
    "/FamilyInfo/PartialEarns",
    "/FamilyInfo/FetchParts",
];

/// Checks that each of the values makes each of the fields invalid, with an error text that names
/// the object and the field and ends with `problem`.
fn assert_rejected(pointers: &[&str], problem: &str, values: &[Value]) {
    for pointer in pointers {
        let (path, field) = pointer.rsplit_once('/').unwrap();
        let object = path.split('/').find(|key| !key.is_empty()).unwrap_or("Env");
        let expected = format!("{object}: field {field} {problem}");
        for value in values {
            let error = try_decode(&settings_with(pointer, value.clone()));
            let error = error.expect_err(&format!("{pointer} must not accept {value}"));
            assert_eq!(error.to_string(), expected, "{pointer} with {value}");
        }
    }
}

#[test]
fn scalar_field_of_a_wrong_type_is_rejected() {
    let not_whole = [
        json!("3"),
        json!(true),
        json!([3]),
        json!({}),
        json!(2.5),
        json!(-1),
        json!(-1.0),
        json!(1e19),
        json!(1e300),
    ];
    assert_rejected(
        &WHOLE_NUMBERS,
        "is not a whole number of at least 0",
        &not_whole,
    );
    let not_numbers = [json!("3"), json!(false), json!([3]), json!({})];
    assert_rejected(&NUMBERS, "is not a number", &not_numbers);
    let not_flags = [json!("true"), json!(1), json!([]), json!({})];
    assert_rejected(&FLAGS, "is not true or false", &not_flags);
    let not_texts = [
        json!(1),
        json!(true),
        json!(["once"]),
        json!({"once": null}),
    ];
    assert_rejected(&CHOICES, "is not a string", &not_texts);
    let unknown = [json!(""), json!("x"), json!("Pushed"), json!("by_key ")];
    assert_rejected(&CHOICES, "is not one of the accepted values", &unknown);
}

#[test]
fn object_or_list_of_a_wrong_type_is_rejected() {
    let scalars = [json!("x"), json!(1), json!(1.5), json!(true), json!(-1)];
    assert_rejected(&OBJECTS, "is not an object", &scalars);
    assert_rejected(&OBJECTS, "is not an object", &[json!([])]);
    let lists = ["/Zones"]
        .into_iter()
        .chain(LISTS_OF_OBJECTS)
        .chain(LISTS_OF_NUMBERS);
    let lists: Vec<&str> = lists.collect();
    assert_rejected(&lists, "is not a list", &scalars);
    assert_rejected(&lists, "is not a list", &[json!({})]);
    let without_numbers = [
        json!(["x"]),
        json!([1, null]),
        json!([[1]]),
        json!([1, true]),
    ];
    assert_rejected(
        &LISTS_OF_NUMBERS,
        "is not a list of numbers",
        &without_numbers,
    );
    let without_objects = [json!([1]), json!([null]), json!(["x"]), json!([[]])];
    let problem = "has an element that is not an object";
    assert_rejected(&LISTS_OF_OBJECTS, problem, &without_objects);
}
