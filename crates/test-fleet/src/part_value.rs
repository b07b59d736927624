//! The values in the responses of data servers.

use fnv::FnvHasher;
use std::hash::Hasher;

/// Returns the value of a part, in hexadecimal: the 64-bit FNV-1a hash of the query's text, whose
/// offset basis is combined with the shard's index by exclusive or. All data servers return the
/// same value for a part, so a test can check an answer without knowing which server produced it.
#[must_use]
pub fn part_value(shard: usize, text: &str) -> String {
    let offset_basis = FnvHasher::default().finish();
    let mut hasher = FnvHasher::with_key(offset_basis ^ shard as u64);
    hasher.write(text.as_bytes());
    format!("{:016x}", hasher.finish())
}

#[cfg(test)]
mod tests;
