//! A cluster of control replicas alone, whose links can each be cut in one direction.
//!
//! Replicas reach each other through relays, one before each; a relay knows by the
//! source address which replica connects. Operators and sessions go round the relays.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Output;

use serde_json::Value;
use serde_json::json;
use snafu::ResultExt;
use tempfile::TempDir;
use tokio::process::Command;

use crate::cluster_error::ClusterError;
use crate::cluster_error::CommandSnafu;
use crate::cluster_error::FileSnafu;
use crate::cluster_operator::list;
use crate::loopback::CONTROL_PORT;
use crate::loopback::LoopbackBlock;
use crate::process::Process;
use crate::relay::Link;
use crate::relay::Relay;
use crate::wait::wait_for;

/// Short log segments, so that runs of a few seconds meet snapshots and compaction.
const SNAPSHOT_EVERY: u64 = 25;

#[derive(Debug)]
struct Replica {
    vm: String,
    ip: IpAddr,
    settings: PathBuf,
    data_folder: PathBuf,
    relay: Relay,
    /// Identity of the replica's data folder, as status reports it.
    identity: Option<String>,
    process: Option<Process>,
}

/// Runs control replicas; dropping it kills them.
#[derive(Debug)]
pub struct ControlCluster {
    // Processes go before the folder that they write to.
    replicas: Vec<Replica>,
    _block: LoopbackBlock,
    binary: PathBuf,
    folder: TempDir,
}

impl ControlCluster {
    /// Starts `count` replicas: initializes the first and joins the others.
    ///
    /// # Errors
    ///
    /// Returns an error if a replica doesn't start or isn't taken in.
    pub async fn start(binary: &Path, count: usize) -> Result<Self, ClusterError> {
        let mut block = LoopbackBlock::claim()?;
        let folder = tempfile::tempdir().context(FileSnafu {
            path: std::env::temp_dir(),
        })?;
        let mut replicas = Vec::new();
        for number in 0..count {
            replicas.push(prepare(number, &mut block, folder.path()).await?);
        }
        let mut cluster = Self {
            replicas,
            _block: block,
            binary: binary.to_owned(),
            folder,
        };
        for number in 0..count {
            cluster.form(number).await?;
        }
        Ok(cluster)
    }

    async fn form(&mut self, number: usize) -> Result<(), ClusterError> {
        let settings = self.settings_of(number);
        if number == 0 {
            let arguments = ["control", "init", "--settings", &settings];
            let printed = self.operate(&arguments).await?;
            self.replicas[number].identity = printed_identity(&printed);
            self.restart(number)?;
            self.wait_for_status("a leader", |_| true).await?;
            return Ok(());
        }
        let control = self.control_argument();
        let join = ["control", "join", "--settings", &settings];
        let arguments = [&join[..], &["--control", &control]].concat();
        self.enter(number, &arguments, None).await
    }

    /// Formats a folder by a command, starts its replica and waits until it votes.
    async fn enter(
        &mut self,
        number: usize,
        arguments: &[&str],
        replaced: Option<&str>,
    ) -> Result<(), ClusterError> {
        let printed = wait_for("the replica is taken in", async || {
            self.operate(arguments).await.ok()
        })
        .await?;
        let identity = printed_identity(&printed);
        self.replicas[number].identity.clone_from(&identity);
        self.restart(number)?;
        let identity = identity.unwrap_or_default();
        self.wait_for_status("the new replica votes", |status| {
            let has = |wanted: &dyn Fn(&Value) -> bool| list(status, "replicas").iter().any(wanted);
            let votes = has(&|replica| replica["replica"] == identity && replica["voter"] == true);
            let is_lost = |replica: &Value| replica["replica"].as_str() == replaced;
            votes && !(replaced.is_some() && has(&is_lost))
        })
        .await?;
        Ok(())
    }

    /// Takes a replica's disk away and repairs it: kills the process, empties the data
    /// folder, joins it under a fresh identity in the place of the lost one, and waits
    /// until it votes and the lost one is gone.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica isn't taken in.
    pub async fn lose_and_repair(&mut self, number: usize) -> Result<(), ClusterError> {
        self.kill(number)?;
        let path = &self.replicas[number].data_folder;
        std::fs::remove_dir_all(path).context(FileSnafu { path })?;
        std::fs::create_dir(path).context(FileSnafu { path })?;
        let replaced = self.replicas[number].identity.clone().unwrap_or_default();
        let settings = self.settings_of(number);
        let control = self.control_argument();
        let repair = ["control", "repair", "--settings", &settings];
        let through = ["--control", &control, "--replaces", &replaced];
        let arguments = [&repair[..], &through].concat();
        self.enter(number, &arguments, Some(&replaced)).await
    }

    /// Returns the number of replicas.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether there are no replicas.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns the names of the replicas' VMs.
    #[must_use]
    pub fn vms(&self) -> Vec<String> {
        let replicas = self.replicas.iter();
        replicas.map(|replica| replica.vm.clone()).collect()
    }

    /// Returns where operators and sessions reach each replica.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let replicas = self.replicas.iter();
        replicas
            .map(|replica| SocketAddr::new(replica.ip, CONTROL_PORT))
            .collect()
    }

    /// Returns the number of the replica that leads.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader is found.
    pub async fn leader(&self) -> Result<usize, ClusterError> {
        let number = |status: &Value| {
            let mut replicas = self.replicas.iter();
            replicas.position(|replica| replica.identity.as_deref() == status["leader"].as_str())
        };
        let status = self.wait_for_status("a leader", |status| number(status).is_some());
        Ok(number(&status.await?).unwrap_or_default())
    }

    /// Starts a replica's process, again or for the first time.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn restart(&mut self, number: usize) -> Result<(), ClusterError> {
        let settings = self.settings_of(number);
        let replica = &mut self.replicas[number];
        let log = self.folder.path().join(format!("{}.log", replica.vm));
        let arguments = ["control", "--settings", &settings];
        let process = Process::start(&replica.vm, &self.binary, &arguments, &log)?;
        replica.process = Some(process);
        Ok(())
    }

    /// Kills a replica's process, if it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be signalled.
    pub fn kill(&mut self, number: usize) -> Result<(), ClusterError> {
        if let Some(mut process) = self.replicas[number].process.take() {
            process.kill()?;
        }
        Ok(())
    }

    /// Freezes a replica's process, if it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be signalled.
    pub fn freeze(&self, number: usize) -> Result<(), ClusterError> {
        if let Some(process) = &self.replicas[number].process {
            process.freeze()?;
        }
        Ok(())
    }

    /// Lets a replica's frozen process go on.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be signalled.
    pub fn thaw(&self, number: usize) -> Result<(), ClusterError> {
        if let Some(process) = &self.replicas[number].process {
            process.thaw()?;
        }
        Ok(())
    }

    /// Returns whether a replica's process runs; it may be frozen.
    pub fn is_running(&mut self, number: usize) -> bool {
        let process = self.replicas[number].process.as_mut();
        process.is_some_and(Process::is_running)
    }

    /// Holds back what replica `from` sends to replica `to` on its own connections.
    pub fn cut(&self, from: usize, to: usize) {
        let source = self.replicas[from].ip;
        let relay = &self.replicas[to].relay;
        relay.set_from(source, Link::default().cut());
    }

    /// Mends all links.
    pub fn mend(&self) {
        for replica in &self.replicas {
            replica.relay.set(Link::default());
        }
    }

    fn settings_of(&self, number: usize) -> String {
        self.replicas[number].settings.display().to_string()
    }

    fn control_argument(&self) -> String {
        let addresses = self.addresses();
        let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
        addresses.join(",")
    }

    /// Runs a command of an operator and returns what it printed.
    ///
    /// # Errors
    ///
    /// Returns an error if the command fails.
    pub async fn operate(&self, arguments: &[&str]) -> Result<String, ClusterError> {
        let command = Command::new(&self.binary)
            .args(arguments)
            .kill_on_drop(true)
            .output();
        let output = command.await.context(FileSnafu { path: &self.binary })?;
        printed(arguments, &output)
    }

    /// Polls `status` until a quorum confirms one that satisfies `condition`.
    ///
    /// # Errors
    ///
    /// Returns an error if that never happens.
    pub async fn wait_for_status(
        &self,
        what: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> Result<Value, ClusterError> {
        let control = self.control_argument();
        let arguments = ["status", "--control", &control, "--output", "json"];
        let status = wait_for(what, async || {
            let printed = self.operate(&arguments).await.ok()?;
            let status: Value = serde_json::from_str(&printed).ok()?;
            condition(&status).then_some(status)
        });
        Ok(status.await?)
    }
}

async fn prepare(
    number: usize,
    block: &mut LoopbackBlock,
    folder: &Path,
) -> Result<Replica, ClusterError> {
    let vm = format!("control-{}", number + 1);
    let ip = block.next_vm();
    let listen = SocketAddr::new(ip, CONTROL_PORT);
    let relay = Relay::start(block.next_relay(), listen, Link::default()).await?;
    let data_folder = folder.join(format!("{vm}-data"));
    std::fs::create_dir(&data_folder).context(FileSnafu { path: &data_folder })?;
    let settings = json!({
        "vm": vm,
        "place": format!("place-{}", number + 1),
        "region": "region",
        "security": "open_loopback",
        "listen": listen,
        "advertise": relay.address(),
        "data_folder": data_folder,
        "snapshot_every": SNAPSHOT_EVERY,
        "timing": {
            "heartbeat_ms": 40,
            "election_min_ms": 200,
            "election_max_ms": 400,
            "session_lease_ms": 1_500,
            "session_margin_ms": 300,
        },
    });
    let path = folder.join(format!("{vm}.jsonc"));
    std::fs::write(&path, settings.to_string()).context(FileSnafu { path: &path })?;
    Ok(Replica {
        vm,
        ip,
        settings: path,
        data_folder,
        relay,
        identity: None,
        process: None,
    })
}

/// Reads a replica's identity from what formatting its folder printed.
fn printed_identity(printed: &str) -> Option<String> {
    let (_, identity) = printed.trim().rsplit_once(' ')?;
    Some(identity.to_owned())
}

fn printed(arguments: &[&str], output: &Output) -> Result<String, ClusterError> {
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    if output.status.success() {
        return Ok(printed);
    }
    let errors = String::from_utf8_lossy(&output.stderr);
    CommandSnafu {
        arguments: arguments.join(" "),
        status: output.status.to_string(),
        output: format!("{printed}{errors}"),
    }
    .fail()
}
