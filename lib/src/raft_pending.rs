//! Proposals that are in the log and whose outcome isn't known yet.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::id::Revision;
use crate::id::Term;
use crate::raft_effects::Answer;
use crate::raft_effects::Refusal;
use crate::raft_effects::Token;
use crate::raft_message::LogEntry;

/// Bound on the proposals that wait for their commitment.
const MAX_PROPOSALS: usize = 4_096;

/// Bound on their bytes. While a majority is slow, everything proposed stays in memory.
const MAX_BYTES: usize = 64 << 20;

/// Holds one request.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    token: Token,
    bytes: usize,
}

/// Holds the requests that wait for an entry, by its position and term.
///
/// They outlive leadership for a while: the next leader may commit an entry or another
/// one in its place within that time, and then its outcome is known after all.
///
/// That a later leader's entry replaced it in this replica's log proves nothing: the
/// later leader may fail before its entry is committed, and a replica that still holds
/// the replaced entry may lead next and commit it. Only a committed entry of a higher
/// term at the position, or before it, proves that the entry is gone.
#[derive(Debug, Default)]
pub(crate) struct PendingProposals {
    requests: BTreeMap<(Revision, Term), PendingRequest>,
    /// Bytes of all that waits.
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

    /// Returns whether so much waits that no more should be taken.
    pub fn is_full(&self) -> bool {
        self.requests.len() >= MAX_PROPOSALS || self.bytes >= MAX_BYTES
    }

    /// Answers the requests whose outcome a newly committed entry proves.
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
        // Terms rise along the log, so no entry of a lower term is committed from here
        // on. Within one term nothing is replaced.
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

    /// Answers the requests whose positions are covered by a snapshot from elsewhere,
    /// which doesn't tell what the positions held.
    pub fn resolve_covered(&mut self, through: Revision, answers: &mut Vec<Answer>) {
        let kept = self.requests.split_off(&(through.next(), Term(0)));
        let covered = std::mem::replace(&mut self.requests, kept);
        self.refuse_unknown(covered, answers);
    }

    /// Lets the requests wait until `deadline` for a later leader.
    pub fn leadership_lost(&mut self, deadline: Instant) {
        if !self.requests.is_empty() {
            self.expires = Some(deadline);
        }
    }

    /// Lets the requests wait without a bound, since the replica leads.
    pub fn leadership_won(&mut self) {
        self.expires = None;
    }

    /// Answers the requests that waited long enough.
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
