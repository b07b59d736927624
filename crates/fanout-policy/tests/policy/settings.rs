//! Decoding of the settings object.

use fanout_policy::api::{EndpointListSource, RetrySafety};
use fanout_policy::settings::{SiteSettings, decode};
use serde_json::{Value, json};
use wire_fields::FieldError;

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
    decode("Env", value.as_object().unwrap())
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

/// The settings with one field replaced, or added where the object does not have it.
fn settings_with(pointer: &str, replacement: Value) -> Value {
    let mut value = settings();
    let (object, field) = pointer.rsplit_once('/').unwrap();
    let target = value.pointer_mut(object).expect(pointer);
    match target {
        Value::Array(elements) => elements[field.parse::<usize>().unwrap()] = replacement,
        object => object[field] = replacement,
    }
    value
}

/// The settings without one field.
fn settings_without(pointer: &str) -> Value {
    let mut value = settings();
    let (object, field) = pointer.rsplit_once('/').unwrap();
    let object = value.pointer_mut(object).and_then(Value::as_object_mut);
    object.unwrap().remove(field).expect(pointer);
    value
}

/// The settings read from a text in which a field of the outer object stands twice, last with this value.
fn settings_with_duplicate(field: &str, first: &str, last: &str) -> Value {
    let mut fields = settings();
    fields.as_object_mut().unwrap().remove(field).expect(field);
    let others = fields.to_string();
    let duplicates = format!(r#"{{"{field}":{first},"{field}":{last},"#);
    serde_json::from_str(&others.replacen('{', &duplicates, 1)).unwrap()
}

fn accept(value: &Value) -> SiteSettings {
    decode_value(value).unwrap_or_else(|error| panic!("{error}"))
}

/// Each required field with the object that errors name.
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
    // Required because another field of the retry budget is present.
    ("/Rules/RatioSpan", "Rules"),
    ("/Services/0/Aim", "Services"),
    ("/Services/0/Gain", "Services"),
    ("/Services/0/GiveUp", "Services"),
    ("/Services/0/LateWorth", "Services"),
    // Required because repeats are deduplicated by a key.
    ("/Services/0/MemorySpan", "Services"),
    ("/Services/0/Semantics", "Services"),
];

#[test]
fn required_field_that_is_absent_or_null_is_missing() {
    for (pointer, object) in REQUIRED {
        let field = pointer.rsplit('/').next().unwrap();
        let expected = format!("{object}: field {field} is missing");
        let absent = decode_value(&settings_without(pointer)).expect_err(pointer);
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
        accept(&settings_without(pointer));
        accept(&settings_with(pointer, Value::Null));
    }
    let site = accept(&settings_with("/Rules/SpareAttempts", Value::Null));
    assert_eq!(site.settings.retry_budget.unwrap().free_attempts, 0.0);
}

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

/// Checks that each of the fields with each of the values is refused with this problem.
fn refuse(pointers: &[&str], problem: &str, values: &[Value]) {
    for pointer in pointers {
        let (path, field) = pointer.rsplit_once('/').unwrap();
        let object = path.split('/').find(|key| !key.is_empty()).unwrap_or("Env");
        let expected = format!("{object}: field {field} {problem}");
        for value in values {
            let error = decode_value(&settings_with(pointer, value.clone()));
            let error = error.expect_err(&format!("{pointer}: {value}"));
            assert_eq!(error.to_string(), expected, "{value}");
        }
    }
}

#[test]
fn scalar_field_of_a_wrong_type_is_refused() {
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
    refuse(&WHOLE_NUMBERS, "is not a whole number", &not_whole);
    let not_numbers = [json!("3"), json!(false), json!([3]), json!({})];
    refuse(&NUMBERS, "is not a number", &not_numbers);
    let not_flags = [json!("true"), json!(1), json!([]), json!({})];
    refuse(&FLAGS, "is not true or false", &not_flags);
    let not_texts = [
        json!(1),
        json!(true),
        json!(["once"]),
        json!({"once": null}),
    ];
    refuse(&CHOICES, "is not a string", &not_texts);
    let unknown = [json!(""), json!("x"), json!("Pushed"), json!("by_key ")];
    refuse(&CHOICES, "is unknown", &unknown);
}

#[test]
fn object_or_list_of_a_wrong_type_is_refused() {
    let scalars = [json!("x"), json!(1), json!(1.5), json!(true), json!(-1)];
    refuse(&OBJECTS, "is not an object", &scalars);
    refuse(&OBJECTS, "is not an object", &[json!([])]);
    let lists = ["/Zones"]
        .into_iter()
        .chain(LISTS_OF_OBJECTS)
        .chain(LISTS_OF_NUMBERS);
    let lists: Vec<&str> = lists.collect();
    refuse(&lists, "is not a list", &scalars);
    refuse(&lists, "is not a list", &[json!({})]);
    let without_numbers = [
        json!(["x"]),
        json!([1, null]),
        json!([[1]]),
        json!([1, true]),
    ];
    refuse(
        &LISTS_OF_NUMBERS,
        "is not a list of numbers",
        &without_numbers,
    );
    let without_objects = [json!([1]), json!([null]), json!(["x"]), json!([[]])];
    let problem = "holds something that is not an object";
    refuse(&LISTS_OF_OBJECTS, problem, &without_objects);
}

#[test]
fn whole_number_is_accepted_up_to_the_largest() {
    for (value, expected) in [
        (json!(0), 0),
        (json!(-0.0), 0),
        (json!(3.0), 3),
        (json!(9_223_372_036_854_775_808_u64), 1 << 63),
        (json!(u64::MAX), u64::MAX),
        (json!(9.2e18), 9_200_000_000_000_000_000),
    ] {
        let site = accept(&settings_with("/Allowed/MaxOpen", value.clone()));
        assert_eq!(site.max_in_flight, Some(expected), "{value}");
        let site = accept(&settings_with("/PeersTotal", value));
        assert_eq!(site.settings.aggregators as u64, expected);
    }
    // A larger number of attempts keeps its low 32 bits.
    let site = accept(&settings_with("/Allowed/SendCap", json!((1_u64 << 32) + 1)));
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
        let site = accept(&settings_with("/Tick", value.clone()));
        assert_eq!(site.settings.tick, expected);
        let site = accept(&settings_with("/Services/0/Aim", value));
        assert_eq!(site.settings.classes[0].latency_objective, expected);
    }
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
        accept(&settings_with(pointer, json!({"x": [null, 1.5]})));
    }
    accept(&settings_with("/FamilyInfo/ClassNeed", json!([0.9, 0.8])));
}

#[test]
fn name_that_is_not_a_string_is_empty() {
    for name in [json!(1), json!(true), json!(["x"]), json!({}), Value::Null] {
        let site = accept(&settings_with("/Services/0/Name", name.clone()));
        assert_eq!(site.class_names, [""]);
        let site = accept(&settings_with("/Projects/0/Name", name.clone()));
        assert_eq!(site.tenant_names, [""]);
        let site = accept(&settings_with("/Zones/0", name));
        assert_eq!(site.zone_names, ["", "far"]);
    }
}

#[test]
fn priority_weight_is_by_request_unless_the_settings_say_by_work() {
    for value in [
        json!("request"),
        json!(1),
        json!([]),
        json!({"work": null}),
        Value::Null,
    ] {
        let site = accept(&settings_with("/WorthBy", value));
        assert!(!site.settings.weight_by_work);
    }
}

#[test]
fn field_that_is_not_needed_is_not_checked() {
    for (semantics, safety) in [
        ("repeatable", RetrySafety::Idempotent),
        ("once", RetrySafety::NotIdempotent),
    ] {
        let mut value = settings_with("/Services/0/Semantics", json!(semantics));
        value["Services"][0]["MemorySpan"] = json!("x");
        assert_eq!(accept(&value).settings.classes[0].retry_safety, safety);
    }
    let mut value = settings_with("/Allowed/MaxRetryAfter", json!("x"));
    for flag in [json!(false), Value::Null] {
        value["Allowed"]["RetryAfter"] = flag;
        assert_eq!(accept(&value).settings.max_retry_after, None);
    }
}

#[test]
fn retry_budget_needs_its_window_and_no_other_field() {
    let mut value = settings_without("/Rules/ExtraRatio");
    let budget = accept(&value).settings.retry_budget.unwrap();
    let fields = (budget.free_attempts, budget.per_request, budget.window);
    assert_eq!(fields, (0.0, 0.0, 500.0));
    value["Rules"]["RatioSpan"] = Value::Null;
    assert!(accept(&value).settings.retry_budget.is_none());
    value["Rules"]["SpareAttempts"] = json!(1);
    let error = decode_value(&value).unwrap_err().to_string();
    assert_eq!(error, "Rules: field RatioSpan is missing");
}

#[test]
fn last_of_duplicate_fields_counts() {
    let value = settings_with_duplicate("PeersTotal", "\"x\"", "9");
    assert_eq!(accept(&value).settings.aggregators, 9);
    let value = settings_with_duplicate("PeersTotal", "9", "\"x\"");
    let error = decode_value(&value).unwrap_err().to_string();
    assert_eq!(error, "Env: field PeersTotal is not a whole number");
}

#[test]
fn deeply_nested_value_is_ignored_or_refused_without_a_panic() {
    let nested = (0..100).fold(json!(1), |inner, depth| match depth % 2 {
        0 => json!([inner]),
        _ => json!({"x": inner}),
    });
    accept(&settings_with("/Unknown", nested.clone()));
    accept(&settings_with("/WorthBy", nested.clone()));
    accept(&settings_with("/Services/0/Name", nested.clone()));
    let expected = "Env: field Tick is not a number";
    assert_eq!(error_with("/Tick", nested.clone()), expected);
    let expected = "Clients: field MarksRetry is not true or false";
    assert_eq!(error_with("/Clients/MarksRetry", nested), expected);
}

/// Of several faults one is reported, whichever it is, with its object and field.
#[test]
fn error_among_several_names_one_of_them() {
    let mut value = settings_with("/Tick", json!("x"));
    value["FamilyInfo"]["Shards"] = json!(-1);
    value["Services"][0]["Aim"] = Value::Null;
    let error = decode_value(&value).unwrap_err().to_string();
    let faults = [
        "Env: field Tick is not a number",
        "FamilyInfo: field Shards is not a whole number",
        "Services: field Aim is missing",
    ];
    assert!(faults.contains(&error.as_str()), "{error}");
}
