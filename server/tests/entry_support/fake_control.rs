//! A fake control replica that keeps sessions in memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use heatherring_lib::id::ContentDigest;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::id::VmName;
use heatherring_lib::manifest_text::read_manifest;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntryInfo;
use heatherring_lib::view::EntrySession;
use heatherring_lib::view::ManifestChange;
use heatherring_lib::view::ManifestInForce;
use heatherring_lib::view::ViewChange;
use heatherring_lib::view::ViewChangeKind;
use heatherring_server::proto::SyncBatchReply;
use heatherring_server::proto::SyncBatchRequest;
use heatherring_server::proto::SyncOutcome;
use heatherring_server::proto::SyncReply;
use heatherring_server::proto::SyncRequest;
use heatherring_server::proto::session_server::Session;
use heatherring_server::proto::session_server::SessionServer;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_stream::wrappers::TcpListenerStream;

const CLUSTER: [u8; 16] = [7; 16];

/// How the fake control replica answers follow requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    Grant,
    NoQuorum,
    /// Never answers.
    Silent,
    /// Reports the next existing session as lost, then returns to [`Mode::Grant`].
    SessionLost,
}

#[derive(Debug, Default)]
struct ControlState {
    view: ControlView,
    changes: Vec<ViewChange>,
    applied: BTreeMap<SessionId, Revision>,
}

impl ControlState {
    fn commit(&mut self, kind: impl FnOnce(Revision) -> ViewChangeKind) -> Revision {
        let revision = self.view.revision.next();
        let kind = kind(revision);
        let change = ViewChange { revision, kind };
        self.view.apply(&change).expect("a consecutive change");
        self.changes.push(change);
        revision
    }

    fn settled(&self) -> Revision {
        let applied = self.applied.values().min();
        applied.copied().unwrap_or(self.view.revision)
    }
}

/// A fake control replica that keeps sessions in memory; clones share them.
#[derive(Clone, Debug)]
pub struct FakeControl {
    pub address: SocketAddr,
    pub lease: Duration,
    state: Arc<Mutex<ControlState>>,
    mode: Arc<watch::Sender<Mode>>,
    updates: Arc<watch::Sender<()>>,
    /// Whether replies to requests that open a session are delayed.
    hold_open_replies: Arc<watch::Sender<bool>>,
    pub sync_calls: Arc<AtomicUsize>,
}

impl FakeControl {
    pub async fn start(address: SocketAddr, lease: Duration) -> Self {
        let control = Self {
            address,
            lease,
            state: Arc::default(),
            mode: Arc::new(watch::Sender::new(Mode::Grant)),
            updates: Arc::new(watch::Sender::new(())),
            hold_open_replies: Arc::new(watch::Sender::new(false)),
            sync_calls: Arc::default(),
        };
        control.serve().await;
        control
    }

    /// Starts another replica that shares the sessions but has its own [`Mode`].
    pub async fn start_replica(&self, address: SocketAddr) -> Self {
        let replica = Self {
            address,
            mode: Arc::new(watch::Sender::new(Mode::Grant)),
            sync_calls: Arc::default(),
            ..self.clone()
        };
        replica.serve().await;
        replica
    }

    async fn serve(&self) {
        let listener = TcpListener::bind(self.address).await;
        let listener = listener.expect("a free address");
        let serving = tonic::transport::Server::builder()
            .add_service(SessionServer::new(self.clone()))
            .serve_with_incoming(TcpListenerStream::new(listener));
        tokio::spawn(serving);
    }

    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
        self.updates.send_replace(());
    }

    /// Delays replies to requests that open a session while `hold` is set. Other entry VMs are
    /// told of the new session at once.
    pub fn hold_open_replies(&self, hold: bool) {
        self.hold_open_replies.send_replace(hold);
    }

    pub fn submit(&self, text: &str) {
        let manifest = read_manifest("manifest", text).expect("a valid manifest");
        self.lock().commit(|revision| {
            let whole = ManifestInForce {
                revision,
                digest: ContentDigest::of(text.as_bytes()),
                manifest,
            };
            ViewChangeKind::Manifest(ManifestChange::Whole(Arc::new(whole)))
        });
        self.updates.send_replace(());
    }

    /// Resets the view, so that the next complete view is older than the previous one.
    pub fn forget_view(&self) {
        let mut state = self.lock();
        state.view = ControlView::default();
        state.changes.clear();
        state.applied.clear();
    }

    /// Returns whether the VM has a session.
    pub fn has_session(&self, vm: &VmName) -> bool {
        let view = self.view();
        view.sessions.values().any(|session| session.info.vm == *vm)
    }

    pub fn view(&self) -> ControlView {
        self.lock().view.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ControlState> {
        self.state.lock().expect("the lock is not poisoned")
    }

    fn open(&self, info: EntryInfo) -> SessionId {
        let mut state = self.lock();
        let same_vm = |session: &&EntrySession| session.info.vm == info.vm;
        let old = state.view.sessions.values().find(same_vm).map(|old| old.id);
        if let Some(old) = old {
            state.commit(|_| ViewChangeKind::SessionLapsed(old));
            state.applied.remove(&old);
        }
        let revision = state.commit(|revision| {
            ViewChangeKind::SessionOpened(EntrySession {
                id: SessionId(revision.0),
                info,
                leaving: false,
            })
        });
        SessionId(revision.0)
    }

    fn reply(&self, session: SessionId, applied: Revision, known: Revision) -> Option<SyncReply> {
        let state = self.lock();
        let settled = state.settled();
        let fresh = applied == Revision::default();
        let newer = state.changes.iter().filter(|c| c.revision > applied);
        let changes: Vec<_> = newer.collect();
        if !fresh && changes.is_empty() && settled <= known {
            return None;
        }
        let encode = |change: &&ViewChange| postcard::to_stdvec(change).expect("plain data");
        Some(SyncReply {
            outcome: SyncOutcome::Granted.into(),
            cluster_id: CLUSTER.to_vec(),
            session: session.0,
            lease_ms: u32::try_from(self.lease.as_millis()).expect("a short lease"),
            settled_revision: settled.0,
            view_encoded: if fresh {
                postcard::to_stdvec(&state.view).expect("plain data")
            } else {
                Vec::new()
            },
            changes_encoded: if fresh {
                Vec::new()
            } else {
                changes.iter().map(encode).collect()
            },
            ..SyncReply::default()
        })
    }
}

fn refusal(outcome: SyncOutcome) -> SyncReply {
    SyncReply {
        outcome: outcome.into(),
        cluster_id: CLUSTER.to_vec(),
        ..SyncReply::default()
    }
}

#[tonic::async_trait]
impl Session for FakeControl {
    async fn sync_batch(
        &self,
        _request: tonic::Request<SyncBatchRequest>,
    ) -> Result<tonic::Response<SyncBatchReply>, tonic::Status> {
        Err(tonic::Status::unimplemented("too few entry VMs for relays"))
    }

    async fn sync(
        &self,
        request: tonic::Request<SyncRequest>,
    ) -> Result<tonic::Response<SyncReply>, tonic::Status> {
        let request = request.into_inner();
        self.sync_calls.fetch_add(1, Ordering::Relaxed);
        let mut updates = self.updates.subscribe();
        let mode = *self.mode.borrow();
        match mode {
            Mode::NoQuorum => return Ok(tonic::Response::new(refusal(SyncOutcome::NoQuorum))),
            Mode::SessionLost if request.session != 0 => {
                self.mode.send_replace(Mode::Grant);
                return Ok(tonic::Response::new(refusal(SyncOutcome::SessionLost)));
            }
            Mode::Grant | Mode::SessionLost => {}
            Mode::Silent => std::future::pending().await,
        }
        let mut session = SessionId(request.session);
        if request.session == 0 {
            let info = postcard::from_bytes(&request.entry_encoded).expect("an entry's info");
            session = self.open(info);
            self.updates.send_replace(());
            let mut held = self.hold_open_replies.subscribe();
            let _ = held.wait_for(|hold| !hold).await;
        }
        {
            let mut state = self.lock();
            let applied = Revision(request.applied_revision);
            state.applied.insert(session, applied);
            let staying = state
                .view
                .sessions
                .get(&session)
                .is_some_and(|s| !s.leaving);
            if request.closing {
                state.commit(|_| ViewChangeKind::SessionClosed(session));
                state.applied.remove(&session);
                return Ok(tonic::Response::new(SyncReply {
                    session: session.0,
                    ..refusal(SyncOutcome::Granted)
                }));
            }
            if request.leaving && staying {
                state.commit(|_| ViewChangeKind::SessionLeaving(session));
            }
        }
        self.updates.send_replace(());
        let applied = Revision(request.applied_revision);
        let known = Revision(request.known_settled);
        let until = tokio::time::Instant::now() + Duration::from_millis(request.wait_ms.into());
        loop {
            updates.borrow_and_update();
            let over = tokio::time::Instant::now() >= until;
            if let Some(reply) = self.reply(session, applied, known) {
                return Ok(tonic::Response::new(reply));
            }
            if over || *self.mode.borrow() != mode {
                return Ok(tonic::Response::new(SyncReply {
                    session: session.0,
                    lease_ms: u32::try_from(self.lease.as_millis()).expect("a short lease"),
                    settled_revision: known.0,
                    ..refusal(SyncOutcome::Granted)
                }));
            }
            let _ = tokio::time::timeout_at(until, updates.changed()).await;
        }
    }
}
