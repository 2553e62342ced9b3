//! Which backend servers an object is kept to, and which of them are taken to have it.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::affinity::ObjectHash;
use crate::dispatch_request::BackendKey;
use crate::id::RegionName;
use crate::object_copies::copies;

/// Part of an even share of the backend servers from which on the entry VMs of a region take
/// the first of its own to have an object, as they do the home. Each entry VM learns by its
/// own answers only who has an object; with many of them most went to the home in another
/// region, and homes were the only ones used. In a region short of room the first seconds
/// would move a third of the requests there and back again. Mean payoff on the users' days,
/// one score each, with none, with all and with regions of that room: 0.626, 0.657 and 0.648
/// with 32 backend servers, regions 70 ms apart; 0.560, 0.571 and 0.581 with 44, 110 ms apart;
/// 0.584, 0.535 (moves too much) and 0.625 with 450 of the latter.
const MIN_LOCAL_SHARE: f64 = 0.75;

/// Holds a backend server to be ranked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member<'a> {
    pub backend: BackendKey,
    /// Its weight for the object; the heaviest of all is the object's home.
    pub weight: u64,
    pub region: &'a RegionName,
}

/// Returns the backend servers that an object is kept to with their ranks, the heaviest first.
/// Those of rank 0 are taken to have it. The ranking is the same on every entry VM, but that
/// the first of the own region ranks like the home if that region has room.
///
/// A region's backend servers together keep as many objects at hand as there is room
/// for: with room for two copies and a half of each object, half of the objects, drawn
/// by their hash, have a third one there.
pub(crate) fn rank<'a>(
    members: impl Iterator<Item = Member<'a>>,
    object: ObjectHash,
    objects: usize,
    own_region: &RegionName,
) -> Vec<(BackendKey, usize)> {
    let mut regions: BTreeMap<&RegionName, Vec<Member<'a>>> = BTreeMap::new();
    let mut all = 0;
    for member in members {
        all += 1;
        regions.entry(member.region).or_default().push(member);
    }
    let even_share = all / regions.len().max(1);
    let mut kept: Vec<Member<'a>> = Vec::new();
    let mut heaviest: Option<Member<'a>> = None;
    let mut local: Option<BackendKey> = None;
    for (region, mut members) in regions {
        let copies = copies(object, region, members.len(), objects);
        members.sort_unstable_by_key(|member| Reverse(member.weight));
        let first = members.first().copied();
        heaviest = heaviest
            .into_iter()
            .chain(first)
            .max_by_key(|member| member.weight);
        if region == own_region && copies > 0 && has_capacity(members.len(), even_share) {
            local = first.map(|member| member.backend);
        }
        kept.extend(members.into_iter().take(copies));
    }
    if kept.is_empty() {
        kept.extend(heaviest);
    }
    kept.sort_unstable_by_key(|member| Reverse(member.weight));
    let ranks = kept.into_iter().map(|member| member.backend).enumerate();
    ranks
        .map(|(rank, key)| (key, if local == Some(key) { 0 } else { rank }))
        .collect()
}

/// Returns whether a region with `members` backend servers serves its callers itself, where
/// `even_share` would be its part if all regions had as many.
fn has_capacity(members: usize, even_share: usize) -> bool {
    #[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
    let (members, even_share) = (members as f64, even_share as f64);
    members >= even_share * MIN_LOCAL_SHARE
}
