//! How the set of control replicas repairs itself without an operator.
//!
//! A replica that lost its disk comes back at its old address under a fresh identity; a
//! new VM comes with an address of its own. Both ask to be admitted. A replica that is
//! gone for good must leave the set of voters, or the next loss stops control; but while
//! nobody stands in for it, its removal gains nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::id::RegionName;
use crate::id::ReplicaId;
use crate::raft_effects::MembershipChange;
use crate::raft_effects::ReplicaProgress;
use crate::raft_message::Membership;
use crate::raft_message::ReplicaInfo;

/// Silence after which a voter that others can stand in for is removed. Longer than any
/// restart of a VM (about 2 s) and than a short cut, shorter than the time in which a
/// second loss is to be expected.
pub const REMOVE_SILENT_AFTER: Duration = Duration::from_secs(9);

/// Time for which a place among the voters is kept free for a replica of a region with few of
/// them. Longer than it takes a replica that starts along with the others to be admitted, to
/// catch up, and to say where it is.
pub const SPREAD_WAIT: Duration = Duration::from_secs(3);

/// Tells what becomes of a replica that asks to be admitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is a member.
    Member,
    /// This change brings it nearer; it asks again.
    Change(MembershipChange),
}

/// Decides on a replica that asks to be admitted.
///
/// Whoever else is known at its address has lost its disk, since no two processes share
/// an address: a voter is replaced, and a learner that never got on is removed first.
#[must_use]
pub fn admit(membership: &Membership, id: ReplicaId, info: &ReplicaInfo) -> Admission {
    if membership.contains(id) {
        return Admission::Member;
    }
    if let Some(stale) = at_address(membership.learners.iter(), info.address) {
        return Admission::Change(MembershipChange::Remove(stale));
    }
    Admission::Change(MembershipChange::AddLearner {
        id,
        info: info.clone(),
        replaces: at_address(membership.voters.iter(), info.address),
    })
}

fn at_address<'a>(
    mut members: impl Iterator<Item = (&'a ReplicaId, &'a ReplicaInfo)>,
    address: SocketAddr,
) -> Option<ReplicaId> {
    members
        .find(|(_, info)| info.address == address)
        .map(|(id, _)| *id)
}

/// Returns the removal that is due, as the leader sees it.
///
/// A voter that has been silent for [`REMOVE_SILENT_AFTER`] goes if there are more voters than
/// `target`, or if a learner waits to take its place. A learner that is silent for so long
/// goes too: it asks again when it is back.
///
/// `known_since` says since when this leader has known each replica as a member. One that
/// it hasn't heard yet counts from then: a replica that was admitted just now hasn't even
/// started.
#[must_use]
pub fn due_removal(
    membership: &Membership,
    progress: &[ReplicaProgress],
    known_since: &BTreeMap<ReplicaId, Instant>,
    now: Instant,
    target: usize,
) -> Option<ReplicaId> {
    let silent = |replica: &&ReplicaProgress| {
        let known = known_since.get(&replica.id).copied().unwrap_or(now);
        let heard = replica.last_heard.map_or(known, |heard| heard.max(known));
        now.saturating_duration_since(heard) >= REMOVE_SILENT_AFTER
    };
    let stand_in = progress
        .iter()
        .any(|replica| !replica.voter && !silent(&replica));
    let removable =
        |replica: &&ReplicaProgress| !replica.voter || membership.voters.len() > target || stand_in;
    progress
        .iter()
        .filter(silent)
        .find(removable)
        .map(|replica| replica.id)
}

/// Returns the learner that is to vote, among those that have `caught_up`.
///
/// Voters are spread over the regions, so that the loss of one leaves a majority of `target`
/// voters. `regions` tells where replicas are, as far as that is known. A place that has been
/// free for `free_for` goes to whoever is the best after [`SPREAD_WAIT`].
#[must_use]
pub fn next_voter(
    membership: &Membership,
    regions: &BTreeMap<ReplicaId, RegionName>,
    caught_up: &[ReplicaId],
    target: usize,
    free_for: Duration,
) -> Option<ReplicaId> {
    let voters_in = |region: Option<&RegionName>| {
        let voters = membership.voters.keys();
        voters.filter(|id| regions.get(id) == region).count()
    };
    let rank = |id: &&ReplicaId| {
        let region = regions.get(id);
        (region.is_none(), voters_in(region))
    };
    let best = caught_up.iter().min_by_key(rank)?;
    let region = regions.get(best);
    let leaves_majority = region.is_some() && voters_in(region) < target / 2;
    (leaves_majority || free_for >= SPREAD_WAIT).then_some(*best)
}
