//! Rendezvous hashing: which backend server is the home of an object.
//!
//! Every entry VM computes the same ranking of backend servers for an object, without any
//! communication. When a backend server joins or leaves, only the objects move for which it
//! ranks first. Requests for one object therefore arrive at a backend server that already has
//! its data cached.

/// Hash of an object that requests refer to.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObjectHash(pub u64);

impl ObjectHash {
    /// Hashes the name of an object within a scope, such as a route. The same name in two
    /// scopes gives two objects.
    #[must_use]
    pub fn of(scope: &str, object: &str) -> Self {
        Self(mix(hash_text(scope), hash_text(object)))
    }

    /// Returns the rendezvous weight of a member for this object; the member with the greatest
    /// weight is its home.
    #[must_use]
    pub const fn weight(self, member: MemberHash) -> u64 {
        mix(self.0, member.0)
    }

    /// Returns the position of a member within a cycle, from 0 to 1. Positions of different
    /// members are spread evenly.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a position needs few digits")]
    pub fn phase(self, member: MemberHash) -> f64 {
        self.weight(member) as f64 / u64::MAX as f64
    }
}

/// Hash of a member of the group that objects are distributed over, for instance a backend
/// server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct MemberHash(u64);

impl MemberHash {
    /// Hashes the name of a member. The result is the same on every VM and in every release.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(hash_text(name))
    }
}

/// Hashes a text with FNV-1a, which gives the same result on every VM and in every release,
/// unlike the hasher of the standard library.
fn hash_text(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Combines two hashes with the finalizer of `SplitMix64`: flipping any input bit flips about
/// half of the output bits.
const fn mix(left: u64, right: u64) -> u64 {
    let mut mixed = left ^ right.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
