//! A settings object with all fields, functions that change one field of it, and functions that
//! decode the result. `pointer` is a JSON pointer to a field, such as `/Rules/Cold`.

use fanout_policy::settings::{SiteSettings, decode};
use serde_json::{Value, json};
use wire_fields::FieldError;

/// Creates valid settings with one class, one tenant and the optional fields.
pub fn settings() -> Value {
    json!({
        "Allowed": {
            "Cancel": true, "DialTimeout": 250.0, "Keepalive": 15000.0, "MaxOpen": 100.0,
            "MaxRetryAfter": 2000.0, "Multiplex": 50, "Peers": true, "RetryAfter": true,
            "SecondCopies": false, "SendCap": 4,
        },
        "Clients": {"MarksRetry": true},
        "FamilyInfo": {
            "Batch": 2, "Call": 1.5, "ClassNeed": [0.9], "FetchParts": [2], "MinShare": [0.5],
            "PartialEarns": [0.8], "Positions": 6, "Shards": 12, "Width": 3,
        },
        "Locality": 1,
        "MembershipMode": "on_request",
        "OverShareWorth": 0.1,
        "PeersTotal": 7,
        "Projects": [{"Name": "acme", "QuotaPerS": 1000.0}],
        "Rules": {
            "AskWithin": 9000.0, "Cold": 1000.0, "ColdFrom": 0.5, "Fall": 900.0,
            "FallMultiple": 2.5, "ExtraRatio": 0.1, "RatioSpan": 500.0,
        },
        "Services": [{
            "Name": "save", "Aim": 800.0, "GiveUp": 4000.0, "Gain": 2.0, "LateWorth": 0.3,
            "Semantics": "by_key", "MemorySpan": 5000.0,
        }],
        "Tick": 5.0,
        "WorthBy": "work",
        "Zones": ["near", "far"],
    })
}

/// Creates the settings with one field replaced, or added if its object doesn't have it.
pub fn settings_with(pointer: &str, replacement: Value) -> Value {
    let mut value = settings();
    let (object, field) = pointer.rsplit_once('/').unwrap();
    let target = value.pointer_mut(object).expect(pointer);
    match target {
        Value::Array(elements) => elements[field.parse::<usize>().unwrap()] = replacement,
        object => object[field] = replacement,
    }
    value
}

/// Creates the settings without one field.
pub fn settings_without(pointer: &str) -> Value {
    let mut value = settings();
    let (object, field) = pointer.rsplit_once('/').unwrap();
    let object = value.pointer_mut(object).and_then(Value::as_object_mut);
    object.unwrap().remove(field).expect(pointer);
    value
}

/// Creates the settings from a JSON text in which a field of the outermost object occurs twice,
/// with the value `first` and then with the value `last`.
pub fn settings_with_duplicate(field: &str, first: &str, last: &str) -> Value {
    let mut fields = settings();
    fields.as_object_mut().unwrap().remove(field).expect(field);
    let others = fields.to_string();
    let duplicates = format!(r#"{{"{field}":{first},"{field}":{last},"#);
    serde_json::from_str(&others.replacen('{', &duplicates, 1)).unwrap()
}

/// Decodes settings that may be invalid. Errors call the outermost object `Env`.
pub fn try_decode(value: &Value) -> Result<SiteSettings, FieldError> {
    decode("Env", value.as_object().unwrap())
}

/// Decodes settings that are expected to be valid; panics with the decoder's error otherwise.
pub fn decode_valid(value: &Value) -> SiteSettings {
    try_decode(value)
        .unwrap_or_else(|error| panic!("expected valid settings, found the error: {error}"))
}

/// Returns the error text of the settings with one existing field replaced; panics if they are
/// valid.
pub fn error_with(pointer: &str, replacement: Value) -> String {
    let mut value = settings();
    *value.pointer_mut(pointer).expect(pointer) = replacement;
    try_decode(&value)
        .expect_err(&format!(
            "the settings must not accept this value of {pointer}"
        ))
        .to_string()
}
