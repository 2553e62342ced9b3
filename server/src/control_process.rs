//! The process of a control replica: starts and stops its tasks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::clock::Clock;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::manifest_text::MAX_MANIFEST_BYTES;
use heatherring_lib::presence_report::ReplicaEndpoints;
use heatherring_lib::settings::ControlSettings;
use heatherring_lib::settings::FormationSettings;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinError;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::control_format::FormatError;
use crate::control_listeners::ControlListeners;
use crate::control_node::ControlNode;
use crate::control_node::ControlNodeError;
use crate::control_node::NodeConfig;
use crate::control_node::VoterPolicy;
use crate::data_folder::FolderDisk;
use crate::data_folder::Identity;
use crate::fleet_control::FleetControl;
use crate::fleet_service::FleetService;
use crate::formation;
use crate::interface::ControlInterface;
use crate::log_disk::DiskError;
use crate::log_disk::LogDisk;
use crate::log_disk::Recovered;
use crate::metric;
use crate::node_request::NodeHandle;
use crate::operator_service::OperatorService;
use crate::peer_channel::PeerChannels;
use crate::peer_links::MAX_MESSAGE_BYTES;
use crate::peer_links::PeerLinks;
use crate::peer_security::PeerSecurity;
use crate::peer_security::PeerSecurityError;
use crate::presence_task;
use crate::presence_task::PresenceHandle;
use crate::presence_task::PresenceSetup;
use crate::proto::fleet_server::FleetServer;
use crate::proto::operator_server::OperatorServer;
use crate::proto::replication_server::ReplicationServer;
use crate::proto::session_server::SessionServer;
use crate::published_state;
use crate::published_state::StateReader;
use crate::quarantine_keeper::QuarantineKeeper;
use crate::replication_service::ReplicationService;
use crate::session_service::SessionService;
use crate::shutdown::Shutdown;
use crate::token_issuer::TokenIssuer;

/// Largest submission that is taken, in bytes: a manifest and who submits it.
const MAX_SUBMISSION_BYTES: usize = MAX_MANIFEST_BYTES + (64 << 10);

/// Largest request of an entry VM, in bytes.
const MAX_SYNC_BYTES: usize = 64 << 10;

/// Silence of a connection after which it is probed, and time for the answer. Without
/// it, connections of VMs that vanished would hold their sockets for hours.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Requests at one time over one connection: a follower passes on those of all entry VMs.
const MAX_STREAMS: u32 = 4_096;

/// Time for which answers may still be under way once the replica has stopped.
const FINISH_WITHIN: Duration = Duration::from_secs(3);

/// Tells why a control replica can't start or go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The data folder can't be used.
    #[snafu(display("data folder {}: {source}", folder.display()))]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// Why.
        source: DiskError,
    },
    /// The data folder couldn't be formatted.
    #[snafu(display("{source}"))]
    Format {
        /// Why.
        source: FormatError,
    },
    /// The data folder couldn't be emptied.
    #[snafu(display("can't empty the data folder: {source}"))]
    Erase {
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The address of the settings can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The certificates of the settings can't be used.
    #[snafu(display("{source}"))]
    Security {
        /// Why.
        source: PeerSecurityError,
    },
    /// The replica stopped.
    #[snafu(display("the replica stopped: {source}"))]
    Node {
        /// Why.
        source: ControlNodeError,
    },
    /// The server failed.
    #[snafu(display("the server failed: {source}"))]
    Server {
        /// How.
        source: tonic::transport::Error,
    },
    /// A task panicked.
    #[snafu(display("a task of the replica was aborted: {source}"))]
    Task {
        /// How.
        source: JoinError,
    },
}

impl ControlError {
    /// Returns whether the settings or the state of the folder are at fault, rather
    /// than the program or its VM.
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

/// Runs a control replica until `shutdown` asks it to stop.
///
/// A planned stop hands leadership over, answers what waits and ends the connections;
/// the second request of `shutdown` skips what is left of that. `interface` is spoken on
/// the listeners for direct dispatch, if the settings name any.
///
/// # Errors
///
/// Fails if the replica can't start, in which case nothing has been started, or if it
/// can't go on, for instance after a failed sync.
pub async fn run_control(
    settings: ControlSettings,
    clock: Arc<dyn Clock>,
    mut shutdown: Shutdown,
    interface: Option<Arc<dyn ControlInterface>>,
) -> Result<(), ControlError> {
    let security = PeerSecurity::from_settings(&settings.security).context(SecuritySnafu)?;
    let listener = TcpListener::bind(settings.listen)
        .await
        .context(ListenSnafu {
            address: settings.listen,
        })?;
    let channels = PeerChannels::new(security.clone()).leaving_from(settings.listen.ip());
    let (disk, recovered) = tokio::select! {
        opened = open_folder(&settings, &channels) => opened?,
        () = shutdown.requested() => {
            log::info!(event = "control_ended"; "asked to stop while joining");
            return Ok(());
        }
    };
    let identity = recovered.identity;
    let links = PeerLinks::new(
        identity.cluster,
        identity.replica,
        settings.advertised(),
        channels.clone(),
    );
    let (publisher, published) = published_state::channel();
    let node = ControlNode::new(
        node_config(&settings),
        Arc::clone(&clock),
        disk,
        recovered,
        links,
    )
    .context(NodeSnafu)?
    .publishing(publisher);
    let (handle, rx) = NodeHandle::channel();
    let mut node = tokio::spawn(node.run(rx));
    let fleet = serve_fleet(&settings, identity, &clock, &published, &handle, &channels);
    let stop_listeners = CancellationToken::new();
    if let Some(address) = settings.metrics_listen {
        let serving = metric::serve(address, Arc::clone(&clock), stop_listeners.clone()).await;
        serving.context(ListenSnafu { address })?;
    }
    let interface = interface.as_ref();
    let outside = serve_outside(&settings, interface, &fleet, &clock, &stop_listeners).await?;
    let (stop_server, server_stopped) = oneshot::channel();
    let builder = security.grpc_server().context(SecuritySnafu)?;
    let direct = settings.direct.as_ref();
    let tolerance = direct.map(|direct| direct.team_limits);
    let tokens = TokenIssuer::new(
        Arc::clone(&clock),
        settings.advertised(),
        tolerance.unwrap_or_default(),
        published.clone(),
    );
    let fleet_service = FleetService::new(
        identity.cluster,
        Arc::clone(&clock),
        fleet,
        handle.clone(),
        tokens,
    );
    let services = Services::new(&settings, identity, &handle, fleet_service);
    let mut server = services.serve(builder, listener, server_stopped);
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
        result = &mut node => return node_result(result),
        result = &mut server => return server_result(result),
        () = removed => return leave_for_good(&settings),
        () = shutdown.requested() => {}
    }
    log::info!(event = "control_leaving"; "planned stop: handing over");
    handle.leave().await;
    tokio::select! {
        result = &mut node => node_result(result)?,
        () = shutdown.insisted() => return Ok(()),
    }
    stop_listeners.cancel();
    // The server may have ended by itself; then nobody listens to this.
    let _ = stop_server.send(());
    // Orders that were passed on to the leader are answered by it. One without an answer is
    // sent again by its operator, who can't know whether it is in force meanwhile.
    let finished = async {
        outside.await.context(TaskSnafu)?;
        server_result((&mut server).await)
    };
    tokio::select! {
        result = finished => result?,
        () = shutdown.insisted() => {}
        () = tokio::time::sleep(FINISH_WITHIN) => log::warn!(event = "control_stop_late"; "some connections did not end in time"),
    }
    log::info!(event = "control_ended"; "control replica stopped");
    Ok(())
}

/// Opens the data folder, after it was formatted if the settings say how. A log that can't
/// be trusted counts as lost then: the replica joins again under a fresh identity.
async fn open_folder(
    settings: &ControlSettings,
    channels: &PeerChannels,
) -> Result<(LogDisk<FolderDisk>, Recovered), ControlError> {
    let folder = &settings.data_folder;
    let Some(formation) = &settings.formation else {
        return formation::open(settings).context(FolderSnafu { folder });
    };
    let prepared = formation::prepare(settings, formation, channels).await;
    prepared.context(FormatSnafu)?;
    match formation::open(settings) {
        Err(DiskError::Damaged { source }) => {
            log::error!(event = "log_damaged", error:% = source; "the log can't be trusted: joining again with an empty folder");
            formation::erase(settings).context(EraseSnafu)?;
            let joining = FormationSettings {
                first_start: false,
                ..formation.clone()
            };
            let prepared = formation::prepare(settings, &joining, channels).await;
            prepared.context(FormatSnafu)?;
            formation::open(settings).context(FolderSnafu { folder })
        }
        opened => opened.context(FolderSnafu { folder }),
    }
}

fn node_config(settings: &ControlSettings) -> NodeConfig {
    let self_repair = |formation: &FormationSettings| VoterPolicy::SelfRepair {
        target: formation.voters as usize,
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

/// Starts what direct dispatch needs of this replica, whether anybody uses it or not.
fn serve_fleet(
    settings: &ControlSettings,
    identity: Identity,
    clock: &Arc<dyn Clock>,
    published: &StateReader,
    node: &NodeHandle,
    channels: &PeerChannels,
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
    });
    if let Some(direct) = &settings.direct {
        let places = direct.places.clone();
        tokio::spawn(follow_regions(presence.clone(), node.clone(), places));
    }
    let keeper = QuarantineKeeper::new(Arc::clone(clock), published.clone(), node.clone());
    tokio::spawn(keeper.run());
    FleetControl::new(
        Arc::clone(clock),
        settings.direct.clone(),
        published.clone(),
        node.clone(),
        presence,
    )
}

/// Tells the replica in which regions the others are, whenever that changes.
async fn follow_regions(
    mut presence: PresenceHandle,
    node: NodeHandle,
    places: BTreeMap<PlaceName, RegionName>,
) {
    let mut told = BTreeMap::new();
    loop {
        let replicas = presence.view().replicas;
        let regions: BTreeMap<SocketAddr, RegionName> = replicas
            .iter()
            .filter_map(|known| {
                let region = places.get(&known.endpoints.place)?;
                Some((known.endpoints.address, region.clone()))
            })
            .collect();
        if regions != told {
            told.clone_from(&regions);
            node.note_regions(regions).await;
        }
        presence.changed().await;
    }
}

/// Listens to those who aren't part of the system. The returned task ends once the stop was
/// asked for and what was read is answered.
async fn serve_outside(
    settings: &ControlSettings,
    interface: Option<&Arc<dyn ControlInterface>>,
    fleet: &FleetControl,
    clock: &Arc<dyn Clock>,
    stop: &CancellationToken,
) -> Result<JoinHandle<()>, ControlError> {
    let (Some(direct), Some(interface)) = (&settings.direct, interface) else {
        return Ok(tokio::spawn(std::future::ready(())));
    };
    match ControlListeners::bind(direct).await {
        Ok(listeners) => Ok(listeners.serve(interface, fleet, clock, stop)),
        Err((address, source)) => Err(ControlError::Listen { address, source }),
    }
}

/// Returns once this replica was replaced by another one; never without self-formation.
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

/// Empties the folder of a replica that was replaced; the process joins again when it is
/// started anew.
fn leave_for_good(settings: &ControlSettings) -> Result<(), ControlError> {
    log::warn!(event = "replaced"; "this replica was replaced: its folder is emptied, and it joins again at its next start");
    formation::erase(settings).context(EraseSnafu)
}

fn node_result(
    result: Result<Result<(), ControlNodeError>, JoinError>,
) -> Result<(), ControlError> {
    result.context(TaskSnafu)?.context(NodeSnafu)
}

type ServerResult = Result<(), tonic::transport::Error>;

fn server_result(result: Result<ServerResult, JoinError>) -> Result<(), ControlError> {
    result.context(TaskSnafu)?.context(ServerSnafu)
}

/// Holds what the replica's listener offers.
struct Services {
    replication: ReplicationServer<ReplicationService>,
    operators: OperatorServer<OperatorService>,
    sessions: SessionServer<SessionService>,
    fleet: FleetServer<FleetService>,
}

impl Services {
    fn new(
        settings: &ControlSettings,
        identity: Identity,
        node: &NodeHandle,
        fleet: FleetService,
    ) -> Self {
        let replication = ReplicationService::new(identity, node.clone());
        let operators = OperatorService::new(identity.cluster, node.clone());
        let sessions = SessionService::new(identity.cluster, settings.timing, node.clone());
        Self {
            replication: ReplicationServer::new(replication)
                .max_decoding_message_size(MAX_MESSAGE_BYTES)
                .max_encoding_message_size(MAX_MESSAGE_BYTES),
            operators: OperatorServer::new(operators)
                .max_decoding_message_size(MAX_SUBMISSION_BYTES)
                .max_encoding_message_size(MAX_MESSAGE_BYTES),
            sessions: SessionServer::new(sessions)
                .max_decoding_message_size(MAX_SYNC_BYTES)
                .max_encoding_message_size(MAX_MESSAGE_BYTES),
            fleet: FleetServer::new(fleet)
                .max_decoding_message_size(MAX_MESSAGE_BYTES)
                .max_encoding_message_size(MAX_MESSAGE_BYTES),
        }
    }

    fn serve(
        self,
        builder: Server,
        listener: TcpListener,
        stopped: oneshot::Receiver<()>,
    ) -> JoinHandle<ServerResult> {
        let router = builder
            .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT))
            .max_concurrent_streams(Some(MAX_STREAMS))
            .add_service(self.replication)
            .add_service(self.operators)
            .add_service(self.sessions)
            .add_service(self.fleet);
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        tokio::spawn(async move {
            router
                .serve_with_incoming_shutdown(incoming, async {
                    // Both a message and a dropped sender mean that the process ends.
                    let _ = stopped.await;
                })
                .await
        })
    }
}
