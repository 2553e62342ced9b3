//! Control replicas and entry VMs as processes of the project's own program.

use std::fs::File;
use std::io::Error;
use std::io::Result;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::link;
use crate::link::Links;
use crate::record::Record;

/// `portRange` begins here.
const PEER_PORT: u16 = 7_660;
/// The operator's and the backend servers' API.
const CONTROL_PORT: u16 = 8_146;
/// Clients of an entry VM.
const FRONT_PORT: u16 = 8_144;
const READY_PORT: u16 = 8_140;
const DIRECTORY_PORT: u16 = 8_141;

/// Zones with their regions; VMs are dealt to them in turn.
pub const ZONES: [(&str, &str); 3] = [
    ("fko-hakata", "fukuoka"),
    ("kmm-kikuyo", "kumamoto"),
    ("kgs-taniyama", "kagoshima"),
];

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Signals that the scripts send.
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// What a deployment is like.
#[derive(Clone, Debug)]
pub struct Plan {
    pub controls: usize,
    pub entries: usize,
    /// Rate of an entry VM's link, in Mbit/s; `None` for no limit.
    pub link_mbps: Option<f64>,
    /// Table of settings under `limits` that quota needs; empty without tenants.
    pub extra_control: String,
}

/// One machine with its process.
#[derive(Debug)]
pub struct Vm {
    pub name: String,
    pub ip: IpAddr,
    role: &'static str,
    number: usize,
    child: Option<Child>,
}

impl Vm {
    /// Returns where a control replica takes calls.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL_PORT)
    }

    /// Returns where an entry VM takes requests.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    /// Returns where an entry VM tells whether it is ready.
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // The process is a child that was not waited for, so its id is still its own.
            unsafe { kill(i32::try_from(child.id()).unwrap_or(0), signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }
}

/// The deployment; dropping it ends its processes and removes its folder.
#[derive(Debug)]
pub struct Cluster {
    pub controls: Vec<Vm>,
    pub entries: Vec<Vm>,
    pub record: Arc<Record>,
    plan: Plan,
    block: [u8; 2],
    program: PathBuf,
    folder: PathBuf,
    formed: bool,
}

impl Cluster {
    /// Starts all processes.
    pub fn start(plan: Plan, record: &Arc<Record>) -> Result<Self> {
        let block = free_block()?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let vm = |role: &'static str, first: u8, number: usize| Vm {
            name: format!("{role}-{}-{number}", ZONES[number % ZONES.len()].0),
            ip: address(block, first + u8::try_from(number).unwrap_or(0)),
            role,
            number,
            child: None,
        };
        let mut cluster = Self {
            controls: (0..plan.controls).map(|n| vm("control", 11, n)).collect(),
            entries: (0..plan.entries).map(|n| vm("direct", 31, n)).collect(),
            record: Arc::clone(record),
            block,
            program: program()?,
            folder,
            formed: false,
            plan,
        };
        cluster.start_relays()?;
        cluster.start_all()?;
        Ok(cluster)
    }

    fn start_relays(&self) -> Result<()> {
        let mut links = Links::default();
        if let Some(mbps) = self.plan.link_mbps {
            for entry in &self.entries {
                links.limit(entry.ip, mbps);
            }
        }
        for control in &self.controls {
            let from = SocketAddr::new(self.relay_ip(control.number), PEER_PORT);
            let to = SocketAddr::new(control.ip, PEER_PORT);
            link::relay(from, to, links.clone())?;
        }
        Ok(())
    }

    fn relay_ip(&self, number: usize) -> IpAddr {
        address(self.block, 21 + u8::try_from(number).unwrap_or(0))
    }

    /// Returns the address for the backend server of a number.
    pub fn upstream_address(&self, number: u8) -> SocketAddr {
        SocketAddr::new(address(self.block, 51 + number), 8_080)
    }

    /// Returns where control takes calls.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.controls.iter().map(Vm::control).collect()
    }

    /// Starts the processes that do not run.
    pub fn start_all(&mut self) -> Result<()> {
        for number in 0..self.controls.len() {
            let settings = self.control_settings(number);
            start(
                &mut self.controls[number],
                &settings,
                &self.program,
                &self.folder,
            )?;
        }
        for number in 0..self.entries.len() {
            let settings = self.entry_settings(number);
            start(
                &mut self.entries[number],
                &settings,
                &self.program,
                &self.folder,
            )?;
        }
        self.formed = true;
        Ok(())
    }

    fn seeds(&self) -> String {
        let seeds = (0..self.controls.len().min(3)).map(|number| {
            let seed = SocketAddr::new(self.relay_ip(number), CONTROL_PORT);
            format!("\"{seed}\"")
        });
        seeds.collect::<Vec<_>>().join(",")
    }

    fn places() -> String {
        let places = ZONES.map(|(zone, region)| format!("\"{zone}\":\"{region}\""));
        places.join(",")
    }

    /// Fills in `deploy/control.jsonc`; `advertise` makes the others call through the relay.
    fn control_settings(&self, number: usize) -> String {
        let vm = &self.controls[number];
        let (zone, region) = ZONES[number % ZONES.len()];
        format!(
            r#"{{
  "vm": "{name}", "place": "{zone}", "region": "{region}",
  "listen": "{ip}:{PEER_PORT}", "advertise": "{relay}:{PEER_PORT}",
  "metrics_listen": "{ip}:{metrics}",
  "data_folder": "{folder}/data-{name}",
  "security": "open_network",
  "formation": {{ "seeds": [{seeds}], "seed_port": {PEER_PORT}, "first_start": {first}, "replacement_within": "4s" }},
  "direct": {{ "interface": "platform", "listen": "{ip}:{CONTROL_PORT}", "places": {{ {places} }},
    "heartbeat": "1500ms", "in_force_within": "2500ms", "max_descriptors": 4096 {extra} }}
}}"#,
            name = vm.name,
            ip = vm.ip,
            relay = self.relay_ip(number),
            metrics = PEER_PORT + 1,
            folder = self.folder.display(),
            seeds = self.seeds(),
            first = !self.formed,
            places = Self::places(),
            extra = self.plan.extra_control,
        )
    }

    /// Fills in `deploy/entry.jsonc`.
    fn entry_settings(&self, number: usize) -> String {
        let vm = &self.entries[number];
        let (zone, region) = ZONES[number % ZONES.len()];
        format!(
            r#"{{
  "vm": "{name}", "place": "{zone}", "region": "{region}", "places": {{ {places} }},
  "listen": {{ "callers": "{ip}:{FRONT_PORT}", "ready": "{ip}:{READY_PORT}", "look_ups": "{ip}:{DIRECTORY_PORT}", "metrics": "{ip}:{metrics}" }},
  "control": [{seeds}], "control_port": {PEER_PORT},
  "interface": "platform", "heartbeat": "1500ms", "in_force_within": "2500ms",
  "security": "open_network",
  "link": {{ "mbps": {mbps} }},
  "resends": {{ "ratio": 0.2, "slack": 56, "window": "10s" }},
  "grace": "6s"
}}"#,
            name = vm.name,
            ip = vm.ip,
            metrics = PEER_PORT + 1,
            places = Self::places(),
            seeds = self.seeds(),
            mbps = self.plan.link_mbps.unwrap_or(1_000.0),
        )
    }

    /// Kills all processes.
    pub fn kill_all(&mut self) {
        for vm in self.controls.iter_mut().chain(&mut self.entries) {
            vm.kill();
        }
    }

    /// Sends an operator's call until it has a clear answer, to one node after another.
    pub fn order(&self, first: &str, body: &str, within: Duration) -> Option<u16> {
        let begun = Instant::now();
        let mut next = 0;
        while begun.elapsed() < within {
            let control = &self.controls[next % self.controls.len()];
            next += 1;
            let headers = [("Content-Type", "application/json")];
            let timeout = Duration::from_secs(3);
            let answer = http::call(control.control(), first, &headers, body.as_bytes(), timeout);
            let status = answer.map_or(0, |answer| answer.status());
            self.record
                .note(&format!("order {first} at {} -> {status}", control.name));
            if (200..300).contains(&status) || [400, 409, 412, 413, 422].contains(&status) {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Waits until entry VMs are ready; returns how many are.
    pub fn wait_ready(&self, within: Duration) -> usize {
        let begun = Instant::now();
        loop {
            let ready = self.entries.iter().filter(|entry| is_ready(entry)).count();
            if ready == self.entries.len() || begun.elapsed() > within {
                return ready;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Returns the folder of settings, data and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.kill_all();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns whether an entry VM says that it is ready.
pub fn is_ready(entry: &Vm) -> bool {
    let timeout = Duration::from_millis(500);
    let answer = http::call(entry.ready(), "GET /heatherring/ready", &[], b"", timeout);
    answer.is_ok_and(|answer| answer.status() == 200)
}

fn start(vm: &mut Vm, settings: &str, program: &Path, folder: &Path) -> Result<()> {
    if vm.child.is_some() {
        return Ok(());
    }
    let file = folder.join(format!("{}.jsonc", vm.name));
    std::fs::write(&file, settings)?;
    let log = folder.join(format!("{}.log", vm.name));
    let log = File::options().create(true).append(true).open(log)?;
    let child = Command::new(program)
        .arg(vm.role)
        .arg("--settings")
        .arg(&file)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    vm.child = Some(child);
    Ok(())
}

/// Returns the program that the deploy file builds.
fn program() -> Result<PathBuf> {
    let program = std::env::var_os("HEATHERRING").map(PathBuf::from);
    let program = program.unwrap_or_else(|| PathBuf::from("target/release/heatherring"));
    if program.exists() {
        Ok(program)
    } else {
        Err(Error::other(format!("{} is not built", program.display())))
    }
}

fn address(block: [u8; 2], host: u8) -> IpAddr {
    Ipv4Addr::new(127, block[0], block[1], host).into()
}

/// Finds a block `127.x.y.0/24` that no other run uses.
fn free_block() -> Result<[u8; 2]> {
    let first = std::process::id();
    for step in 0..200 {
        let number = first.wrapping_add(step * 7) % (200 * 200);
        let block = [
            20 + u8::try_from(number / 200).unwrap_or(0),
            20 + u8::try_from(number % 200).unwrap_or(0),
        ];
        let is_free = |host, port| TcpListener::bind((address(block, host), port)).is_ok();
        if is_free(11, CONTROL_PORT) && is_free(31, FRONT_PORT) && is_free(21, PEER_PORT) {
            return Ok(block);
        }
    }
    Err(Error::other("no free block of loopback addresses"))
}
