//! Control replicas and entry VMs that dispatch directly, as real processes.
//!
//! Everything that control replicas are sent by each other and by entry VMs goes through relays,
//! so that each of these links can be delayed and cut. Callers and operators go round them.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use snafu::ResultExt;
use tempfile::TempDir;

use crate::cluster_error::ClusterError;
use crate::cluster_error::FileSnafu;
use crate::cluster_plan::VmPlan;
use crate::config_record::Vm;
use crate::loopback::BACKEND_SERVERS_PORT;
use crate::loopback::CALLERS_PORT;
use crate::loopback::CONTROL_PORT;
use crate::loopback::LoopbackBlock;
use crate::loopback::PEERS_PORT;
use crate::network::Network;
use crate::process::Process;

/// Replicas that the others know from their settings.
const SEEDS: usize = 3;

/// Delay of one direction between two VMs of a region.
const WITHIN_REGION: Duration = Duration::from_millis(1);

/// Describes a cluster.
#[derive(Clone, Debug)]
pub struct DirectPlan {
    /// The regions; each has two places.
    pub regions: Vec<String>,
    /// Control replicas, dealt to the places in turn.
    pub controls: usize,
    /// Entry VMs, dealt alike.
    pub entries: usize,
    /// Delay of one direction between two regions.
    pub between_regions: Duration,
}

impl DirectPlan {
    /// Returns the places: the first one of each region, then the second ones.
    fn places(&self) -> Vec<(String, String)> {
        let of = |letter: &str| {
            let regions = self.regions.iter();
            let named = regions.map(|region| (format!("{region}-{letter}"), region.clone()));
            named.collect::<Vec<_>>()
        };
        [of("a"), of("b")].concat()
    }

    fn deal(&self, role: &str, count: usize) -> Vec<VmPlan> {
        let places = self.places();
        let vm = |number: usize| {
            let (place, region) = &places[number % places.len()];
            VmPlan::new(&format!("{role}-{place}-{number}"), place, region)
        };
        (0..count).map(vm).collect()
    }
}

/// Holds one VM with its process.
#[derive(Debug)]
pub struct DirectVm {
    /// What was planned.
    pub plan: VmPlan,
    ip: IpAddr,
    settings: PathBuf,
    process: Option<Process>,
}

impl DirectVm {
    /// Returns where a control replica takes orders.
    #[must_use]
    pub const fn orders(&self) -> SocketAddr {
        SocketAddr::new(self.ip, BACKEND_SERVERS_PORT)
    }

    /// Returns where an entry VM takes requests.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Starts the VM's process and makes it known to the network.
    fn start(
        &mut self,
        binary: &Path,
        command: &str,
        log: &Path,
        network: &mut Network,
    ) -> Result<(), ClusterError> {
        let settings = self.settings.display().to_string();
        let arguments = [command, "--settings", &settings];
        let process = Process::start(&self.plan.vm, binary, &arguments, log)?;
        network.register(process.pid(), Some(self.ip), &self.plan.vm);
        self.process = Some(process);
        Ok(())
    }
}

/// Runs the cluster; dropping it kills its processes.
#[derive(Debug)]
pub struct DirectCluster {
    // Processes go before the folder that they write to.
    /// The control replicas.
    pub controls: Vec<DirectVm>,
    /// The entry VMs.
    pub entries: Vec<DirectVm>,
    /// The links towards control replicas.
    pub network: Network,
    binary: PathBuf,
    relays: Vec<SocketAddr>,
    /// Relays of the replicas that the settings name.
    seeds: Vec<SocketAddr>,
    plan: DirectPlan,
    /// Control VMs that were replaced; their processes may still run.
    replaced: Vec<DirectVm>,
    folder: TempDir,
    block: LoopbackBlock,
}

impl DirectCluster {
    /// Starts all processes of `binary`, the `heatherring` program, at once.
    ///
    /// # Errors
    ///
    /// Returns an error if addresses or files can't be had, or a process doesn't start.
    pub async fn start(plan: &DirectPlan, binary: &Path) -> Result<Self, ClusterError> {
        let mut block = LoopbackBlock::claim()?;
        let folder = tempfile::tempdir().context(FileSnafu {
            path: std::env::temp_dir(),
        })?;
        let mut network = Network::default();
        let mut relays = Vec::new();
        let mut prepare = |vms: Vec<VmPlan>| {
            let prepared = vms.into_iter().map(|plan| DirectVm {
                settings: folder.path().join(format!("{}.jsonc", plan.vm)),
                ip: block.next_vm(),
                plan,
                process: None,
            });
            prepared.collect::<Vec<_>>()
        };
        let controls = prepare(plan.deal("core", plan.controls));
        let entries = prepare(plan.deal("edge", plan.entries));
        for vm in &controls {
            let relay = block.next_relay();
            let target = SocketAddr::new(vm.ip, CONTROL_PORT);
            network.add_relay(relay, target, &vm.plan.vm).await?;
            relays.push(relay);
        }
        let mut cluster = Self {
            controls,
            entries,
            network,
            binary: binary.to_owned(),
            seeds: relays[..SEEDS.min(relays.len())].to_vec(),
            relays,
            plan: plan.clone(),
            replaced: Vec::new(),
            folder,
            block,
        };
        cluster.write_settings(true)?;
        for number in 0..cluster.controls.len() {
            cluster.start_control(number)?;
        }
        for number in 0..cluster.entries.len() {
            cluster.start_entry(number)?;
        }
        cluster.set_delays();
        Ok(cluster)
    }

    /// Writes the settings again, as those of a cluster that has been formed.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written.
    pub fn write_settings_of_formed(&self) -> Result<(), ClusterError> {
        self.write_settings(false)
    }

    /// Makes the settings name the present replicas, instead of those at the start.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written.
    pub fn move_seeds(&mut self) -> Result<(), ClusterError> {
        self.seeds = self.relays[..SEEDS.min(self.relays.len())].to_vec();
        self.write_settings(false)
    }

    /// Returns how many replicas the settings name that are still there, other than `number`.
    #[must_use]
    pub fn other_seeds(&self, number: usize) -> usize {
        let others = self.relays.iter().enumerate();
        let others = others.filter(|(other, _)| *other != number);
        others
            .filter(|(_, relay)| self.seeds.contains(relay))
            .count()
    }

    /// Makes a control replica's address silent for good.
    pub fn silence_control(&mut self, number: usize) {
        let name = &self.controls[number].plan.vm;
        self.network.remove(name);
    }

    /// Puts an empty VM with a new name and address in place of a control replica, without starting
    /// its process. The process of the former VM goes on; see [`Self::end_replaced`].
    ///
    /// # Errors
    ///
    /// Returns an error if the relay can't be started or the settings can't be written.
    pub async fn replace_control(&mut self, number: usize) -> Result<(), ClusterError> {
        let former = &self.controls[number].plan;
        let serial = self.controls.len() + self.replaced.len();
        let name = format!("core-{}-{serial}", former.place);
        let plan = VmPlan::new(&name, &former.place, &former.region);
        let vm = DirectVm {
            settings: self.folder.path().join(format!("{name}.jsonc")),
            ip: self.block.next_vm(),
            plan,
            process: None,
        };
        let relay = self.block.next_relay();
        let target = SocketAddr::new(vm.ip, CONTROL_PORT);
        self.network.add_relay(relay, target, &vm.plan.vm).await?;
        self.relays[number] = relay;
        let former = std::mem::replace(&mut self.controls[number], vm);
        self.replaced.push(former);
        self.set_delays();
        self.write_settings(false)
    }

    /// Ends the processes of all VMs that were replaced, by SIGTERM or by SIGKILL; returns whether
    /// any ran.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be signalled.
    pub fn end_replaced(&mut self, by_sigterm: bool) -> Result<bool, ClusterError> {
        let mut any_ran = false;
        let running = self.replaced.iter_mut().filter_map(|vm| {
            let runs = vm.process.as_mut().is_some_and(Process::is_running);
            vm.process.as_mut().filter(|_| runs)
        });
        for process in running {
            any_ran = true;
            if by_sigterm {
                process.terminate()?;
            } else {
                process.kill()?;
            }
        }
        Ok(any_ran)
    }

    /// Returns the logs of all control VMs, also of those that were replaced.
    pub fn control_logs(&self) -> impl Iterator<Item = PathBuf> {
        let vms = self.controls.iter().chain(&self.replaced);
        vms.map(|vm| self.log_of(vm))
    }

    fn write_settings(&self, first_start: bool) -> Result<(), ClusterError> {
        let seeds = &self.seeds;
        let places: serde_json::Map<String, Value> = self
            .plan
            .places()
            .into_iter()
            .map(|(place, region)| (place, region.into()))
            .collect();
        let address = |ip, port| SocketAddr::new(ip, port);
        for (vm, relay) in self.controls.iter().zip(&self.relays) {
            let settings = json!({
                "vm": vm.plan.vm, "place": vm.plan.place, "region": vm.plan.region,
                "listen": address(vm.ip, CONTROL_PORT),
                "advertise": relay,
                "data_folder": self.folder.path().join(&vm.plan.vm),
                "security": "open_loopback",
                "formation": {"seeds": seeds, "first_start": first_start},
                "direct": {"listen": vm.orders(), "places": places},
            });
            write(vm, &settings)?;
        }
        for vm in &self.entries {
            let settings = json!({
                "vm": vm.plan.vm, "place": vm.plan.place, "region": vm.plan.region,
                "places": places,
                "listen": {"callers": vm.callers(), "ready": address(vm.ip, PEERS_PORT)},
                "control": seeds,
                "security": "open_loopback",
            });
            write(vm, &settings)?;
        }
        Ok(())
    }

    fn set_delays(&mut self) {
        let between_regions = self.plan.between_regions;
        let vms = self.controls.iter().chain(&self.entries);
        let vms: Vec<VmPlan> = vms.map(|vm| vm.plan.clone()).collect();
        for control in &self.controls {
            for vm in &vms {
                let delay = if vm.region == control.plan.region {
                    WITHIN_REGION
                } else {
                    between_regions
                };
                self.network.set_delay(&vm.vm, &control.plan.vm, delay);
            }
        }
    }

    /// Starts a control replica, again or for the first time.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start_control(&mut self, number: usize) -> Result<(), ClusterError> {
        let log = self.log_of(&self.controls[number]);
        let vm = &mut self.controls[number];
        vm.start(&self.binary, "control", &log, &mut self.network)
    }

    fn start_entry(&mut self, number: usize) -> Result<(), ClusterError> {
        let log = self.log_of(&self.entries[number]);
        let vm = &mut self.entries[number];
        vm.start(&self.binary, "direct", &log, &mut self.network)
    }

    fn log_of(&self, vm: &DirectVm) -> PathBuf {
        self.folder.path().join(format!("{}.log", vm.plan.vm))
    }

    /// Kills a control replica.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be signalled.
    pub fn kill_control(&mut self, number: usize) -> Result<(), ClusterError> {
        if let Some(mut process) = self.controls[number].process.take() {
            process.kill()?;
        }
        Ok(())
    }

    /// Starts the control replicas again that have ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn revive_controls(&mut self) -> Result<(), ClusterError> {
        for number in 0..self.controls.len() {
            let process = self.controls[number].process.as_mut();
            if !process.is_some_and(Process::is_running) {
                self.start_control(number)?;
            }
        }
        Ok(())
    }

    /// Freezes a control replica, or lets it go on.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be signalled.
    pub fn set_frozen(&self, number: usize, frozen: bool) -> Result<(), ClusterError> {
        match &self.controls[number].process {
            Some(process) if frozen => process.freeze()?,
            Some(process) => process.thaw()?,
            None => {}
        }
        Ok(())
    }

    /// Returns all VMs.
    pub fn vms(&self) -> impl Iterator<Item = Vm> + use<> {
        let controls = (0..self.controls.len()).map(Vm::Control);
        controls.chain((0..self.entries.len()).map(Vm::Entry))
    }

    /// Returns a VM.
    ///
    /// # Panics
    ///
    /// Panics if there is none of this number.
    #[must_use]
    pub fn vm(&self, vm: Vm) -> &DirectVm {
        match vm {
            Vm::Control(number) => &self.controls[number],
            Vm::Entry(number) => &self.entries[number],
        }
    }

    /// Returns a VM's process.
    ///
    /// # Panics
    ///
    /// Panics if there is no VM of this number.
    pub fn process(&mut self, vm: Vm) -> &mut Option<Process> {
        match vm {
            Vm::Control(number) => &mut self.controls[number].process,
            Vm::Entry(number) => &mut self.entries[number].process,
        }
    }

    /// Starts a VM's process.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start_vm(&mut self, vm: Vm) -> Result<(), ClusterError> {
        match vm {
            Vm::Control(number) => self.start_control(number),
            Vm::Entry(number) => self.start_entry(number),
        }
    }

    /// Deletes the data folder of a control replica that isn't running.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be deleted.
    pub fn delete_data(&self, control: usize) -> Result<(), ClusterError> {
        let path = self.folder.path().join(&self.controls[control].plan.vm);
        match std::fs::remove_dir_all(&path) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                Err(error).context(FileSnafu { path })
            }
            _ => Ok(()),
        }
    }

    /// Returns the log of a VM.
    #[must_use]
    pub fn log(&self, vm: Vm) -> PathBuf {
        self.log_of(self.vm(vm))
    }

    /// Returns an address for what belongs to no VM.
    pub fn next_address(&mut self) -> IpAddr {
        self.block.next_vm()
    }

    /// Returns where the processes write their logs.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}

fn write(vm: &DirectVm, settings: &Value) -> Result<(), ClusterError> {
    let path = &vm.settings;
    std::fs::write(path, format!("{settings:#}")).context(FileSnafu { path })
}
