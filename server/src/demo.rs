//! Demo: control, two entry VMs and four backend servers in one process.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::announcement::Announcement;
use heatherring_lib::announcement::BackendState;
use heatherring_lib::announcement_number::AnnouncementNumber;
use heatherring_lib::clock::Clock;
use heatherring_lib::clock::unix_ms;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VmName;
use heatherring_lib::settings::ControlSettings;
use heatherring_lib::settings::ControlTiming;
use heatherring_lib::settings::EntryLimits;
use heatherring_lib::settings::EntryListen;
use heatherring_lib::settings::EntrySettings;
use heatherring_lib::settings::LogSettings;
use heatherring_lib::settings::Security;
use snafu::ResultExt;
use snafu::Snafu;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::control_format;
use crate::control_format::FormatError;
use crate::control_process::ControlEnd;
use crate::control_process::ControlError;
use crate::control_process::run_control;
use crate::demo_backend_server;
use crate::entry_process::EntryError;
use crate::entry_process::run_entry;
use crate::operator_client::OperatorClient;
use crate::operator_client::OperatorClientError;
use crate::peer_security::PeerSecurity;
use crate::proto::SubmitOutcome;
use crate::proto::SubmitRequest;
use crate::shutdown::Shutdown;

const MANIFEST: &str = include_str!("demo_manifest.jsonc");
const SERVICE: &str = "cubes";
const REGION: &str = "demo";
const PLACES: [&str; 2] = ["demo-a", "demo-b"];

/// The address that all processes of the demo share; they differ by port.
const HOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const CONTROL_PORT: u16 = 7_400;
const FIRST_ENTRY_PORT: u16 = 7_410;
const FIRST_BACKEND_PORT: u16 = 7_440;

/// Distance between the ports of two entry VMs.
const PORT_STEP: u16 = 10;

const BACKENDS_PER_PLACE: u16 = 2;
const SLOTS: u32 = 3;
const MAX_CONNECTIONS: u32 = 64;

/// Timeout for control to accept the manifest.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Tells why the demo cannot start or continue.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// The folder for the demo's state cannot be created.
    #[snafu(display("cannot create a folder for the demo: {source}"))]
    Folder {
        /// The error of the operating system.
        source: io::Error,
    },
    /// An address cannot be bound, usually because the port is in use.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The control replica's folder cannot be formatted.
    #[snafu(display("{source}"))]
    Format {
        /// Why it cannot be formatted.
        source: FormatError,
    },
    /// The control replica failed.
    #[snafu(display("{source}"))]
    Control {
        /// Why it failed.
        source: ControlError,
    },
    /// An entry VM failed.
    #[snafu(display("{source}"))]
    Entry {
        /// Why it failed.
        source: EntryError,
    },
    /// The manifest cannot be submitted.
    #[snafu(display("{source}"))]
    Submit {
        /// Why it cannot be submitted.
        source: OperatorClientError,
    },
    /// Control refused the manifest.
    #[snafu(display("the demo's manifest was refused: {}", problems.join("; ")))]
    Refused {
        /// The problems that control found.
        problems: Vec<String>,
    },
    /// A task of the demo panicked.
    #[snafu(display("a task of the demo was aborted: {source}"))]
    Task {
        /// How the task ended.
        source: tokio::task::JoinError,
    },
}

impl DemoError {
    /// Returns whether the user can resolve it, such as a port in use.
    #[must_use]
    pub const fn is_user_error(&self) -> bool {
        match self {
            Self::Listen { .. } => true,
            Self::Control { source } => source.is_user_error(),
            Self::Entry { source } => source.is_user_error(),
            _ => false,
        }
    }
}

/// Runs the demo until `shutdown` requests a stop. Once requests are served, `ready` is called
/// with the instructions to print.
///
/// # Errors
///
/// Fails if a port is in use or a part of the demo cannot start.
pub async fn run_demo(
    clock: Arc<dyn Clock>,
    mut shutdown: Shutdown,
    ready: impl FnOnce(&str),
) -> Result<(), DemoError> {
    let backends = bind_backends(unix_ms(clock.wall())).await?;
    let folder = tempfile::tempdir().context(FolderSnafu)?;
    let (stop_control, control_shutdown) = Shutdown::new();
    let control = control_settings(&folder);
    control_format::init(&control).context(FormatSnafu)?;
    let mut control = tokio::spawn(run_control(
        control,
        Arc::clone(&clock),
        control_shutdown,
        None,
    ));
    let mut entries = JoinSet::new();
    for place in 0..PLACES.len() {
        let settings = entry_settings(place);
        entries.spawn(run_entry(settings, Arc::clone(&clock), shutdown.clone()));
    }
    let stop_backends = CancellationToken::new();
    let servers = start_backends(backends, &stop_backends);
    tokio::select! {
        result = submit() => result?,
        ended = &mut control => return control_result(ended),
        Some(ended) = entries.join_next() => ended.context(TaskSnafu)?.context(EntrySnafu)?,
    }
    ready(&instructions());
    shutdown.requested().await;
    while let Some(ended) = entries.join_next().await {
        ended.context(TaskSnafu)?.context(EntrySnafu)?;
    }
    stop_backends.cancel();
    servers.close();
    servers.wait().await;
    stop_control.request();
    control_result(control.await)
}

fn control_result(
    ended: Result<Result<ControlEnd, ControlError>, tokio::task::JoinError>,
) -> Result<(), DemoError> {
    ended.context(TaskSnafu)?.context(ControlSnafu)?;
    Ok(())
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::new(HOST, port)
}

fn entry_port(place: usize) -> u16 {
    FIRST_ENTRY_PORT + PORT_STEP * u16::try_from(place).unwrap_or_default()
}

fn control_settings(folder: &TempDir) -> ControlSettings {
    ControlSettings {
        vm: VmName::new("demo-control"),
        place: PlaceName::new(PLACES[0]),
        region: RegionName::new(REGION),
        listen: address(CONTROL_PORT),
        advertise: None,
        data_folder: folder.path().to_owned(),
        timing: ControlTiming::default(),
        security: Security::OpenLoopback,
        snapshot_every: 1_000,
        log: LogSettings::default(),
        formation: None,
        metrics_listen: None,
        direct: None,
    }
}

fn entry_settings(place: usize) -> EntrySettings {
    let port = entry_port(place);
    EntrySettings {
        vm: VmName::new(format!("demo-entry-{}", place + 1)),
        place: PlaceName::new(PLACES[place]),
        region: RegionName::new(REGION),
        listen: EntryListen {
            callers: address(port),
            backend_servers: address(port + 1),
            peers: address(port + 2),
            forward: address(port + 3),
        },
        advertise: None,
        control: vec![address(CONTROL_PORT)],
        security: Security::OpenLoopback,
        relay_min_entries: 8,
        limits: EntryLimits::default(),
        log: LogSettings::default(),
        metrics: None,
    }
}

/// Holds a backend server of the demo before it is started.
struct Backend {
    listener: TcpListener,
    announcement: Announcement,
}

async fn bind_backends(born: u64) -> Result<Vec<Backend>, DemoError> {
    let mut backends = Vec::new();
    let mut port = FIRST_BACKEND_PORT;
    for place in PLACES {
        for number in 1..=BACKENDS_PER_PLACE {
            let address = address(port);
            let listener = TcpListener::bind(address)
                .await
                .context(ListenSnafu { address })?;
            let announcement = Announcement {
                backend: BackendName::new(format!("{place}-{number}")),
                service: ServiceName::new(SERVICE),
                place: PlaceName::new(place),
                address,
                slots: SLOTS,
                max_connections: MAX_CONNECTIONS,
                state: BackendState::Ready,
                in_flight: 0,
                load: 0.0,
                number: AnnouncementNumber { born, sequence: 0 },
            };
            backends.push(Backend {
                listener,
                announcement,
            });
            port += 1;
        }
    }
    Ok(backends)
}

fn start_backends(backends: Vec<Backend>, stop: &CancellationToken) -> TaskTracker {
    let entries: Vec<SocketAddr> = (0..PLACES.len())
        .map(|place| address(entry_port(place) + 1))
        .collect();
    let servers = TaskTracker::new();
    for backend in backends {
        servers.spawn(demo_backend_server::run(
            backend.listener,
            backend.announcement,
            entries.clone(),
            stop.clone(),
        ));
    }
    servers
}

async fn submit() -> Result<(), DemoError> {
    let client = OperatorClient::new(
        vec![address(CONTROL_PORT)],
        PeerSecurity::open_loopback(),
        SUBMIT_TIMEOUT,
    );
    let request = SubmitRequest {
        manifest: MANIFEST.to_owned(),
        operator: "demo".to_owned(),
    };
    let reply = client.submit(&request).await.context(SubmitSnafu)?;
    if reply.outcome() == SubmitOutcome::Accepted {
        Ok(())
    } else {
        let problems = reply.problems;
        RefusedSnafu { problems }.fail()
    }
}

fn instructions() -> String {
    let entry = address(entry_port(0));
    let other = address(entry_port(1));
    let status = address(entry_port(0) + 1);
    let control = address(CONTROL_PORT);
    format!(
        "heatherring serves the demo's service \"{SERVICE}\". Try in another terminal:

  # Which entry VM to use, for how long, and a ticket for actions:
  curl -s http://{entry}/lookup/{SERVICE}

  # A request, through either entry VM:
  curl -si http://{entry}/svc/{SERVICE}/results/42
  curl -si http://{other}/svc/{SERVICE}/results/42

  # An action that runs at most once, however often it is sent:
  TICKET=$(curl -s http://{entry}/lookup/{SERVICE} | sed 's/.*\"ticket\":\"\\([^\"]*\\)\".*/\\1/')
  curl -si http://{entry}/svc/{SERVICE}/bookings -H \"Idempotency-Key: $TICKET.pour-1\" -d 'two cubes'

  # What an entry VM knows, and what control knows:
  curl -s http://{status}/status
  heatherring status --control {control}

Ctrl-C ends the demo.
"
    )
}
