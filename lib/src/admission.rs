//! What the owner of backend servers lets through to them.
//!
//! One [`Admission`] holds all groups that a session owns. The shell gives it every
//! event with the time, and carries out the [`Effect`]s that come back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use slotmap::new_key_type;

use crate::announcement::Announcement;
use crate::announcement::AnnouncementError;
use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::Revision;
use crate::id::SessionId;
use crate::load_digest::GroupLoad;
use crate::outcome::NotRun;
use crate::outcome::NotRunReason;
use crate::ownership::Group;
use crate::ownership::Release;
use crate::view::ControlView;

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

/// Tells where to send a request. The slot is taken until [`Admission::finish`].
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

/// Tells the shell what to do.
#[derive(Clone, Debug, Eq, PartialEq)]
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

/// Holds the admission of all groups that one session owns.
#[derive(Debug)]
pub struct Admission {
    session: SessionId,
    lease_until: Option<Instant>,
    view: Arc<ControlView>,
}

impl Admission {
    /// Starts the admission of a session; `seed` spreads retries and probes.
    #[must_use]
    pub fn new(session: SessionId, seed: u64) -> Self {
        let _ = seed;
        Self {
            session,
            lease_until: None,
            view: Arc::default(),
        }
    }

    /// Notes that the session's lease runs until `until`.
    pub fn extend_lease(&mut self, until: Instant) {
        self.lease_until = self.lease_until.max(Some(until));
    }

    /// Applies a view. To be called for each change on its own, with
    /// [`ViewStep::OneChange`], and with [`ViewStep::Whole`] after a whole view.
    pub fn apply_view(
        &mut self,
        now: Instant,
        view: &Arc<ControlView>,
        step: ViewStep,
    ) -> Vec<Effect> {
        let _ = (now, step);
        self.view = Arc::clone(view);
        Vec::new()
    }

    /// Notes that `revision` is settled, as control said.
    pub fn settle(&mut self, now: Instant, revision: Revision) -> Vec<Effect> {
        let _ = (now, revision);
        Vec::new()
    }

    /// Takes an old owner's release.
    pub fn take_release(&mut self, now: Instant, release: &Release) -> Vec<Effect> {
        let _ = (now, release);
        Vec::new()
    }

    /// Takes the announcement of a backend server that this session owns.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement doesn't fit the manifest in force.
    pub fn announce(
        &mut self,
        now: Instant,
        announcement: &Announcement,
    ) -> Result<Vec<Effect>, AnnouncementError> {
        if let Some(in_force) = &self.view.manifest {
            announcement.check(&in_force.manifest)?;
        }
        let _ = now;
        Ok(Vec::new())
    }

    /// Decides what becomes of a request.
    pub fn offer(&mut self, now: Instant, offer: Offer) -> Verdict {
        let _ = (now, offer, self.session);
        let not_run = NotRun::proved(NotRunReason::NoBackendServer);
        Verdict::Refused(not_run.with_retry_after(Duration::from_secs(1)))
    }

    /// Notes how a dispatch ended and returns what may be dispatched now.
    pub fn finish(&mut self, now: Instant, key: DispatchKey, ending: Ending) -> Vec<Effect> {
        let _ = (now, key, ending);
        Vec::new()
    }

    /// Drops a request that waits; its caller is gone. Returns whether it waited.
    pub fn cancel(&mut self, now: Instant, token: RequestToken) -> bool {
        let _ = (now, token);
        false
    }

    /// Lets time pass: lapses, expiries, ramps. To be called at [`Self::next_tick`].
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let _ = now;
        Vec::new()
    }

    /// Returns the time at which [`Self::tick`] has something to do.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        None
    }

    /// Returns what each owned group can take, for a digest.
    pub fn loads(&mut self, now: Instant) -> Vec<GroupLoad> {
        let _ = now;
        Vec::new()
    }

    /// Tells whether nothing is dispatched and nothing waits, so that a leaving entry
    /// may end.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        true
    }
}
