//! Arbitrary input in arbitrary reads: no panic, bounded memory, and the same result.

use http1_codec::{Limits, ParseError, Progress, RequestDecoder, ResponseDecoder};
use proptest::prelude::*;

const LIMITS: Limits = Limits {
    head_bytes: 512,
    body_bytes: 128,
};

/// The result of decoding a whole stream of bytes.
#[derive(Debug, PartialEq, Eq)]
struct Decoded {
    requests: Vec<String>,
    error: Option<ParseError>,
}

/// Decodes a stream that arrives in reads of these lengths, cyclically. The buffered input must
/// stay bounded.
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
        // The longest incomplete element is a trailer section, and one read may follow it.
        assert!(
            input.len() <= 8 * 1024 + n,
            "{} bytes are buffered",
            input.len()
        );
    }
    Decoded {
        requests,
        error: None,
    }
}

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
    /// Every decoder of one stream must find the same requests, whatever reads the network leads
    /// to.
    #[test]
    fn result_is_independent_of_read_boundaries(bytes in request_fragments(), read_lengths in prop::collection::vec(1usize..50, 1..8)) {
        prop_assert_eq!(decode(&bytes, &[bytes.len()]), decode(&bytes, &read_lengths));
    }

    #[test]
    fn arbitrary_responses_do_not_panic(bytes in request_fragments()) {
        let mut input = [b"HTTP/1.1 200 OK\r\n".to_vec(), bytes].concat();
        let mut decoder = ResponseDecoder::new(LIMITS);
        while let Ok(Progress::Complete(_)) = decoder.decode(&mut input) {}
    }
}
