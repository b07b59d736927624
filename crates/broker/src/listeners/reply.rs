//! Responses to requests, as every version of HTTP sends them.

use broker_types::query::FinalResponse;
use http::Version;
use http1_codec::ResponseOptions;
use query_api::{Response, encode_final_response};

/// Options of an HTTP/1.1 response after which its connection is closed, and whose request is
/// unknown.
pub(super) const CLOSING_RESPONSE: ResponseOptions = ResponseOptions {
    version: Version::HTTP_11,
    head_only: false,
    keep_alive: false,
};

/// The response to a request.
pub(super) struct Reply {
    pub(super) response: Response,
    /// Whether the request was valid, so that its client is unlikely to be a faulty or misbehaving
    /// one.
    pub(super) is_valid_request: bool,
}

/// The reply to a query that has ended.
pub(super) fn final_reply(final_response: &FinalResponse) -> Reply {
    Reply {
        is_valid_request: !matches!(final_response, FinalResponse::Invalid { .. }),
        response: encode_final_response(final_response),
    }
}

/// The reply to a request that is invalid for the given reason.
pub(super) fn error_reply(status: u16, reason: impl Into<String>) -> Reply {
    let reason = reason.into();
    final_reply(&FinalResponse::Invalid { status, reason })
}

/// The reply to a request that was not received in time.
pub(super) fn request_timeout_reply() -> Reply {
    error_reply(408, "the request did not come in time")
}
