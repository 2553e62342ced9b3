//! Faults, and the times at which they happen.

use std::collections::BTreeSet;
use std::time::Duration;

use heatherring_lib::id::ReplicaId;
use heatherring_lib::raft_effects::Input;
use rand::Rng;

use super::Cluster;
use super::REPLACEMENT;

/// Time that a replica takes to hand over before it is lost as planned.
const HANDOVER: Duration = Duration::from_millis(400);

/// What happens to a cluster.
#[derive(Clone, Debug)]
pub enum Action {
    /// A replica is lost for good.
    Lose(ReplicaId),
    /// An empty replica starts in a region.
    StartEmpty(usize),
    /// The leader hands over.
    HandOver,
    /// A replica hands over if it leads.
    StepDown(ReplicaId),
    /// The leader is cut off for a while.
    CutLeader(Duration),
    /// Replicas are away for a while.
    Leave(BTreeSet<ReplicaId>, Away),
    /// The links between these replicas and the others open.
    Mend(BTreeSet<ReplicaId>),
    /// Stopped processes start with their disks.
    Restart(BTreeSet<ReplicaId>),
}

/// How replicas are away.
#[derive(Clone, Copy, Debug)]
pub enum Away {
    Frozen(Duration),
    /// Cut off from the other replicas, not from each other.
    Cut(Duration),
    Stopped(Duration),
}

impl Away {
    pub fn span(self) -> Duration {
        match self {
            Self::Frozen(span) | Self::Cut(span) | Self::Stopped(span) => span,
        }
    }
}

/// The replacement of a lost replica.
#[derive(Clone, Copy, Debug)]
pub struct Replacement {
    pub lost: ReplicaId,
    /// When the loss has happened and the successor has started.
    pub complete_at: Duration,
}

impl Replacement {
    /// Returns when the set of voters is to be complete again.
    pub fn due_at(&self) -> Duration {
        self.complete_at + REPLACEMENT
    }
}

impl Cluster {
    /// Plans an action after a time from now.
    pub fn plan(&mut self, after: Duration, action: Action) {
        let at = self.network.elapsed() + after;
        self.agenda.insert((at, self.planned), action);
        self.planned += 1;
    }

    /// Plans the loss of a replica and the start of its successor, before it or after it.
    pub fn plan_replacement(&mut self, lost: ReplicaId) -> Replacement {
        let region = self.regions[&lost];
        let planned = self.rng.random_ratio(1, 3);
        let (lose_after, start_after) = if planned {
            (self.draw_ms(500, 3_000), Duration::ZERO)
        } else {
            (Duration::ZERO, self.draw_ms(0, 2_000))
        };
        if planned {
            let hand_over_after = lose_after.saturating_sub(HANDOVER);
            self.plan(hand_over_after, Action::StepDown(lost));
        }
        self.plan(start_after, Action::StartEmpty(region));
        self.plan(lose_after, Action::Lose(lost));
        Replacement {
            lost,
            complete_at: self.network.elapsed() + lose_after.max(start_after),
        }
    }

    pub fn any_away(&mut self, span: Duration) -> Away {
        match self.rng.random_range(0..3) {
            0 => Away::Frozen(span),
            1 => Away::Cut(span),
            _ => Away::Stopped(span),
        }
    }

    /// Runs until the set of voters is to be complete again.
    pub fn run_until_due(&mut self, replacement: &Replacement) {
        let left = replacement.due_at().saturating_sub(self.network.elapsed());
        self.run(left);
    }

    /// Carries out the actions that are due.
    pub(super) fn act(&mut self) {
        while let Some(next) = self.agenda.first_entry() {
            if next.key().0 > self.network.elapsed() {
                return;
            }
            let action = next.remove();
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Lose(replica) => {
                self.network.lose_disk(replica);
                self.forget_process(replica);
                self.joining.remove(&replica);
            }
            Action::StartEmpty(region) => {
                self.start_empty(region);
            }
            Action::HandOver => {
                if let Some(leader) = self.network.leader() {
                    self.step_down(leader);
                }
            }
            Action::StepDown(replica) => self.step_down(replica),
            Action::CutLeader(span) => {
                if let Some(leader) = self.network.leader() {
                    self.leave(BTreeSet::from([leader]), Away::Cut(span));
                }
            }
            Action::Leave(replicas, away) => self.leave(replicas, away),
            Action::Mend(group) => self.for_links_of(&group, Self::mend),
            Action::Restart(replicas) => {
                for replica in replicas {
                    self.network.restart(replica);
                }
            }
        }
    }

    fn step_down(&mut self, replica: ReplicaId) {
        if self.network.is_active(replica) {
            self.network.step(replica, Input::StepDown);
        }
    }

    fn leave(&mut self, replicas: BTreeSet<ReplicaId>, away: Away) {
        match away {
            Away::Frozen(span) => {
                for replica in replicas {
                    self.network.freeze(replica, span);
                }
            }
            Away::Cut(span) => {
                self.for_links_of(&replicas, Self::cut);
                self.plan(span, Action::Mend(replicas));
            }
            Away::Stopped(span) => {
                for replica in &replicas {
                    self.network.crash(*replica);
                    self.forget_process(*replica);
                }
                self.plan(span, Action::Restart(replicas));
            }
        }
    }

    fn for_links_of(
        &mut self,
        group: &BTreeSet<ReplicaId>,
        change: fn(&mut Self, ReplicaId, ReplicaId),
    ) {
        let all: Vec<_> = self.network.nodes.keys().copied().collect();
        let others = all.iter().filter(|id| !group.contains(id));
        for other in others {
            for replica in group {
                change(self, *replica, *other);
                change(self, *other, *replica);
            }
        }
    }

    fn cut(&mut self, from: ReplicaId, to: ReplicaId) {
        self.network.cut(from, to);
    }

    fn mend(&mut self, from: ReplicaId, to: ReplicaId) {
        self.network.mend(from, to);
    }
}
