//! Proposals that are in the log and whose outcome isn't known yet.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::id::Revision;
use crate::id::Term;
use crate::raft_effects::Answer;
use crate::raft_effects::Refusal;
use crate::raft_effects::Token;
use crate::raft_message::LogEntry;

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
    tokens: BTreeMap<(Revision, Term), Token>,
    /// Term of the last committed entry.
    committed_term: Term,
    expires: Option<Instant>,
}

impl PendingProposals {
    pub fn insert(&mut self, index: Revision, term: Term, token: Token) {
        self.tokens.insert((index, term), token);
    }

    pub fn len(&self) -> usize {
        self.tokens.len()
    }

    /// Answers the requests whose outcome a newly committed entry proves.
    pub fn commit(&mut self, entry: &LogEntry, answers: &mut Vec<Answer>) {
        let index = entry.index;
        if let Some(token) = self.tokens.remove(&(index, entry.term)) {
            answers.push(Answer::Committed { token, index });
        }
        if entry.term == self.committed_term {
            return;
        }
        // Terms rise along the log, so no entry of a lower term is committed from here
        // on. Within one term nothing is replaced.
        self.committed_term = entry.term;
        let current = entry.term;
        self.tokens.retain(|(_, term), token| {
            if *term < current {
                answers.push(refused(*token, Refusal::Overwritten));
            }
            *term >= current
        });
    }

    /// Answers the requests whose positions are covered by a snapshot from elsewhere,
    /// which doesn't tell what the positions held.
    pub fn cover(&mut self, through: Revision, answers: &mut Vec<Answer>) {
        let kept = self.tokens.split_off(&(through.next(), Term(0)));
        let covered = std::mem::replace(&mut self.tokens, kept);
        refuse_unknown(covered, answers);
    }

    /// Lets the requests wait until `deadline` for a later leader.
    pub fn leadership_lost(&mut self, deadline: Instant) {
        if !self.tokens.is_empty() {
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
        let expired = std::mem::take(&mut self.tokens);
        refuse_unknown(expired, answers);
    }

    pub fn expires(&self) -> Option<Instant> {
        self.expires
    }
}

fn refuse_unknown(tokens: BTreeMap<(Revision, Term), Token>, answers: &mut Vec<Answer>) {
    let tokens = tokens.into_values();
    answers.extend(tokens.map(|token| refused(token, Refusal::LeadershipLost)));
}

fn refused(token: Token, reason: Refusal) -> Answer {
    Answer::Refused { token, reason }
}
