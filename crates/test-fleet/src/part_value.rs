//! The values that data servers answer with.

use fnv::FnvHasher;
use std::hash::Hasher;

/// Returns the value of a part, which is the same at every data server that holds the shard: the
/// 64-bit FNV-1a hash of the query's text, with the shard mixed into its start value.
#[must_use]
pub fn part_value(shard: usize, text: &str) -> String {
    let offset_basis = FnvHasher::default().finish();
    let mut hasher = FnvHasher::with_key(offset_basis ^ shard as u64);
    hasher.write(text.as_bytes());
    format!("{:016x}", hasher.finish())
}

#[cfg(test)]
mod tests;
