//! The values that data servers answer with.

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the value of a part, which is the same at every data server that holds the shard: the
/// FNV-1a hash of the query's text, with the shard mixed into its start value.
#[must_use]
pub fn part_value(shard: usize, text: &str) -> String {
    let mut hash = FNV_OFFSET_BASIS ^ shard as u64;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    format!("{hash:016x}")
}
