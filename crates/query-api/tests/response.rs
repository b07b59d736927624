//! Status, headers and body of responses.

use broker_types::query::{FinalResponse, Names};
use fanout_policy::settings::decode as decode_settings;
use http::Request;
use query_api::{Readiness, Routed, date_header_value, encode_final_response, route};
use serde_json::Value;
use std::time::{Duration, SystemTime};

#[test]
fn rejection_has_retry_after_in_seconds_with_three_decimals() {
    let response = encode_final_response(&FinalResponse::Rejected {
        retry_after: Some(Duration::from_micros(1_250_400)),
    });
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["retry-after"], "1.250");
}

#[test]
fn response_with_status_405_names_the_allowed_method() {
    let response = encode_final_response(&FinalResponse::Invalid {
        status: 405,
        reason: "a query is a POST".into(),
    });
    assert_eq!(response.headers()["allow"], "POST");
}

#[test]
fn response_to_options_for_the_whole_broker_names_all_methods_and_has_no_body() {
    let settings: Value =
        serde_json::from_str(include_str!("../../broker-types/tests/settings.json")).unwrap();
    let site = decode_settings("settings", settings.as_object().unwrap()).unwrap();
    let names = Names {
        classes: site.class_names,
        tenants: site.tenant_names,
        zones: site.zone_names,
    };
    let request = Request::options("*").body(Vec::new()).unwrap();
    let routed = route(&request, Readiness::Ready, &names, &site.settings);
    let Routed::Immediate {
        response,
        is_valid_request,
    } = routed
    else {
        panic!("expected an immediate response, found {routed:?}");
    };
    assert!(is_valid_request);
    assert_eq!(response.status(), 204);
    assert_eq!(response.headers()["allow"], "GET, HEAD, OPTIONS, POST");
    assert_eq!(response.headers().len(), 1);
    assert!(response.body().is_empty());
}

/// RFC 9110, section 5.6.7: senders must use this form of a date, which the RFC calls IMF-fixdate.
#[test]
fn date_header_has_the_form_of_rfc_9110() {
    let at = SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_777);
    assert_eq!(date_header_value(at), "Sun, 06 Nov 1994 08:49:37 GMT");
}
