//! Which backend server an object belongs to: rendezvous hashing.
//!
//! Every entry VM ranks the backend servers for an object alike, without talking to the
//! others, and a backend server that comes or goes moves only the objects that it wins
//! or held. So requests for one object meet where its data are warm.

/// Identifies an object that requests concern.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObjectHash(pub u64);

impl ObjectHash {
    /// Hashes the name of an object within a scope, such as a route.
    #[must_use]
    pub fn of(scope: &str, object: &str) -> Self {
        Self(mix(hash_text(scope), hash_text(object)))
    }

    /// Returns the weight of a member for this object; the heaviest one is its home.
    #[must_use]
    pub const fn weight(self, member: MemberHash) -> u64 {
        mix(self.0, member.0)
    }
}

/// Identifies a member of a group that objects are spread over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberHash(u64);

impl MemberHash {
    /// Hashes the name of a member.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(hash_text(name))
    }
}

/// FNV-1a: the same on every VM and release, unlike the standard library's hasher.
fn hash_text(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Mixes two hashes by the finalizer of `SplitMix64`, so that each bit of either moves
/// about half of the result's bits.
const fn mix(left: u64, right: u64) -> u64 {
    let mut mixed = left ^ right.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
