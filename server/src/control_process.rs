//! Process of a control replica: starts and stops its tasks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::clock::Clock;
use heatherring_lib::heartbeat_timing::HeartbeatTiming;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::presence_report::ReplicaEndpoints;
use heatherring_lib::settings::ControlSettings;
use heatherring_lib::settings::DirectControlSettings;
use heatherring_lib::settings::FormationSettings;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinError;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::control_format::FormatError;
use crate::control_listeners::ControlListeners;
use crate::control_node::ControlNode;
use crate::control_node::ControlNodeError;
use crate::control_node::NodeConfig;
use crate::control_node::VoterPolicy;
use crate::control_services::ServerResult;
use crate::control_services::ServiceGates;
use crate::control_services::Services;
use crate::control_work::WorkMeter;
use crate::data_folder::FolderDisk;
use crate::data_folder::Identity;
use crate::fleet_control::FleetControl;
use crate::fleet_service::FleetService;
use crate::formation;
use crate::interface::ControlInterface;
use crate::late_control::LateControl;
use crate::log_disk::DiskError;
use crate::log_disk::LogDisk;
use crate::log_disk::Recovered;
use crate::metric;
use crate::node_request::NodeHandle;
use crate::operator_service::OperatorService;
use crate::peer_channel::PeerChannels;
use crate::peer_links::PeerLinks;
use crate::peer_security::PeerSecurity;
use crate::peer_security::PeerSecurityError;
use crate::presence_task;
use crate::presence_task::PresenceHandle;
use crate::presence_task::PresenceSetup;
use crate::published_state;
use crate::published_state::StateReader;
use crate::quarantine_monitor::QuarantineMonitor;
use crate::replication_service::ReplicationService;
use crate::rollout_task;
use crate::rollout_task::RolloutSetup;
use crate::seed_source::SeedSource;
use crate::session_service::SessionService;
use crate::shutdown::Shutdown;
use crate::statement_relay::StatementRelay;
use crate::statement_relay::StatementRelaySetup;
use crate::token_issuer::TokenIssuer;

/// Time for connections to finish once the replica has stopped.
const FINISH_TIMEOUT: Duration = Duration::from_secs(3);

/// Reason for which a control replica cannot start or continue.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The data folder cannot be used.
    #[snafu(display("data folder {}: {source}", folder.display()))]
    Folder {
        /// Path of the data folder.
        folder: PathBuf,
        /// Cause of the failure.
        source: DiskError,
    },
    /// The data folder could not be formatted.
    #[snafu(display("{source}"))]
    Format {
        /// Cause of the failure.
        source: FormatError,
    },
    /// The data folder could not be emptied.
    #[snafu(display("cannot empty the data folder: {source}"))]
    Erase {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The replica cannot listen on an address of the settings.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The certificates of the settings cannot be used.
    #[snafu(display("{source}"))]
    Security {
        /// Cause of the failure.
        source: PeerSecurityError,
    },
    /// The task that owns the replica failed.
    #[snafu(display("the replica stopped: {source}"))]
    Node {
        /// Cause of the failure.
        source: ControlNodeError,
    },
    /// The gRPC server failed.
    #[snafu(display("the gRPC server failed: {source}"))]
    Server {
        /// Error of the server.
        source: tonic::transport::Error,
    },
    /// A task panicked or was aborted.
    #[snafu(display("a task of the replica was aborted: {source}"))]
    Task {
        /// Whether it panicked or was aborted.
        source: JoinError,
    },
}

impl ControlError {
    /// Returns whether the cause is the settings or the state of the data folder, rather than the
    /// program or its VM.
    #[must_use]
    pub const fn is_user_error(&self) -> bool {
        match self {
            Self::Folder { source, .. } => source.is_user_error(),
            Self::Listen { .. } | Self::Security { .. } => true,
            Self::Format { .. }
            | Self::Erase { .. }
            | Self::Node { .. }
            | Self::Server { .. }
            | Self::Task { .. } => false,
        }
    }
}

/// Reason for which a control replica has ended without an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlEnd {
    /// A stop was requested.
    Stopped,
    /// Another replica has taken its place, and its data folder was emptied. It can join again
    /// under a fresh identity, once all tasks of this run have ended.
    Replaced,
}

/// Runs a control replica until `shutdown` requests a stop, or until it has been replaced.
///
/// A planned stop hands leadership over, answers pending requests and closes the connections;
/// a second request of `shutdown` skips the remaining steps. `interface` implements the protocol
/// of the listeners for direct dispatch, if the settings name any.
///
/// # Errors
///
/// Fails if the replica cannot start, in which case nothing has been started, or if it cannot
/// continue, for instance after a failed sync.
pub async fn run_control(
    settings: ControlSettings,
    clock: Arc<dyn Clock>,
    shutdown: Shutdown,
    interface: Option<Arc<dyn ControlInterface>>,
) -> Result<ControlEnd, ControlError> {
    let formation = settings.formation.as_ref();
    let seeds = formation.map_or_else(Vec::new, FormationSettings::peers);
    let seeds = SeedSource::fixed(seeds);
    run_control_with_seeds(settings, clock, shutdown, interface, seeds).await
}

/// Runs a control replica like [`run_control`]. If it joins, it asks the replicas that `seeds` names by
/// then, instead of those of the settings.
///
/// # Errors
///
/// Fails as [`run_control`] does.
pub async fn run_control_with_seeds(
    settings: ControlSettings,
    clock: Arc<dyn Clock>,
    mut shutdown: Shutdown,
    interface: Option<Arc<dyn ControlInterface>>,
    seeds: SeedSource,
) -> Result<ControlEnd, ControlError> {
    let security = PeerSecurity::from_settings(&settings.security).context(SecuritySnafu)?;
    let listener = TcpListener::bind(settings.listen)
        .await
        .context(ListenSnafu {
            address: settings.listen,
        })?;
    let stop_listeners = CancellationToken::new();
    let _stop_at_return = stop_listeners.clone().drop_guard();
    if let Some(address) = settings.metrics_listen {
        let serving = metric::serve(address, Arc::clone(&clock), stop_listeners.clone()).await;
        serving.context(ListenSnafu { address })?;
    }
    let late_control = LateControl::default();
    let interface = interface.as_ref();
    let direct_listeners =
        serve_direct(&settings, interface, &late_control, &clock, &stop_listeners).await?;
    let (stop_server, server_stopped) = oneshot::channel();
    let builder = security.grpc_server().context(SecuritySnafu)?;
    let (gates, mut server) = ServiceGates::serve(builder, listener, server_stopped);
    let channels = PeerChannels::new(security.clone()).leaving_from(settings.listen.ip());
    let (disk, recovered) = tokio::select! {
        opened = open_folder(&settings, &seeds, &channels, &*clock) => opened?,
        result = &mut server => return server_result(result).map(|()| ControlEnd::Stopped),
        () = shutdown.requested() => {
            log::info!(event = "control_ended"; "stop requested while joining");
            return Ok(ControlEnd::Stopped);
        }
    };
    let identity = recovered.identity;
    let links = PeerLinks::new(
        identity.cluster,
        identity.replica,
        settings.advertised(),
        channels.clone(),
    );
    let (state_publisher, published) = published_state::channel();
    let work = WorkMeter::new(Arc::clone(&clock));
    let node = ControlNode::new(
        node_config(&settings),
        Arc::clone(&clock),
        disk,
        recovered,
        links,
    )
    .context(NodeSnafu)?
    .with_publisher(state_publisher)
    .with_work_meter(work.clone());
    let (handle, rx) = NodeHandle::channel();
    let mut node = tokio::spawn(node.run(rx));
    let fleet = serve_fleet(
        &settings, identity, &clock, &published, &handle, &channels, &work,
    );
    tokio::spawn(work.run_log());
    let fleet_service = fleet_service(
        &settings, identity, &clock, &published, &fleet, &channels, &handle,
    );
    late_control.set(fleet.clone());
    gates.open(Services {
        replication: ReplicationService::new(identity, handle.clone()),
        operators: OperatorService::new(
            identity.cluster,
            handle.clone(),
            fleet,
            fleet_service.statements().clone(),
        ),
        sessions: SessionService::new(identity.cluster, settings.timing, handle.clone()),
        fleet: fleet_service,
    });
    let removed = until_removed(&settings, identity, published, channels, clock);
    log::info!(
        event = "control_started",
        vm = settings.vm.as_str(),
        replica = identity.replica.0,
        cluster:% = identity.cluster,
        listen:% = settings.listen;
        "control replica started"
    );
    tokio::select! {
        result = &mut node => return node_result(result).map(|()| ControlEnd::Stopped),
        result = &mut server => return server_result(result).map(|()| ControlEnd::Stopped),
        () = removed => return erase_replaced(&settings),
        () = shutdown.requested() => {}
    }
    log::info!(event = "control_leaving"; "planned stop: handing leadership over");
    handle.leave().await;
    tokio::select! {
        result = &mut node => node_result(result)?,
        () = shutdown.requested_again() => return Ok(ControlEnd::Stopped),
    }
    stop_listeners.cancel();
    // Sending fails only if the server has ended by itself.
    let _ = stop_server.send(());
    finish_connections(direct_listeners, server, &mut shutdown).await?;
    log::info!(event = "control_ended"; "control replica stopped");
    Ok(ControlEnd::Stopped)
}

/// Waits until the connections have ended, for a limited time.
///
/// Operators' calls that were relayed to the leader still get its answer. An operator whose call gets
/// none sends it again, without knowing whether it is already in force.
async fn finish_connections(
    direct_listeners: JoinHandle<()>,
    server: JoinHandle<ServerResult>,
    shutdown: &mut Shutdown,
) -> Result<(), ControlError> {
    let finished = async {
        direct_listeners.await.context(TaskSnafu)?;
        server_result(server.await)
    };
    tokio::select! {
        result = finished => result?,
        () = shutdown.requested_again() => {}
        () = tokio::time::sleep(FINISH_TIMEOUT) => log::warn!(event = "control_stop_late"; "some connections did not end in time; closing them"),
    }
    Ok(())
}

/// Opens the data folder, and formats it first if needed and the settings describe how. In that
/// case, a damaged log counts as lost: the replica joins again under a fresh identity.
async fn open_folder(
    settings: &ControlSettings,
    seeds: &SeedSource,
    channels: &PeerChannels,
    clock: &dyn Clock,
) -> Result<(LogDisk<FolderDisk>, Recovered), ControlError> {
    let folder = &settings.data_folder;
    let Some(formation) = &settings.formation else {
        let opened = formation::open_when_room(settings).await;
        return opened.context(FolderSnafu { folder });
    };
    let prepared = formation::prepare(settings, formation, seeds, channels, clock).await;
    prepared.context(FormatSnafu)?;
    match formation::open_when_room(settings).await {
        Err(DiskError::Damaged { source }) => {
            log::error!(event = "log_damaged", error:% = source; "the log is damaged; joining again with an empty data folder");
            formation::erase(settings).context(EraseSnafu)?;
            let joining = FormationSettings {
                first_start: false,
                ..formation.clone()
            };
            let prepared = formation::prepare(settings, &joining, seeds, channels, clock).await;
            prepared.context(FormatSnafu)?;
            let opened = formation::open_when_room(settings).await;
            opened.context(FolderSnafu { folder })
        }
        opened => opened.context(FolderSnafu { folder }),
    }
}

fn node_config(settings: &ControlSettings) -> NodeConfig {
    let self_repair = |formation: &FormationSettings| VoterPolicy::SelfRepair {
        target: formation.voters as usize,
        replacement_within: formation.replacement_within.0,
    };
    NodeConfig {
        timing: settings.timing,
        snapshot_every: settings.snapshot_every,
        seed: rand::random(),
        voters: settings
            .formation
            .as_ref()
            .map_or(VoterPolicy::Operators, self_repair),
    }
}

fn heartbeat_timing(settings: &ControlSettings) -> HeartbeatTiming {
    let direct = settings.direct.as_ref();
    direct
        .map(DirectControlSettings::heartbeat_timing)
        .unwrap_or_default()
}

/// Starts the tasks for direct dispatch, which run whether the settings enable it or not.
fn serve_fleet(
    settings: &ControlSettings,
    identity: Identity,
    clock: &Arc<dyn Clock>,
    published: &StateReader,
    node: &NodeHandle,
    channels: &PeerChannels,
    work: &WorkMeter,
) -> FleetControl {
    let presence = presence_task::spawn(PresenceSetup {
        cluster: identity.cluster,
        vm: settings.vm.clone(),
        endpoints: ReplicaEndpoints {
            address: settings.advertised(),
            announcements: settings.direct.as_ref().map(|direct| direct.listen),
            place: settings.place.clone(),
        },
        clock: Arc::clone(clock),
        published: published.clone(),
        node: node.clone(),
        channels: channels.clone(),
        timing: heartbeat_timing(settings),
        work: work.clone(),
    });
    if let Some(direct) = &settings.direct {
        let places = direct.places.clone();
        tokio::spawn(follow_regions(presence.clone(), node.clone(), places));
    }
    let rollouts = rollout_task::spawn(RolloutSetup {
        cluster: identity.cluster,
        clock: Arc::clone(clock),
        published: published.clone(),
        presence: presence.clone(),
        node: node.clone(),
        channels: channels.clone(),
    });
    let keeper = QuarantineMonitor::new(Arc::clone(clock), published.clone(), node.clone());
    tokio::spawn(keeper.run());
    FleetControl::new(
        Arc::clone(clock),
        settings.direct.clone(),
        published.clone(),
        node.clone(),
        presence,
        rollouts,
        work.clone(),
    )
}

/// Starts the services for entry VMs that dispatch directly.
fn fleet_service(
    settings: &ControlSettings,
    identity: Identity,
    clock: &Arc<dyn Clock>,
    published: &StateReader,
    fleet: &FleetControl,
    channels: &PeerChannels,
    handle: &NodeHandle,
) -> FleetService {
    let direct = settings.direct.as_ref();
    let tolerance = direct.map(|direct| direct.team_limits);
    let tokens = TokenIssuer::new(
        Arc::clone(clock),
        settings.advertised(),
        tolerance.unwrap_or_default(),
        published.clone(),
    );
    let statements = StatementRelay::spawn(StatementRelaySetup {
        cluster: identity.cluster,
        own: settings.advertised(),
        clock: Arc::clone(clock),
        published: published.clone(),
        channels: channels.clone(),
    });
    FleetService::new(
        identity.cluster,
        Arc::clone(clock),
        fleet.clone(),
        handle.clone(),
        tokens,
        statements,
    )
}

/// Tells the replica the regions of all replicas whenever they change.
async fn follow_regions(
    mut presence: PresenceHandle,
    node: NodeHandle,
    places: BTreeMap<PlaceName, RegionName>,
) {
    let mut last_sent = BTreeMap::new();
    loop {
        let replicas = presence.view().replicas;
        let regions: BTreeMap<SocketAddr, RegionName> = replicas
            .iter()
            .filter_map(|known| {
                let region = places.get(&known.endpoints.place)?;
                Some((known.endpoints.address, region.clone()))
            })
            .collect();
        if regions != last_sent {
            last_sent.clone_from(&regions);
            node.note_regions(regions).await;
        }
        presence.changed().await;
    }
}

/// Serves the listeners for backend servers, operators and callers. The returned task ends once
/// `stop` is cancelled and all requests read by then are answered.
async fn serve_direct(
    settings: &ControlSettings,
    interface: Option<&Arc<dyn ControlInterface>>,
    control: &LateControl,
    clock: &Arc<dyn Clock>,
    stop: &CancellationToken,
) -> Result<JoinHandle<()>, ControlError> {
    let (Some(direct), Some(interface)) = (&settings.direct, interface) else {
        return Ok(tokio::spawn(std::future::ready(())));
    };
    match ControlListeners::bind(direct).await {
        Ok(listeners) => Ok(listeners.serve(interface, control, clock, stop)),
        Err((address, source)) => Err(ControlError::Listen { address, source }),
    }
}

/// Returns once this replica has been replaced by another one; never without self-formation.
async fn until_removed(
    settings: &ControlSettings,
    identity: Identity,
    published: StateReader,
    channels: PeerChannels,
    clock: Arc<dyn Clock>,
) {
    match settings.formation.clone() {
        Some(formation) => {
            let settings = settings.clone();
            formation::until_removed(settings, formation, identity, published, channels, clock)
                .await;
        }
        None => std::future::pending().await,
    }
}

/// Empties the data folder of a replica that was replaced, so that it can join again.
fn erase_replaced(settings: &ControlSettings) -> Result<ControlEnd, ControlError> {
    log::warn!(event = "replaced"; "this replica was replaced; emptying its data folder, so that it joins again");
    formation::erase(settings).context(EraseSnafu)?;
    Ok(ControlEnd::Replaced)
}

fn node_result(
    result: Result<Result<(), ControlNodeError>, JoinError>,
) -> Result<(), ControlError> {
    result.context(TaskSnafu)?.context(NodeSnafu)
}

fn server_result(result: Result<ServerResult, JoinError>) -> Result<(), ControlError> {
    result.context(TaskSnafu)?.context(ServerSnafu)
}
