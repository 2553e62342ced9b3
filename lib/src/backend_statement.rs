//! What a backend server states about itself in an answer.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::backend_limit::LimitChange;
use crate::backend_load::LoadReport;
use crate::id::BackendName;
use crate::pushback::PushbackNotice;
use crate::rate_limit::LimitNotice;

/// Whether an answer states that its backend server is leaving.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LeavingNotice {
    /// The answer does not state that it is leaving.
    #[default]
    Absent,
    /// The answer states something else than whether it is leaving.
    Unreadable,
    /// The backend server ends soon, and wants no further requests.
    Leaving,
}

impl LeavingNotice {
    /// Reads the values of a header, each `None` if it is not text.
    #[must_use]
    pub fn read<'a>(values: impl Iterator<Item = Option<&'a str>>) -> Self {
        values.fold(Self::Absent, |notice, value| {
            match (notice, value.map(str::trim)) {
                (Self::Leaving, _) | (_, Some("1" | "true")) => Self::Leaving,
                (_, Some("0" | "false")) => notice,
                _ => Self::Unreadable,
            }
        })
    }
}

/// All that one answer states about the backend server that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendStatement {
    /// Its load; `None` if it states none.
    pub load: Option<LoadReport>,
    /// Its rate limit, which applies to all senders together.
    pub limit: LimitNotice,
    /// For how long it wants nothing from the sender that received the answer.
    pub pushback: PushbackNotice,
    /// Whether it is leaving, which applies to all senders.
    pub leaving: LeavingNotice,
}

/// A kind of statement.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StatementKind {
    /// [`BackendStatement::limit`].
    Limit,
    /// [`BackendStatement::pushback`].
    Pushback,
    /// [`BackendStatement::leaving`].
    Leaving,
}

impl StatementKind {
    /// Returns the name of the kind in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Pushback => "pushback",
            Self::Leaving => "leaving",
        }
    }
}

impl BackendStatement {
    /// Returns whether it states something that applies from the arrival of the head on, or that
    /// cannot be read.
    #[must_use]
    pub fn applies_from_head(&self) -> bool {
        self.pushback != PushbackNotice::Absent
            || self.leaving != LeavingNotice::Absent
            || self.limit == LimitNotice::Unreadable
    }

    /// Returns an event for each kind of statement of `backend` that cannot be read and is not among
    /// those `reported` before, and adds it to these.
    pub(crate) fn unreadable_events(
        &self,
        backend: &BackendName,
        reported: &mut BTreeSet<StatementKind>,
    ) -> Vec<StatementEvent> {
        let new = self.unreadable().filter(|kind| reported.insert(*kind));
        new.map(|kind| StatementEvent::Unreadable {
            backend: backend.clone(),
            kind,
        })
        .collect()
    }

    fn unreadable(&self) -> impl Iterator<Item = StatementKind> + use<> {
        let limit = self.limit == LimitNotice::Unreadable;
        let pushback = self.pushback == PushbackNotice::Unreadable;
        let leaving = self.leaving == LeavingNotice::Unreadable;
        let kinds = [
            limit.then_some(StatementKind::Limit),
            pushback.then_some(StatementKind::Pushback),
            leaving.then_some(StatementKind::Leaving),
        ];
        kinds.into_iter().flatten()
    }
}

/// A statement, and when the head of the answer arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedStatement {
    /// What the answer states.
    pub statement: BackendStatement,
    /// When its head arrived.
    pub at: Instant,
}

/// Where a statement was received from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatementSource {
    /// The backend server's answer to this entry VM.
    Answer,
    /// Control, which passed on what another entry VM had received.
    Control,
}

impl StatementSource {
    /// Returns the name of the source in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Control => "control",
        }
    }
}

/// A backend server that is leaving, as processes tell it each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingStatement {
    /// Name that its process announced.
    pub backend: BackendName,
    /// When the process that is leaving started.
    pub born: u64,
}

/// Something to log about what a backend server states.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementEvent {
    /// A rate limit was declared, changed or ended.
    Limit(LimitChange),
    /// A backend server asked this sender for a time without requests.
    Paused {
        /// Backend server that refused a request.
        backend: BackendName,
        /// The time that it asked for.
        asked: Duration,
    },
    /// A backend server refused several requests in a row although it has room.
    Refusing {
        /// Backend server that is avoided until it runs requests.
        backend: BackendName,
    },
    /// A backend server that was paused runs requests again.
    Resumed {
        /// Backend server whose pause has ended.
        backend: BackendName,
        /// Time since it first asked.
        paused: Duration,
        /// Number of requests that were not sent there meanwhile.
        passed_over: u32,
    },
    /// A backend server is known to leave.
    Leaving {
        /// Backend server that gets no further requests.
        backend: BackendName,
        /// Where its statement was received from.
        source: StatementSource,
    },
    /// An answer of this backend server stated something that cannot be read; reported once for
    /// each kind.
    Unreadable {
        /// Backend server that sent the answer.
        backend: BackendName,
        /// What cannot be read.
        kind: StatementKind,
    },
}
