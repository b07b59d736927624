//! Headers of encoded responses.

use broker_types::query::FinalResponse;
use query_api::{date_header_value, encode_final_response};
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
fn date_header_has_the_preferred_form() {
    let at = SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_777);
    assert_eq!(date_header_value(at), "Sun, 06 Nov 1994 08:49:37 GMT");
}
