//! Routing of requests: a request is a query or gets an immediate response.

use crate::decode::decode;
use crate::method::is_standard_method;
use crate::response::{
    Response, empty_response, encode_final_response, error_response, options_response,
};
use broker_types::query::{Names, QueryRequest};
use fanout_policy::api::Settings;
use http::{Method, Request, StatusCode};

/// Path that the platform polls to find out whether the broker accepts queries.
const READINESS_PATH: &str = "/-/ready";
/// Methods allowed for [`READINESS_PATH`].
const READINESS_METHODS: &str = "GET, HEAD";

/// Whether the broker accepts queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The broker accepts queries.
    Ready,
    /// The broker is shutting down.
    NotReady,
}

/// Result of routing a request.
#[derive(Debug)]
pub enum Routed {
    /// The request is a query.
    Query(QueryRequest),
    /// The request gets an immediate response, without running a query.
    Immediate {
        /// The response.
        response: Response,
        /// Whether the request is valid. An idle connection on which no valid request has arrived
        /// has a shorter idle timeout than one that has had a valid request. If the listener has to
        /// close idle connections to make room for new ones, it closes the former before the
        /// latter.
        is_valid_request: bool,
    },
}

impl Routed {
    /// Creates the result for a valid request with an immediate response.
    fn valid(response: Response) -> Self {
        Routed::Immediate {
            response,
            is_valid_request: true,
        }
    }

    /// Creates the result for an invalid request.
    fn invalid(response: Response) -> Self {
        Routed::Immediate {
            response,
            is_valid_request: false,
        }
    }
}

/// Decodes the query in a request. If the request is not a query, or is invalid, creates the
/// immediate response to it.
#[must_use]
pub fn route(
    request: &Request<Vec<u8>>,
    readiness: Readiness,
    names: &Names,
    settings: &Settings,
) -> Routed {
    // This is `OPTIONS *`: the HTTP/1.1 codec rejects the target `*` with any other method.
    if request.uri() == "*" {
        return Routed::valid(options_response());
    }
    if request.uri().path() == READINESS_PATH {
        return route_readiness(request.method(), readiness);
    }
    match decode(request, names, settings) {
        Ok(query) => Routed::Query(query),
        Err(error) => Routed::invalid(encode_final_response(&error.into())),
    }
}

/// Creates the response to a request for [`READINESS_PATH`].
fn route_readiness(method: &Method, readiness: Readiness) -> Routed {
    if [Method::GET, Method::HEAD].contains(method) {
        let status = match readiness {
            Readiness::Ready => StatusCode::OK,
            Readiness::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        };
        Routed::valid(empty_response(status))
    } else if is_standard_method(method) {
        Routed::invalid(error_response(405, READINESS_METHODS, ""))
    } else {
        Routed::invalid(error_response(501, "", ""))
    }
}
