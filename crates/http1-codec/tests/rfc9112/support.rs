//! Helpers that decode requests, and the type of the cases that must be rejected.

use http1_codec::{Limits, Message, ParseError, Progress, RequestDecoder};

pub(crate) const LIMITS: Limits = Limits {
    head_bytes: 1024,
    body_bytes: 256,
};

pub(crate) type Request = Message<http::Request<Vec<u8>>>;

/// Result of decoding: the request if it is complete, and the input that was not decoded.
pub(crate) struct Decoded {
    pub(crate) request: Option<Request>,
    pub(crate) rest: Vec<u8>,
}

/// Decodes a text that arrives in one read.
pub(crate) fn decode_in_one_read(text: &str) -> Result<Decoded, ParseError> {
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

/// Decodes a text that arrives byte by byte. Returns the last complete request.
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

/// A request that must be rejected.
pub(crate) struct RejectedRequest {
    /// Section of RFC 9112 and description of the defect.
    description: &'static str,
    /// Text of the request, for [`expand`].
    template: &'static str,
    /// Expected error.
    error: ParseError,
}

/// Creates a [`RejectedRequest`].
pub(crate) const fn rejected(
    description: &'static str,
    template: &'static str,
    error: ParseError,
) -> RejectedRequest {
    RejectedRequest {
        description,
        template,
        error,
    }
}

impl RejectedRequest {
    /// Asserts that the request is rejected with its error, both in one read and byte by byte.
    pub(crate) fn check(&self) {
        let description = self.description;
        let text = expand(self.template);
        let in_one_read = decode_in_one_read(&text).map(|_| ());
        assert_eq!(
            in_one_read,
            Err(self.error),
            "{description}, decoded in one read"
        );
        let bytewise = decode_bytewise(&text).map(|_| ());
        assert_eq!(
            bytewise,
            Err(self.error),
            "{description}, decoded byte by byte"
        );
    }
}
