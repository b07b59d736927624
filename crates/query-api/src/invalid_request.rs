//! Reasons why a request is not a valid query.

use broker_types::query::FinalResponse;
use thiserror::Error;

/// Reason why a request is not a valid query. The text is the body of the response.
#[derive(Debug, Error)]
pub enum InvalidRequest {
    /// The first segment of the path is not the name of a class.
    #[error("the path names no class")]
    UnknownClass,
    /// The method is a standard HTTP method other than POST.
    #[error("a query is a POST")]
    MethodNotAllowed,
    /// The method is not a standard HTTP method.
    #[error("a query is a POST")]
    MethodNotImplemented,
    /// `X-Class` and the path name different classes.
    #[error("X-Class is not the path's class")]
    ClassMismatch,
    /// `X-Request-Id` is missing.
    #[error("X-Request-Id is missing")]
    RequestIdMissing,
    /// `X-Tenant` is missing, and the deployment has tenants.
    #[error("X-Tenant is missing")]
    TenantMissing,
    /// `X-Tenant` is not the name of a tenant.
    #[error("X-Tenant names no tenant")]
    UnknownTenant,
    /// `Idempotency-Key` is missing, and the class requires it.
    #[error("Idempotency-Key is missing")]
    IdempotencyKeyMissing,
    /// `X-Deadline` cannot be parsed or exceeds the maximum.
    #[error("X-Deadline is not a number with the unit m or u")]
    MalformedDeadline,
    /// A header occurs twice, is empty or too long, or contains characters that cannot be forwarded
    /// to data servers.
    #[error("{header} is malformed")]
    MalformedToken {
        /// Name of the header.
        header: &'static str,
    },
    /// The body is not JSON, or lacks a field, or has a field of a wrong type.
    #[error("the body is malformed: {0}")]
    MalformedBody(#[from] serde_json::Error),
    /// The query has no parts.
    #[error("ranges is empty")]
    NoParts,
    /// Two parts are for the same shard.
    #[error("a range is given twice")]
    DuplicateShard,
    /// A part is for a shard that does not exist.
    #[error("a range is out of bounds")]
    ShardOutOfBounds,
    /// The weight of a part is not between 0 and 1.
    #[error("a portion is out of bounds")]
    WeightOutOfBounds,
    /// The estimated work of a part is negative or too large.
    #[error("a price is out of bounds")]
    WorkHintOutOfBounds,
    /// The weights of the parts do not add up to 1.
    #[error("the portions do not add up to 1")]
    WeightsDoNotAddUp,
}

impl InvalidRequest {
    /// Returns the HTTP status code of the response.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            InvalidRequest::UnknownClass => 404,
            InvalidRequest::MethodNotAllowed => 405,
            InvalidRequest::MethodNotImplemented => 501,
            _ => 400,
        }
    }
}

impl From<InvalidRequest> for FinalResponse {
    fn from(error: InvalidRequest) -> Self {
        FinalResponse::Invalid {
            status: error.status(),
            reason: error.to_string(),
        }
    }
}
