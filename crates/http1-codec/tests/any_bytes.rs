//! Decoding of arbitrary bytes that arrive in arbitrary reads: the decoders do not panic, buffer a
//! bounded number of bytes, and return results that do not depend on the reads.

use http1_codec::{Limits, ParseError, Progress, RequestDecoder, ResponseDecoder};
use proptest::prelude::*;

const LIMITS: Limits = Limits {
    head_bytes: 512,
    body_bytes: 128,
};

/// Result of decoding a stream of bytes: the requests in it, up to the first error.
#[derive(Debug, PartialEq, Eq)]
struct Decoded {
    requests: Vec<String>,
    error: Option<ParseError>,
}

/// Decodes a stream that arrives in reads of the lengths `read_lengths`, which repeat cyclically.
/// Asserts that the buffered input stays bounded.
fn decode(bytes: &[u8], read_lengths: &[usize]) -> Decoded {
    let mut decoder = RequestDecoder::new(LIMITS);
    let mut requests = Vec::new();
    let mut input = Vec::new();
    let mut rest = bytes;
    let mut read_lengths = read_lengths.iter().cycle();
    while !rest.is_empty() {
        let n = read_lengths
            .next()
            .map_or(rest.len(), |n| (*n).clamp(1, rest.len()));
        input.extend_from_slice(&rest[..n]);
        rest = &rest[n..];
        loop {
            match decoder.decode(&mut input) {
                Ok(Progress::Complete(m)) => {
                    requests.push(format!("{:?} {}", m.value, m.keep_alive));
                }
                Ok(Progress::Incomplete { .. }) => break,
                Err(error) => {
                    return Decoded {
                        requests,
                        error: Some(error),
                    };
                }
            }
        }
        // The longest element that stays buffered while it is incomplete is a trailer section of at
        // most 8 KiB. One more read may be added to it.
        assert!(
            input.len() <= 8 * 1024 + n,
            "{} bytes are buffered, expected at most {}",
            input.len(),
            8 * 1024 + n
        );
    }
    Decoded {
        requests,
        error: None,
    }
}

/// Generates sequences of fragments of requests and of random bytes.
fn request_fragments() -> impl Strategy<Value = Vec<u8>> {
    let words = prop::sample::select(vec![
        "GET ",
        "POST ",
        "/",
        "/a?b",
        "*",
        " HTTP/1.1\r\n",
        " HTTP/1.0\r\n",
        "Host: a\r\n",
        "Content-Length: ",
        "Transfer-Encoding: chunked\r\n",
        "\r\n",
        "\r\n\r\n",
        "3\r\n",
        "0\r\n",
        "abc",
        ";x",
        "Connection: close\r\n",
        "Expect: 100-continue\r\n",
        "\n",
        "\r",
        " ",
        ":",
    ]);
    let word = prop_oneof![
        8 => words.prop_map(|w| w.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..40),
    ];
    prop::collection::vec(word, 0..40).prop_map(|words| words.concat())
}

proptest! {
    /// Guards against a decoder whose result depends on how the network splits the stream into
    /// reads. Every split of a stream must yield the same requests and the same error.
    #[test]
    fn result_is_independent_of_read_boundaries(bytes in request_fragments(), read_lengths in prop::collection::vec(1usize..50, 1..8)) {
        prop_assert_eq!(decode(&bytes, &[bytes.len()]), decode(&bytes, &read_lengths));
    }

    #[test]
    fn arbitrary_responses_cause_no_panic(bytes in request_fragments()) {
        let mut input = [b"HTTP/1.1 200 OK\r\n".to_vec(), bytes].concat();
        let mut decoder = ResponseDecoder::new(LIMITS);
        while let Ok(Progress::Complete(_)) = decoder.decode(&mut input) {}
    }
}
