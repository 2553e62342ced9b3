//! The process of an entry VM that dispatches directly: starts and stops its tasks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use heatherring_lib::clock::Clock;
use heatherring_lib::direct_dispatch::DispatchConfig;
use heatherring_lib::direct_settings::DirectListen;
use heatherring_lib::direct_settings::DirectSettings;
use heatherring_lib::direct_settings::LinkSettings;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::headroom::Headroom;
use heatherring_lib::link_load::LinkLoad;
use heatherring_lib::planned_stop::PlannedStop;
use heatherring_lib::settings_text::read_direct_settings;
use http::Request;
use http::Response;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::answer_body::AnswerBody;
use crate::backend_pool::BackendPool;
use crate::cold_querier::ColdQuerier;
use crate::crash_tracker::CrashTracker;
use crate::direct_admission::FIRST_VIEW_WAIT;
use crate::direct_context::DirectContext;
use crate::direct_path::DirectHandler;
use crate::direct_send::DirectSender;
use crate::dispatch_task::DispatchHandle;
use crate::entry_directory::EntryDirectory;
use crate::fleet_follower;
use crate::fleet_follower::Followed;
use crate::fleet_follower::FollowerSetup;
use crate::headroom_task;
use crate::headroom_task::HeadroomSetup;
use crate::http_server;
use crate::http_server::Admittance;
use crate::http_server::Arrival;
use crate::http_server::ConnectionLimits;
use crate::http_server::ConnectionUsage;
use crate::http_server::Handler;
use crate::http_server::HttpBounds;
use crate::http_server::HttpVersions;
use crate::http_server::LimitsSource;
use crate::http_server::Stops;
use crate::interface::EntryInterface;
use crate::interface::LookUpInterface;
use crate::link_pacer::LinkPacer;
use crate::look_up_handler::LookUpHandler;
use crate::metric;
use crate::peer_channel::PeerChannels;
use crate::peer_security::PeerSecurity;
use crate::peer_security::PeerSecurityError;
use crate::proved_view::ProvedViewReader;
use crate::request_body::RequestBody;
use crate::rollout_reporter::RolloutReporter;
use crate::shutdown::Shutdown;
use crate::statement_reporter::StatementReporter;
use crate::stop_observer::StopObserver;
use crate::stop_observer::StopState;
use crate::token_task::TokenHandle;
use crate::token_task::TokenSetup;

/// Maximum number of open connections at one listener; the remaining file descriptors are left
/// for connections to backend servers.
const MAX_CONNECTIONS: usize = 2_000;

/// Margin added to the connection time-outs that a manifest gives callers. What a caller sends
/// at the last moment is still in transit, and closing the connection meanwhile would fail its
/// request.
const LIMIT_MARGIN: Duration = Duration::from_secs(2);

/// Interval between checks of the settings file.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Why an entry VM could not start.
#[derive(Debug, Snafu)]
pub enum DirectError {
    /// An address of the settings could not be listened on.
    #[snafu(display("cannot listen on {address} for {purpose}: {source}"))]
    Listen {
        /// The listener, as named in the settings.
        purpose: &'static str,
        /// The address of the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The security settings are not usable.
    #[snafu(display("{source}"))]
    Security {
        /// The reason.
        source: PeerSecurityError,
    },
}

/// Answers readiness checks of this entry VM.
#[derive(Clone, Debug)]
struct ReadyHandler {
    interface: Arc<dyn EntryInterface>,
    ready: watch::Receiver<bool>,
}

impl Handler for ReadyHandler {
    async fn handle(&self, _arrival: Arrival, req: Request<RequestBody>) -> Response<AnswerBody> {
        let ready = *self.ready.borrow();
        self.interface.answer_ready(ready, &req)
    }
}

/// Runs an entry VM until `shutdown` requests a stop and all accepted requests are finished.
///
/// On a planned stop the entry VM at once reports that it no longer accepts requests, to control
/// and in readiness checks. It serves the requests that still arrive for a while, then accepts
/// no more, and finishes those in progress.
///
/// # Errors
///
/// Fails if a listener cannot be bound or the security settings are not usable.
pub async fn run_direct(
    settings: DirectSettings,
    settings_file: PathBuf,
    interface: Arc<dyn EntryInterface>,
    clock: Arc<dyn Clock>,
    mut shutdown: Shutdown,
) -> Result<(), DirectError> {
    let security = PeerSecurity::from_settings(&settings.security).context(SecuritySnafu)?;
    let listeners = Listeners::bind(&settings.listen).await?;
    let until_end = CancellationToken::new();
    serve_metrics(&settings.listen, &clock, &until_end).await?;
    let (seeds_tx, seeds) = watch::channel(settings.control_peers());
    watch_settings(settings_file, seeds_tx);
    let (ready_tx, ready) = watch::channel(false);
    let connections = ConnectionUsage::default();
    let link = link_pacer(&settings, &clock);
    let load = link.as_ref().map(LinkPacer::load);
    let room = headroom_setup(&settings, &connections, load.clone(), &clock);
    let room = headroom_task::spawn(room);
    let channels = PeerChannels::new(security).leaving_from(settings.listen.callers.ip());
    let FollowerTasks {
        dispatch,
        tokens,
        pool,
        crashes,
        followed,
    } = FollowerTasks::start(
        &settings,
        &clock,
        seeds,
        ready.clone(),
        &room,
        load,
        channels,
    );
    let view = followed.view.clone();
    let directory = EntryDirectory::new(&settings, &clock, ready.clone(), &followed, room);
    let querier = ColdQuerier {
        clock: Arc::clone(&clock),
        dispatch: dispatch.clone(),
        pool: pool.clone(),
        interface: Arc::clone(&interface),
    };
    tokio::spawn(querier.run());
    let (stop_tx, stopping) = StopObserver::new();
    let sender = DirectSender::new(
        pool,
        Arc::clone(&interface),
        view.clone(),
        dispatch.clone(),
        crashes.clone(),
        stopping.clone(),
    )
    .paced_by(link);
    let cx = Arc::new(DirectContext {
        vm: settings.vm.clone(),
        last_contact: followed.last_contact,
        proved_view: ProvedViewReader::new(view.clone(), followed.proved),
        clock: Arc::clone(&clock),
        interface: Arc::clone(&interface),
        view: view.clone(),
        dispatch,
        tokens,
        crashes,
        sender,
        split_rotations: Mutex::new(HashMap::new()),
        stopping,
        in_force_within: settings.in_force_within.0,
        first_view_wait: first_view_wait(&settings),
    });
    let stops = Stops {
        leaving: CancellationToken::new(),
        stop: CancellationToken::new(),
    };
    let bounds = bounds(view.clone(), &clock);
    let caller_bounds = bounds.clone().counting(connections);
    let handler = DirectHandler::new(cx);
    let serving = serve(listeners.callers, handler, &caller_bounds, stops.clone());
    if let Some(look_ups) = listeners.look_ups {
        let handler = LookUpHandler {
            interface: Arc::clone(&interface) as Arc<dyn LookUpInterface>,
            source: Arc::new(directory),
        };
        serve(look_ups, handler, &bounds, until_end.clone().into());
    }
    let ready_handler = ReadyHandler {
        interface,
        ready: ready.clone(),
    };
    serve(listeners.ready, ready_handler, &bounds, until_end.into());
    let ready_task = tokio::spawn(announce_ready(view, ready_tx.clone()));
    log::info!(event = "entry_started", vm = settings.vm.as_str(), callers:% = settings.listen.callers; "the entry VM is listening");
    shutdown.requested().await;
    let stop = PlannedStop::new(clock.now(), settings.grace.0);
    log::info!(event = "entry_leaving", vm = settings.vm.as_str(); "a planned stop has begun");
    let running = RunningEntry {
        ready_task,
        ready: ready_tx,
        stopping: stop_tx,
        stops,
        serving,
    };
    running.finish(stop, &mut shutdown).await;
    log::info!(event = "entry_ended", vm = settings.vm.as_str(); "the entry VM has stopped");
    Ok(())
}

/// Handles to the tasks that follow control and the backend servers.
struct FollowerTasks {
    dispatch: DispatchHandle,
    tokens: TokenHandle,
    pool: BackendPool,
    crashes: CrashTracker,
    followed: Followed,
}

impl FollowerTasks {
    fn start(
        settings: &DirectSettings,
        clock: &Arc<dyn Clock>,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        ready: watch::Receiver<bool>,
        headroom: &watch::Receiver<Option<Headroom>>,
        link_load: Option<watch::Receiver<LinkLoad>>,
        channels: PeerChannels,
    ) -> Self {
        let cfg = dispatch_config(settings);
        let dispatch = DispatchHandle::spawn(cfg, Arc::clone(clock), link_load);
        let record = own_record(settings);
        let pool = BackendPool::spawn();
        let vm = settings.vm.clone();
        let (crashes, reporter) = CrashTracker::new(vm.clone(), Arc::clone(clock), pool.clone());
        let followed = fleet_follower::spawn(FollowerSetup {
            vm,
            record,
            places: settings.places.clone(),
            seeds,
            ready,
            headroom: headroom.clone(),
            channels: channels.clone(),
            clock: Arc::clone(clock),
            dispatch: dispatch.clone(),
            crashes: crashes.clone(),
        });
        tokio::spawn(reporter.run(followed.replica.clone()));
        let rollout_reporter = RolloutReporter {
            view: followed.view.clone(),
            dispatch: dispatch.clone(),
            replica: followed.replica.clone(),
        };
        tokio::spawn(rollout_reporter.run());
        let statement_reporter = StatementReporter {
            dispatch: dispatch.clone(),
            replica: followed.replica.clone(),
        };
        tokio::spawn(statement_reporter.run());
        let tokens = TokenHandle::spawn(TokenSetup {
            vm: settings.vm.clone(),
            place: settings.place.clone(),
            places: settings.places.clone(),
            sites: followed.sites.clone(),
            channels,
            clock: Arc::clone(clock),
        });
        Self {
            dispatch,
            tokens,
            pool,
            crashes,
            followed,
        }
    }
}

/// What a planned stop signals or waits for.
struct RunningEntry {
    ready_task: JoinHandle<()>,
    ready: watch::Sender<bool>,
    stopping: watch::Sender<StopState>,
    stops: Stops,
    serving: JoinHandle<()>,
}

impl RunningEntry {
    async fn finish(self, stop: PlannedStop, shutdown: &mut Shutdown) {
        self.ready_task.abort();
        self.ready.send_replace(false);
        self.stopping.send_replace(StopState::Stopping(stop));
        self.stops.leaving.cancel();
        tokio::select! {
            () = drain_connections(stop, &self.stops.stop, self.serving) => {}
            () = shutdown.requested_again() => log::warn!(event = "entry_stop_forced"; "stop requested a second time; requests in progress are cut off"),
        }
        self.stopping.send_replace(StopState::Ended(stop));
    }
}

/// Serves until the stop no longer accepts requests, then finishes those in progress.
async fn drain_connections(
    stop: PlannedStop,
    stop_accepting: &CancellationToken,
    serving: JoinHandle<()>,
) {
    tokio::time::sleep_until(stop.accepts_until().into()).await;
    stop_accepting.cancel();
    let ended = tokio::time::timeout_at(stop.ends_at().into(), serving).await;
    if ended.is_err() {
        log::warn!(event = "entry_stop_late"; "some connections did not end within the grace period");
    }
}

/// The listeners of an entry VM.
struct Listeners {
    callers: TcpListener,
    ready: TcpListener,
    look_ups: Option<TcpListener>,
}

impl Listeners {
    async fn bind(listen: &DirectListen) -> Result<Self, DirectError> {
        let look_ups = match listen.look_ups {
            Some(address) => Some(bind("look_ups", address).await?),
            None => None,
        };
        Ok(Self {
            callers: bind("callers", listen.callers).await?,
            ready: bind("ready", listen.ready).await?,
            look_ups,
        })
    }
}

async fn serve_metrics(
    listen: &DirectListen,
    clock: &Arc<dyn Clock>,
    until_end: &CancellationToken,
) -> Result<(), DirectError> {
    let Some(address) = listen.metrics else {
        return Ok(());
    };
    let serving = metric::serve(address, Arc::clone(clock), until_end.clone()).await;
    serving.context(ListenSnafu {
        purpose: "metrics",
        address,
    })
}

async fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, DirectError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { purpose, address })
}

fn serve(
    listener: TcpListener,
    handler: impl Handler,
    bounds: &HttpBounds,
    stops: Stops,
) -> JoinHandle<()> {
    let admittance = Admittance::Anybody;
    tokio::spawn(http_server::serve(
        listener,
        admittance,
        bounds.clone(),
        handler,
        stops,
    ))
}

/// Limits callers' connections as the manifest in force defines.
fn bounds(view: watch::Receiver<Arc<FleetView>>, clock: &Arc<dyn Clock>) -> HttpBounds {
    let limits = LimitsSource::new(move || {
        let limits = view.borrow().limits;
        ConnectionLimits {
            max_header_bytes: usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX),
            header_timeout: limits.header_timeout + LIMIT_MARGIN,
            idle_timeout: limits.idle_timeout + LIMIT_MARGIN,
        }
    });
    HttpBounds {
        max_connections: MAX_CONNECTIONS,
        usage: ConnectionUsage::default(),
        limits,
        versions: HttpVersions::Http1,
        clock: Arc::clone(clock),
    }
}

/// Starts the task that schedules this VM's link, if its rate is known.
fn link_pacer(settings: &DirectSettings, clock: &Arc<dyn Clock>) -> Option<LinkPacer> {
    link_rate(settings).map(|rate| LinkPacer::spawn(rate, Arc::clone(clock)))
}

fn headroom_setup(
    settings: &DirectSettings,
    connections: &ConnectionUsage,
    link: Option<watch::Receiver<LinkLoad>>,
    clock: &Arc<dyn Clock>,
) -> HeadroomSetup {
    HeadroomSetup {
        settings: settings.look_ups,
        keep: settings.look_up_keep(),
        connections: connections.clone(),
        max_connections: MAX_CONNECTIONS,
        link,
        clock: Arc::clone(clock),
    }
}

/// Returns the record of this start of the entry VM that is announced to control.
fn own_record(settings: &DirectSettings) -> EntryRecord {
    EntryRecord {
        place: settings.place.clone(),
        region: settings.region.clone(),
        callers: settings.listen.callers,
        life: rand::random(),
    }
}

const fn first_view_wait(settings: &DirectSettings) -> Duration {
    if settings.experiments.first_view_wait {
        FIRST_VIEW_WAIT
    } else {
        Duration::ZERO
    }
}

fn dispatch_config(settings: &DirectSettings) -> DispatchConfig {
    DispatchConfig {
        heartbeat: settings.heartbeat.0,
        vm: settings.vm.clone(),
        region: settings.region.clone(),
        places: settings.places.clone(),
        resends: settings.resends.limit(),
        policy: settings.experiments,
        link_rate: link_rate(settings),
    }
}

/// Returns the bytes per second that this VM's link carries; `None` if that is not known.
fn link_rate(settings: &DirectSettings) -> Option<f64> {
    let link = settings.link.as_ref();
    link.and_then(LinkSettings::bytes_per_second)
}

/// Marks this entry VM as ready once it has a manifest.
async fn announce_ready(mut view: watch::Receiver<Arc<FleetView>>, ready: watch::Sender<bool>) {
    if view.wait_for(|view| view.has_manifest()).await.is_ok() {
        ready.send_replace(true);
    }
}

/// Reloads the settings file on SIGHUP and whenever its content changes. The addresses of
/// control replicas are applied; all other changes need a restart.
fn watch_settings(file: PathBuf, seeds: watch::Sender<Vec<SocketAddr>>) {
    tokio::spawn(async move {
        let mut hangups = match tokio::signal::unix::signal(SignalKind::hangup()) {
            Ok(hangups) => hangups,
            Err(error) => {
                log::warn!(event = "hangup_unwatched", error:% = error; "SIGHUP cannot be handled; settings are read only at the start");
                return;
            }
        };
        let mut known = std::fs::read_to_string(&file).ok();
        loop {
            tokio::select! {
                _ = hangups.recv() => {}
                () = tokio::time::sleep(SETTINGS_INTERVAL) => {}
            }
            let text = std::fs::read_to_string(&file).ok();
            if text == known {
                continue;
            }
            known.clone_from(&text);
            reload(&file, text.as_deref(), &seeds);
        }
    });
}

fn reload(file: &Path, text: Option<&str>, seeds: &watch::Sender<Vec<SocketAddr>>) {
    let name = file.display().to_string();
    let Some(text) = text else {
        log::warn!(event = "settings_unreadable", file = name.as_str(); "the settings file cannot be read; keeping the current settings");
        return;
    };
    match read_direct_settings(&name, text) {
        Ok(settings) => {
            log::info!(event = "settings_reloaded", file = name.as_str(); "the addresses of control replicas were reloaded");
            seeds.send_replace(settings.control_peers());
        }
        Err(faults) => {
            log::warn!(event = "settings_refused", file = name.as_str(), faults:% = faults; "the settings file is invalid; keeping the current settings");
        }
    }
}
