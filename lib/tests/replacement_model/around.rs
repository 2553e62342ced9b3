//! What a control process does around Raft to maintain the set of replicas.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::RegionName;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Term;
use heatherring_lib::id::VmName;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_effects::MembershipChange;
use heatherring_lib::raft_effects::Role;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::replica_plan;
use heatherring_lib::replica_plan::Admission;
use heatherring_lib::replica_plan::SeatTiming;
use rand::seq::IndexedRandom;

use super::Cluster;
use crate::raft_network::Scale;

/// Number of voters that the replicas maintain.
pub const TARGET: usize = 5;

/// Time within which a replacement is to be a voter.
pub const REPLACEMENT: Duration = Duration::from_secs(4);

/// Timeouts and message sizes of production.
pub const SCALE: Scale = Scale {
    heartbeat: Duration::from_millis(100),
    election_min: Duration::from_millis(600),
    election_max: Duration::from_millis(1_200),
    max_append_bytes: 512 << 10,
    snapshot_chunk_bytes: 256 << 10,
};

const REPAIR_INTERVAL: Duration = Duration::from_millis(500);
const ADMISSION_INTERVAL: Duration = Duration::from_millis(250);
const MAX_PROOF_AGE: Duration = Duration::from_millis(500);

/// Time after which a process knows the region of a member that it reaches.
const REGION_REPORT: Duration = Duration::from_millis(500);

/// The rules under test.
pub fn seats() -> SeatTiming {
    SeatTiming::new(REPLACEMENT, SCALE.election_max)
}

/// Returns the member whose removal is due, as a leader sees it.
fn due_removal(
    raft: &Raft,
    known_since: &BTreeMap<ReplicaId, Instant>,
    now: Instant,
) -> Option<ReplicaId> {
    let progress = raft.progress();
    replica_plan::due_removal(
        raft.membership(),
        &progress,
        known_since,
        now,
        TARGET,
        seats(),
    )
}

/// Returns the VM and address of a replica, which no other replica has.
pub fn info(replica: ReplicaId) -> ReplicaInfo {
    let port = u16::try_from(replica.0).expect("there are few replicas");
    ReplicaInfo {
        vm: VmName::new(format!("control-{port}")),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
    }
}

/// The memory of one process beside Raft's.
#[derive(Debug, Default)]
pub struct Process {
    /// When it first reached each member.
    reached_at: BTreeMap<ReplicaId, Duration>,
    regions: BTreeMap<ReplicaId, RegionName>,
    /// Term in which it leads, and since when it has known each member in it.
    leads_in: Option<Term>,
    known_since: BTreeMap<ReplicaId, Instant>,
    next_check_at: Duration,
}

impl Cluster {
    /// Does what is due in all processes.
    pub fn step_processes(&mut self) {
        self.request_admissions();
        self.replace_removed();
        let active: Vec<_> = self.active().collect();
        for replica in active {
            self.learn_regions(replica);
            self.repair(replica);
        }
    }

    /// Forgets what a process knew that was stopped.
    pub fn forget_process(&mut self, replica: ReplicaId) {
        self.processes.remove(&replica);
    }

    fn learn_regions(&mut self, replica: ReplicaId) {
        let now = self.network.elapsed();
        let members: Vec<_> = self.network.raft(replica).membership().ids().collect();
        let process = self.processes.entry(replica).or_default();
        process.reached_at.retain(|id, _| members.contains(id));
        for member in members {
            if member == replica || self.network.are_in_touch(replica, member) {
                process.reached_at.entry(member).or_insert(now);
            }
        }
        let known = process.reached_at.iter();
        let known = known.filter(|(_, at)| now >= **at + REGION_REPORT);
        let regions: BTreeMap<_, _> = known
            .map(|(id, _)| (*id, region_name(self.regions[id])))
            .collect();
        if regions != process.regions {
            process.regions.clone_from(&regions);
            self.network.step(replica, Input::Regions(regions));
        }
    }

    fn repair(&mut self, replica: ReplicaId) {
        let now = self.network.elapsed();
        let time = self.network.time();
        let raft = self.network.raft(replica);
        let process = self.processes.entry(replica).or_default();
        if raft.role() != Role::Leader {
            process.leads_in = None;
            return;
        }
        if process.leads_in != Some(raft.term()) {
            process.leads_in = Some(raft.term());
            process.known_since.clear();
            process.next_check_at = now;
        }
        if now < process.next_check_at {
            return;
        }
        process.next_check_at = now + REPAIR_INTERVAL;
        let membership = raft.membership();
        process.known_since.retain(|id, _| membership.contains(*id));
        for id in membership.ids() {
            process.known_since.entry(id).or_insert(time);
        }
        if let Some(removed) = due_removal(raft, &process.known_since, time) {
            let change = MembershipChange::Remove(removed);
            self.network.change_membership(replica, change);
        }
    }

    fn request_admissions(&mut self) {
        let now = self.network.elapsed();
        let due = self.joining.iter().filter(|(_, at)| now >= **at);
        let due: Vec<_> = due.map(|(id, _)| *id).collect();
        for replica in due {
            if !self.network.is_active(replica) {
                continue;
            }
            self.joining.insert(replica, now + ADMISSION_INTERVAL);
            if self.request_admission(replica) == Some(true) {
                self.joining.remove(&replica);
            }
        }
    }

    /// Asks the leader that some live member knows of. Returns whether the replica is a member, if
    /// the leader could be asked and can prove that it leads.
    fn request_admission(&mut self, replica: ReplicaId) -> Option<bool> {
        let members = self
            .active()
            .filter(|id| !self.joining.contains_key(id) && self.network.are_in_touch(replica, *id));
        let members: Vec<_> = members.collect();
        let member = *members.choose(&mut self.rng)?;
        let leader = self.network.raft(member).leader()?;
        if leader != member && !self.network.are_in_touch(member, leader) {
            return None;
        }
        if !self.is_proven_leader(leader) {
            return None;
        }
        let raft = self.network.raft(leader);
        match replica_plan::admit(raft.membership(), replica, &info(replica)) {
            Admission::Member => Some(true),
            Admission::Change(change) => {
                self.network.change_membership(leader, change);
                Some(false)
            }
        }
    }

    /// Starts replicas that were removed while they were away anew, at their old addresses.
    fn replace_removed(&mut self) {
        let Some(leader) = self
            .network
            .leader()
            .filter(|id| self.is_proven_leader(*id))
        else {
            return;
        };
        let membership = self.network.raft(leader).membership().clone();
        let removed = self.active().filter(|id| {
            !membership.contains(*id)
                && !self.joining.contains_key(id)
                && self.network.are_in_touch(*id, leader)
        });
        let removed: Vec<_> = removed.collect();
        for replica in removed {
            self.network.lose_disk(replica);
            self.forget_process(replica);
            self.start_empty(self.regions[&replica]);
        }
    }

    fn is_proven_leader(&self, leader: ReplicaId) -> bool {
        if !self.network.is_active(leader) {
            return false;
        }
        let raft = self.network.raft(leader);
        let proved = raft.proven_current_at();
        let age = proved.map(|at| self.network.time().saturating_duration_since(at));
        raft.role() == Role::Leader
            && age.is_some_and(|age| age < MAX_PROOF_AGE)
            && raft.membership_is_committed()
    }
}

fn region_name(region: usize) -> RegionName {
    RegionName::new(["north", "east", "west"][region])
}
