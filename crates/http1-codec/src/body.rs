//! Decoding of message bodies (RFC 9112, sections 6 and 7).

use crate::error::ParseError;

/// Maximum length of the line that starts a chunk, in bytes. The line contains the size of the
/// chunk and extensions, which are ignored.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum length of a trailer section, in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;
/// Maximum number of framing bytes in a chunked body, as a multiple of the maximum body length.
/// Without this limit, a client could send chunk extensions without end, because they do not count
/// towards the length of the body. The limit allows a body in chunks of one byte, which takes six
/// bytes on the wire for each byte of data: five bytes of framing and the data.
const MAX_CHUNK_OVERHEAD_RATIO: usize = 8;
/// Maximum number of fields in a trailer section.
const MAX_TRAILER_FIELDS: usize = 32;
/// Minimum number of bytes by which the buffer of a body grows. The buffer grows only as data
/// arrives: a client must not be able to make the broker reserve memory by declaring a length.
const MIN_GROWTH_BYTES: usize = 4 * 1024;
/// Length of the two line ends of a chunk, in bytes. One ends the line that starts the chunk, the
/// other follows the chunk's data.
const CHUNK_LINE_ENDS_BYTES: usize = 4;
/// Line end of HTTP/1.1.
const CRLF: &[u8; 2] = b"\r\n";

/// How the body of a message is delimited (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// By `Content-Length`, in bytes.
    ContentLength(u64),
    /// By the chunked transfer coding.
    Chunked,
    /// By the end of the connection. Only responses can be delimited in this way.
    ConnectionClose,
}

/// Decoder of one body. It collects the body's data.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    state: State,
    max_bytes: usize,
    /// Bytes of chunk framing decoded so far.
    chunk_overhead_bytes: usize,
    /// Data decoded so far.
    data: Vec<u8>,
}

/// Element of the body that is decoded next.
#[derive(Debug)]
enum State {
    /// Data of a body with `Content-Length`, with the number of bytes that are still missing.
    ContentLength(usize),
    /// The line that starts a chunk.
    ChunkLine,
    /// Data of a chunk, with the number of bytes that are still missing.
    ChunkData(usize),
    /// The line end after a chunk's data.
    ChunkDataEnd,
    /// The trailer section.
    Trailer,
    /// Data up to the end of the connection.
    UntilConnectionClose,
    /// None: the body is complete.
    Complete,
}

/// Result of a call of [`BodyDecoder::decode`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyProgress {
    /// Number of bytes of the input that were decoded.
    pub(crate) consumed: usize,
    /// Whether the body is complete.
    pub(crate) is_complete: bool,
}

/// Result of decoding one element of the body.
enum ElementProgress {
    /// The element is complete. It ended after this number of bytes.
    Complete(usize),
    /// The element is incomplete. This number of bytes was decoded.
    Incomplete(usize),
    /// The body is already complete, so there is no further element.
    BodyComplete,
}

impl BodyDecoder {
    /// Creates a decoder of a body of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// [`ParseError::BodyTooLong`] if the declared length exceeds `max_bytes`.
    pub(crate) fn new(framing: BodyFraming, max_bytes: usize) -> Result<Self, ParseError> {
        let state = match framing {
            BodyFraming::ContentLength(length) if length > max_bytes as u64 => {
                return Err(ParseError::BodyTooLong);
            }
            BodyFraming::ContentLength(length) => State::ContentLength(length as usize),
            BodyFraming::Chunked => State::ChunkLine,
            BodyFraming::ConnectionClose => State::UntilConnectionClose,
        };
        Ok(BodyDecoder {
            state,
            max_bytes,
            chunk_overhead_bytes: 0,
            data: Vec::new(),
        })
    }

    /// Decodes as much as possible from the start of `input`.
    pub(crate) fn decode(&mut self, input: &[u8]) -> Result<BodyProgress, ParseError> {
        let mut consumed = 0;
        loop {
            let (used, is_complete) = match self.decode_element(&input[consumed..])? {
                ElementProgress::Complete(used) => {
                    consumed += used;
                    continue;
                }
                ElementProgress::Incomplete(used) => (used, false),
                ElementProgress::BodyComplete => (0, true),
            };
            return Ok(BodyProgress {
                consumed: consumed + used,
                is_complete,
            });
        }
    }

    /// Returns whether any data has been decoded.
    pub(crate) fn has_data(&self) -> bool {
        !self.data.is_empty()
    }

    /// Returns the data decoded so far.
    pub(crate) fn into_data(self) -> Vec<u8> {
        self.data
    }

    /// Returns whether the end of the connection completes this body.
    pub(crate) fn ends_with_connection(&self) -> bool {
        matches!(self.state, State::UntilConnectionClose)
    }

    /// Decodes one element from the start of `rest`.
    fn decode_element(&mut self, rest: &[u8]) -> Result<ElementProgress, ParseError> {
        match self.state {
            State::ContentLength(remaining) => {
                Ok(self.append_data(rest, remaining, State::ContentLength, State::Complete))
            }
            State::ChunkLine => self.chunk_line(rest),
            State::ChunkData(remaining) => {
                Ok(self.append_data(rest, remaining, State::ChunkData, State::ChunkDataEnd))
            }
            State::ChunkDataEnd => self.chunk_data_end(rest),
            State::Trailer => self.trailer(rest),
            State::UntilConnectionClose => {
                if rest.len() > self.max_bytes - self.data.len() {
                    return Err(ParseError::BodyTooLong);
                }
                self.append(rest);
                Ok(ElementProgress::Incomplete(rest.len()))
            }
            State::Complete => Ok(ElementProgress::BodyComplete),
        }
    }

    /// Appends up to `remaining` bytes from the start of `rest` to the data. If this completes the
    /// element, the state becomes `next`; otherwise it becomes `current` with the number of bytes
    /// still missing.
    fn append_data(
        &mut self,
        rest: &[u8],
        remaining: usize,
        current: fn(usize) -> State,
        next: State,
    ) -> ElementProgress {
        let used = remaining.min(rest.len());
        self.append(&rest[..used]);
        if used < remaining {
            self.state = current(remaining - used);
            ElementProgress::Incomplete(used)
        } else {
            self.state = next;
            ElementProgress::Complete(used)
        }
    }

    /// Appends bytes to the data.
    fn append(&mut self, bytes: &[u8]) {
        if self.data.capacity() - self.data.len() < bytes.len() {
            self.data.reserve_exact(bytes.len().max(MIN_GROWTH_BYTES));
        }
        self.data.extend_from_slice(bytes);
    }

    /// Decodes the line that starts a chunk (RFC 9112, section 7.1).
    fn chunk_line(&mut self, rest: &[u8]) -> Result<ElementProgress, ParseError> {
        let Some(line_length) = rest.windows(CRLF.len()).position(|w| w == CRLF) else {
            return if rest.len() > MAX_CHUNK_LINE_BYTES {
                Err(ParseError::MalformedChunk)
            } else {
                Ok(ElementProgress::Incomplete(0))
            };
        };
        if line_length > MAX_CHUNK_LINE_BYTES {
            return Err(ParseError::MalformedChunk);
        }
        let size = chunk_size(&rest[..line_length])?;
        self.chunk_overhead_bytes += line_length + CHUNK_LINE_ENDS_BYTES;
        // If `max_bytes` is small, its multiple can be less than the length of one valid chunk
        // line. The limit is therefore calculated with at least `MAX_CHUNK_LINE_BYTES`.
        let max_overhead = MAX_CHUNK_OVERHEAD_RATIO * self.max_bytes.max(MAX_CHUNK_LINE_BYTES);
        let remaining = self.max_bytes - self.data.len();
        if size > remaining as u64 || self.chunk_overhead_bytes > max_overhead {
            return Err(ParseError::BodyTooLong);
        }
        self.state = match size {
            0 => State::Trailer,
            size => State::ChunkData(size as usize),
        };
        Ok(ElementProgress::Complete(line_length + CRLF.len()))
    }

    /// Decodes the line end after a chunk's data.
    fn chunk_data_end(&mut self, rest: &[u8]) -> Result<ElementProgress, ParseError> {
        match rest {
            [b'\r', b'\n', ..] => {
                self.state = State::ChunkLine;
                Ok(ElementProgress::Complete(CRLF.len()))
            }
            [] | [b'\r'] => Ok(ElementProgress::Incomplete(0)),
            _ => Err(ParseError::MalformedChunk),
        }
    }

    /// Decodes the trailer section and discards its fields (RFC 9112, section 7.1.2).
    fn trailer(&mut self, rest: &[u8]) -> Result<ElementProgress, ParseError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_TRAILER_FIELDS];
        match httparse::parse_headers(rest, &mut fields) {
            Ok(httparse::Status::Complete((used, _))) if used <= MAX_TRAILER_BYTES => {
                self.state = State::Complete;
                Ok(ElementProgress::Complete(used))
            }
            Ok(httparse::Status::Partial) if rest.len() <= MAX_TRAILER_BYTES => {
                Ok(ElementProgress::Incomplete(0))
            }
            _ => Err(ParseError::MalformedTrailer),
        }
    }
}

/// Parses the chunk size in the line that starts a chunk, given without its line end. Extensions
/// are ignored.
fn chunk_size(line: &[u8]) -> Result<u64, ParseError> {
    // Control characters other than tab are invalid. In particular, a bare CR or LF in an extension
    // allows request smuggling, because implementations disagree on whether it ends the line.
    if line.iter().any(|b| b.is_ascii_control() && *b != b'\t') {
        return Err(ParseError::MalformedChunk);
    }
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let (size, after_size) = line.split_at(digits);
    let is_blank = |b: &&u8| matches!(**b, b' ' | b'\t');
    let blanks = after_size.iter().take_while(is_blank).count();
    // Blanks are allowed before the `;` of an extension, but not if the line ends after them (RFC
    // 9112, section 7.1.1).
    let is_end_or_extension = matches!(after_size[blanks..].first(), None | Some(b';'));
    let ends_with_blanks = blanks > 0 && blanks == after_size.len();
    if !is_end_or_extension || ends_with_blanks {
        return Err(ParseError::MalformedChunk);
    }
    std::str::from_utf8(size)
        .ok()
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .ok_or(ParseError::MalformedChunk)
}
