//! A cluster of real `heatherring` processes, each VM with a loopback address and a
//! settings file of its own.

use std::collections::BTreeMap;
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
use crate::cluster_operator::count_voters;
use crate::cluster_plan::ClusterPlan;
use crate::cluster_plan::VmPlan;
use crate::fake_backend_server::FakeBackendServerConfig;
use crate::ledger;
use crate::ledger::LedgerEvent;
use crate::loopback::BACKEND_SERVERS_PORT;
use crate::loopback::CALLERS_PORT;
use crate::loopback::CONTROL_PORT;
use crate::loopback::FORWARD_PORT;
use crate::loopback::LoopbackBlock;
use crate::loopback::PEERS_PORT;
use crate::loopback::SERVICE_PORT;
use crate::network::Network;
use crate::process::Process;
use crate::wait::wait_for;

/// How long a process that was asked to shut down may take.
const SHUTDOWN_BOUND: Duration = Duration::from_mins(1);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    Control,
    Entry,
}

#[derive(Debug)]
struct Vm {
    plan: VmPlan,
    role: Role,
    ip: IpAddr,
    settings: PathBuf,
    data_folder: PathBuf,
    /// Addresses of relays by the port that they lead to.
    relays: BTreeMap<u16, SocketAddr>,
    process: Option<Process>,
}

impl Role {
    const fn ports(self) -> &'static [u16] {
        match self {
            Self::Control => &[CONTROL_PORT],
            Self::Entry => &[CALLERS_PORT, BACKEND_SERVERS_PORT, PEERS_PORT, FORWARD_PORT],
        }
    }
}

impl Vm {
    /// Returns where the VM listens.
    fn own(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Returns where others reach the VM.
    fn reached(&self, port: u16) -> SocketAddr {
        let relay = self.relays.get(&port);
        relay.copied().unwrap_or_else(|| self.own(port))
    }
}

#[derive(Debug)]
struct BackendHost {
    process: Process,
    ledger: PathBuf,
}

/// Runs a cluster; dropping it kills everything that it started.
#[derive(Debug)]
pub struct Cluster {
    // Processes go before the folder that they write to.
    vms: BTreeMap<String, Vm>,
    backend_hosts: BTreeMap<String, BackendHost>,
    /// The links between the processes, if the plan has relays.
    pub network: Network,
    places: Vec<(String, String)>,
    block: LoopbackBlock,
    pub(crate) binary: PathBuf,
    plan: ClusterPlan,
    pub(crate) folder: TempDir,
}

impl Cluster {
    /// Writes settings for all VMs, starts none of them.
    ///
    /// `binary` is the `heatherring` program; the fake backend servers' program is
    /// expected beside it.
    ///
    /// # Errors
    ///
    /// Returns an error if addresses or files can't be had.
    pub async fn prepare(plan: ClusterPlan, binary: &Path) -> Result<Self, ClusterError> {
        let folder = tempfile::tempdir().context(FileSnafu {
            path: std::env::temp_dir(),
        })?;
        let mut cluster = Self {
            vms: BTreeMap::new(),
            backend_hosts: BTreeMap::new(),
            network: Network::default(),
            places: plan.places(),
            block: LoopbackBlock::claim()?,
            binary: binary.to_owned(),
            plan: plan.clone(),
            folder,
        };
        for vm in &plan.controls {
            cluster.add_vm(vm, Role::Control)?;
        }
        for vm in &plan.entries {
            cluster.add_vm(vm, Role::Entry)?;
        }
        if plan.relayed {
            for vm in plan.controls.iter().chain(&plan.entries) {
                cluster.relay_to(&vm.vm).await?;
            }
        }
        for vm in plan.controls.iter().chain(&plan.entries) {
            cluster.write_settings(&vm.vm)?;
        }
        Ok(cluster)
    }

    /// Prepares a cluster, initializes it, and starts all of it.
    ///
    /// # Errors
    ///
    /// Returns an error if a process doesn't start or doesn't become ready.
    pub async fn start(plan: ClusterPlan, binary: &Path) -> Result<Self, ClusterError> {
        let mut cluster = Self::prepare(plan, binary).await?;
        cluster.start_controls().await?;
        for vm in cluster.plan.entries.clone() {
            cluster.start_vm(&vm.vm)?;
        }
        cluster
            .wait_for_sessions(cluster.plan.entries.len())
            .await?;
        Ok(cluster)
    }

    /// Initializes the first control replica and joins the others to it.
    ///
    /// # Errors
    ///
    /// Returns an error if a replica doesn't start or join.
    pub async fn start_controls(&mut self) -> Result<(), ClusterError> {
        let names: Vec<_> = self.plan.controls.iter().map(|vm| vm.vm.clone()).collect();
        let Some((first, others)) = names.split_first() else {
            return Ok(());
        };
        self.operate(&["control", "init", "--settings", &self.settings_of(first)])?;
        self.start_vm(first)?;
        self.wait_for_status("a leader", |_| true).await?;
        for (joined, name) in others.iter().enumerate() {
            self.join(name).await?;
            let voters = joined + 2;
            self.wait_for_status("a new voter", |status| count_voters(status) >= voters)
                .await?;
        }
        Ok(())
    }

    /// Joins an empty control replica to the cluster and starts it.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica isn't taken in.
    pub async fn join(&mut self, name: &str) -> Result<(), ClusterError> {
        let settings = self.settings_of(name);
        let through = self.control_argument();
        let arguments = [
            "control",
            "join",
            "--settings",
            &settings,
            "--control",
            &through,
        ];
        wait_for("the replica is taken in", async || {
            self.operate(&arguments).ok()
        })
        .await?;
        self.start_vm(name)
    }

    fn add_vm(&mut self, plan: &VmPlan, role: Role) -> Result<(), ClusterError> {
        let folder = self.folder.path();
        let data_folder = folder.join(format!("{}-data", plan.vm));
        std::fs::create_dir(&data_folder).context(FileSnafu { path: &data_folder })?;
        let vm = Vm {
            plan: plan.clone(),
            role,
            ip: self.block.next_vm(),
            settings: folder.join(format!("{}.jsonc", plan.vm)),
            data_folder,
            relays: BTreeMap::new(),
            process: None,
        };
        self.vms.insert(plan.vm.clone(), vm);
        Ok(())
    }

    /// Puts a relay in front of each listener of a VM.
    async fn relay_to(&mut self, name: &str) -> Result<(), ClusterError> {
        let vm = self.vms.get_mut(name).expect("a VM of the plan");
        let mut relays = BTreeMap::new();
        for port in vm.role.ports() {
            let target = SocketAddr::new(vm.ip, *port);
            let listen = self.block.next_relay();
            self.network.add_relay(listen, target, name).await?;
            relays.insert(*port, listen);
        }
        vm.relays = relays;
        Ok(())
    }

    fn write_settings(&self, name: &str) -> Result<(), ClusterError> {
        let vm = &self.vms[name];
        let mut settings = json!({
            "vm": vm.plan.vm,
            "place": vm.plan.place,
            "region": vm.plan.region,
            "security": "open_loopback",
        });
        match vm.role {
            Role::Control => {
                settings["listen"] = json!(vm.own(CONTROL_PORT));
                settings["advertise"] = json!(vm.reached(CONTROL_PORT));
                settings["data_folder"] = json!(vm.data_folder);
                for (member, value) in &self.plan.control_settings {
                    settings[member] = value.clone();
                }
            }
            Role::Entry => {
                settings["listen"] = entry_addresses(|port| vm.own(port));
                settings["advertise"] = entry_addresses(|port| vm.reached(port));
                settings["control"] = json!(self.control_addresses());
                for (member, value) in &self.plan.entry_settings {
                    settings[member] = value.clone();
                }
            }
        }
        let text = format!("// Settings of {name}.\n{settings:#}\n");
        std::fs::write(&vm.settings, text).context(FileSnafu { path: &vm.settings })
    }

    /// Starts a VM's process.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    ///
    /// # Panics
    ///
    /// Panics if there is no such VM.
    pub fn start_vm(&mut self, name: &str) -> Result<(), ClusterError> {
        let settings = self.settings_of(name);
        let log = self.folder.path().join(format!("{name}.log"));
        let vm = self.vms.get_mut(name).expect("a VM of the plan");
        let role = match vm.role {
            Role::Control => "control",
            Role::Entry => "entry",
        };
        let arguments = [role, "--settings", &settings];
        let start = match vm.role {
            Role::Control => Process::start_fillable,
            Role::Entry => Process::start,
        };
        let process = start(name, &self.binary, &arguments, &log)?;
        self.network.register(process.pid(), Some(vm.ip), name);
        vm.process = Some(process);
        Ok(())
    }

    /// Returns a VM's process, or that of a host of fake backend servers.
    ///
    /// # Panics
    ///
    /// Panics if it was never started.
    pub fn process(&mut self, name: &str) -> &mut Process {
        if let Some(host) = self.backend_hosts.get_mut(name) {
            return &mut host.process;
        }
        let vm = self.vms.get_mut(name).expect("a VM of the plan");
        vm.process.as_mut().expect("a started VM")
    }

    /// Asks a process to shut down and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if it doesn't end.
    pub async fn stop(&mut self, name: &str) -> Result<std::process::ExitStatus, ClusterError> {
        let process = self.process(name);
        process.terminate()?;
        Ok(process.wait(SHUTDOWN_BOUND).await?)
    }

    /// Removes everything from a VM's data folder, as a lost disk does.
    ///
    /// # Errors
    ///
    /// Returns an error if files can't be removed.
    ///
    /// # Panics
    ///
    /// Panics if there is no such VM.
    pub fn rob(&self, name: &str) -> Result<(), ClusterError> {
        let path = &self.vms[name].data_folder;
        std::fs::remove_dir_all(path).context(FileSnafu { path })?;
        std::fs::create_dir(path).context(FileSnafu { path })
    }

    /// Starts a process that hosts fake backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start_backend_servers(
        &mut self,
        host: &str,
        configs: &[FakeBackendServerConfig],
    ) -> Result<(), ClusterError> {
        let folder = self.folder.path();
        let settings = folder.join(format!("{host}.json"));
        let ledger = folder.join(format!("{host}.ledger"));
        let log = folder.join(format!("{host}.log"));
        let text = json!(configs).to_string();
        std::fs::write(&settings, text).context(FileSnafu { path: &settings })?;
        let program = self.binary.with_file_name("fake-backend-server");
        let arguments = [
            "--settings",
            &settings.display().to_string(),
            "--ledger",
            &ledger.display().to_string(),
        ];
        let process = Process::start(host, &program, &arguments, &log)?;
        self.network.register(process.pid(), None, host);
        let host_process = BackendHost { process, ledger };
        self.backend_hosts.insert(host.to_owned(), host_process);
        Ok(())
    }

    /// Returns the address for a new fake backend server.
    pub fn next_backend_address(&mut self) -> SocketAddr {
        SocketAddr::new(self.block.next_vm(), SERVICE_PORT)
    }

    /// Returns where each entry VM takes announcements.
    #[must_use]
    pub fn announce_addresses(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Entry, BACKEND_SERVERS_PORT)
    }

    /// Returns where each entry VM takes callers' requests.
    #[must_use]
    pub fn callers_addresses(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Entry, CALLERS_PORT)
    }

    /// Returns where an entry VM takes callers' requests.
    ///
    /// # Panics
    ///
    /// Panics if there is no such VM.
    #[must_use]
    pub fn callers_address(&self, name: &str) -> SocketAddr {
        self.vms[name].reached(CALLERS_PORT)
    }

    /// Returns where control replicas listen.
    #[must_use]
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Control, CONTROL_PORT)
    }

    fn addresses(&self, role: Role, port: u16) -> Vec<SocketAddr> {
        let vms = self.vms.values().filter(|vm| vm.role == role);
        vms.map(|vm| vm.reached(port)).collect()
    }

    /// Returns the address of a caller near `place`.
    ///
    /// # Panics
    ///
    /// Panics if no VM of the plan stands there.
    #[must_use]
    pub fn caller_address(&self, place: &str, caller: usize) -> IpAddr {
        let index = self.places.iter().position(|(name, _)| name == place);
        self.block
            .caller(index.expect("a place of the plan"), caller)
    }

    /// Returns places and client blocks for a manifest, with `version` and `services`.
    #[must_use]
    pub fn manifest(&self, version: u64, services: &Value) -> Value {
        let places = self.places.iter();
        let places: serde_json::Map<_, _> = places
            .map(|(place, region)| (place.clone(), json!({ "region": region })))
            .collect();
        let names = self.places.iter().enumerate();
        let blocks: Vec<_> = names
            .map(|(index, (place, _))| {
                json!({ "block": self.block.caller_block(index), "place": place })
            })
            .collect();
        json!({
            "version": version,
            "deployment": "test",
            "places": places,
            "services": services,
            "client_blocks": blocks,
        })
    }

    /// Returns the settings file of a VM.
    ///
    /// # Panics
    ///
    /// Panics if there is no such VM.
    #[must_use]
    pub fn settings_of(&self, name: &str) -> String {
        self.vms[name].settings.display().to_string()
    }

    /// Reads the ledgers of all hosts of fake backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if one can't be read.
    pub fn ledgers(&self) -> Result<Vec<LedgerEvent>, ClusterError> {
        let mut events = Vec::new();
        for host in self.backend_hosts.values() {
            events.extend(ledger::read(&host.ledger)?);
        }
        Ok(events)
    }

    /// Returns the folder of the test's files.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}

fn entry_addresses(address: impl Fn(u16) -> SocketAddr) -> Value {
    json!({
        "callers": address(CALLERS_PORT),
        "backend_servers": address(BACKEND_SERVERS_PORT),
        "peers": address(PEERS_PORT),
        "forward": address(FORWARD_PORT),
    })
}
