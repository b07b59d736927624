//! Decoding of message bodies (RFC 9112, sections 6 and 7).

use crate::error::ParseError;

/// Longest line that starts a chunk, in bytes: its size and extensions, which are ignored.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Longest trailer section, in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;
/// Most bytes of chunk lines, as a multiple of the longest body. A body sent one byte a chunk needs
/// six bytes of chunk lines a byte; extensions without end are thereby bounded.
const MAX_CHUNK_OVERHEAD_RATIO: usize = 8;
/// Most fields in a trailer section.
const MAX_TRAILER_FIELDS: usize = 32;
/// Smallest step, in bytes, by which the memory of a body grows. Memory is reserved as data
/// arrives, because a declared length alone must not claim any.
const MIN_GROWTH_BYTES: usize = 4 * 1024;
/// Bytes of a chunk's framing beside its first line's content: the line ends after that line and
/// after its data.
const CHUNK_LINE_ENDS_BYTES: usize = 4;
/// The line end of HTTP/1.1.
const CRLF: &[u8; 2] = b"\r\n";

/// How the body of a message is delimited (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// By `Content-Length`, in bytes.
    ContentLength(u64),
    /// By the chunked transfer coding.
    Chunked,
    /// By the end of the connection, which is possible for responses alone.
    ConnectionClose,
}

/// Decoder of one body, which collects its data.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    state: State,
    max_bytes: usize,
    /// Bytes of chunk lines so far.
    chunk_overhead_bytes: usize,
    /// The data decoded so far.
    data: Vec<u8>,
}

/// The element of the body that comes next.
#[derive(Debug)]
enum State {
    /// This number of bytes remains of a body with `Content-Length`.
    ContentLength(usize),
    ChunkLine,
    /// This number of bytes remains of the chunk's data.
    ChunkData(usize),
    /// The line end after a chunk's data.
    ChunkDataEnd,
    Trailer,
    UntilConnectionClose,
    Complete,
}

/// Result of one call of [`BodyDecoder::decode`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyProgress {
    /// Bytes of the input that were used.
    pub(crate) consumed: usize,
    /// Whether the body is complete.
    pub(crate) is_complete: bool,
}

/// Result of one element.
enum Advance {
    /// The element is complete, and used this number of bytes.
    ElementComplete(usize),
    /// This number of bytes was used, and more is needed.
    NeedsMore(usize),
    /// Nothing of the body remains.
    BodyComplete,
}

impl BodyDecoder {
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

    /// Decodes as much as possible from the front of `input`.
    pub(crate) fn decode(&mut self, input: &[u8]) -> Result<BodyProgress, ParseError> {
        let mut consumed = 0;
        loop {
            let (used, is_complete) = match self.advance(&input[consumed..])? {
                Advance::ElementComplete(used) => {
                    consumed += used;
                    continue;
                }
                Advance::NeedsMore(used) => (used, false),
                Advance::BodyComplete => (0, true),
            };
            return Ok(BodyProgress {
                consumed: consumed + used,
                is_complete,
            });
        }
    }

    /// Whether any data has been decoded.
    pub(crate) fn has_data(&self) -> bool {
        !self.data.is_empty()
    }

    /// The data decoded so far.
    pub(crate) fn into_data(self) -> Vec<u8> {
        self.data
    }

    /// Whether the end of the connection completes this body.
    pub(crate) fn ends_with_connection(&self) -> bool {
        matches!(self.state, State::UntilConnectionClose)
    }

    /// Decodes one element from the front of `rest`.
    fn advance(&mut self, rest: &[u8]) -> Result<Advance, ParseError> {
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
                Ok(Advance::NeedsMore(rest.len()))
            }
            State::Complete => Ok(Advance::BodyComplete),
        }
    }

    /// Appends up to `remaining` bytes of data. The state becomes `next` after the last of them,
    /// and `current(remaining)` before that.
    fn append_data(
        &mut self,
        rest: &[u8],
        remaining: usize,
        current: fn(usize) -> State,
        next: State,
    ) -> Advance {
        let used = remaining.min(rest.len());
        self.append(&rest[..used]);
        if used < remaining {
            self.state = current(remaining - used);
            Advance::NeedsMore(used)
        } else {
            self.state = next;
            Advance::ElementComplete(used)
        }
    }

    fn append(&mut self, bytes: &[u8]) {
        if self.data.capacity() - self.data.len() < bytes.len() {
            self.data.reserve_exact(bytes.len().max(MIN_GROWTH_BYTES));
        }
        self.data.extend_from_slice(bytes);
    }

    /// Decodes the line that starts a chunk (RFC 9112, section 7.1).
    fn chunk_line(&mut self, rest: &[u8]) -> Result<Advance, ParseError> {
        let Some(line_length) = rest.windows(CRLF.len()).position(|w| w == CRLF) else {
            return if rest.len() > MAX_CHUNK_LINE_BYTES {
                Err(ParseError::MalformedChunk)
            } else {
                Ok(Advance::NeedsMore(0))
            };
        };
        if line_length > MAX_CHUNK_LINE_BYTES {
            return Err(ParseError::MalformedChunk);
        }
        let size = chunk_size(&rest[..line_length])?;
        self.chunk_overhead_bytes += line_length + CHUNK_LINE_ENDS_BYTES;
        let max_overhead = MAX_CHUNK_OVERHEAD_RATIO * self.max_bytes.max(MAX_CHUNK_LINE_BYTES);
        let remaining = self.max_bytes - self.data.len();
        if size > remaining as u64 || self.chunk_overhead_bytes > max_overhead {
            return Err(ParseError::BodyTooLong);
        }
        self.state = match size {
            0 => State::Trailer,
            size => State::ChunkData(size as usize),
        };
        Ok(Advance::ElementComplete(line_length + CRLF.len()))
    }

    /// Decodes the line end after a chunk's data.
    fn chunk_data_end(&mut self, rest: &[u8]) -> Result<Advance, ParseError> {
        match rest {
            [b'\r', b'\n', ..] => {
                self.state = State::ChunkLine;
                Ok(Advance::ElementComplete(CRLF.len()))
            }
            [] | [b'\r'] => Ok(Advance::NeedsMore(0)),
            _ => Err(ParseError::MalformedChunk),
        }
    }

    /// Discards the trailer section (RFC 9112, section 7.1.2).
    fn trailer(&mut self, rest: &[u8]) -> Result<Advance, ParseError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_TRAILER_FIELDS];
        match httparse::parse_headers(rest, &mut fields) {
            Ok(httparse::Status::Complete((used, _))) if used <= MAX_TRAILER_BYTES => {
                self.state = State::Complete;
                Ok(Advance::ElementComplete(used))
            }
            Ok(httparse::Status::Partial) if rest.len() <= MAX_TRAILER_BYTES => {
                Ok(Advance::NeedsMore(0))
            }
            _ => Err(ParseError::MalformedTrailer),
        }
    }
}

/// The size that a chunk's first line, without its line end, declares. Extensions are ignored.
fn chunk_size(line: &[u8]) -> Result<u64, ParseError> {
    // Implementations disagree on a bare line end within an extension, which allows request
    // smuggling.
    if line.iter().any(|b| b.is_ascii_control() && *b != b'\t') {
        return Err(ParseError::MalformedChunk);
    }
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let (size, extension) = line.split_at(digits);
    let is_blank = |b: &&u8| matches!(**b, b' ' | b'\t');
    let blanks = extension.iter().take_while(is_blank).count();
    let starts_extension = matches!(extension[blanks..].first(), None | Some(b';'));
    let has_only_blanks = blanks > 0 && blanks == extension.len();
    if !starts_extension || has_only_blanks {
        return Err(ParseError::MalformedChunk);
    }
    std::str::from_utf8(size)
        .ok()
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .ok_or(ParseError::MalformedChunk)
}
