//! Case 8: a configuration raises `maxHeaderBytes`. May clients send longer heads on connections
//! that they opened before?
//!
//! Usage: raised-limit FOLDER. With TROUBLE=0 the limit is as large from the start.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use review_harness_2::cluster::Cluster;
use review_harness_2::cluster::Plan;
use review_harness_2::cluster::ZONES;
use review_harness_2::http;
use review_harness_2::http::Conn;
use review_harness_2::record::Record;
use review_harness_2::upstream::Upstream;

const SMALLER: u32 = 16_384;
const LARGER: u32 = 65_536;
/// Bytes of the fields that make a head longer than the smaller limit.
const LONG_FIELDS: usize = 24_000;
const FIELD: usize = 4_000;

/// Clients, each with a connection that it keeps.
const CLIENTS: usize = 40;
/// Pause of a client after each answer.
const PAUSE: Duration = Duration::from_millis(400);
/// From the first request until the change.
const CHANGE_AFTER: Duration = Duration::from_secs(6);
/// From the confirmation of the change until longer heads are sent; `apply` is 2.5 s.
const LONG_AFTER: Duration = Duration::from_secs(5);
/// For how long they are sent.
const LONG_FOR: Duration = Duration::from_secs(4);

/// What the clients are to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Short,
    Long,
    Ended,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: u32,
    served: u32,
    denied: u32,
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match run(&folder, trouble) {
        Ok(held) => ExitCode::from(u8::from(!held)),
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(folder: &str, trouble: bool) -> std::io::Result<bool> {
    let record = Arc::new(Record::create(&Path::new(folder).join("record.txt"))?);
    let plan = Plan {
        controls: 3,
        entries: 2,
        link_mbps: None,
        extra_control: String::new(),
    };
    let cluster = Arc::new(Cluster::start(plan, &record)?);
    let _upstreams: Vec<_> = (0..6)
        .map(|number| {
            Upstream::start(
                &format!("i-{number:08x}"),
                "huvo11a",
                cluster.upstream_address(number),
                ZONES[usize::from(number) % ZONES.len()].0,
                Duration::from_millis(20),
                &cluster.control_addresses(),
                &record,
            )
        })
        .collect::<Result<_, _>>()?;
    let unable = |what: &str| std::io::Error::other(what.to_owned());
    let within = Duration::from_secs(15);
    let first = config("r1", "0", if trouble { SMALLER } else { LARGER });
    if cluster.order("PUT /heatherring/config", &first, within) != Some(200) {
        return Err(unable("the first configuration was not confirmed"));
    }
    if cluster.wait_ready(within) < cluster.entries.len() {
        return Err(unable("the entry VMs did not become ready"));
    }
    // The backend servers have announced themselves by then.
    std::thread::sleep(Duration::from_secs(4));
    let stage = Arc::new(Mutex::new(Stage::Short));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (cluster, stage) = (Arc::clone(&cluster), Arc::clone(&stage));
            std::thread::spawn(move || request(&cluster, number, &stage))
        })
        .collect();
    std::thread::sleep(CHANGE_AFTER);
    let second = config("r2", "\"r1\"", LARGER);
    let confirmed = cluster.order("PUT /heatherring/config", &second, within) == Some(200);
    if confirmed {
        record.tell(&format!(
            "confirmed: version r2, maxHeaderBytes {LARGER}, raised: {trouble}"
        ));
        std::thread::sleep(LONG_AFTER);
        *stage.lock().unwrap() = Stage::Long;
        std::thread::sleep(LONG_FOR);
    }
    *stage.lock().unwrap() = Stage::Ended;
    let mut all = Counts::default();
    for client in clients {
        let counts = client.join().unwrap();
        all.sent += counts.sent;
        all.served += counts.served;
        all.denied += counts.denied;
    }
    if !confirmed {
        return Err(unable("the change was not confirmed"));
    }
    record.tell(&format!("{} requests, {} served", all.sent, all.served));
    let most = 5 + all.sent / 500;
    let held = all.denied <= most;
    let verdict = if held { "held" } else { "broken" };
    record.tell(&format!(
        "DENIED {verdict}: {} requests, allowed are {most}",
        all.denied
    ));
    Ok(held)
}

/// Sends one request after another on a connection, and opens another one only where it was closed.
fn request(cluster: &Cluster, client: usize, stage: &Mutex<Stage>) -> Counts {
    let entry = &cluster.entries[client % cluster.entries.len()];
    let timeout = Duration::from_secs(2);
    let mut counts = Counts::default();
    let mut kept: Option<Conn> = None;
    std::thread::sleep(PAUSE * u32::try_from(client).unwrap_or(0) / 40);
    loop {
        let now = *stage.lock().unwrap();
        if now == Stage::Ended {
            return counts;
        }
        let id = format!("client-{client:02}-{:04}", counts.sent);
        let mut headers = vec![
            ("Host", "ficu95.example"),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", "2000"),
        ];
        let long = "c".repeat(FIELD);
        let names = [
            "X-Trail-1",
            "X-Trail-2",
            "X-Trail-3",
            "X-Trail-4",
            "X-Trail-5",
            "X-Trail-6",
        ];
        if now == Stage::Long {
            headers.extend(
                names
                    .iter()
                    .take(LONG_FIELDS / FIELD)
                    .map(|name| (*name, long.as_str())),
            );
        }
        let bytes = http::request("GET /lohu930/2f", &headers, b"", entry.front());
        let reused = kept.is_some();
        let (status, seal) = match exchange(&mut kept, entry.front(), &bytes, timeout) {
            Ok(answer) => {
                let close = answer
                    .header("connection")
                    .is_some_and(|value| value == "close");
                if close {
                    kept = None;
                }
                (answer.status(), answer.header("server-seal").is_some())
            }
            Err(_) => {
                kept = None;
                (0, false)
            }
        };
        counts.sent += 1;
        counts.served += u32::from(status == 200 && seal);
        let is_exempt = [408, 421, 429].contains(&status);
        counts.denied += u32::from((300..500).contains(&status) && !is_exempt && !seal);
        let (name, head) = (&entry.name, bytes.len());
        cluster.record.note(&format!(
            "request id={id} to {name}, head {head} bytes, kept connection {reused} -> {status}, seal {seal}"
        ));
        std::thread::sleep(PAUSE);
    }
}

fn exchange(
    kept: &mut Option<Conn>,
    address: std::net::SocketAddr,
    bytes: &[u8],
    timeout: Duration,
) -> std::io::Result<http::Message> {
    let begun = Instant::now();
    if kept.is_none() {
        *kept = Some(Conn::open(address, timeout)?);
    }
    let Some(conn) = kept else {
        return Err(std::io::ErrorKind::NotConnected.into());
    };
    let left = timeout
        .saturating_sub(begun.elapsed())
        .max(Duration::from_millis(1));
    conn.stream.set_read_timeout(Some(left))?;
    conn.stream.set_write_timeout(Some(left))?;
    // An entry VM may answer before it has read a whole head.
    let written = conn.write(bytes);
    conn.read().map_err(|error| written.err().unwrap_or(error))
}

fn config(version: &str, base: &str, max_header_bytes: u32) -> String {
    format!(
        r#"{{"version":"{version}","routes":{{"columns":["name","host","pathPrefix","kind","timeout","goal","priority","service","maxAttempts","sticky","homeRegions","trafficSplit"],"rows":[["r-ji9n73h","ficu95.example","/lohu930/","safe","2000ms","500ms",2,"huvo11a",2,true,[],null]]}},"services":{{"columns":["name","healthPath","maxConns","protocol","tls","coldStart","coldPerS"],"rows":[["huvo11a","/health",390,"h1",false,"3s",7.5]]}},"limits":{{"maxHeaderBytes":{max_header_bytes},"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"baseVersion":{base}}}"#
    )
}
