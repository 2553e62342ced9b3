//! From the id of a failed request to its cause, by the log lines of real processes.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use heatherring_testutils::loopback::BACKEND_SERVERS_PORT;
use heatherring_testutils::loopback::CALLERS_PORT;
use heatherring_testutils::loopback::CONTROL_PORT;
use heatherring_testutils::loopback::FORWARD_PORT;
use heatherring_testutils::loopback::LoopbackBlock;
use heatherring_testutils::loopback::PEERS_PORT;
use heatherring_testutils::loopback::SERVICE_PORT;
use heatherring_testutils::process::Process;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

const BOUND: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(50);
const PLACE: &str = "fko-hakata";

/// One control replica and one entry VM, each a process.
struct Deployment {
    folder: TempDir,
    control: SocketAddr,
    orders: SocketAddr,
    callers: SocketAddr,
    metrics: SocketAddr,
    backend: SocketAddr,
    control_process: Option<Process>,
    _entry_process: Process,
    _block: LoopbackBlock,
}

fn start_process(folder: &Path, role: &str, settings: &Value) -> Process {
    let file = folder.join(format!("{role}.jsonc"));
    std::fs::write(&file, settings.to_string()).unwrap();
    let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
    let arguments = [role, "--settings", file.to_str().unwrap()];
    Process::start(
        role,
        binary,
        &arguments,
        &folder.join(format!("{role}.log")),
    )
    .unwrap()
}

impl Deployment {
    fn start() -> Self {
        let mut block = LoopbackBlock::claim().unwrap();
        let folder = TempDir::new().unwrap();
        let (control_vm, entry_vm, backend_vm) =
            (block.next_vm(), block.next_vm(), block.next_vm());
        let control = SocketAddr::new(control_vm, CONTROL_PORT);
        let orders = SocketAddr::new(control_vm, BACKEND_SERVERS_PORT);
        let places = json!({PLACE: "fukuoka"});
        let control_settings = json!({
            "vm": "control-1", "place": PLACE, "region": "fukuoka", "listen": control,
            "data_folder": folder.path().join("data"), "security": "open_loopback",
            "formation": {"seeds": [control], "first_start": true, "voters": 1},
            "direct": {"listen": orders, "places": places},
        });
        let callers = SocketAddr::new(entry_vm, CALLERS_PORT);
        let metrics = SocketAddr::new(entry_vm, FORWARD_PORT);
        let entry_settings = json!({
            "vm": "entry-1", "place": PLACE, "region": "fukuoka", "places": places,
            "listen": {
                "callers": callers, "ready": SocketAddr::new(entry_vm, PEERS_PORT),
                "metrics": metrics,
            },
            "control": [control], "security": "open_loopback",
        });
        let control_process = start_process(folder.path(), "control", &control_settings);
        let entry_process = start_process(folder.path(), "direct", &entry_settings);
        Self {
            control,
            orders,
            callers,
            metrics,
            backend: SocketAddr::new(backend_vm, SERVICE_PORT),
            control_process: Some(control_process),
            _entry_process: entry_process,
            _block: block,
            folder,
        }
    }

    fn logs(&self) -> [PathBuf; 2] {
        ["control.log", "direct.log"].map(|name| self.folder.path().join(name))
    }

    /// Puts a route of the service `registry` in force, and waits until the entry VM has it.
    fn submit_routes(&self) {
        let change = json!({"version": 1, "base": 0, "content": {"Whole": {
            "routes": routes(), "services": services(),
            "limits": heatherring_lib::route_manifest::CallerLimits::default(),
        }}});
        until(
            self.orders,
            "POST /v1/routes",
            &change.to_string(),
            &["HTTP/1.1 200"],
        );
        let answer = until(
            self.callers,
            "GET /nowhere/ HTTP/1.1\r\nhost: registry.example\r\nx: ",
            "",
            &["HTTP/1.1 404"],
        );
        assert!(answer.contains("404"), "{answer}");
    }

    /// Sends one request; returns its answer, which may be empty.
    fn request(&self, id: &str, path: &str) -> String {
        let head = format!(
            "GET {path} HTTP/1.1\r\nhost: registry.example\r\nheatherring-request-id: {id}\r\nx: "
        );
        call(self.callers, &head, "").unwrap_or_default()
    }

    fn explain(&self, id: &str) -> String {
        let begun = std::time::Instant::now();
        loop {
            let [control, entry] = self.logs();
            let output = Command::new(env!("CARGO_BIN_EXE_heatherring"))
                .args(["explain", id, "--logs"])
                .args([control, entry])
                .output()
                .unwrap();
            if output.status.success() {
                return String::from_utf8(output.stdout).unwrap();
            }
            // Lines are written a moment after the answer.
            assert!(begun.elapsed() < BOUND, "{output:?}");
            std::thread::sleep(POLL);
        }
    }
}

/// One route, of the service `registry`.
fn routes() -> Value {
    json!({"r-1": {
        "host": "registry.example", "prefix": "/once/", "idempotent": false,
        "timeout": {"secs": 2, "nanos": 0}, "latency_objective": {"secs": 1, "nanos": 0},
        "priority": 0, "target": {"Service": "registry"}, "max_attempts": 2,
        "affinity": true, "home_regions": [],
    }})
}

fn services() -> Value {
    json!({"registry": {
        "health_path": "/health", "max_connections": 100, "protocol": "h1",
        "tls": false, "cold_start": {"secs": 3, "nanos": 0}, "cold_rate": 10.0,
    }})
}

/// Repeats a call until its answer begins with one of `statuses`.
fn until(address: SocketAddr, head: &str, body: &str, statuses: &[&str]) -> String {
    let begun = std::time::Instant::now();
    loop {
        let answer = call(address, head, body).unwrap_or_default();
        if statuses.iter().any(|status| answer.starts_with(status)) {
            return answer;
        }
        assert!(begun.elapsed() < BOUND, "{head}: {answer}");
        std::thread::sleep(POLL);
    }
}

/// Sends one request over a connection of its own and reads until it is closed.
fn call(address: SocketAddr, head: &str, body: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let first = if head.contains("HTTP/1.1") {
        head.to_owned()
    } else {
        format!("{head} HTTP/1.1\r\nhost: control\r\nx: ")
    };
    let length = body.len();
    write!(
        stream,
        "{first}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

#[test]
fn test_explain_logs_refused_without_backend_servers() {
    let deployment = Deployment::start();
    deployment.submit_routes();
    let answer = deployment.request("a1", "/once/7");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let told = deployment.explain("a1");
    assert!(
        told.contains("no backend server of registry could be used"),
        "{told}"
    );
}

#[test]
fn test_explain_logs_backend_server_that_broke() {
    let deployment = Deployment::start();
    deployment.submit_routes();
    let listener = TcpListener::bind(deployment.backend).unwrap();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut buf = [0; 1_024];
            let _ = stream.read(&mut buf);
        }
    });
    let record = json!({"backend": "server-4", "record": {
        "service": "registry", "address": deployment.backend, "place": PLACE, "slots": 3,
        "state": "Ready", "sequence": 1, "cold_for": {"secs": 0, "nanos": 0},
    }});
    until(
        deployment.orders,
        "POST /v1/announcements",
        &record.to_string(),
        &["HTTP/1.1 204"],
    );
    let begun = std::time::Instant::now();
    let mut number = 0;
    // Until the entry VM knows of the backend server, requests are refused.
    let id = loop {
        number += 1;
        let id = format!("b{number}");
        if deployment
            .request(&id, "/once/7")
            .starts_with("HTTP/1.1 502")
        {
            break id;
        }
        assert!(begun.elapsed() < BOUND);
        std::thread::sleep(POLL);
    };
    let told = deployment.explain(&id);
    assert!(told.contains("broke after the request was sent"), "{told}");
    assert!(told.contains("server-4: data at hand"), "{told}");
    let metrics = call(deployment.metrics, "GET /", "").unwrap();
    assert!(
        metrics.contains("heatherring_sends_total{verdict=\"broken\"}"),
        "{metrics}"
    );
}

#[test]
fn test_explain_logs_control_out_of_reach() {
    let mut deployment = Deployment::start();
    deployment.submit_routes();
    deployment.control_process.take().unwrap().kill().unwrap();
    assert!(TcpStream::connect(deployment.control).is_err());
    std::thread::sleep(Duration::from_secs(2));
    let answer = deployment.request("c1", "/added-meanwhile/7");
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    let told = deployment.explain("c1");
    assert!(
        told.contains("no route of manifest version 1 matches"),
        "{told}"
    );
    assert!(told.contains("had not heard from control"), "{told}");
    assert!(told.contains("lost control"), "{told}");
}

/// Symptom: whoever reads logs, metrics or what operators' commands print has the keys of teams.
#[test]
fn test_explain_logs_and_other_pages_show_no_key() {
    const KEYS: [&str; 3] = ["key-of-one", "key-taken-away", "key-of-nobody"];
    let deployment = Deployment::start();
    let teams = |keys: &[&str]| json!({"teams": {"t-1": {"keys": keys, "rate": 5, "burst": 5}}});
    let mut change = json!({"version": 1, "base": 0, "content": {"Whole": {
        "routes": {}, "services": {},
        "limits": heatherring_lib::route_manifest::CallerLimits::default(),
    }}});
    let submit = |change: &Value| {
        let body = change.to_string();
        until(
            deployment.orders,
            "POST /v1/routes",
            &body,
            &["HTTP/1.1 200"],
        );
    };
    change["teams"] = teams(&KEYS[..2]);
    submit(&change);
    let patch = json!({"version": 2, "base": 1, "content": {"Patch": {
        "routes": routes(), "services": services(),
        "limits": null, "removed_routes": [], "removed_services": [],
    }}, "teams": teams(&KEYS[..1])});
    submit(&patch);
    for (key, status) in KEYS.iter().zip(["503", "401", "401"]) {
        let head = format!(
            "GET /once/1 HTTP/1.1\r\nhost: registry.example\r\nauthorization: Bearer {key}\r\n\
             heatherring-request-id: {status}\r\nx: "
        );
        let expected = format!("HTTP/1.1 {status}");
        until(deployment.callers, &head, "", &[&expected]);
    }
    let control = deployment.control.to_string();
    let mut shown = vec![
        deployment.explain("401"),
        deployment.explain("503"),
        call(deployment.metrics, "GET /", "").unwrap(),
    ];
    for command in ["team", "audit", "status"] {
        let ran = Command::new(env!("CARGO_BIN_EXE_heatherring"))
            .args([command, "--control", &control])
            .output()
            .unwrap();
        assert!(ran.status.success(), "{command}: {ran:?}");
        shown.push(String::from_utf8(ran.stdout).unwrap());
    }
    assert!(shown[3].contains("t-1"), "{}", shown[3]);
    for log in deployment.logs() {
        shown.push(std::fs::read_to_string(log).unwrap());
    }
    for page in shown {
        assert!(!page.is_empty());
        let leaked = KEYS.iter().find(|key| page.contains(**key));
        assert_eq!(leaked, None, "{page}");
    }
}
