//! Scores for rendezvous hashing, identical in all processes and releases.
//!
//! Each member gets a score for a key, and the key belongs to the member with the highest
//! score. A member that joins or leaves moves only the keys that it gains or held.

/// Returns the score of `member` for the key composed of `parts`.
///
/// The score is the first 64 bits of BLAKE3 over the parts and the member. Each part is
/// terminated by a zero byte so that different lists of parts never hash the same bytes.
#[must_use]
pub fn score(parts: &[&str], member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(member.as_bytes());
    leading_number(&hasher.finalize())
}

/// Returns the first 64 bits of a hash, in little-endian order.
#[must_use]
pub fn leading_number(hash: &blake3::Hash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
