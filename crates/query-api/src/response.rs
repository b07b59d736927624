//! Encoding of final responses.

use broker_types::query::{FinalResponse, ShardValue};
use broker_types::time::millis;
use fanout_policy::api::Settings;
use http::header::{ALLOW, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use serde::Serialize;
use std::time::{Duration, SystemTime};

/// Maximum of the `Retry-After` header for a client whose connection is rejected. Within this time
/// the broker closes idle connections and aborts incomplete requests of other clients, which frees
/// connections.
const CONNECTION_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Methods in the response to `OPTIONS *`: those of all resources together.
const ALL_METHODS: &str = "GET, HEAD, OPTIONS, POST";
/// Methods allowed for queries.
const QUERY_METHOD: &str = "POST";

/// A response with its complete body.
pub type Response = http::Response<Vec<u8>>;

/// Body of the response to an answered query.
#[derive(Serialize)]
struct AnswerBody<'a> {
    #[serde(rename = "total")]
    is_complete: bool,
    #[serde(rename = "answers")]
    values: Vec<ValueBody<'a>>,
}

/// Value of a shard in [`AnswerBody`].
#[derive(Serialize)]
struct ValueBody<'a> {
    #[serde(rename = "range")]
    shard: usize,
    #[serde(rename = "blob")]
    value: &'a str,
}

impl<'a> From<&'a ShardValue> for ValueBody<'a> {
    fn from(value: &'a ShardValue) -> Self {
        ValueBody {
            shard: value.shard,
            value: &value.value,
        }
    }
}

/// Encodes the final response to a query.
#[must_use]
pub fn encode_final_response(response: &FinalResponse) -> Response {
    match response {
        FinalResponse::Answered {
            is_complete,
            values,
        } => answer_response(*is_complete, values),
        FinalResponse::Rejected { retry_after } => rejected_response(*retry_after),
        FinalResponse::Failed => error_response(502, "", "failed"),
        FinalResponse::Invalid { status, reason } => {
            let allowed_methods = if *status == 405 { QUERY_METHOD } else { "" };
            error_response(*status, allowed_methods, reason)
        }
    }
}

/// Creates the response to a client that is rejected because too many connections are open or the
/// broker is shutting down. The response has no `Retry-After` header if the settings have no
/// `max_retry_after`.
#[must_use]
pub fn connection_rejected(settings: &Settings) -> Response {
    let max_retry_after = settings.max_retry_after.map(millis);
    rejected_response(max_retry_after.map(|max| max.min(CONNECTION_RETRY_AFTER)))
}

/// Returns the value of a `Date` header for the time `now` (RFC 9110, section 5.6.7).
#[must_use]
pub fn date_header_value(now: SystemTime) -> HeaderValue {
    HeaderValue::try_from(httpdate::fmt_http_date(now)).unwrap_or(HeaderValue::from_static(""))
}

/// Creates the response to `OPTIONS *`, a request about the broker as a whole.
pub(crate) fn options_response() -> Response {
    let mut response = empty_response(StatusCode::NO_CONTENT);
    insert_allow(response.headers_mut(), ALL_METHODS);
    response
}

/// Creates a response without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response {
    response(status.as_u16(), Vec::new())
}

/// Creates an error response with the text `reason` as its body and `allowed_methods` in its `Allow`
/// header. If either is empty, it is left out.
pub(crate) fn error_response(status: u16, allowed_methods: &'static str, reason: &str) -> Response {
    let body = if reason.is_empty() {
        Vec::new()
    } else {
        format!("{reason}\n").into_bytes()
    };
    let mut response = response(status, body);
    if !allowed_methods.is_empty() {
        insert_allow(response.headers_mut(), allowed_methods);
    }
    response
}

/// Inserts the `Allow` header.
fn insert_allow(headers: &mut HeaderMap, methods: &'static str) {
    headers.insert(ALLOW, HeaderValue::from_static(methods));
}

fn answer_response(is_complete: bool, values: &[ShardValue]) -> Response {
    let body = AnswerBody {
        is_complete,
        values: values.iter().map(ValueBody::from).collect(),
    };
    let body = serde_json::to_vec(&body).expect(
        "AnswerBody contains only booleans, numbers, strings and lists, which always serialize",
    );
    let mut response = response(200, body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn rejected_response(retry_after: Option<Duration>) -> Response {
    let mut response = error_response(503, "", "refused: trying again is harmless");
    if let Some(retry_after) = retry_after {
        insert_retry_after(response.headers_mut(), retry_after);
    }
    response
}

/// Inserts the `Retry-After` header, in seconds with three decimals. RFC 9110 allows only whole
/// seconds, but clients of this protocol accept fractions.
fn insert_retry_after(headers: &mut HeaderMap, retry_after: Duration) {
    let seconds = format!("{:.3}", retry_after.as_micros() as f64 / MICROS_PER_SECOND);
    if let Ok(value) = HeaderValue::try_from(seconds) {
        headers.insert(RETRY_AFTER, value);
    }
}

fn response(status: u16, body: Vec<u8>) -> Response {
    let mut response = http::Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}
