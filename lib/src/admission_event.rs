//! What the owner's admission is asked and what it answers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use slotmap::new_key_type;

use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::SessionId;
use crate::outcome::NotRun;
use crate::ownership::Group;
use crate::ownership::Release;

/// Time that a backend server is given to notice that its request was cancelled.
const CANCEL_GRACE: Duration = Duration::from_millis(50);

/// Time beyond the deadline until which a request whose connection broke counts.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(50);

new_key_type! {
    /// Identifies a dispatch, from the moment it takes a slot until it is finished.
    pub struct DispatchKey;
}

/// Identifies a request towards the shell; the shell draws it, unique in its process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestToken(pub u64);

/// Describes a request that asks for a slot.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Identifies the request in later effects.
    pub token: RequestToken,
    /// The group that it was steered to.
    pub group: Group,
    /// Position of its operation in the service's list.
    pub operation: usize,
    /// The place of its caller.
    pub origin: PlaceName,
    /// Time until which an answer is of use.
    pub deadline: Instant,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
}

/// Tells at once what becomes of an offered request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Send it now.
    Dispatch(Dispatch),
    /// It waits; an [`Effect`] with its token follows.
    Queued,
    /// It is not run.
    Refused(NotRun),
}

/// Tells where to send a request. The slot is taken until [`Admission::finish`](crate::admission::Admission::finish).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Identifies the dispatch.
    pub key: DispatchKey,
    /// The backend server.
    pub backend: BackendName,
    /// Its address.
    pub address: SocketAddr,
    /// Time at which the shell cancels the request by dropping its connection.
    pub deadline: Instant,
}

/// Tells how a dispatch ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The whole answer came; `latency` counts from the dispatch.
    Answered {
        /// Time from the dispatch to the last byte of the answer.
        latency: Duration,
    },
    /// The connection could not be made, so nothing was sent.
    NotConnected,
    /// The connection broke or the answer was faulty; the request may still run.
    Failed,
    /// The backend server refused it before running it.
    ShedByServer,
    /// The shell dropped the connection: the caller is gone or the deadline passed.
    Cancelled,
}

impl Ending {
    /// Returns the time until which the request may still run, if it may.
    #[must_use]
    pub fn may_run_until(self, now: Instant, deadline: Instant) -> Option<Instant> {
        match self {
            Self::Answered { .. } | Self::NotConnected | Self::ShedByServer => None,
            Self::Failed => Some(deadline + DEADLINE_GRACE),
            Self::Cancelled => Some(now + CANCEL_GRACE),
        }
    }
}

/// Tells the shell what to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a request that waited.
    Dispatch {
        /// The request.
        token: RequestToken,
        /// Where to.
        dispatch: Dispatch,
    },
    /// Refuse a request that waited.
    Refuse {
        /// The request.
        token: RequestToken,
        /// Why, and when to come back.
        refusal: NotRun,
    },
    /// Send a release to the new owner.
    Release {
        /// The new owner's session.
        to: SessionId,
        /// What to send.
        release: Release,
    },
    /// Close idle connections to a backend server: it leaves, lapsed or moved away.
    Disconnect {
        /// The backend server.
        backend: BackendName,
        /// Its address.
        address: SocketAddr,
    },
}

/// Tells how a view came about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ViewStep {
    /// It differs from the last one by a single change of the log.
    OneChange,
    /// It came whole, so changes between may have gone unseen.
    Whole,
}
