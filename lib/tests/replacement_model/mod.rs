//! A cluster of control replicas in three regions, whose processes maintain the set of voters, with
//! faults that are planned ahead and a client that proposes and reads.

mod around;
mod client;
mod plan;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use heatherring_lib::id::ReplicaId;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_config::DurableState;
use heatherring_lib::raft_message::Membership;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use self::around::Process;
pub use self::around::REPLACEMENT;
use self::around::SCALE;
pub use self::around::TARGET;
use self::client::Client;
pub use self::plan::Action;
pub use self::plan::Away;
pub use self::plan::Replacement;
use crate::raft_network::Network;
use crate::raft_network::id;

/// Time between two looks at all processes.
const TICK: Duration = Duration::from_millis(50);

/// Number of regions.
pub const REGIONS: usize = 3;

/// Time between two snapshots.
const COMPACTION_INTERVAL: Duration = Duration::from_secs(4);

const DELAY_WITHIN_REGION: Duration = Duration::from_millis(1);

/// The simulated cluster.
#[derive(Debug)]
pub struct Cluster {
    pub network: Network,
    pub client: Client,
    pub rng: ChaCha8Rng,
    regions: BTreeMap<ReplicaId, usize>,
    /// Delay between two regions, by the one that is neither.
    delays: [Duration; REGIONS],
    processes: BTreeMap<ReplicaId, Process>,
    /// Replicas that aren't members yet, and when they ask next.
    joining: BTreeMap<ReplicaId, Duration>,
    agenda: BTreeMap<(Duration, u64), Action>,
    planned: u64,
    next_number: u64,
    next_compaction_at: Duration,
}

impl Cluster {
    /// Starts as many replicas, of which [`TARGET`] vote.
    pub fn new(seed: u64, replicas: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut network = Network::new(seed);
        network.scale = SCALE;
        network.seats = Some((TARGET, around::seats()));
        network.crash(id(1));
        network.restart(id(1));
        let delay = |_| Duration::from_millis(rng.random_range(12..=35));
        let delays = [0, 1, 2].map(delay);
        let mut cluster = Self {
            network,
            client: Client::default(),
            rng,
            regions: BTreeMap::from([(id(1), 0)]),
            delays,
            processes: BTreeMap::new(),
            joining: BTreeMap::new(),
            agenda: BTreeMap::new(),
            planned: 0,
            next_number: 2,
            next_compaction_at: COMPACTION_INTERVAL,
        };
        cluster.form(replicas);
        cluster
    }

    fn form(&mut self, replicas: u64) {
        self.run(SCALE.election_max * 2);
        for number in 2..=replicas {
            let region = usize::try_from(number - 1).unwrap() % REGIONS;
            self.start_empty(region);
            self.run(Duration::from_millis(500));
        }
        self.run(REPLACEMENT * 2);
        assert_eq!(self.live_voters().len(), TARGET, "{}", self.summary());
        assert!(self.crowded_regions().is_empty(), "{}", self.summary());
    }

    /// Starts an empty replica, which requests admission.
    fn start_empty(&mut self, region: usize) -> ReplicaId {
        let replica = id(self.next_number);
        self.next_number += 1;
        self.regions.insert(replica, region);
        self.set_delays(replica);
        self.network.add_node(replica.0, DurableState::default());
        self.joining.insert(replica, self.network.elapsed());
        replica
    }

    fn set_delays(&mut self, replica: ReplicaId) {
        for (other, region) in &self.regions {
            let own = self.regions[&replica];
            let delay = if own == *region {
                DELAY_WITHIN_REGION
            } else {
                self.delays[REGIONS - own - region]
            };
            self.network.link_delays.insert((replica, *other), delay);
            self.network.link_delays.insert((*other, replica), delay);
        }
    }

    /// Runs for a span of simulated time.
    pub fn run(&mut self, span: Duration) {
        let end = self.network.elapsed() + span;
        while self.network.elapsed() < end {
            self.act();
            self.network.run(TICK);
            self.step_processes();
            self.step_client();
            self.compact();
        }
    }

    fn compact(&mut self) {
        if self.network.elapsed() < self.next_compaction_at {
            return;
        }
        self.next_compaction_at += COMPACTION_INTERVAL;
        let active: Vec<_> = self.active().collect();
        for replica in active {
            self.network.compact(replica);
        }
    }

    /// Returns the replicas whose processes run and aren't frozen.
    pub fn active(&self) -> impl Iterator<Item = ReplicaId> {
        let running = self.network.rafts().map(Raft::id);
        running.filter(|id| self.network.is_active(*id))
    }

    /// Returns the latest leader's members; those known last without a leader.
    pub fn membership(&self) -> Membership {
        let active = self.active().map(|id| self.network.raft(id));
        let latest = active.max_by_key(|raft| (raft.commit(), raft.term()));
        latest.map_or_else(Membership::default, |raft| raft.membership().clone())
    }

    /// Returns the voters whose processes run.
    pub fn live_voters(&self) -> BTreeSet<ReplicaId> {
        let voters = self.membership().voters;
        self.active().filter(|id| voters.contains_key(id)).collect()
    }

    /// Returns the regions with more voters than may be lost.
    pub fn crowded_regions(&self) -> BTreeSet<usize> {
        let crowded = |region: &usize| self.voters_in(*region).len() > TARGET / 2;
        (0..REGIONS).filter(crowded).collect()
    }

    pub fn voters_in(&self, region: usize) -> BTreeSet<ReplicaId> {
        let voters = self.membership().voters;
        let here = voters.keys().filter(|id| self.regions[id] == region);
        here.copied().collect()
    }

    /// Returns the running replicas of a region.
    pub fn replicas_in(&self, region: usize) -> BTreeSet<ReplicaId> {
        self.active()
            .filter(|id| self.regions[id] == region)
            .collect()
    }

    /// Returns whether no replica that holds committed entries is lost and counts as a voter in any
    /// log: a loss before that may lose committed entries, whatever the protocol.
    pub fn bears_a_loss(&self) -> bool {
        let nodes = || self.network.nodes.values();
        let lost = |id: &ReplicaId| self.network.nodes[id].disk_lost;
        let disks = nodes().filter(|node| !node.disk_lost);
        let memberships = disks.map(|node| node.disk.membership());
        memberships
            .filter(|membership| !membership.voters.is_empty())
            .all(|membership| membership.voters.len() >= 4 && !membership.voters.keys().any(lost))
    }

    pub fn region_of(&self, replica: ReplicaId) -> usize {
        self.regions[&replica]
    }

    pub fn any_region(&mut self) -> usize {
        self.rng.random_range(0..REGIONS)
    }

    /// Returns the leader with probability one half, else any active member; `None` without one.
    pub fn any_victim(&mut self) -> Option<ReplicaId> {
        let leader = self.network.leader().filter(|_| self.rng.random());
        let members = self.membership();
        let active: Vec<_> = self.active().filter(|id| members.contains(*id)).collect();
        let any = active.into_iter().choose(&mut self.rng);
        leader.or(any)
    }

    pub fn draw_ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..=to))
    }

    pub fn summary(&self) -> String {
        format!(
            "at {:?}, regions {:?}, {}",
            self.network.elapsed(),
            self.regions,
            self.network.summary()
        )
    }
}
