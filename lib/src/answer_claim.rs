//! Decides what an answer proves about its request.
//!
//! A statement that a request was not run counts only if it names the request. Whatever else
//! arrives on a connection may have been written before the request was read.

use crate::outcome::Answered;
use crate::outcome::Attempt;
use crate::outcome::Identified;
use crate::outcome::Paired;
use crate::outcome::promises_not_run;

/// What the head of an answer states.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerMeaning {
    /// The backend server ran the request; this is its answer.
    Answer,
    /// The backend server reports that it did not run the request that the answer names.
    NotRun,
    /// Another backend server has this address, and did not run the request that the answer names.
    OtherBackend,
    /// The answer does not come from a backend server.
    Foreign,
}

/// Who proved that a request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusedBy {
    /// The chosen backend server.
    Chosen,
    /// Another backend server, which has the address now.
    Other,
}

/// What an answer proves about its request.
#[derive(Debug)]
pub enum Claim {
    /// It is the answer to the request.
    Answer(Attempt<Answered>),
    /// The request was not run.
    Refused(Attempt<Identified>, RefusedBy),
    /// It states that a request was not run, but not which one.
    Unproved(Attempt<Answered>),
    /// It does not come from a backend server.
    Foreign(Attempt<Answered>),
}

impl Claim {
    /// Decides what an answer with the status `status` and this meaning proves.
    #[must_use]
    pub fn new(paired: Paired, meaning: AnswerMeaning, status: u16) -> Self {
        match (meaning, paired) {
            (AnswerMeaning::Answer, paired) => Self::Answer(paired.into_answered()),
            (AnswerMeaning::Foreign, paired) => Self::Foreign(paired.into_answered()),
            (AnswerMeaning::NotRun, Paired::Named(attempt)) => {
                Self::Refused(attempt, RefusedBy::Chosen)
            }
            (AnswerMeaning::OtherBackend, Paired::Named(attempt)) => {
                Self::Refused(attempt, RefusedBy::Other)
            }
            // Such a status promises nothing, so it can be passed on.
            (AnswerMeaning::NotRun, Paired::Positional(attempt)) if !promises_not_run(status) => {
                Self::Answer(attempt)
            }
            (AnswerMeaning::NotRun | AnswerMeaning::OtherBackend, Paired::Positional(attempt)) => {
                Self::Unproved(attempt)
            }
        }
    }

    /// Returns whether what the answer states about the chosen backend server counts.
    #[must_use]
    pub const fn is_from_chosen(&self) -> bool {
        matches!(self, Self::Answer(_) | Self::Refused(_, RefusedBy::Chosen))
    }
}
