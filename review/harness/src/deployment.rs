//! A small deployment of the program: control replicas and entry VMs as separate processes, started
//! with the commands of the deploy file.

use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::net;
use crate::relay::Relay;

const INNER_PORT: u16 = 7660;
const METRICS_PORT: u16 = 7661;
const READY_PORT: u16 = 8140;
const FRONT_PORT: u16 = 8144;
const CONTROL_PORT: u16 = 8146;
const DIRECTORY_PORT: u16 = 8148;
const CLAIM_PORT: u16 = 7000;

pub const ZONES: [(&str, &str); 3] = [
    ("fko-hakata", "fukuoka"),
    ("kmm-kikuyo", "kumamoto"),
    ("kgs-taniyama", "kagoshima"),
];

/// A free block of loopback addresses, `127.a.b.0/24`.
pub struct Block {
    second: u8,
    third: u8,
    next: u8,
    _claim: TcpListener,
}

impl Block {
    pub fn claim() -> io::Result<Self> {
        let first = std::process::id().wrapping_mul(7);
        let mut last = io::Error::from(io::ErrorKind::AddrInUse);
        for turn in 0..2_000 {
            let number = first.wrapping_add(turn) % 40_000;
            let (second, third) = ((20 + number / 200) as u8, (20 + number % 200) as u8);
            match TcpListener::bind((Ipv4Addr::new(127, second, third, 1), CLAIM_PORT)) {
                Ok(claim) => {
                    return Ok(Self {
                        second,
                        third,
                        next: 10,
                        _claim: claim,
                    });
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    pub fn next_ip(&mut self) -> IpAddr {
        self.next += 1;
        Ipv4Addr::new(127, self.second, self.third, self.next).into()
    }
}

/// One machine with its process.
pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    command: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL_PORT)
    }

    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DIRECTORY_PORT)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    pub fn start(&mut self, binary: &Path) -> io::Result<()> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(binary)
            .args([self.command, "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Deployment {
    pub controls: Vec<Node>,
    pub entries: Vec<Node>,
    /// The relays before the control replicas, in their order; empty without relays.
    pub relays: Vec<Relay>,
    pub block: Block,
    pub binary: PathBuf,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in self.controls.iter_mut().chain(&mut self.entries) {
            node.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Deployment {
    /// Starts `controls` control replicas and `entries` entry VMs. With `relayed`, whatever is sent to
    /// the inner port of a control replica passes a relay, at which links can be cut.
    pub fn start(controls: usize, entries: usize, relayed: bool) -> io::Result<Self> {
        let binary = PathBuf::from(std::env::var("HEATHERRING").map_err(io::Error::other)?);
        let folder =
            std::env::temp_dir().join(format!("heatherring-review-{}", std::process::id()));
        let mut block = Block::claim()?;
        fs::create_dir_all(&folder)?;
        let mut node = |role: &str, number: usize, command| {
            let name = format!("{role}-{}-{}", ZONES[number % 3].0, number / 3 + 1);
            Node {
                ip: block.next_ip(),
                command,
                settings: folder.join(format!("{name}.jsonc")),
                log: folder.join(format!("{name}.log")),
                name,
                child: None,
            }
        };
        let controls: Vec<Node> = (0..controls).map(|n| node("core", n, "control")).collect();
        let entries: Vec<Node> = (0..entries).map(|n| node("edge", n, "direct")).collect();
        let mut relays = Vec::new();
        for control in controls.iter().filter(|_| relayed) {
            let target = SocketAddr::new(control.ip, INNER_PORT);
            relays.push(Relay::start(
                SocketAddr::new(block.next_ip(), INNER_PORT),
                target,
            )?);
        }
        let mut deployment = Self {
            controls,
            entries,
            relays,
            block,
            binary,
            folder,
        };
        deployment.write_settings()?;
        let binary = deployment.binary.clone();
        for node in deployment
            .controls
            .iter_mut()
            .chain(&mut deployment.entries)
        {
            node.start(&binary)?;
        }
        Ok(deployment)
    }

    /// Writes what the templates of the deploy file give for this deployment.
    fn write_settings(&self) -> io::Result<()> {
        let zones: Vec<String> = ZONES.iter().map(|(z, r)| format!("{z:?}: {r:?}")).collect();
        let zones = format!("{{{}}}", zones.join(", "));
        // The seeds are the addresses at which the operator calls, and the inner port replaces their
        // own. With relays they are the relays' addresses, which have that port already.
        let seed = |number: usize| match self.relays.get(number) {
            Some(relay) => format!("\"{}\"", relay.address),
            None => format!("\"{}\"", self.controls[number].control()),
        };
        let seeds: Vec<String> = (0..self.controls.len().min(3)).map(seed).collect();
        let seeds = format!("[{}]", seeds.join(", "));
        for (number, node) in self.controls.iter().enumerate() {
            let advertise = self.relays.get(number);
            let advertise = advertise.map(|relay| format!("\"advertise\": \"{}\",", relay.address));
            let advertise = advertise.unwrap_or_default();
            let (zone, region) = ZONES[number % 3];
            let (name, ip) = (&node.name, node.ip);
            let data = self.folder.join(format!("data-{name}"));
            fs::create_dir_all(&data)?;
            let data = data.display().to_string();
            let control = node.control();
            let text = format!(
                r#"{{
  "vm": {name:?}, "place": {zone:?}, "region": {region:?},
  "listen": "{ip}:{INNER_PORT}", {advertise} "metrics_listen": "{ip}:{METRICS_PORT}",
  "data_folder": {data:?},
  "security": "open_network",
  "formation": {{ "seeds": {seeds}, "seed_port": {INNER_PORT}, "first_start": true }},
  "direct": {{ "interface": "platform", "listen": "{control}", "places": {zones} }},
}}"#
            );
            fs::write(&node.settings, text)?;
        }
        for (number, node) in self.entries.iter().enumerate() {
            let (zone, region) = ZONES[number % 3];
            let (name, ip) = (&node.name, node.ip);
            let (front, ready, directory) = (node.front(), node.ready(), node.directory());
            let text = format!(
                r#"{{
  "vm": {name:?}, "place": {zone:?}, "region": {region:?}, "places": {zones},
  "listen": {{ "callers": "{front}", "ready": "{ready}", "look_ups": "{directory}", "metrics": "{ip}:{METRICS_PORT}" }},
  "control": {seeds}, "control_port": {INNER_PORT},
  "interface": "platform",
  "security": "open_network",
  "link": {{ "mbps": 1000.0 }},
  "resends": {{ "ratio": 0.2, "slack": 56, "window": "10s" }},
  "grace": "6s",
}}"#
            );
            fs::write(&node.settings, text)?;
        }
        Ok(())
    }

    /// Returns the number of the control replica that leads, by the logs.
    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &Node| {
            let log = fs::read_to_string(&node.log).unwrap_or_default();
            let last = log.lines().rfind(|line| line.contains("\"role_changed\""));
            last.is_some_and(|line| line.contains("\"role\":\"leader\""))
        };
        self.controls.iter().position(leads)
    }

    /// Calls control as the operator does, at one replica after the other, until the answer is clear.
    pub fn operate(&self, method: &str, path: &str, body: &str) -> io::Result<net::Message> {
        let until = Instant::now() + Duration::from_secs(20);
        let mut last = io::Error::from(io::ErrorKind::TimedOut);
        while Instant::now() < until {
            for node in &self.controls {
                match net::call(node.control(), method, path, body, Duration::from_secs(1)) {
                    Ok(answer) if answer.status() < 500 => return Ok(answer),
                    Ok(answer) => last = io::Error::other(answer.first_line),
                    Err(error) => last = error,
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(last)
    }

    /// Waits until all entry VMs say that they are ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        for node in &self.entries {
            loop {
                let timeout = Duration::from_secs(1);
                let answer = net::call(node.ready(), "GET", "/heatherring/ready", "", timeout);
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Returns the `front` addresses that the directory names to a client in a zone.
    pub fn resolve(&self, host: &str, (zone, region): (&str, &str)) -> Vec<SocketAddr> {
        let path = format!("/heatherring/resolve?name={host}&region={region}&zone={zone}");
        for node in &self.entries {
            let answer = net::call(node.directory(), "GET", &path, "", Duration::from_secs(1));
            let Ok(answer) = answer else { continue };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let quoted = text.split('"');
            let addresses: Vec<SocketAddr> = quoted.filter_map(|word| word.parse().ok()).collect();
            if !addresses.is_empty() {
                return addresses;
            }
        }
        Vec::new()
    }
}
