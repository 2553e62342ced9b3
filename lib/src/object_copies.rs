//! Number of backend servers that an object is assigned to.

use crate::affinity::MemberHash;
use crate::affinity::ObjectHash;
use crate::id::RegionName;

/// Number of objects assigned to one backend server. The users' servers cache 35 to 50; some
/// room is left for objects that are taken over when another server fails.
const OBJECTS_PER_SERVER: u32 = 28;

/// Maximum number of backend servers in one region that an object is assigned to.
pub const MAX_COPIES: usize = 4;

/// Returns the number of a region's backend servers that an object is assigned to. The hash of
/// the object decides whether a fractional number is rounded up, so that the copies of all
/// objects together fill the available room.
#[must_use]
pub fn copies(object: ObjectHash, region: &RegionName, members: usize, objects: usize) -> usize {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let objects = u32::try_from(objects.max(1)).unwrap_or(u32::MAX);
    let room = f64::from(members.saturating_mul(OBJECTS_PER_SERVER)) / f64::from(objects);
    #[expect(clippy::cast_precision_loss)]
    let draw = object.weight(MemberHash::of(region.as_str())) as f64 / u64::MAX as f64;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let copies = (room + draw).floor() as usize;
    copies.min(MAX_COPIES)
}
