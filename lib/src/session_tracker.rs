//! The leader's account of sessions: when each lapses, and what each has applied.
//!
//! The account is volatile. A new leader starts it afresh with [`SessionTracker::reset`]
//! and thereby gives every session a full lease and margin once more: it can't know
//! what its predecessor granted a moment ago.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::control_state::ControlState;
use crate::id::Revision;
use crate::id::SessionId;

/// Tells whether a renewal may be granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub enum Renewal {
    /// The session's lease may be extended.
    Granted,
    /// The session is unknown, or its lapse was decided; nothing may be granted.
    Refused,
}

/// Accounts for one session.
#[derive(Clone, Copy, Debug)]
struct Tracked {
    /// When lease and margin run out.
    lapses_at: Instant,
    /// The highest revision that the entry said it has applied.
    acknowledged: Revision,
    /// When the lapse is to be proposed again, once it was proposed.
    propose_again_at: Option<Instant>,
}

impl Tracked {
    const fn next_wake(&self) -> Instant {
        match self.propose_again_at {
            Some(at) => at,
            None => self.lapses_at,
        }
    }
}

/// Accounts for all sessions, at the leader.
#[derive(Clone, Debug)]
pub struct SessionTracker {
    lease: Duration,
    margin: Duration,
    sessions: BTreeMap<SessionId, Tracked>,
}

impl SessionTracker {
    /// Creates an account without sessions.
    ///
    /// `lease` is what entries are granted, counted from the moment at which they sent
    /// their request. `margin` covers the difference in rate of the two clocks over
    /// one lease.
    #[must_use]
    pub const fn new(lease: Duration, margin: Duration) -> Self {
        Self {
            lease,
            margin,
            sessions: BTreeMap::new(),
        }
    }

    /// Returns the lease that a granted renewal carries.
    #[must_use]
    pub const fn lease(&self) -> Duration {
        self.lease
    }

    /// Starts afresh with the open `sessions` at the beginning of a leadership.
    ///
    /// To be called once the leader has applied its own first log entry. Until then its
    /// log may hold a lapse that its predecessor proposed and that isn't applied yet;
    /// granting a renewal to that session would let a lapsed entry go on.
    pub fn reset(&mut self, now: Instant, sessions: impl IntoIterator<Item = SessionId>) {
        self.sessions.clear();
        for session in sessions {
            self.opened(session, now);
        }
    }

    /// Notes that `session` was opened; its lease starts at `now`.
    pub fn opened(&mut self, session: SessionId, now: Instant) {
        let tracked = Tracked {
            lapses_at: self.lapses_at(now),
            acknowledged: Revision::default(),
            propose_again_at: None,
        };
        self.sessions.insert(session, tracked);
    }

    /// Notes that `session` has lapsed or closed.
    pub fn removed(&mut self, session: SessionId) {
        self.sessions.remove(&session);
    }

    /// Decides on a renewal whose request arrived at `received_at`, and notes that the
    /// entry has applied `applied`.
    ///
    /// To be called when the read barrier that began after `received_at` is passed.
    /// Once the lapse of a session was handed out by [`Self::lapsed`] it is never
    /// renewed again, whatever became of the proposal: it may be committed any time.
    pub fn renewed(
        &mut self,
        session: SessionId,
        received_at: Instant,
        applied: Revision,
    ) -> Renewal {
        let lapses_at = self.lapses_at(received_at);
        let Some(tracked) = self.sessions.get_mut(&session) else {
            return Renewal::Refused;
        };
        if tracked.propose_again_at.is_some() {
            return Renewal::Refused;
        }
        // Requests may finish in another order than they arrived in.
        tracked.lapses_at = tracked.lapses_at.max(lapses_at);
        tracked.acknowledged = tracked.acknowledged.max(applied);
        Renewal::Granted
    }

    fn lapses_at(&self, from: Instant) -> Instant {
        from + self.lease + self.margin
    }

    /// Returns the sessions whose lapse is to be proposed now.
    ///
    /// A session whose lapse doesn't get committed is returned again after a lease.
    pub fn lapsed(&mut self, now: Instant) -> Vec<SessionId> {
        let again = now + self.lease;
        let mut lapsed = Vec::new();
        for (session, tracked) in &mut self.sessions {
            if tracked.next_wake() <= now {
                tracked.propose_again_at = Some(again);
                lapsed.push(*session);
            }
        }
        lapsed
    }

    /// Returns when [`Self::lapsed`] will next have something to return.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        self.sessions.values().map(Tracked::next_wake).min()
    }

    /// Returns how much is left of a session's lease and margin; `None` if the session
    /// isn't tracked.
    #[must_use]
    pub fn lease_left(&self, session: SessionId, now: Instant) -> Option<Duration> {
        let tracked = self.sessions.get(&session)?;
        Some(tracked.lapses_at.saturating_duration_since(now))
    }

    /// Returns the highest revision that a session has acknowledged; `None` if the
    /// session isn't tracked.
    #[must_use]
    pub fn acknowledged(&self, session: SessionId) -> Option<Revision> {
        Some(self.sessions.get(&session)?.acknowledged)
    }

    /// Returns the settled revision: the highest *r* up to the last change of the view
    /// such that each open session that was opened before *r* has acknowledged *r*.
    ///
    /// A session starts with a view at least as new as its own opening, so it never acts
    /// on anything older than that, and holds back only what came later. Sessions that
    /// the state has and the account hasn't count as having acknowledged nothing.
    ///
    /// After a change of leader the value may be lower than one that was told before,
    /// until entries have renewed. It is a lower bound each time, and what was settled
    /// once stays so; whoever receives values keeps the highest.
    #[must_use]
    pub fn settled_revision(&self, state: &ControlState) -> Revision {
        let view = state.view();
        view.sessions
            .keys()
            .map(|&session| self.acknowledged_or_opened(session))
            .fold(view.revision, Revision::min)
    }

    fn acknowledged_or_opened(&self, session: SessionId) -> Revision {
        let acknowledged = self.acknowledged(session).unwrap_or_default();
        acknowledged.max(Revision(session.0))
    }
}
