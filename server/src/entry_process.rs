//! Process of an entry VM: starts and stops its tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::action_store::ActionLimits;
use heatherring_lib::clock::Clock;
use heatherring_lib::settings::EntrySettings;
use heatherring_lib::view::EntryInfo;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::action_task::ActionHandle;
use crate::admission_task::AdmissionTask;
use crate::backend_pool::BackendPool;
use crate::control_session::ControlSession;
use crate::control_session::SessionGoal;
use crate::crash_tracker::CrashTracker;
use crate::decision_task::DecisionHandle;
use crate::entry_context::EntryContext;
use crate::entry_context::RequestIds;
use crate::entry_metrics;
use crate::entry_servers::EntryServers;
use crate::entry_servers::Listeners;
use crate::entry_state::EntryState;
use crate::entry_state::EntryStateReader;
use crate::forward_client::ForwardClients;
use crate::link_task::LinkHandle;
use crate::metrics;
use crate::metrics::MetricsError;
use crate::peer_client::PeerClients;
use crate::peer_security::PeerSecurity;
use crate::peer_security::PeerSecurityError;
use crate::session_relay::SessionRelayService;
use crate::shutdown::Shutdown;
use crate::sync_target::SyncTargets;

/// Time for which a planned stop waits until every entry VM knows that this one is leaving.
/// Control may be unreachable for longer; stopping then serves callers better than waiting.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time added to the cache time of look-ups before requests are no longer accepted. A caller that
/// uses a look-up at the last moment has yet to connect and to send, which takes three one-way
/// delays of 55 ms between the farthest regions, and may be under load itself. Without this its
/// request would meet a connection that is closing, and be lost.
const LOOK_UP_MARGIN: Duration = Duration::from_millis(500);

/// Time for which a planned stop waits for requests in flight, beyond the longest deadline in
/// the manifest.
const FINISH_MARGIN: Duration = Duration::from_secs(5);

/// Timeout for closing the session.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Tells why an entry VM cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EntryError {
    /// A configured address cannot be bound; the settings are at fault.
    #[snafu(display("cannot listen on {address} for {purpose}: {source}"))]
    Listen {
        /// The listener that the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The security settings cannot be used; the settings are at fault.
    #[snafu(display("{source}"))]
    Security {
        /// Why they cannot be used.
        source: PeerSecurityError,
    },
    /// The sender of metrics cannot be opened.
    #[snafu(display("cannot send metrics: {source}"))]
    Metrics {
        /// Why it cannot be opened.
        source: MetricsError,
    },
}

impl EntryError {
    /// Returns whether the cause is the settings rather than the program or its VM.
    #[must_use]
    pub const fn is_user_error(&self) -> bool {
        match self {
            Self::Listen { .. } | Self::Security { .. } => true,
            Self::Metrics { .. } => false,
        }
    }
}

/// Runs an entry VM until `shutdown` requests a stop and all work is finished.
///
/// A planned stop first reports to control that the entry VM is leaving, so that it loses
/// ownership of its groups and look-ups no longer name it. It continues to serve until cached
/// look-up answers have expired, finishes the requests in flight, closes its session and ends.
/// A second stop request ends the waiting.
///
/// # Errors
///
/// Fails if a listener cannot be bound or the security settings cannot be used; no task has
/// been started then.
pub async fn run_entry(
    settings: EntrySettings,
    clock: Arc<dyn Clock>,
    mut shutdown: Shutdown,
) -> Result<(), EntryError> {
    let security = PeerSecurity::from_settings(&settings.security).context(SecuritySnafu)?;
    let metrics = metrics::open_metrics(settings.metrics.as_ref()).context(MetricsSnafu)?;
    let grpc_server = security.grpc_server().context(SecuritySnafu)?;
    let listeners = Listeners::bind(&settings).await?;
    log::info!(event = "entry_started", vm = settings.vm.as_str(), callers = settings.listen.callers.to_string().as_str(); "entry VM listening");
    let running = Running::start(&settings, clock, security, metrics, listeners, grpc_server);
    shutdown.requested().await;
    running.stop(shutdown).await;
    log::info!(event = "entry_ended", vm = settings.vm.as_str(); "entry VM stopped");
    Ok(())
}

/// Holds the tasks of a running entry VM.
struct Running {
    cx: Arc<EntryContext>,
    goal: watch::Sender<SessionGoal>,
    session: JoinHandle<()>,
    servers: EntryServers,
}

impl Running {
    fn start(
        settings: &EntrySettings,
        clock: Arc<dyn Clock>,
        security: PeerSecurity,
        metrics: metrics::Metrics,
        listeners: Listeners,
        grpc_server: tonic::transport::Server,
    ) -> Self {
        let info = entry_info(settings);
        let (publish, state) = watch::channel(EntryState::default());
        let (events, events_rx) = mpsc::unbounded_channel();
        let (goal, goal_rx) = watch::channel(SessionGoal::Serve);
        let (round_trips, mut round_trips_rx) = mpsc::unbounded_channel();
        let pool = BackendPool::spawn();
        let peers = PeerClients::spawn(info.vm.clone(), security.clone(), round_trips);
        let links = LinkHandle::spawn(info.region.clone(), Arc::clone(&clock));
        let (admission_task, admission) = AdmissionTask::new(
            Arc::clone(&clock),
            events_rx,
            pool.clone(),
            peers.clone(),
            links.clone(),
            rand::random(),
        );
        tokio::spawn(admission_task.run());
        tokio::spawn({
            let admission = admission.clone();
            async move {
                while let Some((session, round_trip)) = round_trips_rx.recv().await {
                    admission.note_round_trip(session, round_trip);
                }
            }
        });
        let session = ControlSession::new(
            info.clone(),
            security.clone(),
            sync_targets(settings),
            Arc::clone(&clock),
            publish,
            events,
            goal_rx,
        );
        let relay = SessionRelayService::spawn(
            state.clone(),
            Arc::clone(&clock),
            security.clone(),
            settings.control.clone(),
        );
        let state = EntryStateReader::new(state, Arc::clone(&clock));
        let action_limits = ActionLimits::default();
        let cx = Arc::new(EntryContext {
            info,
            limits: settings.limits,
            clock: Arc::clone(&clock),
            actions: ActionHandle::spawn(state.clone(), Arc::clone(&clock), action_limits),
            state,
            admission,
            crashes: CrashTracker::of_owner(clock, pool.clone()),
            pool,
            forward: ForwardClients::spawn(security.clone(), links.clone()),
            links,
            peers,
            decisions: DecisionHandle::spawn(),
            metrics,
            request_ids: RequestIds::new(rand::random()),
        });
        if settings.metrics.is_some() {
            entry_metrics::spawn_gauges(&cx);
        }
        let servers = EntryServers::start(&cx, listeners, security, grpc_server, relay);
        Self {
            cx,
            goal,
            session: tokio::spawn(session.run()),
            servers,
        }
    }

    async fn stop(self, mut shutdown: Shutdown) {
        log::info!(event = "entry_leaving", vm = self.cx.info.vm.as_str(); "planned stop started");
        self.goal.send_replace(SessionGoal::Leave);
        self.servers.leave();
        tokio::select! {
            () = self.finish() => {}
            () = shutdown.requested_again() => {
                log::warn!(event = "entry_stop_forced", vm = self.cx.info.vm.as_str(); "second stop request: cutting off requests in flight");
            }
        }
        self.goal.send_replace(SessionGoal::Close);
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.session).await;
        self.servers.end();
    }

    async fn finish(&self) {
        let bound = self.cx.now() + LEAVE_TIMEOUT;
        let _ = tokio::time::timeout_at(bound.into(), self.wait_until_known_everywhere()).await;
        tokio::time::sleep(self.cache_time() + LOOK_UP_MARGIN).await;
        self.servers.stop_requests();
        let bound = self.cx.now() + self.longest_deadline() + FINISH_MARGIN;
        let _ = tokio::time::timeout_at(bound.into(), self.wait_until_finished()).await;
    }

    /// Waits until no entry VM names this one in look-ups or forwards requests to it.
    async fn wait_until_known_everywhere(&self) {
        let mut state = self.cx.state.clone();
        let mut leaving_since = None;
        loop {
            let read = state.read();
            let Some(session) = read.lease.session() else {
                return;
            };
            let own = read.view.sessions.get(&session);
            if own.is_none_or(|own| own.leaving) {
                let since = *leaving_since.get_or_insert(read.view.revision);
                if read.settled >= since {
                    return;
                }
            }
            state.changed().await;
        }
    }

    fn cache_time(&self) -> Duration {
        let state = self.cx.state.read();
        let cache_ms = state.manifest().map_or(0, |found| found.look_ups.cache_ms);
        Duration::from_millis(cache_ms.into())
    }

    fn longest_deadline(&self) -> Duration {
        let state = self.cx.state.read();
        let longest = state
            .manifest()
            .into_iter()
            .flat_map(|manifest| manifest.services.values())
            .flat_map(|service| &service.operations)
            .map(|operation| operation.deadline_ms)
            .max();
        Duration::from_millis(longest.unwrap_or(0).into())
    }

    async fn wait_until_finished(&self) {
        const POLL: Duration = Duration::from_millis(10);
        while !self.servers.requests_finished() {
            tokio::time::sleep(POLL).await;
        }
        // Callers of these actions may have disconnected, and will ask the backup once this
        // process has ended: it must know the outcomes by then.
        while !self.cx.actions.runs().is_empty() {
            tokio::time::sleep(POLL).await;
        }
        while !self.cx.admission.status().await.idle {
            tokio::time::sleep(POLL).await;
        }
    }
}

fn entry_info(settings: &EntrySettings) -> EntryInfo {
    let advertised = settings.advertised();
    EntryInfo {
        vm: settings.vm.clone(),
        place: settings.place.clone(),
        region: settings.region.clone(),
        callers: advertised.callers,
        backend_servers: advertised.backend_servers,
        peers: advertised.peers,
        forward: advertised.forward,
    }
}

fn sync_targets(settings: &EntrySettings) -> SyncTargets {
    SyncTargets::new(
        settings.control.clone(),
        settings.relay_min_entries as usize,
    )
}
