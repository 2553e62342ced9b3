//! Backend servers that leave while control replicas are lost and entry VMs freeze, drawn by seed.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use http::Method;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use serde_json::json;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::cluster_error::ClusterError;
use crate::direct_cluster::DirectCluster;
use crate::direct_cluster::DirectVm;
use crate::drain_calls;
use crate::drain_calls::Caller;
use crate::drain_calls::CallerCounts;
use crate::drain_judge::Disturbances;
use crate::drain_judge::DrainJudge;
use crate::drain_judge::Leaving;
use crate::drain_judge::Way;
use crate::drain_server::DrainServer;
use crate::drain_server::SERVICE;
use crate::drain_server::ServerIdentity;
use crate::loopback::LoopbackBlock;
use crate::loopback::LoopbackError;
use crate::loopback::SERVICE_PORT;
use crate::wait::wait_for;

/// Interval between two announcements of a backend server.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Pause after all control replicas failed to confirm.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Callers of each entry VM, and the time between two requests of one.
const CALLERS: usize = 2;
const CALLER_PAUSE: Duration = Duration::from_millis(60);

/// Time since its last request within which a backend server counts as busy.
const BUSY: Duration = Duration::from_millis(500);

/// Time for which a server that left is watched.
const WATCHED: Duration = Duration::from_secs(12);

/// Time in which everything comes to rest between two rounds.
const REST: Duration = Duration::from_secs(4);

/// What happens to the control replica that confirmed a leaving, right after that.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AfterConfirmation {
    /// Nothing.
    Nothing,
    /// It is frozen.
    Frozen,
    /// It is killed.
    Killed,
    /// It is cut off from all others, both ways.
    CutOff,
    /// What it sends to others is held back.
    Muted,
    /// What others send to it is held back.
    Deafened,
    /// It was cut off shortly before already.
    WasBehind,
}

impl AfterConfirmation {
    /// All of them.
    pub const ALL: [Self; 7] = [
        Self::Nothing,
        Self::Frozen,
        Self::Killed,
        Self::CutOff,
        Self::Muted,
        Self::Deafened,
        Self::WasBehind,
    ];
}

/// Tells why a run can't go on.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// A process or link can't be handled.
    #[snafu(transparent)]
    Cluster {
        /// The reason.
        source: ClusterError,
    },
    /// There are no addresses for backend servers.
    #[snafu(transparent)]
    Addresses {
        /// The reason.
        source: LoopbackError,
    },
    /// A backend server can't listen.
    #[snafu(display("a backend server can't listen on {address}: {source}"))]
    Listen {
        /// Its address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A process can't be signalled.
    #[snafu(display("can't signal {name}: {source}"))]
    Signal {
        /// Its name.
        name: String,
        /// What the system said.
        source: io::Error,
    },
}

/// What a running backend server tells control.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Telling {
    Ready,
    Draining,
    Nothing,
}

struct Running {
    server: Arc<DrainServer>,
    telling: watch::Sender<Telling>,
    announcing: JoinHandle<()>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.announcing.abort();
    }
}

/// A run over a cluster.
pub struct DrainSoak {
    cluster: DirectCluster,
    rng: ChaCha8Rng,
    block: LoopbackBlock,
    running: Vec<Running>,
    started: usize,
    disturbances: Disturbances,
    judge: DrainJudge,
    counts: Arc<CallerCounts>,
    callers: Vec<JoinHandle<()>>,
}

impl Drop for DrainSoak {
    fn drop(&mut self) {
        for caller in &self.callers {
            caller.abort();
        }
    }
}

impl DrainSoak {
    /// Starts `servers` backend servers and the callers, and waits until all entry VMs serve.
    ///
    /// # Errors
    ///
    /// Returns an error if control does not take the manifest, or if no requests are served.
    pub async fn start(
        cluster: DirectCluster,
        seed: u64,
        servers: usize,
    ) -> Result<Self, SoakError> {
        let mut soak = Self {
            cluster,
            rng: ChaCha8Rng::seed_from_u64(seed),
            block: LoopbackBlock::claim()?,
            running: Vec::new(),
            started: 0,
            disturbances: Disturbances::default(),
            judge: DrainJudge::default(),
            counts: Arc::default(),
            callers: Vec::new(),
        };
        soak.submit_manifest().await?;
        for _ in 0..servers {
            let address = SocketAddr::new(soak.block.next_vm(), SERVICE_PORT);
            soak.start_server(address, None).await?;
        }
        soak.start_callers();
        let counts = Arc::clone(&soak.counts);
        let enough = soak.cluster.entries.len() as u64 * 20;
        wait_for("requests are served", async || {
            (counts.totals().1 > enough).then_some(())
        })
        .await
        .map_err(ClusterError::from)?;
        Ok(soak)
    }

    /// Returns what was judged so far.
    #[must_use]
    pub const fn judge(&self) -> &DrainJudge {
        &self.judge
    }

    /// Returns how many requests callers sent, and how many of them were served.
    #[must_use]
    pub fn totals(&self) -> (u64, u64) {
        self.counts.totals()
    }

    /// Returns the cluster.
    #[must_use]
    pub const fn cluster(&self) -> &DirectCluster {
        &self.cluster
    }

    fn orders(&self) -> Vec<SocketAddr> {
        self.cluster.controls.iter().map(DirectVm::orders).collect()
    }

    async fn submit_manifest(&self) -> Result<(), SoakError> {
        let orders = self.orders();
        let body = manifest().to_string();
        wait_for("control takes the manifest", async || {
            let call = drain_calls::call(orders[0], Method::POST, "/v1/routes", body.clone());
            call.await
                .is_some_and(|status| status.is_success())
                .then_some(())
        })
        .await
        .map_err(ClusterError::from)?;
        Ok(())
    }

    /// Starts a backend server at an address; `before` is the one that had it.
    async fn start_server(
        &mut self,
        address: SocketAddr,
        before: Option<&ServerIdentity>,
    ) -> Result<(), SoakError> {
        self.started += 1;
        let now_ms = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let now_ms = u64::try_from(now_ms.as_millis()).unwrap_or(u64::MAX);
        // A name comes again only with an incarnation that is named.
        let kept_name = before.filter(|before| before.born > 0 && self.rng.random_bool(0.5));
        let is_named = kept_name.is_some() || self.rng.random_bool(0.5);
        // Dealt, so that each region has some.
        let place = self.cluster.entries.iter().cycle().nth(self.started);
        let identity = ServerIdentity {
            name: kept_name.map_or_else(
                || format!("backend-{}", self.started),
                |before| before.name.clone(),
            ),
            born: if is_named { now_ms } else { 0 },
            address,
            place: place.map_or_else(String::new, |vm| vm.plan.place.clone()),
        };
        let service_time = Duration::from_millis(self.rng.random_range(10..100));
        let server = DrainServer::start(identity, service_time);
        let server = Arc::new(server.await.context(ListenSnafu { address })?);
        let (telling, told) = watch::channel(Telling::Ready);
        let first = self.rng.random_range(0..self.cluster.controls.len());
        let announcing = announce_on(Arc::clone(&server), self.orders(), first, told);
        self.running.push(Running {
            server,
            telling,
            announcing: tokio::spawn(announcing),
        });
        Ok(())
    }

    fn start_callers(&mut self) {
        for vm in &self.cluster.entries {
            for number in 0..CALLERS {
                let caller = Caller {
                    entry: vm.plan.vm.clone(),
                    address: vm.callers(),
                    number,
                    pause: CALLER_PAUSE,
                    counts: Arc::clone(&self.counts),
                };
                self.callers.push(tokio::spawn(caller.run()));
            }
        }
    }

    /// Lets a backend server leave, brings one of `faults` about, watches the server and replaces
    /// it.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be handled.
    pub async fn play_round(&mut self, faults: &[AfterConfirmation]) -> Result<(), SoakError> {
        let way = Way::ALL.choose(&mut self.rng).copied();
        let way = way.unwrap_or(Way::Draining);
        let fault = faults.choose(&mut self.rng).copied();
        let fault = fault.unwrap_or(AfterConfirmation::Nothing);
        let replica = self.rng.random_range(0..self.cluster.controls.len());
        let leaving = self.take_one();
        if fault == AfterConfirmation::WasBehind {
            self.isolate(replica);
            let behind = Duration::from_millis(self.rng.random_range(0..900));
            tokio::time::sleep(behind).await;
        }
        let (confirmed_at, by) = self.leave(&leaving, way, replica).await;
        self.bring_about(fault, by)?;
        let watched_until = Instant::now() + WATCHED;
        let delayed = self.deliver_late(&leaving.server);
        let frozen = self.freeze_some_entries()?;
        tokio::time::sleep(Duration::from_millis(self.rng.random_range(500..3_000))).await;
        self.thaw_entries(&frozen)?;
        let lasts = Duration::from_millis(self.rng.random_range(1_000..6_000));
        tokio::time::sleep(lasts).await;
        self.end_faults()?;
        tokio::time::sleep_until(watched_until.into()).await;
        for late in delayed {
            late.abort();
        }
        let leaving_of = Leaving {
            server: format!(
                "{} (born {})",
                leaving.server.identity().name,
                leaving.server.identity().born
            ),
            way,
            by: format!("{}, then {fault:?}", self.cluster.controls[by].plan.vm),
            confirmed_at,
        };
        self.judge.judge(
            &leaving_of,
            &leaving.server.arrivals(),
            &leaving.server.told(),
            &self.disturbances,
        );
        self.replace(leaving).await?;
        tokio::time::sleep(REST).await;
        Ok(())
    }

    /// Takes one of the backend servers that have requests, or of all if none has any.
    fn take_one(&mut self) -> Running {
        let now = Instant::now();
        let is_busy = |running: &Running| {
            let arrivals = running.server.arrivals();
            arrivals.last().is_some_and(|last| now - last.at < BUSY)
        };
        let all = 0..self.running.len();
        let busy: Vec<usize> = all.filter(|one| is_busy(&self.running[*one])).collect();
        let one = busy.choose(&mut self.rng).copied();
        let one = one.unwrap_or_else(|| self.rng.random_range(0..self.running.len()));
        self.running.swap_remove(one)
    }

    /// Ends a backend server that left, and starts another one at its address.
    async fn replace(&mut self, leaving: Running) -> Result<(), SoakError> {
        let before = leaving.server.identity().clone();
        let ghost = leaving.server.ready_announcements().pop();
        leaving.server.stop().await;
        drop(leaving);
        self.start_server(before.address, Some(&before)).await?;
        if let Some(ghost) = ghost.filter(|_| self.rng.random_bool(0.5)) {
            let replica = self.orders().choose(&mut self.rng).copied();
            let after = Duration::from_millis(self.rng.random_range(200..2_000));
            tokio::spawn(announce_late(replica, ghost, after));
        }
        Ok(())
    }

    /// Lets a backend server say that it leaves until a replica confirms it, `replica` being the
    /// first one asked. Returns when and by which.
    async fn leave(&self, leaving: &Running, way: Way, replica: usize) -> (Instant, usize) {
        let server = &leaving.server;
        if way == Way::Answers {
            server.state_leaving();
            return (Instant::now(), replica);
        }
        leaving.telling.send_replace(Telling::Nothing);
        let orders = self.orders();
        let ServerIdentity { name, born, .. } = server.identity();
        for turn in replica.. {
            let number = turn % orders.len();
            let (method, path, body) = match way {
                Way::Draining | Way::DrainingOnce | Way::Answers => {
                    let body = server.next_announcement(true).to_string();
                    (Method::POST, "/v1/announcements".to_owned(), body)
                }
                Way::Withdrawal => {
                    let path = format!("/v1/backends/{name}?born={born}");
                    (Method::DELETE, path, String::new())
                }
                Way::UnnamedWithdrawal => {
                    let path = format!("/v1/backends/{name}");
                    (Method::DELETE, path, String::new())
                }
            };
            let status = drain_calls::call(orders[number], method, &path, body).await;
            if status.is_some_and(|status| status.is_success()) {
                if way == Way::Draining {
                    leaving.telling.send_replace(Telling::Draining);
                }
                return (Instant::now(), number);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        (Instant::now(), replica)
    }

    /// Sends ready announcements from before the leaving to replicas that are drawn.
    fn deliver_late(&mut self, server: &DrainServer) -> Vec<JoinHandle<()>> {
        let orders = self.orders();
        let mut tasks = Vec::new();
        for body in server.ready_announcements() {
            for _ in 0..3 {
                let replica = orders.choose(&mut self.rng).copied();
                let after = Duration::from_millis(self.rng.random_range(0..8_000));
                tasks.push(tokio::spawn(announce_late(replica, body.clone(), after)));
            }
        }
        tasks
    }

    fn bring_about(&mut self, fault: AfterConfirmation, by: usize) -> Result<(), SoakError> {
        match fault {
            AfterConfirmation::Nothing | AfterConfirmation::WasBehind => return Ok(()),
            AfterConfirmation::Frozen => self.cluster.set_frozen(by, true)?,
            AfterConfirmation::Killed => self.cluster.kill_control(by)?,
            AfterConfirmation::CutOff => self.isolate(by),
            AfterConfirmation::Muted => self.cut(by, |one, other| (one, other)),
            AfterConfirmation::Deafened => self.cut(by, |one, other| (other, one)),
        }
        self.disturbances.note_control();
        Ok(())
    }

    fn isolate(&mut self, replica: usize) {
        let vm = self.cluster.controls[replica].plan.vm.clone();
        self.cluster.network.isolate(&vm);
        self.disturbances.note_control();
    }

    /// Holds back what flows between a replica and all others, in the direction that `ends` gives.
    fn cut(
        &mut self,
        replica: usize,
        ends: impl for<'a> Fn(&'a str, &'a str) -> (&'a str, &'a str),
    ) {
        let vms = self.cluster.controls.iter().chain(&self.cluster.entries);
        let names: Vec<String> = vms.map(|vm| vm.plan.vm.clone()).collect();
        let one = names[replica].clone();
        for other in names.iter().filter(|other| **other != one) {
            let (from, to) = ends(&one, other);
            self.cluster.network.cut_one_way(from, to);
        }
    }

    fn end_faults(&mut self) -> Result<(), SoakError> {
        for number in 0..self.cluster.controls.len() {
            self.cluster.set_frozen(number, false)?;
        }
        self.cluster.network.mend();
        self.cluster.revive_controls()?;
        self.disturbances.note_control();
        Ok(())
    }

    fn freeze_some_entries(&mut self) -> Result<Vec<String>, SoakError> {
        let count = *[0, 0, 1, 3].choose(&mut self.rng).unwrap_or(&0);
        let entries = self.cluster.entries.choose_multiple(&mut self.rng, count);
        let frozen: Vec<String> = entries.map(|vm| vm.plan.vm.clone()).collect();
        for vm in &frozen {
            self.signal_entry(vm, Signal::STOP)?;
            self.disturbances.note_frozen(vm);
        }
        Ok(frozen)
    }

    fn thaw_entries(&mut self, frozen: &[String]) -> Result<(), SoakError> {
        for vm in frozen {
            self.signal_entry(vm, Signal::CONT)?;
            self.disturbances.note_thawed(vm);
        }
        Ok(())
    }

    /// Signals the process of an entry VM, which it finds by the settings that it was started with.
    fn signal_entry(&self, vm: &str, signal: Signal) -> Result<(), SoakError> {
        let settings = self.cluster.folder().join(format!("{vm}.jsonc"));
        let settings = settings.display().to_string();
        let pid = pid_with_argument(&settings).and_then(Pid::from_raw);
        let signalled = match pid {
            Some(pid) => kill_process(pid, signal).map_err(io::Error::from),
            None => Err(io::Error::from(io::ErrorKind::NotFound)),
        };
        signalled.context(SignalSnafu { name: vm })
    }
}

fn pid_with_argument(argument: &str) -> Option<i32> {
    let processes = std::fs::read_dir("/proc").ok()?;
    processes.flatten().find_map(|process| {
        let pid: i32 = process.file_name().to_str()?.parse().ok()?;
        let line = std::fs::read(process.path().join("cmdline")).ok()?;
        let mut arguments = line.split(|byte| *byte == 0);
        arguments
            .any(|each| each == argument.as_bytes())
            .then_some(pid)
    })
}

fn span(time: Duration) -> Value {
    json!({"secs": time.as_secs(), "nanos": time.subsec_nanos()})
}

fn manifest() -> Value {
    let route = |prefix: &str, idempotent: bool| {
        json!({
            "host": drain_calls::HOST, "prefix": prefix, "idempotent": idempotent,
            "timeout": span(Duration::from_secs(2)),
            "latency_objective": span(Duration::from_secs(1)),
            "priority": 0, "target": {"Service": SERVICE},
            "max_attempts": 3, "affinity": false, "home_regions": [],
        })
    };
    let service = json!({
        "health_path": "/health", "max_connections": 24, "protocol": "h1", "tls": false,
        "cold_start": span(Duration::from_secs(1)), "cold_rate": 10.0,
    });
    json!({
        "version": 1, "base": 0,
        "content": {"Patch": {
            "routes": {"safe": route("/safe/", true), "once": route("/once/", false)},
            "services": {SERVICE: service},
            "limits": null, "removed_routes": [], "removed_services": [],
        }},
    })
}

/// Announces a backend server, to one replica until it fails and then to the next.
async fn announce_on(
    server: Arc<DrainServer>,
    orders: Vec<SocketAddr>,
    first: usize,
    mut telling: watch::Receiver<Telling>,
) {
    let mut turn = first;
    loop {
        let now = *telling.borrow_and_update();
        if now != Telling::Nothing {
            let body = server.next_announcement(now == Telling::Draining);
            let replica = orders[turn % orders.len()];
            let path = "/v1/announcements";
            let call = drain_calls::call(replica, Method::POST, path, body.to_string());
            if !call.await.is_some_and(|status| status.is_success()) {
                turn += 1;
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(HEARTBEAT) => {}
            changed = telling.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Delivers an announcement late.
async fn announce_late(replica: Option<SocketAddr>, body: Value, after: Duration) {
    tokio::time::sleep(after).await;
    if let Some(replica) = replica {
        let path = "/v1/announcements";
        drain_calls::call(replica, Method::POST, path, body.to_string()).await;
    }
}

/// Returns a line for each way of leaving.
#[must_use]
pub fn summary_lines(judge: &DrainJudge) -> BTreeMap<Way, String> {
    let summary = judge.summary.iter();
    let line = |(way, seen): (&Way, &crate::drain_judge::WaySummary)| {
        let line = format!(
            "{way:?}: {} left, {} requests in the second before, {} after the confirmation, the last \
             one {:.3} s",
            seen.leavings,
            seen.before,
            seen.after,
            seen.worst.as_secs_f64()
        );
        (*way, line)
    };
    summary.map(line).collect()
}
