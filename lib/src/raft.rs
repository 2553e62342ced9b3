//! One replica of the agreement: a state machine without input or output.

use std::time::Instant;

use crate::id::ReplicaId;
use crate::id::Revision;
use crate::id::Term;
use crate::raft_config::DurableState;
use crate::raft_config::RaftConfig;
use crate::raft_config::RaftError;
use crate::raft_effects::Effects;
use crate::raft_effects::Input;
use crate::raft_effects::ReplicaProgress;
use crate::raft_effects::Role;
use crate::raft_message::HardState;
use crate::raft_message::Membership;

/// Holds one replica of the agreement.
#[derive(Debug)]
pub struct Raft {
    cfg: RaftConfig,
    hard_state: HardState,
    membership: Membership,
    last_index: Revision,
    now: Instant,
}

impl Raft {
    /// Starts a replica from what its disk held. The shell restores the replicated
    /// state from `durable.snapshot` itself; entries after it come out of the steps as
    /// committed once they are known to be.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings or the durable records contradict themselves.
    pub fn new(cfg: RaftConfig, durable: DurableState, now: Instant) -> Result<Self, RaftError> {
        Ok(Self {
            cfg,
            hard_state: durable.hard_state,
            membership: Membership::default(),
            last_index: {
                let last = durable.last_index();
                drop(durable);
                last
            },
            now,
        })
    }

    /// Takes one input and returns what is to be done.
    pub fn step(&mut self, now: Instant, input: Input) -> Effects {
        drop(input);
        self.now = now;
        Effects::default()
    }

    /// Returns when the next [`Input::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        self.now + self.cfg.heartbeat
    }

    /// Returns the replica's identity.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.cfg.id
    }

    /// Returns what the replica does at present.
    #[must_use]
    pub fn role(&self) -> Role {
        Role::Learner
    }

    /// Returns the leader of the present term, as far as it is known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        None
    }

    /// Returns the present term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the replicas in force: the latest in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the last position of the log.
    #[must_use]
    pub fn last_index(&self) -> Revision {
        self.last_index
    }

    /// Returns the last position known to be committed.
    #[must_use]
    pub fn commit(&self) -> Revision {
        Revision(0)
    }

    /// Returns how far each other replica has got; empty unless this one leads.
    #[must_use]
    pub fn progress(&self) -> Vec<ReplicaProgress> {
        Vec::new()
    }
}
