//! Repairs the set of control replicas without an operator.
//!
//! A replica that lost its disk returns at its old address under a fresh identity; a new VM has an
//! address of its own. Both request admission. A replica that is lost for good must leave the set
//! of voters, or the next loss stops control; but removing it gains nothing while no replacement is
//! available.

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

/// Time without contact after which a replaceable voter is removed. Longer than any restart of a VM
/// (about 2 s) and than a short network partition, but shorter than the time in which a second loss
/// is to be expected.
pub const REMOVE_SILENT_AFTER: Duration = Duration::from_secs(9);

/// Time for which a vacant voter seat is reserved for a replica of a region with few voters. Longer
/// than a replica that starts along with the others needs to be admitted, to catch up, and to
/// report its region.
pub const SPREAD_WAIT: Duration = Duration::from_secs(3);

/// Answer to a replica that requests admission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The replica is a member.
    Member,
    /// This membership change is the next step towards its admission; the replica requests
    /// admission again afterwards.
    Change(MembershipChange),
}

/// Decides on a replica that requests admission.
///
/// Any other member known at its address must have lost its disk, since no two processes share an
/// address: a voter is replaced, and a learner that never caught up is removed first.
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
/// A voter that has been silent for [`REMOVE_SILENT_AFTER`] is removed if there are more voters
/// than `target`, or if a learner is available to replace it. A learner that has been silent for
/// that long is removed too; it requests admission again when it returns.
///
/// `known_since` gives the time since which this leader has known each member. The silence of a
/// member that it has not heard from yet counts from then: a replica that was just admitted may not
/// even have started.
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
    let has_replacement = progress
        .iter()
        .any(|replica| !replica.voter && !silent(&replica));
    let removable = |replica: &&ReplicaProgress| {
        !replica.voter || membership.voters.len() > target || has_replacement
    };
    progress
        .iter()
        .filter(silent)
        .find(removable)
        .map(|replica| replica.id)
}

/// Returns the learner to be promoted to voter, among those that have `caught_up`.
///
/// Voters are spread over the regions, so that the loss of a region leaves a majority of `target`
/// voters. `regions` gives the region of each replica, as far as it is known. A seat that has been
/// vacant for [`SPREAD_WAIT`] goes to the best learner even if it does not preserve that property;
/// `free_for` is the time for which it has been vacant.
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
