//! Standard HTTP methods.

use http::Method;

/// Returns whether RFC 9110, section 9, or RFC 5789 defines the method. The response to a request
/// with any other method has the status 501 (not implemented).
pub(crate) fn is_standard_method(method: &Method) -> bool {
    [
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::DELETE,
        Method::CONNECT,
        Method::OPTIONS,
        Method::TRACE,
        Method::PATCH,
    ]
    .contains(method)
}
