//! Ranking of the backend servers that an object is assigned to, and which of them are assumed
//! to have it cached.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::affinity::ObjectHash;
use crate::dispatch_request::BackendKey;
use crate::id::RegionName;
use crate::object_copies::copies;

/// Minimum size of a region, as a share of an even split of the backend servers, from which its
/// entry VMs assume that the first server of their own region has an object cached, as they do
/// for the home. An entry VM learns only from its own responses where an object is cached. With
/// many entry VMs, most requests went to the home in another region, and homes were the only
/// servers in use. In a region short of capacity, the first seconds would move a third of the
/// requests to the region and back again. Mean payoff over the users' days, one score each, if
/// no region, all regions or regions of this size do so: 0.626, 0.657 and 0.648 with 32 backend
/// servers and regions 70 ms apart; 0.560, 0.571 and 0.581 with 44 and 110 ms; 0.584, 0.535
/// (too many moves) and 0.625 with 450 and 110 ms.
const MIN_LOCAL_SHARE: f64 = 0.75;

/// A backend server to be ranked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member<'a> {
    pub backend: BackendKey,
    /// Rendezvous weight for the object; the server with the greatest weight of all is the home
    /// of the object.
    pub weight: u64,
    pub region: &'a RegionName,
}

/// Returns the backend servers that an object is assigned to with their ranks, in descending
/// order of weight. Servers of rank 0 are assumed to have the object cached. The ranking is the
/// same on every entry VM, except that the first server of the own region ranks like the home
/// if that region has enough capacity.
///
/// The backend servers of a region together cache as many objects as they have room for. For
/// example, with room for two and a half copies of each object, half of the objects, selected
/// by hash, have a third copy there.
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

/// Returns whether a region with `members` backend servers has enough capacity for its own
/// callers; `even_share` is the number that it would have in an even split.
fn has_capacity(members: usize, even_share: usize) -> bool {
    #[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
    let (members, even_share) = (members as f64, even_share as f64);
    members >= even_share * MIN_LOCAL_SHARE
}
