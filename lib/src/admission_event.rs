//! Requests to the owner's admission, its decisions and its effects.

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

/// Time allowed for a backend server to notice that its request was cancelled.
const CANCEL_GRACE: Duration = Duration::from_millis(50);

/// Time after the deadline for which a request counts as running if its connection broke.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(50);

new_key_type! {
    /// Identifies a dispatch from the time it takes a slot until it is finished.
    pub struct DispatchKey;
}

/// Identifies a request between driver and admission; assigned by the driver, unique in
/// its process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestToken(pub u64);

/// Describes a request that asks for a slot.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Identifies the request in later effects; chosen by the driver.
    pub token: RequestToken,
    /// The group that the request was steered to.
    pub group: Group,
    /// Index of its operation in the service's list of operations.
    pub operation: usize,
    /// The place of the caller.
    pub origin: PlaceName,
    /// Time after which an answer is of no use.
    pub deadline: Instant,
    /// Whether the request may safely run twice.
    pub idempotent: bool,
}

/// Immediate decision about an offered request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request is to be sent now.
    Dispatch(Dispatch),
    /// The request is queued; an [`Effect`] with its token follows.
    Queued,
    /// The request is refused and does not run.
    Refused(NotRun),
}

/// Specifies where to send a request. The slot is occupied until
/// [`Admission::finish`](crate::admission::Admission::finish).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Passed to [`Admission::finish`](crate::admission::Admission::finish) when the
    /// dispatch ends.
    pub key: DispatchKey,
    /// The backend server that runs the request.
    pub backend: BackendName,
    /// Address from the backend server's announcement.
    pub address: SocketAddr,
    /// Time at which the driver cancels the request by closing its connection.
    pub deadline: Instant,
}

/// Describes how a dispatch ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The complete answer was received.
    Answered {
        /// Time from the dispatch to the last byte of the answer.
        latency: Duration,
    },
    /// The connection could not be established, so nothing was sent.
    NotConnected,
    /// The connection broke or the answer was malformed; the request may still be
    /// running.
    Failed,
    /// The backend server refused the request before running it.
    ShedByServer,
    /// The driver closed the connection, because the caller is gone or the deadline
    /// passed.
    Cancelled,
}

impl Ending {
    /// Returns the time until which the request may still be running, or `None` if it has
    /// ended.
    #[must_use]
    pub fn may_run_until(self, now: Instant, deadline: Instant) -> Option<Instant> {
        match self {
            Self::Answered { .. } | Self::NotConnected | Self::ShedByServer => None,
            Self::Failed => Some(deadline + DEADLINE_GRACE),
            Self::Cancelled => Some(now + CANCEL_GRACE),
        }
    }
}

/// Action that the driver has to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a request that was queued.
    Dispatch {
        /// Token of the queued request.
        token: RequestToken,
        /// Where to send it.
        dispatch: Dispatch,
    },
    /// Refuse a request that was queued.
    Refuse {
        /// Token of the queued request.
        token: RequestToken,
        /// Reason and advised retry time.
        refusal: NotRun,
    },
    /// Send a release to the new owner of a group.
    Release {
        /// The new owner's session.
        to: SessionId,
        /// The release to send.
        release: Release,
    },
    /// Close idle connections to a backend server, because it is leaving, its
    /// announcement lapsed, or its group has another owner.
    Disconnect {
        /// The backend server to disconnect from.
        backend: BackendName,
        /// Address that the connections lead to.
        address: SocketAddr,
    },
}

/// Describes how a view relates to the previous one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ViewStep {
    /// The view differs from the previous one by a single log entry.
    OneChange,
    /// The view was received as a whole; intermediate changes may have been missed.
    Whole,
}
