//! What a request asks for: a query, or something that is answered at once.

use crate::decode::decode;
use crate::method::is_standard_method;
use crate::response::{
    Response, encode_final_response, error_response, options_response, readiness_response,
};
use broker_types::query::{Names, QueryRequest};
use fanout_policy::api::Settings;
use http::{Method, Request};

/// Path at which the platform asks whether the broker accepts queries.
const READINESS_PATH: &str = "/-/ready";
/// Methods of [`READINESS_PATH`].
const READINESS_METHODS: &str = "GET, HEAD";

/// A request with what it asks for.
#[derive(Debug)]
pub enum Routed {
    /// The request is a query.
    Query(QueryRequest),
    /// The request is answered without a query.
    Immediate {
        /// The response.
        response: Response,
        /// Whether the request is valid: one that a well-behaved client sends.
        is_valid_request: bool,
    },
}

impl Routed {
    fn valid(response: Response) -> Self {
        Routed::Immediate {
            response,
            is_valid_request: true,
        }
    }

    fn invalid(response: Response) -> Self {
        Routed::Immediate {
            response,
            is_valid_request: false,
        }
    }
}

/// Finds out what a request asks for; `is_ready` is whether the broker accepts queries.
#[must_use]
pub fn route(
    request: &Request<Vec<u8>>,
    is_ready: bool,
    names: &Names,
    settings: &Settings,
) -> Routed {
    if request.uri() == "*" {
        return Routed::valid(options_response());
    }
    if request.uri().path() == READINESS_PATH {
        return route_readiness(request.method(), is_ready);
    }
    match decode(request, names, settings) {
        Ok(query) => Routed::Query(query),
        Err(error) => Routed::invalid(encode_final_response(&error.into())),
    }
}

fn route_readiness(method: &Method, is_ready: bool) -> Routed {
    if [Method::GET, Method::HEAD].contains(method) {
        Routed::valid(readiness_response(is_ready))
    } else if is_standard_method(method) {
        Routed::invalid(error_response(405, READINESS_METHODS, ""))
    } else {
        Routed::invalid(error_response(501, "", ""))
    }
}
