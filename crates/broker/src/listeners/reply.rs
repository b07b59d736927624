//! Replies to requests, which are the same in all versions of HTTP.

use broker_types::query::FinalResponse;
use http::Version;
use http1_codec::ResponseOptions;
use query_api::{Response, encode_final_response};

/// Options of an HTTP/1.1 response that is sent although no complete request was received, and
/// after which the connection is closed.
pub(super) const CLOSING_RESPONSE: ResponseOptions = ResponseOptions {
    version: Version::HTTP_11,
    head_only: false,
    keep_alive: false,
};

/// The response to a request, with what the listener records about the request.
pub(super) struct Reply {
    pub(super) response: Response,
    /// Whether the request was valid. Of the idle connections, those that have served a valid
    /// request are evicted last, because their clients are unlikely to be faulty or hostile.
    pub(super) is_valid_request: bool,
}

/// Creates the reply to a query that has ended.
pub(super) fn final_reply(final_response: &FinalResponse) -> Reply {
    Reply {
        is_valid_request: !matches!(final_response, FinalResponse::Invalid { .. }),
        response: encode_final_response(final_response),
    }
}

/// Creates the reply to a request that is invalid. The client receives `reason`.
pub(super) fn error_reply(status: u16, reason: impl Into<String>) -> Reply {
    let reason = reason.into();
    final_reply(&FinalResponse::Invalid { status, reason })
}

/// Creates the reply to a request that was not received in time.
pub(super) fn request_timeout_reply() -> Reply {
    error_reply(408, "the request did not come in time")
}
