//! `heatherring explain` finds the cause of a failed request by its id in the log lines of real
//! processes.

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

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(50);
const PLACE: &str = "fko-hakata";

/// One control replica and one entry VM, each in its own process.
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

    /// Submits a route of the service `registry` and waits until it is in force on the entry VM.
    fn submit_routes(&self) {
        let change = json!({"version": 1, "base": 0, "content": {"Whole": {
            "routes": routes(), "services": services(),
            "limits": heatherring_lib::route_manifest::CallerLimits::default(),
        }}});
        call_until(
            self.orders,
            "POST /v1/routes",
            &change.to_string(),
            &["HTTP/1.1 200"],
        );
        let answer = call_until(
            self.callers,
            "GET /nowhere/ HTTP/1.1\r\nhost: registry.example\r\nx: ",
            "",
            &["HTTP/1.1 404"],
        );
        assert!(answer.contains("404"), "{answer}");
    }

    /// Sends one request; returns its answer, or an empty string if the call fails.
    fn request(&self, id: &str, path: &str) -> String {
        let head = format!(
            "GET {path} HTTP/1.1\r\nhost: registry.example\r\nheatherring-request-id: {id}\r\nx: "
        );
        call(self.callers, &head, "").unwrap_or_default()
    }

    fn explain(&self, id: &str) -> String {
        let started_at = std::time::Instant::now();
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
            // Log lines may be written shortly after the answer was sent.
            assert!(started_at.elapsed() < TIMEOUT, "{output:?}");
            std::thread::sleep(POLL);
        }
    }
}

/// Returns one route, to the service `registry`.
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
fn call_until(address: SocketAddr, head: &str, body: &str, statuses: &[&str]) -> String {
    let started_at = std::time::Instant::now();
    loop {
        let answer = call(address, head, body).unwrap_or_default();
        if statuses.iter().any(|status| answer.starts_with(status)) {
            return answer;
        }
        assert!(started_at.elapsed() < TIMEOUT, "{head}: {answer}");
        std::thread::sleep(POLL);
    }
}

/// Sends one request over a new connection and reads until the connection is closed.
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
    let explanation = deployment.explain("a1");
    assert!(
        explanation.contains("no backend server of registry could be used"),
        "{explanation}"
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
    call_until(
        deployment.orders,
        "POST /v1/announcements",
        &record.to_string(),
        &["HTTP/1.1 204"],
    );
    let started_at = std::time::Instant::now();
    let mut number = 0;
    // Requests are refused until the entry VM has learned of the backend server.
    let id = loop {
        number += 1;
        let id = format!("b{number}");
        if deployment
            .request(&id, "/once/7")
            .starts_with("HTTP/1.1 502")
        {
            break id;
        }
        assert!(started_at.elapsed() < TIMEOUT);
        std::thread::sleep(POLL);
    };
    let explanation = deployment.explain(&id);
    assert!(
        explanation.contains("broke after the request was sent"),
        "{explanation}"
    );
    assert!(
        explanation.contains("server-4: data at hand"),
        "{explanation}"
    );
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
    let explanation = deployment.explain("c1");
    assert!(
        explanation.contains("no route of manifest version 1 matches"),
        "{explanation}"
    );
    assert!(
        explanation.contains("had not heard from control"),
        "{explanation}"
    );
    assert!(explanation.contains("lost control"), "{explanation}");
}

/// Guards against keys of teams that leak through logs, metrics or the output of operators'
/// commands.
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
        call_until(
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
        call_until(deployment.callers, &head, "", &[&expected]);
    }
    let control = deployment.control.to_string();
    let mut texts = vec![
        deployment.explain("401"),
        deployment.explain("503"),
        call(deployment.metrics, "GET /", "").unwrap(),
    ];
    for command in ["team", "audit", "status"] {
        let output = Command::new(env!("CARGO_BIN_EXE_heatherring"))
            .args([command, "--control", &control])
            .output()
            .unwrap();
        assert!(output.status.success(), "{command}: {output:?}");
        texts.push(String::from_utf8(output.stdout).unwrap());
    }
    assert!(texts[3].contains("t-1"), "{}", texts[3]);
    for log in deployment.logs() {
        texts.push(std::fs::read_to_string(log).unwrap());
    }
    for text in texts {
        assert!(!text.is_empty());
        let leaked = KEYS.iter().find(|key| text.contains(**key));
        assert_eq!(leaked, None, "{text}");
    }
}
