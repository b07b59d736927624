//! Tests of the field blocks and frames that the raw client encodes and decodes.

use load_generator::raw_http2::{
    Frame, HEADERS, encode_fields, encode_frame, query_fields, response_status,
};

fn headers(payload: &[u8]) -> Frame {
    Frame {
        frame_type: HEADERS,
        flags: 0,
        stream_id: 1,
        payload: payload.to_vec(),
    }
}

#[test]
fn status_is_decoded_from_static_table_literal_and_huffman_code() {
    // Entry 8 of the static table: `:status: 200`.
    assert_eq!(response_status(&headers(&[0x88])), 200);
    // A literal without indexing, with the name of entry 8 and a value of 3 bytes.
    assert_eq!(response_status(&headers(b"\x08\x03429")), 429);
    // "502" in the Huffman code of RFC 7541, appendix B: 011011, 00000 and 00010.
    assert_eq!(
        response_status(&headers(&[0x08, 0x82, 0b0110_1100, 0b0000_0010])),
        502
    );
    // An update of the dynamic table's size precedes entry 12, `:status: 400`.
    assert_eq!(response_status(&headers(&[0x20, 0x8c])), 400);
}

#[test]
fn changes_replace_omit_and_append_query_fields() {
    let changed = query_fields(
        "a",
        &[(":method", "PUT"), (":scheme", ""), ("x-class", "lookup")],
    );
    let expected = encode_fields(&[
        (":method", "PUT"),
        (":path", "/lookup"),
        (":authority", "broker.svc"),
        ("x-request-id", "a"),
        ("x-tenant", "public-site"),
        ("x-class", "lookup"),
    ]);
    assert_eq!(changed, expected);
}

#[test]
fn frame_header_holds_length_type_flags_and_stream() {
    assert_eq!(
        encode_frame(HEADERS, 5, 3, b"xy"),
        [0, 0, 2, HEADERS, 5, 0, 0, 0, 3, b'x', b'y']
    );
}
