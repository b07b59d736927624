//! Decoding of a query from an HTTP request.

use crate::body::decode_body;
use crate::deadline::parse_deadline;
use crate::invalid_request::InvalidRequest;
use crate::method::is_standard_method;
use broker_types::query::{ClassIndex, Names, QueryRequest, TenantIndex};
use broker_types::time::millis;
use fanout_policy::api::{RetrySafety, Settings};
use http::{HeaderMap, Method, Request, Uri};
use std::rc::Rc;
use std::time::Duration;

/// Maximum length of a request id and of an idempotency key, in bytes. Both are part of the frames
/// to data servers.
const MAX_TOKEN_BYTES: usize = 256;

const CLASS_HEADER: &str = "x-class";
const TENANT_HEADER: &str = "x-tenant";
const DEADLINE_HEADER: &str = "x-deadline";
const RETRY_HEADER: &str = "x-retry";
const REQUEST_ID_HEADER: &str = "x-request-id";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Decodes a query from an HTTP request.
///
/// # Errors
///
/// Returns an [`InvalidRequest`] if the request is not a valid query of one of the classes.
pub fn decode(
    request: &Request<Vec<u8>>,
    names: &Names,
    settings: &Settings,
) -> Result<QueryRequest, InvalidRequest> {
    let headers = request.headers();
    let class = class_index(request.uri(), names)?;
    check_method(request.method())?;
    let rules = &settings.classes[class.0];
    check_class_header(headers, &names.classes[class.0])?;
    let id = token(headers, REQUEST_ID_HEADER)?.ok_or(InvalidRequest::RequestIdMissing)?;
    let tenant = tenant_index(headers, names)?;
    let idempotency_key = idempotency_key(headers, rules.retry_safety)?;
    let max_timeout = millis(rules.client_timeout);
    let client_timeout = client_timeout(headers, max_timeout)?;
    let body = decode_body(request.body(), settings.shards)?;
    Ok(QueryRequest {
        id,
        class,
        tenant,
        client_timeout,
        is_retry: headers.get(RETRY_HEADER).is_some_and(|value| value == "1"),
        idempotency_key,
        parts: body.parts,
        payload: body.predicate.into(),
    })
}

/// Returns the class whose name is the first segment of the path.
fn class_index(uri: &Uri, names: &Names) -> Result<ClassIndex, InvalidRequest> {
    let path = uri.path().trim_start_matches('/');
    let segment = path.split('/').next().unwrap_or_default();
    names
        .classes
        .iter()
        .position(|class| class == segment)
        .map(ClassIndex)
        .ok_or(InvalidRequest::UnknownClass)
}

/// Checks that the method is POST.
fn check_method(method: &Method) -> Result<(), InvalidRequest> {
    if method == Method::POST {
        Ok(())
    } else if is_standard_method(method) {
        Err(InvalidRequest::MethodNotAllowed)
    } else {
        Err(InvalidRequest::MethodNotImplemented)
    }
}

/// Checks that `X-Class`, if present, names the class of the path.
fn check_class_header(headers: &HeaderMap, class: &str) -> Result<(), InvalidRequest> {
    match headers.get(CLASS_HEADER) {
        Some(value) if value.as_bytes() != class.as_bytes() => Err(InvalidRequest::ClassMismatch),
        _ => Ok(()),
    }
}

/// Returns the tenant that `X-Tenant` names. All queries of a deployment without tenants belong to
/// tenant 0.
fn tenant_index(headers: &HeaderMap, names: &Names) -> Result<TenantIndex, InvalidRequest> {
    if names.tenants.is_empty() {
        return Ok(TenantIndex(0));
    }
    let name = headers
        .get(TENANT_HEADER)
        .ok_or(InvalidRequest::TenantMissing)?;
    names
        .tenants
        .iter()
        .position(|tenant| tenant.as_bytes() == name.as_bytes())
        .map(TenantIndex)
        .ok_or(InvalidRequest::UnknownTenant)
}

/// Returns the idempotency key of a query. Depending on the class, the header is required,
/// optional, or ignored because queries of the class can be repeated without a key. A malformed key
/// is always an error.
fn idempotency_key(
    headers: &HeaderMap,
    retry_safety: RetrySafety,
) -> Result<Option<Rc<str>>, InvalidRequest> {
    let key = token(headers, IDEMPOTENCY_KEY_HEADER)?;
    match retry_safety {
        RetrySafety::Idempotent => Ok(None),
        RetrySafety::IdempotencyKey { .. } => {
            key.map(Some).ok_or(InvalidRequest::IdempotencyKeyMissing)
        }
        RetrySafety::NotIdempotent => Ok(key),
    }
}

/// Returns the time that the client waits for the response: the value of `X-Deadline`, limited to
/// `max_timeout`, which is also the default.
fn client_timeout(headers: &HeaderMap, max_timeout: Duration) -> Result<Duration, InvalidRequest> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(max_timeout);
    };
    let requested = value.to_str().ok().and_then(parse_deadline);
    let requested = requested.ok_or(InvalidRequest::MalformedDeadline)?;
    Ok(requested.min(max_timeout))
}

/// Returns the value of a header that is sent on in frames to data servers. A space, a comma or a
/// line break in the value would be read as the start of another field of the frame, so a value
/// with such characters is rejected.
fn token(headers: &HeaderMap, header: &'static str) -> Result<Option<Rc<str>>, InvalidRequest> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    // A header with two values is rejected, because a proxy in front of the broker may have used
    // the one that the broker would not use.
    let is_repeated = values.next().is_some();
    let token = value.to_str().ok().filter(|token| is_plain_token(token));
    match token {
        Some(token) if !is_repeated => Ok(Some(token.into())),
        _ => Err(InvalidRequest::MalformedToken { header }),
    }
}

/// Returns whether a value consists of 1 to [`MAX_TOKEN_BYTES`] visible ASCII characters without
/// commas.
fn is_plain_token(token: &str) -> bool {
    let is_plain = |b: u8| b.is_ascii_graphic() && b != b',';
    (1..=MAX_TOKEN_BYTES).contains(&token.len()) && token.bytes().all(is_plain)
}
