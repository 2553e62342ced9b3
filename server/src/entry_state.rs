//! What the tasks of an entry VM share of its session with control.

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

/// Other entry VMs that a refusal names.
const MAX_NAMED_ENTRIES: usize = 3;

/// Holds the last state that control confirmed.
#[derive(Clone, Debug, Default)]
pub struct EntryState {
    /// The view, applied in log order.
    pub view: Arc<ControlView>,
    /// The changes that led to the view, as far back as this session saw them.
    pub recent: Arc<ViewLog>,
    /// Places of callers, of the manifest in the view.
    pub blocks: Arc<ClientBlockTable>,
    /// The last revision that every entry VM has applied.
    pub settled: Revision,
    /// Whether this entry VM may take new work.
    pub lease: EntryLease,
    /// The set of control replicas, once one has answered.
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

/// Reads the state, and tells at any moment whether the lease holds.
#[derive(Clone, Debug)]
pub struct EntryStateReader {
    rx: watch::Receiver<EntryState>,
    clock: Arc<dyn Clock>,
}

impl EntryStateReader {
    /// Reads what `rx` receives, by `clock`.
    #[must_use]
    pub const fn new(rx: watch::Receiver<EntryState>, clock: Arc<dyn Clock>) -> Self {
        Self { rx, clock }
    }

    /// Returns the state of this moment.
    #[must_use]
    pub fn read(&self) -> EntryState {
        self.rx.borrow().clone()
    }

    /// Returns the session whose lease holds now.
    #[must_use]
    pub fn live_session(&self) -> Option<SessionId> {
        let state = self.rx.borrow();
        if state.lease.is_valid(self.clock.now()) {
            state.lease.session()
        } else {
            None
        }
    }

    /// Returns the session of another entry VM, if the view has it.
    #[must_use]
    pub fn session(&self, id: SessionId) -> Option<EntrySession> {
        self.rx.borrow().view.sessions.get(&id).cloned()
    }

    /// Returns where else callers may ask: entry VMs of the same place first, then of
    /// the region, then others.
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

    /// Waits until the state changes; pends for ever once the session's task is gone.
    pub async fn changed(&mut self) {
        if self.rx.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns a gate that is open while `session` holds its lease.
    #[must_use]
    pub fn gate(&self, session: SessionId) -> LeaseGate {
        LeaseGate {
            state: self.clone(),
            session,
        }
    }
}

/// Permits dispatches under one session's lease.
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
