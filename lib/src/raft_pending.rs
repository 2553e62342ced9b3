//! Proposals that are in the log and whose outcome is not known yet.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::id::Revision;
use crate::id::Term;
use crate::raft_effects::Answer;
use crate::raft_effects::Refusal;
use crate::raft_effects::Token;
use crate::raft_message::LogEntry;

/// Limit on the number of pending proposals.
const MAX_PROPOSALS: usize = 4_096;

/// Limit on the bytes of pending proposals. All of them stay in memory while a majority is
/// slow.
const MAX_BYTES: usize = 64 << 20;

/// Represents the request that proposed an entry.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    token: Token,
    bytes: usize,
}

/// Tracks the requests whose entries are not known to be committed.
///
/// They are kept for a while after leadership is lost, since the next leader may commit the
/// entry, or another one in its place, and so settle the outcome.
///
/// An entry that was replaced in this replica's log may still be committed: the later leader
/// that replaced it may fail before it commits its own entry, and a replica that still has
/// the replaced entry may be elected and commit it. Only a committed entry with a higher
/// term, at the same or a lower index, proves that the entry will not be committed.
#[derive(Debug, Default)]
pub(crate) struct PendingProposals {
    requests: BTreeMap<(Revision, Term), PendingRequest>,
    /// Total size of the entries of `requests`.
    bytes: usize,
    /// Term of the last committed entry.
    committed_term: Term,
    expires: Option<Instant>,
}

impl PendingProposals {
    pub fn insert(&mut self, index: Revision, term: Term, token: Token, bytes: usize) {
        self.bytes += bytes;
        self.requests
            .insert((index, term), PendingRequest { token, bytes });
    }

    /// Returns whether a limit on pending proposals is reached.
    pub fn is_full(&self) -> bool {
        self.requests.len() >= MAX_PROPOSALS || self.bytes >= MAX_BYTES
    }

    /// Answers the requests whose outcome is determined by a newly committed entry.
    pub fn commit(&mut self, entry: &LogEntry, answers: &mut Vec<Answer>) {
        let index = entry.index;
        if let Some(request) = self.requests.remove(&(index, entry.term)) {
            self.bytes -= request.bytes;
            let token = request.token;
            answers.push(Answer::Committed { token, index });
        }
        if entry.term == self.committed_term {
            return;
        }
        // Terms never decrease along the log, so no entry of a lower term will be committed.
        // Entries of the same term are not replaced.
        self.committed_term = entry.term;
        let current = entry.term;
        let bytes = &mut self.bytes;
        self.requests.retain(|(_, term), request| {
            if *term < current {
                *bytes -= request.bytes;
                answers.push(refused(request.token, Refusal::Overwritten));
            }
            *term >= current
        });
    }

    /// Answers the requests whose entries are covered by a snapshot from the leader, from
    /// which their outcome cannot be determined.
    pub fn resolve_covered(&mut self, through: Revision, answers: &mut Vec<Answer>) {
        let kept = self.requests.split_off(&(through.next(), Term(0)));
        let covered = std::mem::replace(&mut self.requests, kept);
        self.refuse_unknown(covered, answers);
    }

    /// Keeps the requests until `deadline`, in case a later leader settles their outcome.
    pub fn leadership_lost(&mut self, deadline: Instant) {
        if !self.requests.is_empty() {
            self.expires = Some(deadline);
        }
    }

    /// Keeps the requests without a deadline, since this replica is the leader again.
    pub fn leadership_won(&mut self) {
        self.expires = None;
    }

    /// Answers all requests with an unknown outcome once the deadline has passed.
    pub fn expire(&mut self, now: Instant, answers: &mut Vec<Answer>) {
        if self.expires.is_none_or(|expires| now < expires) {
            return;
        }
        self.expires = None;
        let expired = std::mem::take(&mut self.requests);
        self.refuse_unknown(expired, answers);
    }

    fn refuse_unknown(
        &mut self,
        unresolved: BTreeMap<(Revision, Term), PendingRequest>,
        answers: &mut Vec<Answer>,
    ) {
        for request in unresolved.into_values() {
            self.bytes -= request.bytes;
            answers.push(refused(request.token, Refusal::LeadershipLost));
        }
    }

    pub fn expires(&self) -> Option<Instant> {
        self.expires
    }
}

fn refused(token: Token, reason: Refusal) -> Answer {
    Answer::Refused { token, reason }
}
