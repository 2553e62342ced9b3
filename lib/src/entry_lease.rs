//! Lease of an entry VM's session: whether it may accept new requests.

use std::time::Duration;
use std::time::Instant;

use crate::id::SessionId;

/// State of an entry's lease.
///
/// The entry counts the lease from the moment at which it sent the request that obtained it.
/// Control counts from the later moment at which it received the request, and adds a margin, so the
/// entry always stops first. Counting from the arrival of the reply would be wrong by the transit
/// time of the reply, which a network partition or a frozen process makes arbitrarily long.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EntryLease {
    /// No session is open.
    #[default]
    NoSession,
    /// The session holds a lease.
    Holding {
        /// The session.
        session: SessionId,
        /// When the lease expires unless it is renewed.
        expires_at: Instant,
    },
    /// The lease has expired. Control may not have noticed yet, so only control can tell whether
    /// the session continues or is lost.
    Lapsed {
        /// The session.
        session: SessionId,
        /// When the lease expired.
        since: Instant,
    },
}

impl EntryLease {
    /// Adopts the session that a request sent at `sent_at` opened. Returns whether it was adopted.
    ///
    /// If another session is held or lapsed, the reply belongs to an older request; the session
    /// that it opened was never used and lapses by itself.
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

    /// Extends the lease by a reply that arrived at `now` to a request sent at `sent_at`. Returns
    /// whether the lease is valid afterwards.
    ///
    /// An expired lease is revived only by a request that was sent after it expired. The reply to
    /// an older request says nothing about the time since, in which the entry had stopped and had
    /// told others so.
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

    /// Records that control has ended `session`, or that this entry has closed it.
    ///
    /// The caller must drop all state bound to the session before it opens another one.
    pub fn lost(&mut self, session: SessionId) {
        if self.session() == Some(session) {
            *self = Self::NoSession;
        }
    }

    /// Marks the lease as lapsed if it has expired. Returns whether this call did so.
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

    /// Returns whether new requests may be accepted at `now`.
    ///
    /// Must be checked before each request: a process that was frozen may resume with a lease that
    /// expired meanwhile, before any timer has fired.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        matches!(self, Self::Holding { expires_at, .. } if now < *expires_at)
    }

    /// Returns the session, regardless of whether its lease is valid.
    #[must_use]
    pub const fn session(&self) -> Option<SessionId> {
        match *self {
            Self::NoSession => None,
            Self::Holding { session, .. } | Self::Lapsed { session, .. } => Some(session),
        }
    }

    /// Returns when the lease expires; `None` unless it is held.
    #[must_use]
    pub const fn expires_at(&self) -> Option<Instant> {
        match *self {
            Self::Holding { expires_at, .. } => Some(expires_at),
            Self::NoSession | Self::Lapsed { .. } => None,
        }
    }
}
