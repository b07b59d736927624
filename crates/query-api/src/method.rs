//! Methods of HTTP.

use http::Method;

/// Whether RFC 9110, section 9, or RFC 5789 defines the method; any other is not implemented.
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
