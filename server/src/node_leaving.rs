//! The planned stop of a control replica: it hands leadership over, answers pending requests and
//! ends.

use std::time::Duration;
use std::time::Instant;

use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_effects::Refusal;
use heatherring_lib::raft_effects::Role;

use crate::control_node::ControlNode;
use crate::control_node::VoterPolicy;
use crate::data_folder::Disk;
use crate::node_pending::Pending;

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leaving {
    deadline: Instant,
    /// Until when this replica waits for a learner to take its seat.
    seat_deadline: Instant,
    retry_at: Instant,
}

impl Leaving {
    /// Returns when the handover is attempted again.
    pub(crate) const fn next_wake(&self) -> Instant {
        self.retry_at
    }
}

impl<D: Disk> ControlNode<D> {
    pub(crate) fn begin_leaving(&mut self) {
        let now = self.clock.now();
        self.leaving = Some(Leaving {
            deadline: now + self.leave_timeout(),
            seat_deadline: now + self.cfg.timing.election_max(),
            retry_at: now,
        });
        self.step(Input::Leaving);
    }

    fn leave_timeout(&self) -> Duration {
        self.cfg.timing.election_max() * 3
    }

    /// Attempts the handover, repeatedly while this replica still leads.
    pub(crate) fn continue_leaving(&mut self) {
        let now = self.clock.now();
        let Some(leaving) = &mut self.leaving else {
            return;
        };
        if now < leaving.retry_at {
            return;
        }
        leaving.retry_at = now + self.cfg.timing.election_min();
        if self.raft.role() == Role::Leader {
            self.step(Input::StepDown);
        }
    }

    /// Returns whether the task may end: leadership and the seat are handed over and all requests are
    /// answered, or the time for that is up. A sole voter has nobody to hand over to.
    pub(crate) fn has_left(&self) -> bool {
        let Some(leaving) = &self.leaving else {
            return false;
        };
        let is_sole_voter = self.raft.membership().voters.len() <= 1;
        let handed_over = self.raft.role() != Role::Leader || is_sole_voter;
        let answered = !self.pending.values().any(Pending::is_awaited);
        let now = self.clock.now();
        let seat_given_up = now >= leaving.seat_deadline || !self.may_give_seat_up();
        (handed_over && seat_given_up && answered) || now >= leaving.deadline
    }

    /// Returns whether this replica votes and a learner may take its seat. A seat that stays with a
    /// replica that has stopped is dead until the leader has noticed its silence.
    fn may_give_seat_up(&self) -> bool {
        let repairs = matches!(self.cfg.voters, VoterPolicy::SelfRepair { .. });
        let membership = self.raft.membership();
        let votes = membership.voters.contains_key(&self.raft.id());
        repairs && votes && !membership.learners.is_empty()
    }

    /// Refuses requests that still wait, so that their senders turn to another replica.
    pub(crate) fn refuse_all_waiters(&mut self) {
        let leader = self.leader_link();
        self.sessions.stop(leader.as_deref());
        let reason = Refusal::HandingOver;
        for waiter in std::mem::take(&mut self.waiting) {
            self.refuse_waiter(waiter, &reason);
        }
        for (_, waiters) in std::mem::take(&mut self.awaiting_apply) {
            for waiter in waiters {
                self.refuse_waiter(waiter, &reason);
            }
        }
    }
}
