//! Invariants that must hold after every step, under any faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::Term;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_config::DurableState;
use heatherring_lib::raft_effects::Answer;
use heatherring_lib::raft_effects::Role;
use heatherring_lib::raft_effects::Token;
use heatherring_lib::raft_message::LogEntry;
use heatherring_lib::raft_message::LogPayload;
use heatherring_lib::raft_message::LogWrite;
use heatherring_lib::raft_message::Membership;

use super::StateMachine;
use super::token_of_command;

/// Records what the replicas have done so far and checks new events against it.
#[derive(Debug, Default)]
pub struct Checker {
    leaders: BTreeMap<Term, ReplicaId>,
    /// Entries by index and term, each with the term of the entry before it.
    entries: BTreeMap<(Revision, Term), (Term, LogEntry)>,
    /// Entries applied by any replica.
    pub committed: BTreeMap<Revision, LogEntry>,
    committed_tokens: BTreeSet<u64>,
    absent_tokens: BTreeSet<u64>,
    /// Lowest index at which each read may be served.
    reads: BTreeMap<Token, Revision>,
    /// Number of elections won.
    pub elections: u64,
}

impl Checker {
    /// Checks that there is at most one leader per term, and that a new leader has all
    /// committed entries.
    pub fn on_role(&mut self, raft: &Raft, written: &DurableState) {
        if raft.role() != Role::Leader {
            return;
        }
        let known = self.leaders.insert(raft.term(), raft.id());
        match known {
            Some(other) => assert_eq!(other, raft.id(), "two leaders in {}", raft.term()),
            None => self.on_elected(raft, written),
        }
    }

    fn on_elected(&mut self, raft: &Raft, written: &DurableState) {
        self.elections += 1;
        let compacted = written.snapshot.as_ref().map(|snapshot| snapshot.index);
        let mut held = written.entries.iter();
        for (index, entry) in self.committed.range(compacted.unwrap_or_default().next()..) {
            let here = held.next();
            assert_eq!(
                here,
                Some(entry),
                "leader {} of {} lacks committed {index}",
                raft.id(),
                raft.term()
            );
        }
    }

    /// Checks the log matching property, that terms do not decrease, that a replica votes
    /// once per term, and that memberships change by one voter at a time.
    pub fn on_write(&mut self, replica: ReplicaId, before: &DurableState, write: &LogWrite) {
        match write {
            LogWrite::Append(entry) => self.on_append(before, entry),
            LogWrite::Truncate(from) => {
                let last_committed = before.snapshot.as_ref().map(|snapshot| snapshot.index);
                assert!(
                    *from > last_committed.unwrap_or_default(),
                    "{replica} truncates entries that its snapshot covers"
                );
            }
            LogWrite::HardState(hard_state) => {
                let old = before.hard_state;
                assert!(hard_state.term >= old.term, "{replica} decreases its term");
                let changed = hard_state.term == old.term
                    && old.voted_for.is_some()
                    && old.voted_for != hard_state.voted_for;
                assert!(!changed, "{replica} votes twice in {}", old.term);
            }
            LogWrite::Snapshot(_) => {}
        }
    }

    fn on_append(&mut self, before: &DurableState, entry: &LogEntry) {
        let of_snapshot = before.snapshot.as_ref().map(|snapshot| snapshot.term);
        let of_entries = before.entries.last().map(|entry| entry.term);
        let previous_term = of_entries.or(of_snapshot).unwrap_or_default();
        let known = self
            .entries
            .entry((entry.index, entry.term))
            .or_insert_with(|| (previous_term, entry.clone()));
        assert_eq!(known, &(previous_term, entry.clone()), "logs don't match");
        if let LogPayload::Membership(membership) = &entry.payload {
            check_single_step(&before.membership(), membership);
        }
    }

    /// Checks that all replicas apply the same entry at an index, and that no command is
    /// committed that was refused as absent.
    pub fn on_applied(&mut self, entry: &LogEntry) {
        let known = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        assert_eq!(known, entry, "another entry was applied at {}", entry.index);
        if let LogPayload::Command(command) = &entry.payload {
            let token = token_of_command(command);
            assert!(
                !self.absent_tokens.contains(&token),
                "command {token} is committed after it was refused as absent"
            );
            self.committed_tokens.insert(token);
        }
    }

    /// Checks that a restored state equals that of the committed log up to the same index.
    pub fn on_restored(&self, state_machine: &StateMachine) {
        let entries = self.committed.range(..=state_machine.applied);
        let mut tokens = Vec::new();
        for (_, entry) in entries {
            if let LogPayload::Command(command) = &entry.payload {
                tokens.push(token_of_command(command));
            }
        }
        assert_eq!(state_machine.tokens, tokens, "restored state differs");
    }

    /// Records the highest index committed on any replica when a read starts.
    pub fn on_read(&mut self, token: Token) {
        self.reads.insert(token, self.last_committed());
    }

    pub fn last_committed(&self) -> Revision {
        let last = self.committed.last_key_value();
        last.map_or(Revision(0), |(index, _)| *index)
    }

    /// Checks an answer against what was committed, refused and read so far.
    pub fn on_answer(&mut self, answer: &Answer) {
        match answer {
            Answer::Committed { index, .. } => {
                assert!(
                    self.committed.contains_key(index),
                    "{index} is answered as committed before it is applied"
                );
            }
            Answer::ReadReady { token, index } => {
                let floor = self.reads[token];
                assert!(*index >= floor, "read at {index}, which is below {floor}");
            }
            Answer::Refused { token, reason } if reason.is_proved_absent() => {
                assert!(
                    !self.committed_tokens.contains(&token.0),
                    "command {token:?} is committed and refused as absent: {reason}"
                );
                self.absent_tokens.insert(token.0);
            }
            Answer::Refused { .. } => {}
        }
    }
}

fn check_single_step(before: &Membership, after: &Membership) {
    let before: BTreeSet<_> = before.voters.keys().collect();
    let after: BTreeSet<_> = after.voters.keys().collect();
    let changed = before.symmetric_difference(&after).count();
    assert!(changed <= 1, "{before:?} becomes {after:?} in one step");
}
