//! A soak of the route manifest over real processes: operators, readers and callers at work while
//! faults happen, with a record of everything.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use snafu::ResultExt;
use tokio::task::JoinHandle;

use crate::announced_backend::AnnouncedBackend;
use crate::announced_backend::BackendPlan;
use crate::cluster_error::ClusterError;
use crate::cluster_error::FileSnafu;
use crate::config_callers::read_on;
use crate::config_callers::request_on;
use crate::config_operator::ConfigOperator;
use crate::config_record::Happening;
use crate::config_record::Record;
use crate::config_record::RequestAnswer;
use crate::config_record::Vm;
use crate::config_recorder::Recorder;
use crate::config_routes::SERVICES;
use crate::control_addresses::ControlAddresses;
use crate::direct_cluster::DirectCluster;
use crate::direct_cluster::DirectPlan;
use crate::direct_cluster::DirectVm;
use crate::process::Process;
use crate::soak_faults::Action;
use crate::soak_faults::FaultKind;
use crate::soak_faults::FaultPlanner;
use crate::soak_faults::Replacements;
use crate::soak_faults::Step;
use crate::soak_faults::Target;
use crate::wait::wait_for;

/// Backend servers of each service.
const BACKENDS: usize = 2;
/// Time between two looks at what the processes do.
const UPKEEP: Duration = Duration::from_millis(20);
/// Time after which a process that ended by itself is started again.
const RESTART_US: u64 = 1_000_000;
/// Time within which no second data folder is lost.
const BETWEEN_LOSSES_US: u64 = 15_000_000;
/// Live replicas that the settings always name: whoever starts knows one beside itself.
const LIVE_SEEDS: usize = 2;
/// Share of faults that another one overlaps.
const OVERLAPS: f64 = 0.35;
/// Share of faults after which everything comes to rest.
const RESTS: f64 = 0.6;
/// Longest time for which a confirmation is awaited before the leader is lost.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which the manifest is read back at the end.
const READ_BACK: Duration = Duration::from_secs(10);
/// Confirmed changes before the first fault.
const CALM_CHANGES: usize = 6;

/// Describes a soak.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The cluster.
    pub cluster: DirectPlan,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Number of faults.
    pub faults: u32,
    /// Longest time for which one lasts.
    pub longest: Duration,
    /// Kinds of faults to draw from.
    pub kinds: Vec<FaultKind>,
    /// Time between two reads of the manifest at one control replica.
    pub read_every: Duration,
    /// Time between two requests at one entry VM.
    pub request_every: Duration,
    /// Whether the settings say to the end that the deployment starts for the first time.
    pub keep_first_start: bool,
    /// Bounds on the replacement of control VMs.
    pub replacements: Replacements,
}

/// Says what a VM's process does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Status {
    Running,
    Frozen,
    /// Was told to stop; whether it is to be started afterwards.
    Stopping(bool),
    Down,
    /// Ended by itself at this time.
    Ended(u64),
}

/// Holds what a soak has left behind.
#[derive(Debug)]
pub struct SoakOutcome {
    /// What was seen.
    pub record: Record,
    /// How often each kind of fault happened.
    pub kinds: BTreeMap<FaultKind, usize>,
    /// The cluster, whose folder has the logs.
    pub cluster: DirectCluster,
}

/// Runs a soak.
#[derive(Debug)]
pub struct ConfigSoak {
    plan: SoakPlan,
    // Those who use the cluster go before it.
    tasks: Tasks,
    operator: Tasks,
    _backends: Vec<AnnouncedBackend>,
    cluster: DirectCluster,
    recorder: Arc<Recorder>,
    planner: FaultPlanner,
    rng: ChaCha8Rng,
    statuses: BTreeMap<Vm, Status>,
    cut_off: BTreeSet<Vm>,
    folder_lost_us: Option<u64>,
    addresses: ControlAddresses,
    /// The control replica that was lost for good last.
    lost: Option<usize>,
    /// The control replica whose predecessor goes on.
    succeeded: Option<usize>,
    kinds: BTreeMap<FaultKind, usize>,
}

/// Tasks that end when this is dropped.
#[derive(Debug, Default)]
struct Tasks(Vec<JoinHandle<()>>);

impl Tasks {
    fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.0.push(tokio::spawn(task));
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

impl ConfigSoak {
    /// Runs a soak to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the cluster can't be started or a process can't be handled.
    pub async fn run(plan: SoakPlan, binary: &Path) -> Result<SoakOutcome, ClusterError> {
        let mut soak = Self::start(plan, binary).await?;
        soak.wait_until_formed().await?;
        for _ in 0..soak.plan.faults {
            soak.play_one().await?;
        }
        soak.settle()?;
        soak.end().await?;
        Ok(SoakOutcome {
            record: soak.recorder.take(),
            kinds: soak.kinds,
            cluster: soak.cluster,
        })
    }

    async fn start(plan: SoakPlan, binary: &Path) -> Result<Self, ClusterError> {
        let mut cluster = DirectCluster::start(&plan.cluster, binary).await?;
        let regions = cluster.controls.iter().map(|vm| vm.plan.region.clone());
        let recorder = Recorder::new(regions.collect(), cluster.entries.len());
        let recorder = Arc::new(recorder);
        let statuses = cluster.vms().map(|vm| (vm, Status::Running)).collect();
        for vm in cluster.vms() {
            recorder.note_event(vm, Happening::Started);
        }
        let addresses = cluster.controls.iter().map(DirectVm::orders).collect();
        let addresses = ControlAddresses::new(addresses);
        let backends = start_backends(&mut cluster, &addresses).await?;
        let places = cluster.controls.iter().map(|vm| &vm.plan);
        let planner = FaultPlanner {
            controls: places
                .map(|plan| (plan.region.clone(), plan.place.clone()))
                .collect(),
            entries: cluster.entries.len(),
            longest: plan.longest,
            replacements: plan.replacements,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
        };
        let mut soak = Self {
            tasks: Tasks::default(),
            operator: Tasks::default(),
            _backends: backends,
            recorder,
            planner,
            rng: ChaCha8Rng::seed_from_u64(!plan.seed),
            statuses,
            cut_off: BTreeSet::new(),
            folder_lost_us: None,
            addresses,
            lost: None,
            succeeded: None,
            kinds: BTreeMap::new(),
            cluster,
            plan,
        };
        soak.start_tasks();
        Ok(soak)
    }

    fn start_tasks(&mut self) {
        for replica in 0..self.cluster.controls.len() {
            let recorder = Arc::clone(&self.recorder);
            let addresses = self.addresses.clone();
            let reading = read_on(replica, addresses, recorder, self.plan.read_every);
            self.tasks.spawn(reading);
        }
        for (entry, vm) in self.cluster.entries.iter().enumerate() {
            let recorder = Arc::clone(&self.recorder);
            let (every, seed) = (self.plan.request_every, self.rng.random());
            let requesting = request_on(entry, vm.callers(), recorder, every, seed);
            self.tasks.spawn(requesting);
        }
        let recorder = Arc::clone(&self.recorder);
        let operator = ConfigOperator::new(self.addresses.clone(), recorder, self.rng.random());
        self.operator.spawn(operator.run());
    }

    /// Waits until changes are confirmed and every entry VM serves.
    async fn wait_until_formed(&mut self) -> Result<(), ClusterError> {
        let recorder = Arc::clone(&self.recorder);
        let entries = self.cluster.entries.len();
        wait_for("every entry VM serves", async || {
            let served = recorder.modify(|record| {
                let requests = record.requests.iter();
                let served = requests.filter(|req| matches!(req.answer, RequestAnswer::Served(_)));
                served.map(|req| req.entry).collect::<BTreeSet<_>>()
            });
            let formed = recorder.confirmed() >= CALM_CHANGES && served.len() == entries;
            formed.then_some(())
        })
        .await?;
        if !self.plan.keep_first_start {
            self.cluster.write_settings_of_formed()?;
        }
        Ok(())
    }

    async fn play_one(&mut self) -> Result<(), ClusterError> {
        let is_first = self.kinds.is_empty();
        let (kind, mut steps) = self.draw_fault();
        if kind.is_replacement() && !is_first {
            // What the fault before took counts as lost until then.
            self.settle()?;
            self.pause(self.plan.replacements.catch_up).await?;
        }
        if !kind.is_replacement() && self.rng.random_bool(OVERLAPS) {
            let offset = Duration::from_millis(self.rng.random_range(0..2_000));
            let other = self.draw_overlapping().into_iter();
            steps.extend(other.map(|(at, action)| (at + offset, action)));
        }
        steps.sort_by_key(|(at, _)| *at);
        let begun = Instant::now();
        for (at, action) in steps {
            self.pause_until(begun + at).await?;
            self.carry_out(action).await?;
        }
        let rest_ms = if self.rng.random_bool(RESTS) {
            self.settle()?;
            self.rng.random_range(4_000..6_000)
        } else {
            self.rng.random_range(300..1_500)
        };
        self.pause(Duration::from_millis(rest_ms)).await
    }

    fn draw_fault(&mut self) -> (FaultKind, Vec<Step>) {
        let kind = self.plan.kinds.choose(&mut self.rng);
        let kind = kind.copied().unwrap_or(FaultKind::None);
        (kind, self.plan_fault(kind))
    }

    /// Draws a fault that may happen beside another one.
    fn draw_overlapping(&mut self) -> Vec<Step> {
        let kinds = self.plan.kinds.iter().copied();
        let kinds: Vec<FaultKind> = kinds.filter(|kind| !kind.is_replacement()).collect();
        let kind = kinds.choose(&mut self.rng).copied();
        self.plan_fault(kind.unwrap_or(FaultKind::None))
    }

    fn plan_fault(&mut self, kind: FaultKind) -> Vec<Step> {
        *self.kinds.entry(kind).or_default() += 1;
        self.planner.draw(kind)
    }

    async fn pause(&mut self, lasts: Duration) -> Result<(), ClusterError> {
        self.pause_until(Instant::now() + lasts).await
    }

    async fn pause_until(&mut self, until: Instant) -> Result<(), ClusterError> {
        loop {
            self.look_after()?;
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            tokio::time::sleep(left.min(UPKEEP)).await;
        }
    }

    /// Starts processes again that have ended and are to run.
    fn look_after(&mut self) -> Result<(), ClusterError> {
        for vm in self.cluster.vms() {
            let process = self.cluster.process(vm).as_mut();
            let runs = process.is_some_and(Process::is_running);
            match self.statuses[&vm] {
                Status::Running | Status::Frozen if !runs => {
                    let reason = last_line(&self.cluster.log(vm));
                    self.note(vm, Happening::EndedByItself(reason));
                    let ended = Status::Ended(self.recorder.now_us());
                    self.statuses.insert(vm, ended);
                }
                Status::Ended(at_us) if self.recorder.now_us() > at_us + RESTART_US => {
                    self.start_vm(vm, Happening::StartedAgain)?;
                }
                Status::Stopping(true) if !runs => self.start_vm(vm, Happening::Started)?,
                _ => {}
            }
        }
        Ok(())
    }

    fn note(&self, vm: Vm, what: Happening) {
        self.recorder.note_event(vm, what);
    }

    fn start_vm(&mut self, vm: Vm, what: Happening) -> Result<(), ClusterError> {
        self.note(vm, what);
        self.statuses.insert(vm, Status::Running);
        self.cluster.start_vm(vm)
    }

    async fn carry_out(&mut self, action: Action) -> Result<(), ClusterError> {
        match action {
            Action::Kill(vm) => self.kill(vm)?,
            Action::Start(vm) => self.start_again(vm)?,
            Action::Stop(vm) => self.stop(vm)?,
            Action::Freeze(vm) => self.set_frozen(vm, true)?,
            Action::Thaw(vm) => self.set_frozen(vm, false)?,
            Action::LoseFolder(control) => self.lose_folder(control)?,
            Action::Isolate(control) => self.isolate(control),
            Action::CutOneWay { from, to, cut_off } => self.cut_one_way(from, to, cut_off),
            Action::Mend => self.mend(),
            Action::LoseLeaderAfterConfirmation(pause) => self.lose_leader(pause).await?,
            Action::LoseForGood { target, silent } => {
                let number = self.resolve(target);
                if silent {
                    self.cluster.silence_control(number);
                }
                self.kill(Vm::Control(number))?;
                self.lost = Some(number);
            }
            Action::StartSuccessor => {
                if let Some(number) = self.lost.take() {
                    self.start_successor(number).await?;
                }
            }
            Action::StartSuccessorOf(target) => {
                let number = self.resolve(target);
                self.start_successor(number).await?;
                self.succeeded = Some(number);
            }
            Action::EndReplaced { by_sigterm } => {
                let ended = self.cluster.end_replaced(by_sigterm)?;
                if let Some(number) = self.succeeded.take().filter(|_| ended) {
                    self.note(Vm::Control(number), Happening::PredecessorEnded);
                }
            }
            Action::MoveSeeds => self.cluster.move_seeds()?,
        }
        Ok(())
    }

    fn resolve(&self, target: Target) -> usize {
        match target {
            Target::Leader => self.leader().unwrap_or_default(),
            Target::Number(number) => number,
        }
    }

    /// Starts an empty VM in place of a control replica.
    async fn start_successor(&mut self, number: usize) -> Result<(), ClusterError> {
        if self.cluster.other_seeds(number) < LIVE_SEEDS {
            self.cluster.move_seeds()?;
        }
        self.cluster.replace_control(number).await?;
        let address = self.cluster.controls[number].orders();
        self.addresses.set(number, address);
        self.start_vm(Vm::Control(number), Happening::Started)
    }

    fn kill(&mut self, vm: Vm) -> Result<(), ClusterError> {
        if let Some(mut process) = self.cluster.process(vm).take() {
            self.note(vm, Happening::Killed);
            process.kill()?;
        }
        self.statuses.insert(vm, Status::Down);
        Ok(())
    }

    fn start_again(&mut self, vm: Vm) -> Result<(), ClusterError> {
        if self.lost.is_some_and(|lost| vm == Vm::Control(lost)) {
            return Ok(());
        }
        match self.statuses[&vm] {
            Status::Down => self.start_vm(vm, Happening::Started)?,
            Status::Stopping(_) => {
                self.statuses.insert(vm, Status::Stopping(true));
            }
            Status::Running | Status::Frozen | Status::Ended(_) => {}
        }
        Ok(())
    }

    fn stop(&mut self, vm: Vm) -> Result<(), ClusterError> {
        if let (Status::Running, Some(process)) = (self.statuses[&vm], self.cluster.process(vm)) {
            process.terminate()?;
            self.note(vm, Happening::Stopped);
            self.statuses.insert(vm, Status::Stopping(false));
        }
        Ok(())
    }

    fn set_frozen(&mut self, vm: Vm, frozen: bool) -> Result<(), ClusterError> {
        let (from, to, what) = if frozen {
            (Status::Running, Status::Frozen, Happening::Frozen)
        } else {
            (Status::Frozen, Status::Running, Happening::Thawed)
        };
        if self.statuses[&vm] != from {
            return Ok(());
        }
        if let Some(process) = self.cluster.process(vm) {
            if frozen {
                process.freeze()?;
            } else {
                process.thaw()?;
            }
            self.note(vm, what);
            self.statuses.insert(vm, to);
        }
        Ok(())
    }

    fn lose_folder(&mut self, control: usize) -> Result<(), ClusterError> {
        let now_us = self.recorder.now_us();
        let recent = self
            .folder_lost_us
            .is_some_and(|at| now_us < at + BETWEEN_LOSSES_US);
        if recent || self.statuses[&Vm::Control(control)] != Status::Down {
            return Ok(());
        }
        self.folder_lost_us = Some(now_us);
        self.note(Vm::Control(control), Happening::FolderLost);
        self.cluster.delete_data(control)
    }

    fn name(&self, vm: Vm) -> String {
        self.cluster.vm(vm).plan.vm.clone()
    }

    fn isolate(&mut self, control: usize) {
        let vm = Vm::Control(control);
        let name = self.name(vm);
        self.cluster.network.isolate(&name);
        self.note(vm, Happening::Cut);
        self.cut_off.insert(vm);
    }

    fn cut_one_way(&mut self, from: Vm, to: Vm, cut_off: Vm) {
        let (from, to) = (self.name(from), self.name(to));
        self.cluster.network.cut_one_way(&from, &to);
        if self.cut_off.insert(cut_off) {
            self.note(cut_off, Happening::Cut);
        }
    }

    fn mend(&mut self) {
        self.cluster.network.mend();
        for vm in std::mem::take(&mut self.cut_off) {
            self.note(vm, Happening::Mended);
        }
    }

    async fn lose_leader(&mut self, pause: Duration) -> Result<(), ClusterError> {
        let since_us = self.recorder.now_us();
        let until = Instant::now() + CONFIRMATION_TIMEOUT;
        while self.recorder.confirmed_after(since_us).is_none() && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let Some(confirming) = self.recorder.confirmed_after(since_us) else {
            return Ok(());
        };
        let vm = Vm::Control(self.leader().unwrap_or(confirming));
        self.isolate_vm(vm);
        self.pause(pause).await?;
        self.kill(vm)?;
        self.pause(pause).await?;
        self.mend();
        self.start_again(vm)
    }

    fn isolate_vm(&mut self, vm: Vm) {
        if let Vm::Control(control) = vm {
            self.isolate(control);
        }
    }

    /// Returns the control replica that says in its log that it leads in the latest term.
    fn leader(&self) -> Option<usize> {
        let controls = 0..self.cluster.controls.len();
        let led = controls.filter_map(|control| {
            let term = latest_led_term(&self.cluster.log(Vm::Control(control)))?;
            Some((term, control))
        });
        led.max().map(|(_, control)| control)
    }

    /// Ends all faults.
    fn settle(&mut self) -> Result<(), ClusterError> {
        self.mend();
        for vm in self.cluster.vms() {
            self.set_frozen(vm, false)?;
            self.start_again(vm)?;
        }
        Ok(())
    }

    /// Kills all control replicas, loses the folder of one and reads the manifest back.
    async fn end(&mut self) -> Result<(), ClusterError> {
        self.pause(Duration::from_secs(5)).await?;
        for control in 0..self.cluster.controls.len() {
            self.kill(Vm::Control(control))?;
        }
        self.operator = Tasks::default();
        let lost = self.rng.random_range(0..self.cluster.controls.len());
        self.lose_folder(lost)?;
        self.pause(Duration::from_millis(500)).await?;
        self.settle()?;
        let end_us = self.recorder.now_us();
        self.recorder.modify(|record| record.end_us = Some(end_us));
        let until = Instant::now() + crate::wait::BOUND;
        while !self.is_read_since(end_us) && Instant::now() < until {
            self.pause(UPKEEP).await?;
        }
        self.pause(READ_BACK).await
    }

    fn is_read_since(&self, since_us: u64) -> bool {
        self.recorder.modify(|record| {
            let reads = record.reads.iter().rev();
            let mut reads = reads.filter(|read| read.sent_us >= since_us);
            reads.any(|read| read.manifest.is_some())
        })
    }
}

async fn start_backends(
    cluster: &mut DirectCluster,
    controls: &ControlAddresses,
) -> Result<Vec<AnnouncedBackend>, ClusterError> {
    let places: Vec<String> = cluster
        .entries
        .iter()
        .map(|vm| vm.plan.place.clone())
        .collect();
    let mut backends = Vec::new();
    for service in SERVICES {
        for number in 0..BACKENDS {
            let plan = BackendPlan {
                name: format!("{service}-{number}"),
                service: service.to_owned(),
                place: places[number % places.len()].clone(),
                ip: cluster.next_address(),
                controls: controls.clone(),
                first_control: (backends.len() + 1) % controls.count(),
            };
            let path = cluster.folder().join(&plan.name);
            let started = AnnouncedBackend::start(plan).await;
            backends.push(started.context(FileSnafu { path })?);
        }
    }
    Ok(backends)
}

/// Returns the last line of a log.
fn last_line(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    text.lines().last().unwrap_or_default().to_owned()
}

fn latest_led_term(log: &Path) -> Option<u64> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let mut changes = text
        .lines()
        .rev()
        .filter(|line| line.contains("role_changed"));
    changes.find_map(|line| {
        let line: serde_json::Value = serde_json::from_str(line).ok()?;
        let leads = line["kvs"]["role"] == "leader";
        line["kvs"]["term"].as_u64().filter(|_| leads)
    })
}
