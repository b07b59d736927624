//! Encoder and decoder of field blocks, with the part of HPACK (RFC 7541) that a test client needs.

use super::Frame;
use crate::wire::{AUTHORITY, REQUEST_ID_HEADER, TENANT, TENANT_HEADER};

/// Maximum length of a string whose length HPACK encodes in one byte (section 5.1).
const MAX_STRING_BYTES: usize = 126;
/// First byte of a literal field without indexing whose name is also a literal (section 6.2.2).
const LITERAL_WITH_NEW_NAME: u8 = 0;
/// Flag in the length byte of a string: the string is Huffman coded (section 5.2).
const HUFFMAN_FLAG: u8 = 0x80;
/// Huffman codes of the digits 0 to 9 (appendix B).
const HUFFMAN_DIGITS: [&str; 10] = [
    "00000", "00001", "00010", "011001", "011010", "011011", "011100", "011101", "011110", "011111",
];

/// Encodes fields as literals without indexing.
///
/// # Panics
///
/// Panics if a name or a value is longer than 126 bytes.
#[must_use]
pub fn encode_fields(pairs: &[(&str, &str)]) -> Vec<u8> {
    let mut block = Vec::new();
    for (name, value) in pairs {
        block.push(LITERAL_WITH_NEW_NAME);
        for string in [name, value] {
            assert!(
                string.len() <= MAX_STRING_BYTES,
                "expected a string of at most {MAX_STRING_BYTES} bytes, found {string:?}"
            );
            block.push(string.len() as u8);
            block.extend(string.as_bytes());
        }
    }
    block
}

/// Encodes the fields of a query: the default fields, changed by `changes`. A change with the name
/// of a default field replaces the value, or removes the field if the new value is empty. A change
/// with another name adds a field.
///
/// # Panics
///
/// Panics if a name or a value is longer than 126 bytes.
#[must_use]
pub fn query_fields(request_id: &str, changes: &[(&str, &str)]) -> Vec<u8> {
    let default_fields = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/lookup"),
        (":authority", AUTHORITY),
        (REQUEST_ID_HEADER, request_id),
        (TENANT_HEADER, TENANT),
    ];
    let is_default = |name: &str| default_fields.iter().any(|(default, _)| *default == name);
    let replacement = |name: &str| {
        let change = changes.iter().find(|(changed, _)| *changed == name);
        change.map(|(_, value)| *value)
    };
    let mut fields: Vec<(&str, &str)> = default_fields
        .iter()
        .map(|(name, value)| (*name, replacement(name).unwrap_or(value)))
        .collect();
    fields.extend(changes.iter().filter(|(name, _)| !is_default(name)));
    fields.retain(|(_, value)| !value.is_empty());
    encode_fields(&fields)
}

/// Decodes the status of a response from its HEADERS frame. The status must be the first field,
/// encoded as an indexed field or as a literal with an indexed name. The name of a literal is not
/// checked.
///
/// # Panics
///
/// Panics if the field block is too short or the value of a literal is not a number.
#[must_use]
pub fn response_status(headers: &Frame) -> u16 {
    // The block may start with updates of the dynamic table's size (section 6.3).
    let is_size_update = |byte: &&u8| **byte & 0xe0 == 0x20;
    let size_updates = headers.payload.iter().take_while(is_size_update).count();
    let field = &headers.payload[size_updates..];
    // Indexed fields of the static table with a status (appendix A).
    match field[0] {
        0x88 => 200,
        0x89 => 204,
        0x8b => 304,
        0x8c => 400,
        0x8d => 404,
        0x8e => 500,
        _ => literal_status(&field[1..]),
    }
}

/// Decodes a status whose value is a literal string, with or without Huffman coding.
fn literal_status(string: &[u8]) -> u16 {
    let length = usize::from(string[0] & !HUFFMAN_FLAG);
    let bytes = &string[1..=length];
    let digits = if string[0] & HUFFMAN_FLAG == 0 {
        String::from_utf8_lossy(bytes).into_owned()
    } else {
        decode_huffman_digits(bytes, 3)
    };
    digits
        .parse()
        .unwrap_or_else(|_| panic!("expected a number as the response status, found {digits:?}"))
}

/// Decodes the first `count` digits of a Huffman coded string.
fn decode_huffman_digits(bytes: &[u8], count: usize) -> String {
    let bits: String = bytes.iter().map(|byte| format!("{byte:08b}")).collect();
    let mut rest = bits.as_str();
    let mut digits = String::new();
    for _ in 0..count {
        let digit = HUFFMAN_DIGITS
            .iter()
            .position(|code| rest.starts_with(code))
            .unwrap_or_else(|| {
                panic!("expected the Huffman code of a digit in the response status, found {rest}")
            });
        digits += &digit.to_string();
        rest = &rest[HUFFMAN_DIGITS[digit].len()..];
    }
    digits
}
