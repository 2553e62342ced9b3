//! Scores for rendezvous hashing, the same in all processes and releases.
//!
//! Each member of a group gets a score for a key; the key goes to the member with the
//! highest one. A member that comes or goes moves only the keys that it wins or held.

/// Scores `member` for the key that `parts` make up.
///
/// The first 64 bits of BLAKE3 over the parts, each closed by a zero byte so that no
/// two lists of parts read the same.
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

/// Returns the first 64 bits of a hash.
#[must_use]
pub fn leading_number(hash: &blake3::Hash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
