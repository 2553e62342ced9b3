//! Answers of a control replica to pending requests, once Raft has committed or refused them.
//! Reads are answered from the applied state.

use std::collections::BTreeMap;

use heatherring_lib::control_state::Response;
use heatherring_lib::id::Revision;
use heatherring_lib::raft_effects::Answer;
use heatherring_lib::raft_effects::Refusal;
use heatherring_lib::raft_effects::Token;

use crate::control_node::ControlNode;
use crate::data_folder::Disk;
use crate::leader_sessions::HeldSync;
use crate::leader_sessions::Verdict;
use crate::node_pending::Pending;
use crate::node_pending::Waiter;
use crate::node_pending::key_of;
use crate::node_request::Committed;
use crate::node_request::LeaderLink;
use crate::node_request::NodeError;
use crate::proto::StatusReply;
use crate::status_report::status_reply;

impl<D: Disk> ControlNode<D> {
    pub(crate) fn answer(&mut self, answer: Answer, responses: &mut BTreeMap<Revision, Response>) {
        match answer {
            Answer::Committed { token, index } => {
                self.committed(token, index, responses.remove(&index));
            }
            Answer::ReadReady { token, index } => self.passed_barrier(token, index),
            Answer::Refused { token, reason } => self.refused(token, &reason),
        }
    }

    fn committed(&mut self, token: Token, revision: Revision, response: Option<Response>) {
        let Some(pending) = self.pending.remove(key_of(token)) else {
            return;
        };
        let response = response.unwrap_or(Response::Done);
        // Sending fails only if the requester has stopped waiting.
        match pending {
            Pending::Command(reply) => {
                let _ = reply.send(Ok(Committed { revision, response }));
            }
            Pending::Membership(reply) => {
                let _ = reply.send(Ok(revision));
            }
            Pending::Session(held) => self.sessions.committed(held, &response, &self.state),
            Pending::Barrier(_) | Pending::Unattended => {}
        }
    }

    fn refused(&mut self, token: Token, reason: &Refusal) {
        let Some(pending) = self.pending.remove(key_of(token)) else {
            return;
        };
        match pending {
            Pending::Command(reply) => {
                let _ = reply.send(Err(self.error(reason)));
            }
            Pending::Membership(reply) => {
                let _ = reply.send(Err(self.error(reason)));
            }
            Pending::Session(held) => held.not_current(self.leader_link()),
            Pending::Barrier(waiters) => {
                self.barrier_in_flight = false;
                for waiter in waiters {
                    self.refuse_waiter(waiter, reason);
                }
            }
            Pending::Unattended => {}
        }
    }

    pub(crate) fn refuse_waiter(&mut self, waiter: Waiter, reason: &Refusal) {
        match waiter {
            Waiter::Read(read) => read(Err(self.error(reason))),
            Waiter::Status(reply) => {
                let status = self.status(false);
                let _ = reply.send((status, self.leader_link()));
            }
            Waiter::Sync(held) => held.not_current(self.leader_link()),
            Waiter::Batch(batch) => batch.not_current(self.leader_link()),
        }
    }

    fn error(&mut self, reason: &Refusal) -> NodeError {
        NodeError::Refused {
            reason: reason.clone(),
            leader: self.leader_link(),
        }
    }

    pub(crate) fn leader_link(&mut self) -> Option<Box<LeaderLink>> {
        let leader = self.raft.leader()?;
        let link = self.links.leader_link(self.raft.membership(), leader)?;
        Some(Box::new(link))
    }

    fn passed_barrier(&mut self, token: Token, index: Revision) {
        let Some(Pending::Barrier(waiters)) = self.pending.remove(key_of(token)) else {
            return;
        };
        self.barrier_in_flight = false;
        self.awaiting_apply.push((index, waiters));
    }

    pub(crate) fn serve_applied(&mut self) {
        let applied = self.state.revision();
        for (index, waiters) in std::mem::take(&mut self.awaiting_apply) {
            if index > applied {
                self.awaiting_apply.push((index, waiters));
                continue;
            }
            for waiter in waiters {
                self.serve(waiter);
            }
        }
    }

    fn serve(&mut self, waiter: Waiter) {
        match waiter {
            Waiter::Read(read) => read(Ok(&self.state)),
            Waiter::Status(reply) => {
                let status = self.status(true);
                let _ = reply.send((status, None));
            }
            Waiter::Sync(held) => self.serve_sync(held),
            Waiter::Batch(batch) => self.sessions.admit_batch(batch, &self.state),
        }
    }

    fn serve_sync(&mut self, held: HeldSync) {
        if self.is_opening(&held) {
            // Whether this one is overtaken shows only once the other one is committed.
            held.not_current(None);
            return;
        }
        match self.sessions.admit(held, &self.state) {
            Verdict::Done => {}
            Verdict::Propose(command, held) => self.propose(*command, Pending::Session(held)),
        }
    }

    /// Returns whether a request would open a session of an entry VM for which one is being opened.
    fn is_opening(&self, held: &HeldSync) -> bool {
        let Some(vm) = held.opens_for() else {
            return false;
        };
        self.pending.values().any(
            |pending| matches!(pending, Pending::Session(other) if other.opens_for() == Some(vm)),
        )
    }

    fn status(&self, current: bool) -> StatusReply {
        status_reply(
            self.identity.cluster,
            &self.raft,
            &self.state,
            self.sessions.tracker(),
            self.clock.now(),
            current,
        )
    }
}
