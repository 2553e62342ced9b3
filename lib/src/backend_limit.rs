//! The rate limit that a backend server declares, as known to one sender.
//!
//! A statement that tightens the limit applies at once. One that relaxes it applies only if its
//! request was sent after the previous statement had arrived: answers may overtake each other.

use std::time::Duration;
use std::time::Instant;

use crate::id::BackendName;
use crate::rate_limit::LimitNotice;
use crate::rate_limit::LimitReport;
use crate::rate_limit::RequestRate;

/// Where a statement was received from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitSource {
    /// The backend server's answer to this entry VM.
    Answer,
}

impl LimitSource {
    /// Returns the name of the source in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
        }
    }
}

/// A change of what is known about a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The backend server.
    pub backend: BackendName,
    /// The new limit; `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// The limit until now.
    pub before: Option<RequestRate>,
    /// Where the statement was received from.
    pub source: LimitSource,
    /// Time since an entry VM received the statement.
    pub age: Duration,
}

/// Something to log about limits.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitEvent {
    /// A limit was declared, changed or ended.
    Changed(LimitChange),
    /// An answer of this backend server stated a limit that is not a valid rate.
    Unreadable(BackendName),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Statement {
    pub rate: Option<RequestRate>,
    /// When an entry VM received it.
    pub at: Instant,
}

/// The limit of one backend server.
#[derive(Debug, Default)]
pub(crate) struct BackendLimit {
    latest: Option<Statement>,
    /// Whether an unreadable limit has been reported.
    unreadable: bool,
}

impl BackendLimit {
    /// Returns the latest statement.
    pub const fn latest(&self) -> Option<Statement> {
        self.latest
    }

    /// Returns the limit in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.latest.and_then(|statement| statement.rate)
    }

    /// Applies what an answer states to a request sent at `sent_at`. Only an answer that
    /// `may_lift` the limit ends it by stating none. Returns the limit until now if it changed.
    pub fn note_answer(
        &mut self,
        sent_at: Instant,
        report: LimitReport,
        may_lift: bool,
    ) -> Option<Option<RequestRate>> {
        let rate = match report.notice {
            LimitNotice::Limited(rate) => Some(rate),
            LimitNotice::Absent if may_lift => None,
            LimitNotice::Absent | LimitNotice::Unreadable => return None,
        };
        let before = self.latest;
        if before.is_none() && rate.is_none() {
            return None;
        }
        let known = before.and_then(|statement| statement.rate);
        let is_newer = before.is_none_or(|statement| report.at >= statement.at);
        let was_sent_after = before.is_none_or(|statement| sent_at >= statement.at);
        if !is_newer || (is_relaxed(known, rate) && !was_sent_after) {
            return None;
        }
        self.latest = Some(Statement {
            rate,
            at: report.at,
        });
        (known != rate).then_some(known)
    }

    /// Records an unreadable limit; returns whether it is the first one.
    pub fn note_unreadable(&mut self) -> bool {
        !std::mem::replace(&mut self.unreadable, true)
    }
}

/// Returns whether `rate` allows more than `known`; without a rate, there is no limit.
fn is_relaxed(known: Option<RequestRate>, rate: Option<RequestRate>) -> bool {
    match (known, rate) {
        (None, _) => false,
        (Some(_), None) => true,
        (Some(known), Some(rate)) => rate > known,
    }
}
