//! State of an entry VM's session with control, shared by its tasks.

use std::net::SocketAddr;
use std::sync::Arc;

use heatherring_lib::client_block_table::ClientBlockTable;
use heatherring_lib::clock::Clock;
use heatherring_lib::entry_lease::EntryLease;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntryInfo;
use heatherring_lib::view::EntrySession;
use heatherring_lib::view_log::ViewLog;
use tokio::sync::watch;

use crate::dispatcher::DispatchGate;

/// Largest number of other entry VMs named in a refusal.
const MAX_NAMED_ENTRIES: usize = 3;

/// Holds the latest state that control confirmed.
#[derive(Clone, Debug, Default)]
pub struct EntryState {
    /// The view, to which changes are applied in log order.
    pub view: Arc<ControlView>,
    /// The changes that led to the view, as far back as this session received them.
    pub recent: Arc<ViewLog>,
    /// Failure domains of callers by address, from the manifest in the view.
    pub blocks: Arc<ClientBlockTable>,
    /// The latest revision that every entry VM has applied.
    pub settled: Revision,
    /// The lease under which this entry VM may accept new work.
    pub lease: EntryLease,
    /// Identifier of the control cluster; `None` until a replica has answered.
    pub cluster: Option<ClusterId>,
}

impl EntryState {
    /// Returns the manifest in force, if there is one.
    #[must_use]
    pub fn manifest(&self) -> Option<&Manifest> {
        self.view
            .manifest
            .as_ref()
            .map(|in_force| &in_force.manifest)
    }
}

/// Reads the state, and tells whether the lease is valid at the time of the call.
#[derive(Clone, Debug)]
pub struct EntryStateReader {
    rx: watch::Receiver<EntryState>,
    clock: Arc<dyn Clock>,
}

impl EntryStateReader {
    /// Creates a reader of the state in `rx`; `clock` decides whether the lease is valid.
    #[must_use]
    pub const fn new(rx: watch::Receiver<EntryState>, clock: Arc<dyn Clock>) -> Self {
        Self { rx, clock }
    }

    /// Returns a copy of the current state.
    #[must_use]
    pub fn read(&self) -> EntryState {
        self.rx.borrow().clone()
    }

    /// Returns the session if its lease is valid now.
    #[must_use]
    pub fn live_session(&self) -> Option<SessionId> {
        let state = self.rx.borrow();
        if state.lease.is_valid(self.clock.now()) {
            state.lease.session()
        } else {
            None
        }
    }

    /// Returns the session of another entry VM, if it is in the view.
    #[must_use]
    pub fn session(&self, id: SessionId) -> Option<EntrySession> {
        self.rx.borrow().view.sessions.get(&id).cloned()
    }

    /// Returns other entry VMs that callers may use: those in the same failure domain first, then
    /// those in the same region, then others.
    #[must_use]
    pub fn other_entries(&self, own: &EntryInfo) -> Vec<SocketAddr> {
        let state = self.rx.borrow();
        let mut others: Vec<&EntrySession> = state
            .view
            .sessions
            .values()
            .filter(|session| !session.leaving && session.info.vm != own.vm)
            .collect();
        others.sort_by_key(|session| {
            let other_place = session.info.place != own.place;
            let other_region = session.info.region != own.region;
            (other_region, other_place)
        });
        others
            .into_iter()
            .take(MAX_NAMED_ENTRIES)
            .map(|session| session.info.callers)
            .collect()
    }

    /// Waits until the state changes; never completes once the session's task has ended.
    pub async fn changed(&mut self) {
        if self.rx.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns a gate that is open while the lease of `session` is valid.
    #[must_use]
    pub fn gate(&self, session: SessionId) -> LeaseGate {
        LeaseGate {
            state: self.clone(),
            session,
        }
    }
}

/// Permits dispatches while the lease of one session is valid.
#[derive(Clone, Debug)]
pub struct LeaseGate {
    state: EntryStateReader,
    session: SessionId,
}

impl DispatchGate for LeaseGate {
    fn closed(&self) -> Option<NotRunReason> {
        if self.state.live_session() == Some(self.session) {
            None
        } else {
            Some(NotRunReason::LeaseLapsed)
        }
    }
}
