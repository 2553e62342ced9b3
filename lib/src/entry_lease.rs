//! The entry's side of its session: whether it may take new work.

use std::time::Duration;
use std::time::Instant;

use crate::id::SessionId;

/// Holds the state of an entry's lease.
///
/// The lease counts from the moment at which the request that won it was sent. Control
/// counts from the later moment at which it received the request, and adds a margin, so
/// the entry always stops first. Counting from the reply's arrival would be wrong by the
/// time that the reply took, which a cut or a frozen process makes arbitrarily long.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EntryLease {
    /// There is no session.
    #[default]
    NoSession,
    /// The session was granted a lease.
    Holding {
        /// The session.
        session: SessionId,
        /// When the lease runs out, unless it is renewed.
        expires_at: Instant,
    },
    /// The session's lease ran out. Control may not have noticed yet, so only control
    /// can say whether the session goes on or is lost.
    Lapsed {
        /// The session.
        session: SessionId,
        /// When the lease ran out.
        since: Instant,
    },
}

impl EntryLease {
    /// Takes up a session that a request sent at `sent_at` opened. Returns whether it
    /// was taken up.
    ///
    /// While another session is held or lapsed, the reply is an older request's; that
    /// session was never used and lapses by itself.
    pub fn opened(&mut self, session: SessionId, sent_at: Instant, lease: Duration) -> bool {
        if *self != Self::NoSession {
            return false;
        }
        *self = Self::Holding {
            session,
            expires_at: sent_at + lease,
        };
        true
    }

    /// Extends the lease by a reply, arrived at `now`, to a request sent at `sent_at`.
    /// Returns whether the lease is valid afterwards.
    ///
    /// A lease that ran out is revived only by a request that was sent after that. An
    /// older one's reply says nothing about the time since, in which the entry had
    /// stopped and others were told so.
    pub fn renewed(
        &mut self,
        session: SessionId,
        sent_at: Instant,
        lease: Duration,
        now: Instant,
    ) -> bool {
        self.expire(now);
        let until = sent_at + lease;
        match *self {
            Self::Holding {
                session: held,
                expires_at,
            } if held == session => {
                *self = Self::Holding {
                    session,
                    expires_at: expires_at.max(until),
                };
            }
            Self::Lapsed {
                session: held,
                since,
            } if held == session && sent_at >= since && until > now => {
                *self = Self::Holding {
                    session,
                    expires_at: until,
                };
            }
            _ => {}
        }
        self.is_valid(now)
    }

    /// Notes that control has ended `session`, or that this entry has closed it.
    ///
    /// The caller must have dropped everything that the session stood for before it
    /// opens another one.
    pub fn lost(&mut self, session: SessionId) {
        if self.session() == Some(session) {
            *self = Self::NoSession;
        }
    }

    /// Notes that the lease has run out, if it has. Returns whether it did just now.
    pub fn expire(&mut self, now: Instant) -> bool {
        if let Self::Holding {
            session,
            expires_at,
        } = *self
            && now >= expires_at
        {
            *self = Self::Lapsed {
                session,
                since: expires_at,
            };
            return true;
        }
        false
    }

    /// Returns whether new work may be taken at `now`.
    ///
    /// To be asked anew before each piece of work: a process that was frozen wakes up
    /// with a lease that ran out meanwhile, and no timer has fired yet.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        matches!(self, Self::Holding { expires_at, .. } if now < *expires_at)
    }

    /// Returns the session, whether its lease is valid or not.
    #[must_use]
    pub const fn session(&self) -> Option<SessionId> {
        match *self {
            Self::NoSession => None,
            Self::Holding { session, .. } | Self::Lapsed { session, .. } => Some(session),
        }
    }

    /// Returns when the lease runs out, while it is held.
    #[must_use]
    pub const fn expires_at(&self) -> Option<Instant> {
        match *self {
            Self::Holding { expires_at, .. } => Some(expires_at),
            Self::NoSession | Self::Lapsed { .. } => None,
        }
    }
}
