//! What a request asks for: a query, or something that is answered at once.

use crate::decode::decode;
use crate::method::is_standard_method;
use crate::response::{
    Response, empty_response, encode_final_response, error_response, options_response,
};
use broker_types::query::{Names, QueryRequest};
use fanout_policy::api::Settings;
use http::{Method, Request, StatusCode};

/// Path at which the platform asks whether the broker accepts queries.
const READINESS_PATH: &str = "/-/ready";
/// Methods of [`READINESS_PATH`].
const READINESS_METHODS: &str = "GET, HEAD";

/// Whether the broker accepts queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It accepts queries.
    Ready,
    /// It is shutting down.
    NotReady,
}

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

/// Finds out what a request asks for.
#[must_use]
pub fn route(
    request: &Request<Vec<u8>>,
    readiness: Readiness,
    names: &Names,
    settings: &Settings,
) -> Routed {
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
