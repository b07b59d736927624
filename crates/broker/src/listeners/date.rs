//! The `Date` field of responses.

use http::header::HeaderValue;
use query_api::date_header_value;
use std::cell::RefCell;
use std::time::{Duration, Instant, SystemTime};

/// Resolution of the `Date` field (RFC 9110, section 5.6.7).
const DATE_RESOLUTION: Duration = Duration::from_secs(1);

/// Cache of the value of the `Date` field, which is formatted at most once per second.
pub(super) struct DateHeader {
    cached: RefCell<CachedDate>,
}

/// A formatted value and the time at which it was formatted.
struct CachedDate {
    value: HeaderValue,
    formatted_at: Instant,
}

impl CachedDate {
    /// Formats the current time.
    fn new() -> Self {
        CachedDate {
            formatted_at: Instant::now(),
            value: date_header_value(SystemTime::now()),
        }
    }
}

impl DateHeader {
    pub(super) fn new() -> Self {
        DateHeader {
            cached: RefCell::new(CachedDate::new()),
        }
    }

    /// Returns the value for the current time.
    pub(super) fn now(&self) -> HeaderValue {
        let mut cached = self.cached.borrow_mut();
        if cached.formatted_at.elapsed() >= DATE_RESOLUTION {
            *cached = CachedDate::new();
        }
        cached.value.clone()
    }
}
