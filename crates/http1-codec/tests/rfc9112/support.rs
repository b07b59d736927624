//! Helpers to decode requests, and the shape of the tables of cases.

use http1_codec::{Limits, Message, ParseError, Progress, RequestDecoder};

pub(crate) const LIMITS: Limits = Limits {
    head_bytes: 1024,
    body_bytes: 256,
};

pub(crate) type Request = Message<http::Request<Vec<u8>>>;

/// A request that is complete, if it is, and the input after it.
pub(crate) struct Decoded {
    pub(crate) request: Option<Request>,
    pub(crate) rest: Vec<u8>,
}

/// Decodes a text that arrives at once.
pub(crate) fn decode_at_once(text: &str) -> Result<Decoded, ParseError> {
    let mut input = text.as_bytes().to_vec();
    let request = match RequestDecoder::new(LIMITS).decode(&mut input)? {
        Progress::Complete(request) => Some(request),
        Progress::Incomplete { .. } => None,
    };
    Ok(Decoded {
        request,
        rest: input,
    })
}

/// Decodes a text that arrives byte by byte.
pub(crate) fn decode_bytewise(text: &str) -> Result<Option<Request>, ParseError> {
    let mut decoder = RequestDecoder::new(LIMITS);
    let mut input = Vec::new();
    let mut last = None;
    for byte in text.bytes() {
        input.push(byte);
        if let Progress::Complete(request) = decoder.decode(&mut input)? {
            last = Some(request);
        }
    }
    Ok(last)
}

/// Expands a template, in which `~` stands for a line end.
pub(crate) fn expand(template: &str) -> String {
    template.replace('~', "\r\n")
}

/// A request that RFC 9112 does not allow.
pub(crate) struct RejectedRequest {
    /// Section of RFC 9112, and the defect.
    section: &'static str,
    template: &'static str,
    error: ParseError,
}

pub(crate) const fn rejected(
    section: &'static str,
    template: &'static str,
    error: ParseError,
) -> RejectedRequest {
    RejectedRequest {
        section,
        template,
        error,
    }
}

impl RejectedRequest {
    pub(crate) fn check(&self) {
        let section = self.section;
        let text = expand(self.template);
        let at_once = decode_at_once(&text).map(|_| ());
        assert_eq!(at_once, Err(self.error), "{section}: at once");
        let bytewise = decode_bytewise(&text).map(|_| ());
        assert_eq!(bytewise, Err(self.error), "{section}: byte by byte");
    }
}
