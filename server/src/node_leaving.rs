//! The planned stop of a control replica: hand over, answer what waits, end.

use std::time::Duration;
use std::time::Instant;

use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_effects::Refusal;
use heatherring_lib::raft_effects::Role;

use crate::control_node::ControlNode;
use crate::data_folder::Disk;
use crate::node_pending::Pending;

/// Says how far a planned stop has got.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leaving {
    deadline: Instant,
    ask_again_at: Instant,
}

impl Leaving {
    /// Returns when the hand-over is asked for again.
    pub(crate) const fn next_wake(&self) -> Instant {
        self.ask_again_at
    }
}

impl<D: Disk> ControlNode<D> {
    pub(crate) fn begin_leaving(&mut self) {
        let now = self.clock.now();
        self.leaving = Some(Leaving {
            deadline: now + self.leave_within(),
            ask_again_at: now,
        });
    }

    fn leave_within(&self) -> Duration {
        self.cfg.timing.election_max() * 3
    }

    /// Asks for the hand-over, again and again while this replica still leads.
    pub(crate) fn continue_leaving(&mut self) {
        let now = self.clock.now();
        let Some(leaving) = &mut self.leaving else {
            return;
        };
        if now < leaving.ask_again_at {
            return;
        }
        leaving.ask_again_at = now + self.cfg.timing.election_min();
        if self.raft.role() == Role::Leader {
            self.step(Input::StepDown);
        }
    }

    pub(crate) fn has_left(&self) -> bool {
        let Some(leaving) = &self.leaving else {
            return false;
        };
        let alone = self.raft.membership().voters.len() <= 1;
        let handed_over = self.raft.role() != Role::Leader || alone;
        let answered = !self.pending.values().any(Pending::is_awaited);
        (handed_over && answered) || self.clock.now() >= leaving.deadline
    }

    /// Lets go of requests that still wait, so that askers turn to another replica.
    pub(crate) fn release_all(&mut self) {
        let leader = self.leader_link();
        self.sessions.stop(leader.as_deref());
        let reason = Refusal::HandingOver;
        for waiter in std::mem::take(&mut self.waiting) {
            self.refuse_waiter(waiter, &reason);
        }
        for (_, waiters) in std::mem::take(&mut self.parked) {
            for waiter in waiters {
                self.refuse_waiter(waiter, &reason);
            }
        }
    }
}
