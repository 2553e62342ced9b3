//! A deployment with direct dispatch on loopback: control replicas that form a cluster by
//! themselves, entry VMs, and minimal backend servers whose behaviour a test selects.

#![allow(dead_code)]

pub mod backend;
pub mod crashing_backend;
mod own_process;
pub mod scene;
pub mod scripted_backend;
pub mod sized_backend;
pub mod stops;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heatherring_lib::clock::SystemClock;
use heatherring_lib::direct_settings::DirectListen;
use heatherring_lib::direct_settings::DirectSettings;
use heatherring_lib::direct_settings::LinkSettings;
use heatherring_lib::direct_settings::LookUpSettings;
use heatherring_lib::direct_settings::ResendSettings;
use heatherring_lib::dispatch_policy::DispatchPolicy;
use heatherring_lib::duration_text::DurationText;
use heatherring_lib::follow_lag::DEFAULT_IN_FORCE_DELAY;
use heatherring_lib::heartbeat_timing::HeartbeatTiming;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VmName;
use heatherring_lib::route_manifest::CallerLimits;
use heatherring_lib::route_manifest::Route;
use heatherring_lib::route_manifest::RouteChange;
use heatherring_lib::route_manifest::RouteContent;
use heatherring_lib::route_manifest::RouteService;
use heatherring_lib::route_manifest::RouteTarget;
use heatherring_lib::settings::ControlSettings;
use heatherring_lib::settings::ControlTiming;
use heatherring_lib::settings::DirectControlSettings;
use heatherring_lib::settings::FormationSettings;
use heatherring_lib::settings::InterfaceName;
use heatherring_lib::settings::LogSettings;
use heatherring_lib::settings::Security;
use heatherring_lib::team_share::LimitTolerance;
use heatherring_server::control_process::ControlError;
use heatherring_server::control_process::run_control;
use heatherring_server::direct_process::DirectError;
use heatherring_server::direct_process::run_direct;
use heatherring_server::own_interface::OwnInterface;
use heatherring_testutils::loopback::BACKEND_SERVERS_PORT;
use heatherring_testutils::loopback::CALLERS_PORT;
use heatherring_testutils::loopback::CONTROL_PORT;
use heatherring_testutils::loopback::FORWARD_PORT;
use heatherring_testutils::loopback::LoopbackBlock;
use heatherring_testutils::loopback::PEERS_PORT;
use heatherring_testutils::loopback::SERVICE_PORT;
use heatherring_testutils::wait::wait_for;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tempfile::TempDir;
use tokio::net::TcpSocket;

use backend::Backend;
use own_process::Frozen;
use own_process::OwnProcess;

pub const HOST: &str = "registry.example";
const HEALTH_PATH: &str = "/health";
const SERVICE: &str = "registry";
/// Interval between two announcements of a backend server.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);
pub const PLACE: &str = "fko-hakata";
pub const REGION: &str = "fukuoka";

/// An answer whose body was read completely.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub retry_after: Option<String>,
    pub body: Bytes,
}

/// Sends one request over a new connection. Returns `None` if there is no complete answer.
pub async fn call(address: SocketAddr, req: Request<Full<Bytes>>) -> Option<Answer> {
    call_from(None, address, req).await
}

/// Like [`call`], from the local address `source` if one is given.
pub async fn call_from(
    source: Option<IpAddr>,
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Option<Answer> {
    let socket = TcpSocket::new_v4().ok()?;
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0)).ok()?;
    }
    let stream = socket.connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let response = sender.send_request(req).await.ok()?;
    let (head, body) = response.into_parts();
    let retry_after = head.headers.get("retry-after");
    Some(Answer {
        status: head.status,
        retry_after: retry_after.map(|value| value.to_str().unwrap().to_owned()),
        body: body.collect().await.ok()?.to_bytes(),
    })
}

pub fn request(method: Method, path: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body.into()));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().unwrap();
    req.headers_mut().insert("host", HOST.parse().unwrap());
    req
}

/// A control replica in this process.
pub struct Replica {
    pub settings: ControlSettings,
    process: OwnProcess<ControlError>,
}

impl Replica {
    pub fn start(settings: ControlSettings) -> Self {
        let interface = Some(Arc::new(OwnInterface) as _);
        let process = OwnProcess::start(|shutdown| {
            let running = run_control(settings.clone(), Arc::new(SystemClock), shutdown, interface);
            async { running.await.map(|_| ()) }
        });
        Self { settings, process }
    }

    /// Returns the address of the HTTP interface for operators and backend servers.
    pub fn api_address(&self) -> SocketAddr {
        self.settings.direct.as_ref().unwrap().listen
    }

    pub async fn stop(self) -> ControlSettings {
        self.process.begin_stop();
        self.ended().await
    }

    /// Requests a planned stop, as SIGTERM does.
    pub fn begin_stop(&self) {
        self.process.begin_stop();
    }

    /// Waits until the replica has stopped. Returns its settings, for a restart.
    pub async fn ended(self) -> ControlSettings {
        self.process.ended().await;
        self.settings
    }

    /// Suspends the replica for a time, as SIGSTOP and SIGCONT do.
    pub fn freeze(&self, time: Duration) {
        self.process.freeze(time);
    }

    /// Suspends the replica, as SIGSTOP does, until the result is dropped.
    pub async fn freeze_until_released(&self) -> Frozen {
        self.process.freeze_until_released().await
    }
}

/// An entry VM in this process.
pub struct Entry {
    pub settings: DirectSettings,
    process: OwnProcess<DirectError>,
}

impl Entry {
    fn start(settings: DirectSettings, file: &Path) -> Self {
        let interface = Arc::new(OwnInterface);
        let clock = Arc::new(SystemClock);
        let file = file.to_owned();
        let process = OwnProcess::start(|shutdown| {
            run_direct(settings.clone(), file, interface, clock, shutdown)
        });
        Self { settings, process }
    }

    pub async fn call(&self, method: Method, path: &str) -> Option<Answer> {
        let mut req = request(method, path, "");
        let id = format!("id-{path}").replace('/', "-");
        req.headers_mut()
            .insert("heatherring-request-id", id.parse().unwrap());
        req.headers_mut()
            .insert("heatherring-object", path.parse().unwrap());
        call(self.settings.listen.callers, req).await
    }

    pub async fn is_ready(&self) -> bool {
        let req = request(Method::GET, "/", "");
        let answer = call(self.settings.listen.ready, req).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    }

    pub async fn stop(self) {
        self.process.begin_stop();
        self.ended().await;
    }

    /// Requests a planned stop, as SIGTERM does.
    pub fn begin_stop(&self) {
        self.process.begin_stop();
    }

    /// Suspends the entry VM for a time, as SIGSTOP and SIGCONT do.
    pub fn freeze(&self, time: Duration) {
        self.process.freeze(time);
    }

    /// Suspends the entry VM, as SIGSTOP does, until the result is dropped.
    pub async fn freeze_until_released(&self) -> Frozen {
        self.process.freeze_until_released().await
    }

    /// Waits until the entry VM has stopped.
    pub async fn ended(self) {
        self.process.ended().await;
    }
}

/// Waits until the entry VM answers a request with status 200.
pub async fn until_served(entry: &Entry) {
    wait_for("an answer", async || {
        let answer = entry.call(Method::GET, "/safe/first").await?;
        (answer.status == StatusCode::OK).then_some(())
    })
    .await
    .unwrap();
}

/// Control replicas of one deployment, and what entry VMs and backend servers need to join it.
pub struct Deployment {
    pub block: LoopbackBlock,
    pub folder: TempDir,
    pub replicas: Vec<Replica>,
    /// Look-up settings of the entry VMs that are started next.
    pub look_ups: LookUpSettings,
    /// Time within which manifests are to be in force, for processes that are started from now on.
    pub in_force_within: Duration,
    seeds: Vec<SocketAddr>,
}

fn places() -> BTreeMap<PlaceName, RegionName> {
    BTreeMap::from([(PlaceName::new(PLACE), RegionName::new(REGION))])
}

impl Deployment {
    /// Starts `count` control replicas at once, of which the first three are the seeds.
    pub fn start(count: usize) -> Self {
        let mut block = LoopbackBlock::claim().unwrap();
        let folder = TempDir::new().unwrap();
        let addresses: Vec<SocketAddr> = (0..count)
            .map(|_| SocketAddr::new(block.next_vm(), CONTROL_PORT))
            .collect();
        let seeds: Vec<SocketAddr> = addresses.iter().take(3).copied().collect();
        let mut deployment = Self {
            block,
            folder,
            replicas: Vec::new(),
            look_ups: LookUpSettings::default(),
            in_force_within: DEFAULT_IN_FORCE_DELAY,
            seeds,
        };
        for address in addresses {
            let settings = deployment.control_settings(address);
            deployment.replicas.push(Replica::start(settings));
        }
        deployment
    }

    /// Stops all control replicas, and starts them again with what they have stored.
    pub async fn restart_controls(&mut self) {
        for replica in &self.replicas {
            replica.begin_stop();
        }
        let mut stopped = Vec::new();
        for replica in std::mem::take(&mut self.replicas) {
            stopped.push(replica.ended().await);
        }
        self.replicas = stopped.into_iter().map(Replica::start).collect();
    }

    pub fn control_settings(&self, listen: SocketAddr) -> ControlSettings {
        let name = format!("control-{}", listen.ip());
        ControlSettings {
            vm: VmName::new(name.as_str()),
            place: PlaceName::new(PLACE),
            region: RegionName::new(REGION),
            listen,
            advertise: None,
            data_folder: self.folder.path().join(name),
            timing: ControlTiming::default(),
            security: Security::OpenLoopback,
            snapshot_every: 1_000,
            log: LogSettings::default(),
            formation: Some(FormationSettings {
                seeds: self.seeds.clone(),
                seed_port: None,
                first_start: true,
                voters: 5,
                replacement_within: DurationText(Duration::from_secs(4)),
            }),
            metrics_listen: None,
            direct: Some(DirectControlSettings {
                interface: InterfaceName::Heatherring,
                listen: SocketAddr::new(listen.ip(), BACKEND_SERVERS_PORT),
                look_ups: Some(SocketAddr::new(listen.ip(), FORWARD_PORT)),
                places: places(),
                look_up_ms: 2_000,
                heartbeat: DurationText(HeartbeatTiming::DEFAULT_INTERVAL),
                in_force_within: DurationText(self.in_force_within),
                max_descriptors: None,
                team_limits: LimitTolerance::default(),
            }),
        }
    }

    pub fn start_entry(&mut self, name: &str) -> Entry {
        self.start_entry_with_grace(name, Duration::from_secs(1))
    }

    /// Starts an entry VM whose planned stop is cut short after `grace`.
    pub fn start_entry_with_grace(&mut self, name: &str, grace: Duration) -> Entry {
        self.start_entry_with(name, grace, None)
    }

    /// Like [`Self::start_entry_with_grace`], for an entry VM that knows the rate of its link.
    pub fn start_entry_with(
        &mut self,
        name: &str,
        grace: Duration,
        link: Option<LinkSettings>,
    ) -> Entry {
        let ip = self.block.next_vm();
        let settings = DirectSettings {
            heartbeat: DurationText(HeartbeatTiming::DEFAULT_INTERVAL),
            in_force_within: DurationText(self.in_force_within),
            link,
            vm: VmName::new(name),
            place: PlaceName::new(PLACE),
            region: RegionName::new(REGION),
            places: places(),
            listen: DirectListen {
                callers: SocketAddr::new(ip, CALLERS_PORT),
                ready: SocketAddr::new(ip, PEERS_PORT),
                look_ups: Some(SocketAddr::new(ip, FORWARD_PORT)),
                metrics: Some(SocketAddr::new(ip, CONTROL_PORT)),
            },
            control: self.seeds.clone(),
            control_port: None,
            interface: InterfaceName::Heatherring,
            security: Security::OpenLoopback,
            resends: ResendSettings::default(),
            grace: DurationText(grace),
            look_up_ms: 2_000,
            look_ups: self.look_ups,
            log: LogSettings::default(),
            experiments: DispatchPolicy::default(),
        };
        Entry::start(settings, &self.folder.path().join("entry.jsonc"))
    }

    pub async fn start_backend(&mut self, name: &str) -> Backend {
        let address = SocketAddr::new(self.block.next_vm(), SERVICE_PORT);
        Backend::start(name, address).await
    }

    /// Starts an entry VM and a backend server, and waits until requests are served.
    pub async fn start_served(&mut self) -> (Entry, Backend) {
        let entry = self.start_entry("entry-1");
        let backend = self.start_backend("backend-1").await;
        self.submit_routes(1, 0).await;
        self.announce(&backend, 1, "Ready").await;
        until_served(&entry).await;
        (entry, backend)
    }

    /// Sends a request to one control replica after another until one answers with success.
    pub async fn call_control(&self, method: Method, path: &str, body: &str) -> Answer {
        wait_for("a confirmation", async || {
            for replica in &self.replicas {
                let req = request(method.clone(), path, body.to_owned());
                let answer = call(replica.api_address(), req).await;
                if let Some(answer) = answer.filter(|answer| answer.status.is_success()) {
                    return Some(answer);
                }
            }
            None
        })
        .await
        .unwrap()
    }

    pub async fn announce(&self, backend: &Backend, sequence: u64, state: &str) {
        let body = announcement(backend, sequence, state);
        self.call_control(Method::POST, "/v1/announcements", &body.to_string())
            .await;
    }

    /// Announces these backend servers, from a sequence number on, while `run` is in progress: they count
    /// as silent some seconds after an announcement.
    pub async fn while_announced<T>(
        &self,
        backends: &[&Backend],
        first_sequence: u64,
        run: impl Future<Output = T>,
    ) -> T {
        let announcing = async {
            for sequence in first_sequence.. {
                for backend in backends {
                    self.announce(backend, sequence, "Ready").await;
                }
                tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
            }
        };
        tokio::select! {
            result = run => result,
            () = announcing => unreachable!("announcements do not end"),
        }
    }

    /// Announces a ready backend server by its name and address.
    pub async fn announce_address(&self, name: &str, address: SocketAddr, sequence: u64) {
        let body = announcement_of(name, address, sequence, "Ready");
        self.call_control(Method::POST, "/v1/announcements", &body.to_string())
            .await;
    }

    /// Like [`Self::announce_address`], for the incarnation with the value `born`.
    pub async fn announce_address_of(
        &self,
        name: &str,
        address: SocketAddr,
        born: u64,
        sequence: u64,
    ) {
        let mut body = announcement_of(name, address, sequence, "Ready");
        body["record"]["born"] = born.into();
        self.call_control(Method::POST, "/v1/announcements", &body.to_string())
            .await;
    }

    /// Like [`Self::announce`], for the incarnation with the value `born`.
    pub async fn announce_incarnation(
        &self,
        backend: &Backend,
        born: u64,
        sequence: u64,
        state: &str,
    ) {
        let mut body = announcement(backend, sequence, state);
        body["record"]["born"] = born.into();
        self.call_control(Method::POST, "/v1/announcements", &body.to_string())
            .await;
    }

    /// Submits two routes: `/safe/`, whose requests are idempotent, and `/once/`, whose are not.
    pub async fn submit_routes(&self, version: u64, base: u64) {
        self.submit(&route_change(version, base)).await;
    }

    pub async fn submit(&self, change: &RouteChange) {
        let body = serde_json::to_string(change).unwrap();
        self.call_control(Method::POST, "/v1/routes", &body).await;
    }

    /// Submits a change of routes together with a change of teams in JSON.
    pub async fn submit_teams(&self, change: &RouteChange, teams: serde_json::Value) {
        let mut body = serde_json::to_value(change).unwrap();
        body["teams"] = teams;
        self.call_control(Method::POST, "/v1/routes", &body.to_string())
            .await;
    }

    pub async fn version(&self) -> u64 {
        let answer = self.call_control(Method::GET, "/v1/routes", "").await;
        let manifest: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
        manifest["version"].as_u64().unwrap()
    }
}

/// Returns the body of an announcement of a backend server.
pub fn announcement(backend: &Backend, sequence: u64, state: &str) -> serde_json::Value {
    announcement_of(&backend.name, backend.address, sequence, state)
}

fn announcement_of(
    name: &str,
    address: SocketAddr,
    sequence: u64,
    state: &str,
) -> serde_json::Value {
    json!({
        "backend": name,
        "record": {
            "service": SERVICE,
            "address": address,
            "place": PLACE,
            "slots": 3,
            "state": state,
            "sequence": sequence,
            "cold_for": {"secs": 0, "nanos": 0},
        },
    })
}

pub fn route_change(version: u64, base: u64) -> RouteChange {
    let route = |prefix: &str, idempotent| {
        let route = Route {
            host: HOST.to_owned(),
            prefix: prefix.to_owned(),
            idempotent,
            timeout: Duration::from_secs(5),
            latency_objective: Duration::from_secs(1),
            priority: 0,
            target: RouteTarget::Service(ServiceName::new(SERVICE)),
            max_attempts: 2,
            affinity: true,
            home_regions: Vec::new(),
        };
        (RouteName::new(prefix.trim_matches('/')), Arc::new(route))
    };
    let service = RouteService {
        health_path: HEALTH_PATH.to_owned(),
        max_connections: 100,
        protocol: "h1".to_owned(),
        tls: false,
        cold_start: Duration::from_secs(3),
        cold_rate: 10.0,
    };
    RouteChange {
        version: ManifestVersion(version),
        base: ManifestVersion(base),
        content: RouteContent::Whole {
            routes: BTreeMap::from([route("/safe/", true), route("/once/", false)]),
            services: BTreeMap::from([(ServiceName::new(SERVICE), Arc::new(service))]),
            limits: CallerLimits::default(),
        },
    }
}
