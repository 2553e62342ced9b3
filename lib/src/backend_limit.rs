//! The rate limit that a backend server declares, as known to one sender.
//!
//! The limit applies to all senders together, so it is divided among them. Most of it goes to the
//! senders in the region of the backend server, because objects are served in the region of their
//! callers if possible; the rest keeps the other senders informed about the limit. Where there are
//! more senders than requests to divide, the selection changes over time.
//!
//! A statement that tightens the limit applies at once. One that relaxes it applies only if its
//! request was sent after the previous statement had arrived: answers may overtake each other.

use std::time::Duration;
use std::time::Instant;

use crate::affinity::MemberHash;
use crate::affinity::ObjectHash;
use crate::backend_statement::StatementSource;
use crate::id::BackendName;
use crate::rate_limit::LimitNotice;
use crate::rate_limit::LimitObservation;
use crate::rate_limit::RequestRate;
use crate::sender_share;

/// Share of the limit that belongs to the senders in the region of the backend server.
const LOCAL_SHARE: f64 = 0.75;

/// Time in which each sender with a share may send one request, if not all senders have a share.
const TURN: Duration = Duration::from_secs(2);

/// Time for which the same senders have a share.
const ROTATION: Duration = Duration::from_secs(10);

/// Largest [`tolerance`]. In sum, senders exceed the limit by at most as many requests as it allows
/// in this time.
const TOLERANCE: Duration = Duration::from_millis(250);

/// Relative change of a limit from which on it is reported and logged.
const MATERIAL_CHANGE: f64 = 0.1;

/// Lowest rate at which requests are sent, per second. Only an answer can state that a limit has
/// ended.
pub(crate) const MIN_RATE: f64 = 0.1;

/// A sender among which a limit is divided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sender {
    /// Hash of the entry VM.
    pub vm: MemberHash,
    /// Hash of its region.
    pub region: MemberHash,
}

/// A change of what is known about a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Backend server that declared it.
    pub backend: BackendName,
    /// The new limit; `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// The limit until now.
    pub before: Option<RequestRate>,
    /// Where the statement was received from.
    pub source: StatementSource,
    /// Time since an entry VM received the statement.
    pub age: Duration,
    /// Minimum interval between two requests of this entry VM; `None` without a share or a limit.
    pub interval: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Statement {
    pub rate: Option<RequestRate>,
    /// When an entry VM received it.
    pub at: Instant,
    pub source: StatementSource,
}

/// The limit of one backend server.
#[derive(Debug, Default)]
pub(crate) struct BackendLimit {
    latest: Option<Statement>,
    /// Since when there has been a limit, whatever its figure.
    since: Option<Instant>,
    /// The limit that control knows from this entry VM, or told it.
    shared: Option<RequestRate>,
    /// The limit when a change was last logged.
    logged: Option<RequestRate>,
}

impl BackendLimit {
    /// Returns since when there has been a limit; `now` without one.
    pub fn since(&self, now: Instant) -> Instant {
        self.since.unwrap_or(now)
    }

    /// Returns the limit in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.latest.and_then(|statement| statement.rate)
    }

    /// Applies what an answer that arrived at `at` states to a request sent at `sent_at`. Only an
    /// answer that `may_lift` the limit ends it by stating none. Returns whether the limit changed.
    pub fn note_answer(
        &mut self,
        sent_at: Instant,
        at: Instant,
        notice: LimitNotice,
        may_lift: bool,
    ) -> bool {
        let rate = match notice {
            LimitNotice::Limited(rate) => Some(rate),
            LimitNotice::Absent if may_lift => None,
            LimitNotice::Absent | LimitNotice::Unreadable => return false,
        };
        let before = self.latest;
        if before.is_none() && rate.is_none() {
            return false;
        }
        let known = before.and_then(|statement| statement.rate);
        let is_newer = before.is_none_or(|statement| at >= statement.at);
        let was_sent_after = before.is_none_or(|statement| sent_at >= statement.at);
        if !is_newer || (is_relaxed(known, rate) && !was_sent_after) {
            return false;
        }
        self.set(Statement {
            rate,
            at,
            source: StatementSource::Answer,
        });
        known != rate
    }

    /// Applies an observation that control passed on. Returns whether the limit changed.
    pub fn note_shared(&mut self, observed: &LimitObservation) -> bool {
        let known = self.rate();
        let LimitObservation { rate, at, .. } = *observed;
        self.shared = rate;
        if self.latest.is_none_or(|latest| latest.at < at) {
            self.set(Statement {
                rate,
                at,
                source: StatementSource::Control,
            });
        }
        if self.rate().is_some() && rate.is_some() {
            self.since = Some(observed.since);
        }
        known != self.rate()
    }

    /// Returns the latest statement if it came from the backend server itself and control knows
    /// another limit, or `all` statements are to be reported.
    pub fn to_report(&self, all: bool) -> Option<Statement> {
        let latest = self.latest?;
        let is_due = all || is_material(self.shared, latest.rate);
        (latest.source == StatementSource::Answer && is_due).then_some(latest)
    }

    /// Records that control has been told `rate`.
    pub const fn note_reported(&mut self, rate: Option<RequestRate>) {
        self.shared = rate;
    }

    /// Returns the change since the limit was `before` if it has to be logged, and records it as
    /// logged. `interval` is that between two requests of this entry VM.
    pub fn take_change(
        &mut self,
        now: Instant,
        backend: &BackendName,
        before: Option<RequestRate>,
        interval: Option<Duration>,
    ) -> Option<LimitChange> {
        let latest = self.latest?;
        if !is_material(self.logged, latest.rate) {
            return None;
        }
        self.logged = latest.rate;
        Some(LimitChange {
            backend: backend.clone(),
            rate: latest.rate,
            before,
            source: latest.source,
            age: now.saturating_duration_since(latest.at),
            interval,
        })
    }

    fn set(&mut self, statement: Statement) {
        self.latest = Some(statement);
        self.since = statement.rate.and(self.since.or(Some(statement.at)));
    }
}

/// Returns whether a change is reported and logged. Some backend servers adjust their limits with
/// every answer.
fn is_material(before: Option<RequestRate>, rate: Option<RequestRate>) -> bool {
    let (Some(before), Some(rate)) = (before, rate) else {
        return before != rate;
    };
    let (before, rate) = (before.per_second(), rate.per_second());
    (rate - before).abs() > before.max(rate) * MATERIAL_CHANGE
}

/// Returns whether `rate` allows more than `known`; without a rate, there is no limit.
fn is_relaxed(known: Option<RequestRate>, rate: Option<RequestRate>) -> bool {
    match (known, rate) {
        (None, _) => false,
        (Some(_), None) => true,
        (Some(known), Some(rate)) => rate > known,
    }
}

/// Returns the minimum interval between two requests of `own` to a backend server in `region`, or
/// `None` if it has no share of the limit. `age` is the time since the limit is known; it selects
/// among the senders.
#[must_use]
pub fn interval(
    backend: &BackendName,
    region: MemberHash,
    own: Sender,
    senders: &[Sender],
    rate: RequestRate,
    age: Duration,
) -> Option<Duration> {
    let is_local = own.region == region;
    let peers = senders
        .iter()
        .filter(|sender| (sender.region == region) == is_local)
        .map(|sender| sender.vm);
    let share = if peers.clone().count() == senders.len() {
        1.0
    } else if is_local {
        LOCAL_SHARE
    } else {
        1.0 - LOCAL_SHARE
    };
    let rate = rate.per_second().max(MIN_RATE) * share;
    let turn = age.as_secs() / ROTATION.as_secs();
    let subject = ObjectHash::of(&format!("limit-{turn}"), backend.as_str());
    sender_share::interval(subject, own.vm, peers, rate, TURN)
}

/// Returns how much earlier than `interval` a sender may send a request if the one before was late.
#[must_use]
pub fn tolerance(interval: Duration) -> Duration {
    interval.min(TOLERANCE)
}
