//! Control replicas as processes, and an operator that sends them orders byte by byte.

#![allow(dead_code)]

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use heatherring_testutils::loopback::BACKEND_SERVERS_PORT;
use heatherring_testutils::loopback::CONTROL_PORT;
use heatherring_testutils::loopback::LoopbackBlock;
use heatherring_testutils::process::Process;
use heatherring_testutils::wait::wait_for;
use rustix::net::sockopt;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

pub const REPLICAS: usize = 3;
pub const PLACE: &str = "alm-a";

/// Time after which an operator gives a call up; generous, and no measurement depends on it.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Log entries after which a replica takes a snapshot.
const SNAPSHOT_EVERY: u64 = 10;

/// The interface that operators speak.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plane {
    Own,
    Platform,
}

/// Whether an order names the whole manifest or the items that it changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    Whole,
    Patch,
}

pub const FORMS: [Form; 2] = [Form::Whole, Form::Patch];

/// How an operator ends the connection behind its bytes.
#[derive(Clone, Copy, Debug)]
pub enum End {
    /// Waits for the answer.
    Open,
    /// Closes its own direction and waits for the answer.
    HalfClosed,
    /// Closes without waiting.
    Closed,
    /// Resets the connection.
    Reset,
}

/// An answer to an order.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Plane {
    const fn setting(self) -> &'static str {
        match self {
            Self::Own => "heatherring",
            Self::Platform => "platform",
        }
    }

    const fn manifest_path(self) -> &'static str {
        match self {
            Self::Own => "/v1/routes",
            Self::Platform => "/heatherring/config",
        }
    }

    const fn change_method(self, form: Form) -> &'static str {
        match (self, form) {
            (Self::Own, _) => "POST",
            (Self::Platform, Form::Whole) => "PUT",
            (Self::Platform, Form::Patch) => "PATCH",
        }
    }

    /// Returns the head of an order, with the header lines that frame its body.
    pub fn change_head(self, form: Form, framing: &str) -> String {
        let (method, path) = (self.change_method(form), self.manifest_path());
        format!(
            "{method} {path} HTTP/1.1\r\nhost: control\r\nconnection: close\r\n{framing}\r\n\r\n"
        )
    }

    /// Returns an order with its length.
    pub fn change_text(self, form: Form, body: &str) -> String {
        let head = self.change_head(form, &format!("content-length: {}", body.len()));
        format!("{head}{body}")
    }
}

fn call_text(method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: control\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Sends bytes over a new connection. Returns `None` without an answer, or if the operator doesn't
/// wait for one.
pub fn exchange(address: SocketAddr, bytes: &[u8], end: End) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    stream.write_all(bytes).ok()?;
    match end {
        End::Open => {}
        End::HalfClosed => stream.shutdown(Shutdown::Write).ok()?,
        End::Closed => return None,
        End::Reset => {
            // Bytes that were not delivered are lost with a reset.
            std::thread::sleep(Duration::from_millis(20));
            sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).ok()?;
            return None;
        }
    }
    let mut received = Vec::new();
    // A server that closes with bytes unread resets the connection after its answer.
    let _ = stream.read_to_end(&mut received);
    let received = String::from_utf8_lossy(&received);
    let (head, body) = received.split_once("\r\n\r\n")?;
    Some(Answer {
        status: head.split(' ').nth(1)?.parse().ok()?,
        body: body.to_owned(),
    })
}

/// Three control replicas as processes; dropping them kills these.
pub struct Controls {
    pub plane: Plane,
    // Processes go before the folder that they write to.
    processes: Vec<Option<Process>>,
    settings: Vec<PathBuf>,
    addresses: Vec<SocketAddr>,
    folder: TempDir,
    _block: LoopbackBlock,
}

impl Controls {
    pub fn start(plane: Plane) -> Self {
        let mut block = LoopbackBlock::claim().unwrap();
        let folder = TempDir::new().unwrap();
        let ips: Vec<_> = (0..REPLICAS).map(|_| block.next_vm()).collect();
        let seeds: Vec<SocketAddr> = ips
            .iter()
            .map(|ip| SocketAddr::new(*ip, CONTROL_PORT))
            .collect();
        let addresses = ips
            .iter()
            .map(|ip| SocketAddr::new(*ip, BACKEND_SERVERS_PORT));
        let addresses: Vec<SocketAddr> = addresses.collect();
        let settings = (0..REPLICAS).map(|number| {
            let path = folder.path().join(format!("control-{number}.jsonc"));
            let settings = json!({
                "vm": format!("control-{number}"), "place": PLACE, "region": "almaty",
                "listen": seeds[number],
                "data_folder": folder.path().join(format!("control-{number}")),
                "security": "open_loopback",
                "snapshot_every": SNAPSHOT_EVERY,
                "formation": {"seeds": seeds, "first_start": true},
                "direct": {"interface": plane.setting(), "listen": addresses[number],
                    "places": {PLACE: "almaty", "alm-b": "almaty"}},
            });
            std::fs::write(&path, settings.to_string()).unwrap();
            path
        });
        let settings: Vec<PathBuf> = settings.collect();
        let mut controls = Self {
            plane,
            processes: (0..REPLICAS).map(|_| None).collect(),
            settings,
            addresses,
            folder,
            _block: block,
        };
        for number in 0..REPLICAS {
            controls.restart(number);
        }
        controls
    }

    /// Starts a replica's process, again or for the first time.
    pub fn restart(&mut self, number: usize) {
        let settings = self.settings[number].display().to_string();
        let log = self.folder.path().join(format!("control-{number}.log"));
        let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
        let arguments = ["control", "--settings", &settings];
        let process = Process::start("control", binary, &arguments, &log).unwrap();
        self.processes[number] = Some(process);
    }

    pub fn kill(&mut self, number: usize) {
        self.processes[number].take().unwrap().kill().unwrap();
    }

    /// Returns whether a replica was started and not killed.
    pub fn is_running(&self, number: usize) -> bool {
        self.processes[number].is_some()
    }

    pub fn address(&self, number: usize) -> SocketAddr {
        self.addresses[number]
    }

    pub fn change(&self, number: usize, form: Form, body: &str) -> Option<Answer> {
        let text = self.plane.change_text(form, body);
        exchange(self.addresses[number], text.as_bytes(), End::Open)
    }

    /// Sends a call other than a change of the manifest until it is confirmed.
    pub async fn confirm_call(&self, number: usize, method: &str, path: &str, body: &str) {
        let text = call_text(method, path, body);
        wait_for("a confirmation", async || {
            let answer = exchange(self.addresses[number], text.as_bytes(), End::Open)?;
            (200..300).contains(&answer.status).then_some(())
        })
        .await
        .unwrap();
    }

    /// Sends a change to a replica until it gets a final answer, as operators do.
    pub async fn decide(&self, number: usize, form: Form, body: &str) -> Answer {
        wait_for("a final answer", async || {
            let answer = self.change(number, form, body)?;
            (answer.status < 500).then_some(answer)
        })
        .await
        .unwrap()
    }

    /// Reads the manifest back at a replica.
    pub async fn read(&self, number: usize) -> Value {
        let text = call_text("GET", self.plane.manifest_path(), "");
        wait_for("the manifest", async || {
            let answer = exchange(self.addresses[number], text.as_bytes(), End::Open)?;
            (answer.status == 200).then(|| serde_json::from_str(&answer.body).unwrap())
        })
        .await
        .unwrap()
    }

    /// Reads the manifest back at every replica that runs.
    pub async fn read_all(&self) -> Vec<Value> {
        let mut read = Vec::new();
        for (number, process) in self.processes.iter().enumerate() {
            if process.is_some() {
                read.push(self.read(number).await);
            }
        }
        read
    }
}
