//! The leader's record of sessions: when each lapses, and which revision each has applied.
//!
//! The record is volatile. A new leader rebuilds it with [`SessionTracker::reset`] and thereby
//! gives every session a full lease and margin again, since it cannot know what its predecessor
//! granted just before.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::control_state::ControlState;
use crate::id::Revision;
use crate::id::SessionId;

/// Whether a renewal may be granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub enum Renewal {
    /// The session's lease is extended.
    Granted,
    /// The session is unknown, or its lapse has been proposed; nothing may be granted.
    Refused,
}

/// Record of one session.
#[derive(Clone, Copy, Debug)]
struct Tracked {
    /// When lease and margin expire.
    lapses_at: Instant,
    /// Highest revision that the entry reported as applied.
    acknowledged: Revision,
    /// When the lapse is to be proposed again; `None` if it has not been proposed yet.
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

/// Tracks the leases of all sessions at the leader.
#[derive(Clone, Debug)]
pub struct SessionTracker {
    lease: Duration,
    margin: Duration,
    sessions: BTreeMap<SessionId, Tracked>,
}

impl SessionTracker {
    /// Creates a tracker without sessions.
    ///
    /// `lease` is the duration granted to entries, counted from the moment at which they sent their
    /// request. `margin` covers the clock drift between entry and leader over one lease.
    #[must_use]
    pub const fn new(lease: Duration, margin: Duration) -> Self {
        Self {
            lease,
            margin,
            sessions: BTreeMap::new(),
        }
    }

    /// Returns the duration of the lease that a granted renewal carries.
    #[must_use]
    pub const fn lease(&self) -> Duration {
        self.lease
    }

    /// Discards all records and starts a full lease for each of the open `sessions`, at the
    /// beginning of a leadership.
    ///
    /// Must not be called before the leader has applied its own first log entry. Until then its log
    /// may contain a lapse that its predecessor proposed and that is not applied yet; granting a
    /// renewal to that session would let a lapsed entry continue.
    pub fn reset(&mut self, now: Instant, sessions: impl IntoIterator<Item = SessionId>) {
        self.sessions.clear();
        for session in sessions {
            self.opened(session, now);
        }
    }

    /// Records that `session` was opened; its lease starts at `now`.
    pub fn opened(&mut self, session: SessionId, now: Instant) {
        let tracked = Tracked {
            lapses_at: self.lapses_at(now),
            acknowledged: Revision::default(),
            propose_again_at: None,
        };
        self.sessions.insert(session, tracked);
    }

    /// Records that `session` has lapsed or was closed.
    pub fn removed(&mut self, session: SessionId) {
        self.sessions.remove(&session);
    }

    /// Decides on a renewal whose request arrived at `received_at`, and records that the entry has
    /// applied `applied`.
    ///
    /// To be called when the read barrier that began after `received_at` has passed. A session
    /// whose lapse was returned by [`Self::lapsed`] is never renewed again, whatever happened to
    /// the proposal, since it may be committed at any time.
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
        // Requests may complete out of order.
        tracked.lapses_at = tracked.lapses_at.max(lapses_at);
        tracked.acknowledged = tracked.acknowledged.max(applied);
        Renewal::Granted
    }

    fn lapses_at(&self, from: Instant) -> Instant {
        from + self.lease + self.margin
    }

    /// Returns the sessions whose lapse is to be proposed now.
    ///
    /// A session whose lapse is not committed is returned again after the duration of a lease.
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

    /// Returns when [`Self::lapsed`] will next return a session.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        self.sessions.values().map(Tracked::next_wake).min()
    }

    /// Returns the remaining time of a session's lease and margin; `None` if the session is not
    /// tracked.
    #[must_use]
    pub fn lease_left(&self, session: SessionId, now: Instant) -> Option<Duration> {
        let tracked = self.sessions.get(&session)?;
        Some(tracked.lapses_at.saturating_duration_since(now))
    }

    /// Returns the highest revision that a session has acknowledged; `None` if the session is not
    /// tracked.
    #[must_use]
    pub fn acknowledged(&self, session: SessionId) -> Option<Revision> {
        Some(self.sessions.get(&session)?.acknowledged)
    }

    /// Returns the settled revision: the highest *r* up to the last change of the view such that
    /// each open session that was opened before *r* has acknowledged *r*.
    ///
    /// A session starts with a view at least as new as its own opening, so it never acts on
    /// anything older and delays only later revisions. Sessions that are in the state but not
    /// tracked count as having acknowledged nothing.
    ///
    /// After a change of leader the value may be lower than one that was returned before, until
    /// entries have renewed. Each value is a lower bound, and a revision once settled remains
    /// settled; receivers keep the highest value.
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
