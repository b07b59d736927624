//! The requests of bad clients.

use crate::query::LoadQuery;
use http::header::CONTENT_LENGTH;
use http::{HeaderValue, Request};
use std::cell::Cell;
use std::iter::{repeat, repeat_n};

/// Length of the body of a costly request, in bytes. The broker accepts 64 KiB.
const BODY_BYTES: usize = 60 * 1024;
/// Number of the query's parts where all of them name the same shard.
const REPEATED_PARTS: usize = 2_300;
/// Class of each request.
const CLASS: &str = "lookup";

/// A kind of request that is costly to read or to decode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadRequest {
    /// A query with a long list of parts for the same shard, which is invalid from the second part
    /// on.
    RepeatedShard,
    /// A query with a long predicate, and weights behind it that do not add up to 1.
    ErrorAtEnd,
    /// A valid query whose body is long because of white space.
    PaddedQuery,
    /// The head of a request without an end, in pieces of one byte.
    HeadByteByByte,
}

impl BadRequest {
    /// Returns the name in printed figures.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            BadRequest::RepeatedShard => "repeated shard",
            BadRequest::ErrorAtEnd => "error at the end",
            BadRequest::PaddedQuery => "padded query",
            BadRequest::HeadByteByByte => "head byte by byte",
        }
    }

    fn body(self) -> String {
        match self {
            BadRequest::RepeatedShard => {
                let parts = vec![r#"{"range":0,"portion":0.0}"#; REPEATED_PARTS].join(",");
                format!(r#"{{"ranges":[{parts}],"predicate":"a"}}"#)
            }
            BadRequest::ErrorAtEnd => {
                // Each escape sequence is decoded on its own.
                let predicate = r"\u0061".repeat(BODY_BYTES / 6);
                format!(r#"{{"predicate":"{predicate}","ranges":[{{"range":0,"portion":0.5}}]}}"#)
            }
            BadRequest::PaddedQuery => {
                let padding: String = repeat_n(' ', BODY_BYTES).collect();
                format!(r#"{{"ranges":[{{"range":0,"portion":1}}],{padding}"predicate":"a"}}"#)
            }
            BadRequest::HeadByteByByte => String::new(),
        }
    }
}

/// Creates the requests of one kind, each with an id of its own.
pub(super) struct RequestFactory {
    body: Vec<u8>,
    created: Cell<u64>,
}

impl RequestFactory {
    pub(super) fn new(request: BadRequest) -> Self {
        RequestFactory {
            body: request.body().into_bytes(),
            created: Cell::new(0),
        }
    }

    /// Returns the next request.
    pub(super) fn next(&self) -> Request<Vec<u8>> {
        let number = self.created.get();
        self.created.set(number + 1);
        let mut request = LoadQuery::new(format!("bad{number:012}"), CLASS, &[0]).request();
        let length = HeaderValue::from(self.body.len());
        request.headers_mut().insert(CONTENT_LENGTH, length);
        *request.body_mut() = self.body.clone();
        request
    }
}

/// Returns the bytes of a head that has no end.
pub(super) fn endless_head() -> impl Iterator<Item = u8> {
    let start = format!("POST /{CLASS} HTTP/1.1\r\nHost: a\r\nX-Padding: ");
    start.into_bytes().into_iter().chain(repeat(b'a'))
}
