//! Self-repair of the set of replicas: the leader removes lost replicas and admits new ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::RegionName;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_effects::MembershipChange;
use heatherring_lib::raft_effects::Refusal;
use heatherring_lib::raft_effects::Role;
use heatherring_lib::raft_message::Membership;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::replica_plan;
use heatherring_lib::replica_plan::Admission;
use heatherring_lib::replica_plan::SeatTiming;

use crate::control_node::ControlNode;
use crate::control_node::VoterPolicy;
use crate::data_folder::Disk;
use crate::node_pending::Pending;
use crate::node_pending::token_of;
use crate::node_request::NodeError;

/// Interval at which the leader checks for silent replicas.
const REPAIR_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the last proof of leadership up to which the leader answers questions of membership:
/// five heartbeats.
const MAX_PROOF_AGE: Duration = Duration::from_millis(500);

/// The leader's record of the replicas, and the time of its next check.
#[derive(Clone, Debug, Default)]
pub(crate) struct Repair {
    known_since: BTreeMap<ReplicaId, Instant>,
    regions: BTreeMap<SocketAddr, RegionName>,
    /// When the replicas at these addresses last reported to this one.
    contacts: BTreeMap<SocketAddr, Instant>,
    next_check_at: Option<Instant>,
}

impl Repair {
    /// Starts anew when this replica becomes the leader.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.known_since.clear();
        self.next_check_at = Some(now);
    }

    pub(crate) fn note_regions(&mut self, regions: BTreeMap<SocketAddr, RegionName>) {
        self.regions = regions;
    }

    pub(crate) fn note_contacts(&mut self, contacts: BTreeMap<SocketAddr, Instant>) {
        self.contacts = contacts;
    }

    /// Returns when those members last reported that have an address of their own.
    fn contacts_of(&self, membership: &Membership) -> BTreeMap<ReplicaId, Instant> {
        let contact = |id| {
            let address = membership.info(id)?.address;
            let infos = membership.ids().filter_map(|id| membership.info(id));
            let is_own = infos.filter(|info| info.address == address).count() == 1;
            let at = self.contacts.get(&address).filter(|_| is_own)?;
            Some((id, *at))
        };
        membership.ids().filter_map(contact).collect()
    }

    /// Returns the regions of those members whose region is known.
    fn regions_of(&self, membership: &Membership) -> BTreeMap<ReplicaId, RegionName> {
        let region = |id| {
            let address = membership.info(id)?.address;
            Some((id, self.regions.get(&address)?.clone()))
        };
        membership.ids().filter_map(region).collect()
    }

    /// Drops former members, and records the time at which new ones were first seen.
    fn track_members(&mut self, membership: &Membership, now: Instant, timing: SeatTiming) {
        self.known_since.retain(|id, _| membership.contains(*id));
        let is_new_leader = self.known_since.is_empty();
        let contacts = self.contacts_of(membership);
        for id in membership.ids() {
            let contact = contacts.get(&id).filter(|_| is_new_leader);
            let since = contact.map_or(now, |at| replica_plan::known_since(*at, now, timing));
            self.known_since.entry(id).or_insert(since);
        }
    }
}

impl<D: Disk> ControlNode<D> {
    /// Proposes the removal of a replica that has been silent for too long, if this replica leads.
    pub(crate) fn continue_repair(&mut self) {
        let VoterPolicy::SelfRepair { target, .. } = self.cfg.voters else {
            return;
        };
        let Some(timing) = self.cfg.voters.seats(&self.cfg.timing) else {
            return;
        };
        let now = self.clock.now();
        let due = self.repair.next_check_at.is_some_and(|at| now >= at);
        if !due || self.raft.role() != Role::Leader {
            return;
        }
        self.repair.next_check_at = Some(now + REPAIR_INTERVAL);
        let progress = self.raft.progress();
        let membership = self.raft.membership();
        self.repair.track_members(membership, now, timing);
        let known_since = &self.repair.known_since;
        let removal =
            replica_plan::due_removal(membership, &progress, known_since, now, target, timing);
        if let Some(replica) = removal {
            log::warn!(event = "replica_removed", replica = replica.0; "removing a silent replica");
            self.propose_change(MembershipChange::Remove(replica));
        }
    }

    /// Tells Raft the regions of the members, as far as they are known.
    pub(crate) fn update_regions(&mut self) {
        let regions = self.repair.regions_of(self.raft.membership());
        self.step(Input::Regions(regions));
    }

    /// Tells Raft when the members last reported to this replica.
    pub(crate) fn update_contacts(&mut self) {
        let contacts = self.repair.contacts_of(self.raft.membership());
        self.step(Input::Contacts(contacts));
    }

    fn propose_change(&mut self, change: MembershipChange) {
        let token = token_of(self.pending.insert(Pending::Unattended));
        self.step(Input::ChangeMembership { token, change });
    }

    /// Returns whether a replica is a member; if it is not, proposes the next change towards that,
    /// unless `question_only`.
    ///
    /// # Errors
    ///
    /// Refuses while this replica cannot prove that it leads, or another change is pending.
    pub(crate) fn admit(
        &mut self,
        replica: ReplicaId,
        info: &ReplicaInfo,
        question_only: bool,
    ) -> Result<bool, NodeError> {
        let now = self.clock.now();
        let proved = self.raft.proven_current_at();
        let proved = proved.is_some_and(|at| now.saturating_duration_since(at) < MAX_PROOF_AGE);
        if self.raft.role() != Role::Leader || !proved {
            return Err(NodeError::Refused {
                reason: Refusal::NotLeader {
                    leader: self.raft.leader(),
                },
                leader: self.leader_link(),
            });
        }
        if !self.raft.membership_is_committed() {
            return Err(NodeError::Refused {
                reason: Refusal::ChangePending,
                leader: None,
            });
        }
        match replica_plan::admit(self.raft.membership(), replica, info) {
            Admission::Member => Ok(true),
            Admission::Change(_) if question_only => Ok(false),
            Admission::Change(change) => {
                log::info!(event = "replica_admission", replica = replica.0, vm = info.vm.as_str(), change:? = change; "proposing a membership change to admit a replica");
                self.propose_change(change);
                Ok(false)
            }
        }
    }
}
