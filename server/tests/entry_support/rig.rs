//! Entry VMs in this process, with a fake control replica and scripted backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use heatherring_lib::clock::SystemClock;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VmName;
use heatherring_lib::ownership;
use heatherring_lib::settings::EntryLimits;
use heatherring_lib::settings::EntryListen;
use heatherring_lib::settings::EntrySettings;
use heatherring_lib::settings::LogSettings;
use heatherring_lib::settings::Security;
use heatherring_server::entry_process::EntryError;
use heatherring_server::entry_process::run_entry;
use heatherring_server::shutdown::Shutdown;
use heatherring_server::shutdown::ShutdownTrigger;
use heatherring_testutils::loopback::BACKEND_SERVERS_PORT;
use heatherring_testutils::loopback::CALLERS_PORT;
use heatherring_testutils::loopback::CONTROL_PORT;
use heatherring_testutils::loopback::FORWARD_PORT;
use heatherring_testutils::loopback::LoopbackBlock;
use heatherring_testutils::loopback::PEERS_PORT;
use heatherring_testutils::loopback::SERVICE_PORT;
use serde_json::Value;
use serde_json::json;

use super::FAR_PLACE;
use super::FAR_REGION;
use super::PLACE;
use super::REGION;
use super::SERVICE;
use super::caller::Reply;
use super::caller::send;
use super::caller::wait_until;
use super::fake_control::FakeControl;
use super::manifest_text;
use super::scripted_backend::Script;
use super::scripted_backend::ScriptedBackend;

/// Entry VMs and the fake control replica that they use, all in this process.
pub struct Rig {
    pub block: LoopbackBlock,
    pub control: FakeControl,
    pub entries: Vec<RunningEntry>,
    backends: usize,
}

pub struct RunningEntry {
    pub settings: EntrySettings,
    pub trigger: ShutdownTrigger,
    pub task: JoinHandle<Result<(), EntryError>>,
}

impl Rig {
    /// Starts one entry VM in each of `places`, and waits until all have a session with control
    /// and have received the manifest.
    pub async fn start(places: &[&str], lease: Duration) -> Self {
        let mut block = LoopbackBlock::claim().expect("free addresses");
        let address = SocketAddr::new(block.next_vm(), CONTROL_PORT);
        let control = FakeControl::start(address, lease).await;
        control.submit(&manifest_text());
        let mut rig = Self {
            block,
            control,
            entries: Vec::new(),
            backends: 0,
        };
        for place in places {
            let settings = rig.settings(place);
            rig.start_entry(settings);
        }
        let count = places.len();
        for entry in 0..count {
            rig.wait_for_status(entry, |status| {
                status["entries"] == count
                    && status["revision"] == status["settled_revision"]
                    && status["manifest_version"] == 1
            })
            .await;
        }
        rig
    }

    pub fn settings(&mut self, place: &str) -> EntrySettings {
        let ip = self.block.next_vm();
        EntrySettings {
            vm: VmName::new(format!("entry-{}", self.entries.len() + 1)),
            place: PlaceName::new(place),
            region: RegionName::new(if place == FAR_PLACE {
                FAR_REGION
            } else {
                REGION
            }),
            listen: EntryListen {
                callers: SocketAddr::new(ip, CALLERS_PORT),
                backend_servers: SocketAddr::new(ip, BACKEND_SERVERS_PORT),
                peers: SocketAddr::new(ip, PEERS_PORT),
                forward: SocketAddr::new(ip, FORWARD_PORT),
            },
            advertise: None,
            control: vec![self.control.address],
            security: Security::OpenLoopback,
            relay_min_entries: 8,
            limits: EntryLimits::default(),
            log: LogSettings::default(),
            metrics: None,
        }
    }

    /// Starts an entry VM on its own runtime. The runtime is shut down when the entry VM returns,
    /// which cancels its remaining tasks as the end of a process would.
    pub fn start_entry(&mut self, settings: EntrySettings) {
        let (trigger, shutdown) = Shutdown::new();
        let running = run_entry(settings.clone(), Arc::new(SystemClock), shutdown);
        let task = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(2)
                .enable_all()
                .build()
                .expect("a runtime");
            let result = runtime.block_on(running);
            runtime.shutdown_background();
            result
        });
        self.entries.push(RunningEntry {
            settings,
            trigger,
            task,
        });
    }

    pub fn callers(&self, entry: usize) -> SocketAddr {
        self.entries[entry].settings.listen.callers
    }

    /// Starts a scripted backend server and waits until all entry VMs count its slots as free.
    pub async fn start_backend(&mut self, script: &[Script]) -> ScriptedBackend {
        let address = SocketAddr::new(self.block.next_vm(), SERVICE_PORT);
        let backend = ScriptedBackend::start(address, script).await;
        self.announce(address).await;
        backend
    }

    /// Announces the backend server at `address` from now on, and waits until all entry VMs count
    /// its slots as free.
    pub async fn announce(&mut self, address: SocketAddr) {
        self.backends += 1;
        let to = self.entries[0].settings.listen.backend_servers;
        let body = json!({
            "backend": format!("backend-{address}"), "service": SERVICE, "place": PLACE,
            "address": address, "slots": 3, "max_connections": 10, "state": "ready",
        });
        tokio::spawn(async move {
            loop {
                let text = body.to_string();
                let _ = send(to, "POST", "/announce", &text).await;
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        });
        for entry in 0..self.entries.len() {
            self.wait_for_status(entry, |status| {
                let load = &status["known"][0];
                load["slots"] == 3 * self.backends && load["in_flight"] == 0
            })
            .await;
        }
    }

    /// Returns the entry VM that owns the backend servers.
    pub fn owner(&self) -> usize {
        let view = self.control.view();
        let service = ServiceName::new(SERVICE);
        let owner = ownership::owner(&view, &service, &PlaceName::new(PLACE)).expect("an owner");
        let is_owner = |entry: &RunningEntry| entry.settings.vm == owner.info.vm;
        self.entries
            .iter()
            .position(is_owner)
            .expect("the owner is an entry VM of the rig")
    }

    pub async fn status(&self, entry: usize) -> Option<Value> {
        let address = self.entries[entry].settings.listen.backend_servers;
        let reply = send(address, "GET", "/status", "").await.ok()?;
        serde_json::from_slice(&reply.body.ok()?).ok()
    }

    pub async fn wait_for_status(&self, entry: usize, holds: impl Fn(&Value) -> bool) {
        wait_until(async || {
            self.status(entry)
                .await
                .is_some_and(|status| holds(&status))
        })
        .await;
    }

    pub async fn try_get(&self, entry: usize, path: &str) -> std::io::Result<Reply> {
        let path = format!("/svc/{SERVICE}{path}");
        send(self.callers(entry), "GET", &path, "").await
    }

    pub async fn get(&self, entry: usize, path: &str) -> Reply {
        let reply = self.try_get(entry, path).await;
        reply.expect("the entry VM answers")
    }
}
