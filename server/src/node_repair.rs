//! How a control replica that leads keeps the set of replicas whole by itself.

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

use crate::control_node::ControlNode;
use crate::control_node::VoterPolicy;
use crate::data_folder::Disk;
use crate::node_pending::Pending;
use crate::node_pending::token_of;
use crate::node_request::NodeError;

/// Time between two looks at who is silent.
const REPAIR_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the last proof of leadership up to which the leader's word on membership counts:
/// five heartbeats.
const PROOF_AGE: Duration = Duration::from_millis(500);

/// Says when the leader looks at the replicas next, and since when it has known each.
#[derive(Clone, Debug, Default)]
pub(crate) struct Repair {
    known_since: BTreeMap<ReplicaId, Instant>,
    regions: BTreeMap<SocketAddr, RegionName>,
    look_at: Option<Instant>,
}

impl Repair {
    pub(crate) fn elected(&mut self, now: Instant) {
        self.known_since.clear();
        self.look_at = Some(now);
    }

    pub(crate) fn note_regions(&mut self, regions: BTreeMap<SocketAddr, RegionName>) {
        self.regions = regions;
    }

    /// Returns in which regions the members are, as far as that is known.
    fn regions_of(&self, membership: &Membership) -> BTreeMap<ReplicaId, RegionName> {
        let region = |id| {
            let address = membership.info(id)?.address;
            Some((id, self.regions.get(&address)?.clone()))
        };
        membership.ids().filter_map(region).collect()
    }

    fn follow(&mut self, membership: &Membership, now: Instant) {
        self.known_since.retain(|id, _| membership.contains(*id));
        for id in membership.ids() {
            self.known_since.entry(id).or_insert(now);
        }
    }
}

impl<D: Disk> ControlNode<D> {
    /// Removes a replica whose removal is due, if this one leads.
    pub(crate) fn continue_repair(&mut self) {
        let VoterPolicy::SelfRepair { target } = self.cfg.voters else {
            return;
        };
        let now = self.clock.now();
        let due = self.repair.look_at.is_some_and(|at| now >= at);
        if !due || self.raft.role() != Role::Leader {
            return;
        }
        self.repair.look_at = Some(now + REPAIR_INTERVAL);
        let regions = self.repair.regions_of(self.raft.membership());
        self.step(Input::Regions(regions));
        let progress = self.raft.progress();
        let membership = self.raft.membership();
        self.repair.follow(membership, now);
        let known_since = &self.repair.known_since;
        let removal = replica_plan::due_removal(membership, &progress, known_since, now, target);
        if let Some(replica) = removal {
            log::warn!(event = "replica_removed", replica = replica.0; "a silent replica is removed");
            self.change_unattended(MembershipChange::Remove(replica));
        }
    }

    fn change_unattended(&mut self, change: MembershipChange) {
        let token = token_of(self.pending.insert(Pending::Unattended));
        self.step(Input::ChangeMembership { token, change });
    }

    /// Answers whether a replica is a member; if not, takes the next step towards it.
    pub(crate) fn admit(
        &mut self,
        replica: ReplicaId,
        info: &ReplicaInfo,
        question_only: bool,
    ) -> Result<bool, NodeError> {
        let now = self.clock.now();
        let proved = self.raft.proven_current_at();
        let proved = proved.is_some_and(|at| now.saturating_duration_since(at) < PROOF_AGE);
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
                log::info!(event = "replica_admission", replica = replica.0, vm = info.vm.as_str(), change:? = change; "a replica asks to join");
                self.change_unattended(change);
                Ok(false)
            }
        }
    }
}
