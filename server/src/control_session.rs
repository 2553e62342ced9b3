//! An entry VM's session with control.
//!
//! One task calls `Session.Sync` in a loop and applies the replies in log order. It calls one
//! replica at a time, and moves on to the next when that one cannot prove that it is current or
//! does not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::client_block_table::ClientBlockTable;
use heatherring_lib::clock::Clock;
use heatherring_lib::entry_lease::EntryLease;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntryInfo;
use heatherring_lib::view::ViewChange;
use heatherring_lib::view::ViewError;
use heatherring_lib::view_log::ViewLog;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tonic::transport::Channel;

use crate::entry_state::EntryState;
use crate::peer_channel::ChannelTimes;
use crate::peer_channel::PeerChannels;
use crate::peer_security::PeerSecurity;
use crate::peer_security::PeerSecurityError;
use crate::proto::SyncOutcome;
use crate::proto::SyncReply;
use crate::proto::SyncRequest;
use crate::proto::session_client::SessionClient;
use crate::sync_target::SyncTargets;

/// Time for which control may hold a call while there are no changes. A silent replica costs this
/// time and [`CALL_MARGIN`] before another one is called, which must leave a good part of the lease
/// for finding a new leader; the call to the other one must not be held.
const SYNC_WAIT: Duration = Duration::from_millis(500);

/// Time in addition to [`SYNC_WAIT`] after which a call times out.
const CALL_MARGIN: Duration = Duration::from_millis(500);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before another replica is called. Without it, an entry VM would call the replicas in a
/// tight loop during an election.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest time spent on reporting the end of the session.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// State of the session that the process requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SessionGoal {
    /// The entry VM serves requests.
    #[default]
    Serve,
    /// The entry VM gives up its ownerships and is no longer listed in look-ups.
    Leave,
    /// The session ends: the entry VM has finished all requests.
    Close,
}

/// Update from control for the tasks that own decisions; sent in log order.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// A session was opened.
    Opened {
        /// Identity of the new session.
        session: SessionId,
        /// Whole view with which it begins.
        view: Arc<ControlView>,
    },
    /// The view changed by one log entry.
    Changed(Arc<ControlView>),
    /// The view was replaced as a whole; changes in between may have been skipped.
    Replaced(Arc<ControlView>),
    /// All revisions up to this one are settled.
    Settled(Revision),
    /// The lease was extended to this time.
    Extended(Instant),
    /// The session is lost, and with it all ownerships.
    Lost,
}

/// Reason for which a call to control failed or its reply was refused.
#[derive(Debug, Snafu)]
enum SyncError {
    /// The call failed.
    #[snafu(display("call to {replica} failed: {status}"))]
    Call {
        replica: SocketAddr,
        status: tonic::Status,
    },
    /// The security settings do not allow the replica's address, or cannot be used.
    #[snafu(display("{source}"))]
    Security { source: PeerSecurityError },
    /// The call timed out.
    #[snafu(display("{replica} did not answer in time"))]
    Timeout { replica: SocketAddr },
    /// The replica cannot prove that it is current.
    #[snafu(display("{replica} has no quorum"))]
    NoQuorum { replica: SocketAddr },
    /// The replica belongs to another set of control replicas.
    #[snafu(display("{replica} belongs to another cluster"))]
    OtherCluster { replica: SocketAddr },
    /// A part of the reply cannot be decoded.
    #[snafu(display("cannot decode a reply from control: {source}"))]
    Decode { source: postcard::Error },
    /// The received view is older than the present one.
    #[snafu(display(
        "control sent a view of revision {found}, older than the present revision {held}"
    ))]
    OlderView { found: Revision, held: Revision },
    /// A received change does not apply to the present view.
    #[snafu(display("a change from control does not apply to the view: {source}"))]
    Apply { source: ViewError },
}

/// Task that keeps the session until it is closed.
#[derive(Debug)]
pub struct ControlSession {
    info: EntryInfo,
    security: PeerSecurity,
    targets: SyncTargets,
    /// Target of the last call.
    target: SocketAddr,
    client: Option<(SocketAddr, SessionClient<Channel>)>,
    clock: Arc<dyn Clock>,
    state: EntryState,
    /// Last revision that control has named. An opening that was given up names an earlier one than
    /// that of the session opened since, and opens nothing if it arrives later.
    opens_after: Revision,
    /// Whether the next call must ask for the whole view.
    needs_whole_view: bool,
    /// Whether no usable answer has arrived since the last failed call.
    silent: bool,
    publish: watch::Sender<EntryState>,
    events: mpsc::UnboundedSender<ControlEvent>,
    goal: watch::Receiver<SessionGoal>,
}

impl ControlSession {
    /// Creates the session of the entry VM `info`; [`Self::run`] opens it.
    #[must_use]
    pub fn new(
        info: EntryInfo,
        security: PeerSecurity,
        targets: SyncTargets,
        clock: Arc<dyn Clock>,
        publish: watch::Sender<EntryState>,
        events: mpsc::UnboundedSender<ControlEvent>,
        goal: watch::Receiver<SessionGoal>,
    ) -> Self {
        Self {
            info,
            security,
            target: targets.control(),
            targets,
            client: None,
            clock,
            state: EntryState::default(),
            opens_after: Revision::default(),
            needs_whole_view: true,
            silent: false,
            publish,
            events,
            goal,
        }
    }

    /// Keeps the session until control has confirmed [`SessionGoal::Close`], or the time for that
    /// is up.
    pub async fn run(mut self) {
        let mut close_by = None;
        loop {
            let goal = *self.goal.borrow_and_update();
            if goal == SessionGoal::Close {
                let by = *close_by.get_or_insert_with(|| self.clock.now() + CLOSE_TIMEOUT);
                if self.state.lease.session().is_none() || self.clock.now() >= by {
                    return;
                }
            }
            let request = self.request(goal);
            let sent_at = self.clock.now();
            self.target = self.targets.pick(sent_at, &self.state, &request);
            let mut goal_changes = self.goal.clone();
            let result = tokio::select! {
                result = self.call(request) => result,
                // Control may hold the call for long, and must learn of a changed goal at
                // once. The next call asks again for what the cancelled one would have returned.
                Ok(()) = goal_changes.changed() => continue,
            };
            let applied = match result {
                Ok(reply) => self.apply_reply(goal, &reply, sent_at),
                Err(error) => Err(error),
            };
            if let Err(error) = applied {
                self.fail(&error).await;
            }
        }
    }

    fn request(&self, goal: SessionGoal) -> SyncRequest {
        let session = self.state.lease.session();
        let fresh = session.is_none() || self.needs_whole_view;
        let leaving_known = self.is_leaving_in_view();
        // After a failed call, the rest of the lease is needed to find a replica that answers.
        let immediate = fresh || self.silent || (goal == SessionGoal::Leave && !leaving_known);
        let wait = if immediate { Duration::ZERO } else { SYNC_WAIT };
        let applied = if fresh {
            Revision::default()
        } else {
            self.state.view.revision
        };
        SyncRequest {
            cluster_id: self
                .state
                .cluster
                .map_or_else(Vec::new, |cluster| cluster.0.to_vec()),
            entry_encoded: self.entry_encoded(session),
            session: session.unwrap_or_default().0,
            applied_revision: applied.0,
            known_settled: self.state.settled.0,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            leaving: goal != SessionGoal::Serve,
            closing: goal == SessionGoal::Close,
            opens_after: session.is_none().then_some(self.opens_after.0),
        }
    }

    /// Returns the location of this VM for a request that opens a session; empty for renewals.
    fn entry_encoded(&self, session: Option<SessionId>) -> Vec<u8> {
        if session.is_some() {
            return Vec::new();
        }
        postcard::to_stdvec(&self.info).unwrap_or_default()
    }

    fn is_leaving_in_view(&self) -> bool {
        self.state
            .lease
            .session()
            .and_then(|id| self.state.view.sessions.get(&id))
            .is_some_and(|session| session.leaving)
    }

    async fn call(&mut self, request: SyncRequest) -> Result<SyncReply, SyncError> {
        let replica = self.target;
        let mut client = self.client(replica)?;
        let bound = SYNC_WAIT + CALL_MARGIN;
        match tokio::time::timeout(bound, client.sync(request)).await {
            Ok(Ok(reply)) => Ok(reply.into_inner()),
            Ok(Err(status)) => CallSnafu { replica, status }.fail(),
            Err(_) => TimeoutSnafu { replica }.fail(),
        }
    }

    fn client(&mut self, replica: SocketAddr) -> Result<SessionClient<Channel>, SyncError> {
        if let Some((address, client)) = &self.client
            && *address == replica
        {
            return Ok(client.clone());
        }
        let channel = PeerChannels::new(self.security.clone())
            .waiting(ChannelTimes::entry(CONNECT_TIMEOUT))
            .lazy(replica)
            .context(SecuritySnafu)?;
        let client = SessionClient::new(channel).max_decoding_message_size(usize::MAX);
        self.client = Some((replica, client.clone()));
        Ok(client)
    }

    async fn fail(&mut self, error: &SyncError) {
        // Logged once per outage: a long one would otherwise fill the log.
        if !std::mem::replace(&mut self.silent, true) {
            log::warn!(event = "control_silent", vm = self.info.vm.as_str(), error = error.to_string().as_str(); "control replica gave no usable answer; trying others");
        }
        self.client = None;
        self.targets.failed(self.clock.now(), self.target);
        tokio::time::sleep(RETRY_PAUSE).await;
    }

    fn apply_reply(
        &mut self,
        goal: SessionGoal,
        reply: &SyncReply,
        sent_at: Instant,
    ) -> Result<(), SyncError> {
        let replica = self.target;
        match reply.outcome() {
            SyncOutcome::Granted => {}
            SyncOutcome::SessionLost => {
                self.end_session();
                return Ok(());
            }
            SyncOutcome::OpenedSince => {
                self.check_cluster(replica, &reply.cluster_id)?;
                self.opens_after = self.opens_after.max(Revision(reply.revision));
                return Ok(());
            }
            SyncOutcome::NoQuorum | SyncOutcome::Unspecified => {
                return NoQuorumSnafu { replica }.fail();
            }
        }
        self.check_cluster(replica, &reply.cluster_id)?;
        if std::mem::replace(&mut self.silent, false) {
            log::info!(event = "control_answers", vm = self.info.vm.as_str(), replica = replica.to_string().as_str(); "control replica answers again");
        }
        if goal == SessionGoal::Close {
            self.end_session();
            return Ok(());
        }
        self.apply_grant(reply, sent_at)
    }

    fn check_cluster(&mut self, replica: SocketAddr, cluster: &[u8]) -> Result<(), SyncError> {
        let Ok(bytes) = <[u8; 16]>::try_from(cluster) else {
            return OtherClusterSnafu { replica }.fail();
        };
        let cluster = ClusterId(bytes);
        if *self.state.cluster.get_or_insert(cluster) == cluster {
            Ok(())
        } else {
            OtherClusterSnafu { replica }.fail()
        }
    }

    /// Ends the session and drops what depends on it; the next call opens another one.
    fn end_session(&mut self) {
        let Some(session) = self.state.lease.session() else {
            return;
        };
        log::warn!(event = "session_ended", vm = self.info.vm.as_str(), session = session.0; "session ended");
        self.state.lease.lost(session);
        self.needs_whole_view = true;
        self.state.settled = Revision::default();
        self.publish.send_replace(self.state.clone());
        self.send_event(ControlEvent::Lost);
    }

    fn apply_grant(&mut self, reply: &SyncReply, sent_at: Instant) -> Result<(), SyncError> {
        let session = SessionId(reply.session);
        let lease = Duration::from_millis(reply.lease_ms.into());
        let opening = self.state.lease == EntryLease::NoSession;
        // A granted session without its view must not serve anything.
        if opening && reply.view_encoded.is_empty() {
            self.needs_whole_view = true;
            return Ok(());
        }
        self.apply_view(reply, session, opening)?;
        if opening {
            self.state.lease.opened(session, sent_at, lease);
            log::info!(event = "session_opened", vm = self.info.vm.as_str(), session = session.0, revision = self.state.view.revision.0; "session opened");
        }
        let now = self.clock.now();
        self.state.lease.renewed(session, sent_at, lease, now);
        if let Some(until) = self.state.lease.expires_at() {
            self.send_event(ControlEvent::Extended(until));
        }
        let settled = Revision(reply.settled_revision);
        if settled > self.state.settled {
            self.state.settled = settled;
            self.send_event(ControlEvent::Settled(settled));
        }
        self.publish.send_replace(self.state.clone());
        Ok(())
    }

    fn apply_view(
        &mut self,
        reply: &SyncReply,
        session: SessionId,
        opening: bool,
    ) -> Result<(), SyncError> {
        if !reply.view_encoded.is_empty() {
            let view: ControlView =
                postcard::from_bytes(&reply.view_encoded).context(DecodeSnafu)?;
            self.replace_view(view, session, opening)?;
        }
        for encoded in &reply.changes_encoded {
            let change: ViewChange = postcard::from_bytes(encoded).context(DecodeSnafu)?;
            self.apply(&change)?;
        }
        Ok(())
    }

    fn replace_view(
        &mut self,
        view: ControlView,
        session: SessionId,
        opening: bool,
    ) -> Result<(), SyncError> {
        // An older view would bring back an older manifest.
        let held = self.state.view.revision;
        let found = view.revision;
        ensure!(found >= held, OlderViewSnafu { found, held });
        self.needs_whole_view = false;
        self.state.recent = Arc::new(ViewLog::starting_at(found));
        self.set_view(view);
        let view = Arc::clone(&self.state.view);
        self.send_event(if opening {
            ControlEvent::Opened { session, view }
        } else {
            ControlEvent::Replaced(view)
        });
        Ok(())
    }

    fn apply(&mut self, change: &ViewChange) -> Result<(), SyncError> {
        // Control sends a change again if the reply with it was lost.
        if change.revision <= self.state.view.revision {
            return Ok(());
        }
        let mut view = ControlView::clone(&self.state.view);
        if let Err(source) = view.apply(change) {
            self.needs_whole_view = true;
            return Err(SyncError::Apply { source });
        }
        Arc::make_mut(&mut self.state.recent).push(change.clone());
        self.set_view(view);
        self.send_event(ControlEvent::Changed(Arc::clone(&self.state.view)));
        Ok(())
    }

    /// Replaces the view, and rebuilds the table of client blocks if its manifest has changed.
    fn set_view(&mut self, view: ControlView) {
        let revision = |view: &ControlView| view.manifest.as_ref().map(|found| found.revision);
        if revision(&view) != revision(&self.state.view) {
            let table = view
                .manifest
                .as_ref()
                .map(|in_force| ClientBlockTable::new(&in_force.manifest));
            self.state.blocks = Arc::new(table.unwrap_or_default());
        }
        self.state.view = Arc::new(view);
    }

    fn send_event(&self, event: ControlEvent) {
        // Sending fails only while the process is ending.
        let _ = self.events.send(event);
    }
}
