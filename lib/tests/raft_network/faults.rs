//! Injected faults of processes, disks and links.

use std::time::Duration;

use heatherring_lib::id::ReplicaId;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_config::DurableState;
use heatherring_lib::raft_effects::Input;
use rand::Rng;

use super::Network;
use super::NetworkConditions;
use super::StateMachine;

impl Network {
    /// Cuts all links except those among these replicas.
    pub fn partition(&mut self, group: &[u64]) {
        self.cuts.clear();
        let all: Vec<_> = self.nodes.keys().copied().collect();
        for from in &all {
            for to in &all {
                let inside = |node: &ReplicaId| group.contains(&node.0);
                if !inside(from) || !inside(to) {
                    self.cut(*from, *to);
                }
            }
        }
    }

    /// Crashes a process. A random prefix of its unsynced writes reaches the disk.
    pub fn crash(&mut self, replica: ReplicaId) {
        let Some(node) = self.nodes.get_mut(&replica) else {
            return;
        };
        node.raft = None;
        node.sync_at = None;
        let queue = std::mem::take(&mut node.queue);
        let mut unsynced = std::mem::take(&mut node.writing);
        unsynced.extend(queue.queued().iter().cloned());
        let kept = self.rng.random_range(0..=unsynced.len());
        for write in unsynced.into_iter().take(kept) {
            node.disk.apply(write).unwrap();
        }
    }

    /// Starts a process from its disk; does nothing if it is running or its disk is lost.
    pub fn restart(&mut self, replica: ReplicaId) {
        let now = self.time();
        let seed = self.rng.random();
        let cfg = self.config(replica.0, seed);
        let Some(node) = self.nodes.get_mut(&replica) else {
            return;
        };
        if node.raft.is_some() || node.disk_lost {
            return;
        }
        node.written = node.disk.clone();
        node.state_machine = StateMachine::from_snapshot(node.disk.snapshot.as_ref());
        let raft = Raft::new(cfg, node.disk.clone(), now);
        node.raft = Some(raft.unwrap());
    }

    /// Crashes all processes at the same time and restarts those that were running.
    pub fn lose_power(&mut self) {
        let running: Vec<_> = self.rafts().map(Raft::id).collect();
        for replica in &running {
            self.crash(*replica);
        }
        for replica in running {
            self.restart(replica);
        }
    }

    /// Crashes a process and deletes its data folder, and with it the replica's identity.
    pub fn lose_disk(&mut self, replica: ReplicaId) {
        self.crash(replica);
        if let Some(node) = self.nodes.get_mut(&replica) {
            node.disk = DurableState::default();
            node.disk_lost = true;
        }
    }

    /// Suspends a process for a while; messages to it are buffered.
    pub fn freeze(&mut self, replica: ReplicaId, span: Duration) {
        if let Some(node) = self.nodes.get_mut(&replica) {
            node.frozen_until = self.now + span;
        }
    }

    /// Makes the syncs of a replica end only after a while; its process goes on.
    pub fn stall_disk(&mut self, replica: ReplicaId, span: Duration) {
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(&replica) {
            node.stalled_until = now + span;
            node.sync_at = node.sync_at.map(|at| at.max(now + span));
        }
    }

    /// Makes the disk of a replica refuse records; its process goes on.
    pub fn fill_disk(&mut self, replica: ReplicaId) {
        if let Some(node) = self.nodes.get_mut(&replica) {
            node.disk_full = true;
        }
    }

    /// Makes room on the disk of a replica, which then writes the records that were refused.
    pub fn free_disk(&mut self, replica: ReplicaId) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&replica) else {
            return;
        };
        node.disk_full = false;
        if !node.writing.is_empty() && node.sync_at.is_none() {
            node.sync_at = Some(now);
            self.step(replica, Input::DiskFull(false));
        }
    }

    /// Returns the number of records that wait behind those that a replica is writing.
    pub fn queued_records(&self, replica: ReplicaId) -> usize {
        self.nodes[&replica].queue.queued().len()
    }

    pub fn cut(&mut self, from: ReplicaId, to: ReplicaId) {
        self.cuts.insert((from, to));
    }

    pub fn mend(&mut self, from: ReplicaId, to: ReplicaId) {
        self.cuts.remove(&(from, to));
    }

    /// Returns whether the process of a replica runs and is not frozen.
    pub fn is_active(&self, replica: ReplicaId) -> bool {
        let node = self.nodes.get(&replica);
        node.is_some_and(|node| node.raft.is_some() && node.frozen_until <= self.now)
    }

    /// Returns whether two replicas are active and can reach each other.
    pub fn are_in_touch(&self, one: ReplicaId, other: ReplicaId) -> bool {
        let open = !self.cuts.contains(&(one, other)) && !self.cuts.contains(&(other, one));
        open && self.is_active(one) && self.is_active(other)
    }

    /// Cuts all links to and from a replica.
    pub fn isolate(&mut self, replica: ReplicaId) {
        let others: Vec<_> = self.nodes.keys().copied().collect();
        for other in others {
            self.cut(replica, other);
            self.cut(other, replica);
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.conditions = NetworkConditions::GOOD;
    }
}
