//! Repairs the set of control replicas without an operator.
//!
//! A replica that lost its disk returns at its old address under a fresh identity; a new VM has an
//! address of its own. Both request admission. A replica that is lost for good must leave the set
//! of voters, or the next loss stops control; but removing it gains nothing while no replacement is
//! available.
//!
//! Whether a silent voter is lost or only paused can't be known. So its seat goes to a learner as
//! soon as one has caught up, and the voter becomes a learner itself, which costs it neither its
//! log nor its identity. Only a learner that stays silent for much longer is removed.

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

/// Shortest time without contact after which a learner is removed, and so is a voter beyond the
/// target. Longer than any restart of a VM (about 2 s) and than a short network partition, since the
/// replica loses its identity and its log.
pub const REMOVE_SILENT_AFTER: Duration = Duration::from_secs(9);

/// Shortest time within which a replacement can be asked to be a voter.
pub const SHORTEST_REPLACEMENT: Duration = Duration::from_secs(1);

/// Longest time within which a replacement can be asked to be a voter.
pub const LONGEST_REPLACEMENT: Duration = Duration::from_mins(1);

/// Silence after which a voter loses its seat to a learner that has caught up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeatTiming {
    /// Silence after which the seat goes to a learner that preserves the spread over regions.
    pub silent_after: Duration,
    /// Silence, or time for which a seat has been vacant, after which it goes to any learner. Until
    /// then a learner of a better region may still be admitted, catch up and report its region.
    pub any_region_after: Duration,
    /// Time without contact after which a learner is removed, and so is a voter beyond the target.
    pub remove_after: Duration,
}

impl SeatTiming {
    /// Derives the times from the time within which the replacement of a lost voter is to be a
    /// voter, counted from the start of its process.
    ///
    /// The shares leave room for a change of leader after the loss, which takes up to `election_max`
    /// and after which silence may be counted anew, and for the commits of the change.
    #[must_use]
    pub fn new(replacement_within: Duration, election_max: Duration) -> Self {
        // A leader that was suspended for almost `election_max` still leads, and has heard from
        // nobody meanwhile.
        let shortest = election_max * 5 / 4;
        Self {
            silent_after: (replacement_within * 3 / 8).max(shortest),
            any_region_after: (replacement_within * 5 / 8).max(shortest),
            remove_after: (replacement_within * 9 / 4).max(REMOVE_SILENT_AFTER),
        }
    }
}

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
/// A learner that has been silent for [`SeatTiming::remove_after`] is removed; it requests admission
/// again when it returns. A voter that has been silent for that long is removed only if there are
/// more voters than `target`; any other one may lose its seat by [`SeatPlan::to_vacate`].
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
    timing: SeatTiming,
) -> Option<ReplicaId> {
    let silent = |replica: &&ReplicaProgress| {
        let known = known_since.get(&replica.id).copied().unwrap_or(now);
        let heard = replica.last_heard.map_or(known, |heard| heard.max(known));
        now.saturating_duration_since(heard) >= timing.remove_after
    };
    let removable = |replica: &&ReplicaProgress| !replica.voter || membership.voters.len() > target;
    progress
        .iter()
        .filter(silent)
        .find(removable)
        .map(|replica| replica.id)
}

/// Returns since when a new leader counts the silence of a member that last reported at `contact`.
///
/// The member keeps half of [`SeatTiming::remove_after`] to answer the new leader: the report may be
/// that of a former process at its address.
#[must_use]
pub fn known_since(contact: Instant, now: Instant, timing: SeatTiming) -> Instant {
    let earliest = now.checked_sub(timing.remove_after / 2).unwrap_or(now);
    contact.clamp(earliest, now)
}

/// View of the members from which the leader decides who votes.
///
/// Voters are spread over the regions, so that the loss of a region leaves a majority of `target`
/// voters.
#[derive(Clone, Copy, Debug)]
pub struct SeatPlan<'a> {
    /// The members.
    pub membership: &'a Membership,
    /// Region of each replica, as far as it is known.
    pub regions: &'a BTreeMap<ReplicaId, RegionName>,
    /// Learners that have caught up.
    pub caught_up: &'a [ReplicaId],
    /// Number of voters to maintain.
    pub target: usize,
    /// Silence after which a voter loses its seat.
    pub timing: SeatTiming,
}

impl SeatPlan<'_> {
    /// Returns the learner to be promoted to voter, if a seat has been vacant for `vacant_for`.
    ///
    /// The seat goes to the best learner even if it does not preserve the spread, once it has been
    /// vacant for [`SeatTiming::any_region_after`].
    #[must_use]
    pub fn next_voter(&self, vacant_for: Duration) -> Option<ReplicaId> {
        self.successor(None, vacant_for)
    }

    /// Returns the voter that is to become a learner so that a learner can take its seat, if all
    /// seats are taken, or because there are more voters than seats and it is silent.
    ///
    /// `silence` has the time since each other voter was last heard from; it lacks the leader.
    #[must_use]
    pub fn to_vacate(&self, silence: &BTreeMap<ReplicaId, Duration>) -> Option<ReplicaId> {
        let voters = self.membership.voters.len();
        if voters > self.target {
            return self.longest_silent(silence, |_, _| true);
        }
        if self.caught_up.is_empty() || voters < self.target {
            return None;
        }
        self.silent_seat(silence)
            .or_else(|| self.crowded_seat(silence))
    }

    /// Returns the voter that has been silent for longest and whose seat can be taken.
    fn silent_seat(&self, silence: &BTreeMap<ReplicaId, Duration>) -> Option<ReplicaId> {
        self.longest_silent(silence, |id, lasts| {
            self.successor(Some(id), lasts).is_some()
        })
    }

    fn longest_silent(
        &self,
        silence: &BTreeMap<ReplicaId, Duration>,
        is_meant: impl Fn(ReplicaId, Duration) -> bool,
    ) -> Option<ReplicaId> {
        let silent = silence
            .iter()
            .filter(|(id, lasts)| **lasts >= self.timing.silent_after && is_meant(**id, **lasts));
        silent.max_by_key(|(_, lasts)| **lasts).map(|(id, _)| *id)
    }

    /// Returns a voter of a region that has too many of them, if all voters are live and a learner
    /// of another region can take its seat.
    ///
    /// Without this move, a region that stood in for another one would keep its seats, and its
    /// loss would stop control after the other one has long returned.
    fn crowded_seat(&self, silence: &BTreeMap<ReplicaId, Duration>) -> Option<ReplicaId> {
        let all_live = silence
            .values()
            .all(|lasts| *lasts < self.timing.silent_after);
        let crowded = |id: &&ReplicaId| {
            let region = self.regions.get(id);
            region.is_some() && self.voters_in(region, None) > self.target / 2
        };
        let movable =
            |id: &&ReplicaId| crowded(id) && self.successor(Some(**id), Duration::ZERO).is_some();
        silence.keys().filter(|_| all_live).find(movable).copied()
    }

    /// Returns the learner that would take a seat, provided that `without` has none.
    fn successor(&self, without: Option<ReplicaId>, vacant_for: Duration) -> Option<ReplicaId> {
        let rank = |id: &&ReplicaId| {
            let region = self.regions.get(id);
            (region.is_none(), self.voters_in(region, without))
        };
        let best = self.caught_up.iter().min_by_key(rank)?;
        let region = self.regions.get(best);
        let spread = region.is_some() && self.voters_in(region, without) < self.target / 2;
        (spread || vacant_for >= self.timing.any_region_after).then_some(*best)
    }

    fn voters_in(&self, region: Option<&RegionName>, without: Option<ReplicaId>) -> usize {
        let voters = self.membership.voters.keys();
        voters
            .filter(|id| Some(**id) != without && self.regions.get(id) == region)
            .count()
    }
}
