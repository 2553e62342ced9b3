//! Case 6: callers that pipeline many requests, some of them to slow backend servers, beside
//! callers that pipeline two requests each. Does each request get its answer in time once it is the
//! first of its connection?
//!
//! Usage: pipelined-callers FOLDER. With TROUBLE=0 no backend server turns slow.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use review_harness_2::cluster::Cluster;
use review_harness_2::cluster::Plan;
use review_harness_2::cluster::ZONES;
use review_harness_2::http;
use review_harness_2::http::Conn;
use review_harness_2::record::Record;
use review_harness_2::upstream::Upstream;

/// Work of `design-proof`, and what it takes at a backend server that is slow.
const PROOF_WORK: Duration = Duration::from_millis(2_200);
const SLOW_FACTOR: u32 = 4;
const STOCK_WORK: Duration = Duration::from_millis(100);
const PROOF_TIMEOUT: Duration = Duration::from_secs(10);
const STOCK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// What the rule adds to the timeout of a route.
const LATE_AFTER: Duration = Duration::from_millis(500);

/// Backend servers of each service, and how many of one turn slow: a share of 0.4.
const SERVERS: u8 = 10;
const SLOW: usize = 4;

/// Callers that pipeline many requests, and what each sends.
const CROWD: usize = 54;
const PROOFS: usize = 1;
const STOCKS: usize = 16;
/// Callers that pipeline two requests each.
const PAIRS: usize = 20;
/// By then the callers whose backend servers aren't slow have their answers.
const PAIRS_AFTER: Duration = Duration::from_secs(4);

/// One request of a caller, with the time from its sending until the answer before it on its
/// connection, and until its own.
#[derive(Clone, Debug)]
struct Outcome {
    id: String,
    timeout: Duration,
    first_in_line_after: Option<Duration>,
    answered_after: Option<Duration>,
    status: u16,
}

impl Outcome {
    /// Returns the time that it waited as the first of its connection; `None` if it never was.
    fn waited(&self, observed: Duration) -> Option<Duration> {
        let begun = self.first_in_line_after?;
        Some(
            self.answered_after
                .unwrap_or(observed)
                .saturating_sub(begun),
        )
    }
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
        entries: 1,
        link_mbps: None,
        extra_control: String::new(),
    };
    let cluster = Arc::new(Cluster::start(plan, &record)?);
    let start = |service: &str, first: u8, work| {
        let servers = (first..first + SERVERS).map(|number| {
            Upstream::start(
                &format!("i-{number:08x}"),
                service,
                cluster.upstream_address(number),
                ZONES[0].0,
                work,
                &cluster.control_addresses(),
                &record,
            )
        });
        servers.collect::<std::io::Result<Vec<_>>>()
    };
    let proofs = start("platebook", 0, PROOF_WORK)?;
    let _stocks = start("regdesk", SERVERS, STOCK_WORK)?;
    let unable = |what: &str| std::io::Error::other(what.to_owned());
    let within = Duration::from_secs(15);
    if cluster.order("PUT /heatherring/config", &config(), within) != Some(200) {
        return Err(unable("the configuration was not confirmed"));
    }
    if cluster.wait_ready(within) < cluster.entries.len() {
        return Err(unable("the entry VM did not become ready"));
    }
    std::thread::sleep(Duration::from_secs(4));
    if trouble {
        record.tell(&format!(
            "{SLOW} of {SERVERS} backend servers of platebook turn slow"
        ));
        for server in &proofs[..SLOW] {
            server.set_work(PROOF_WORK * SLOW_FACTOR);
        }
    }
    let mut callers = Vec::new();
    for number in 0..CROWD {
        let cluster = Arc::clone(&cluster);
        let requests = [vec!["proof"; PROOFS], vec!["stock"; STOCKS]].concat();
        let name = format!("crowd-{number:02}");
        callers.push(std::thread::spawn(move || {
            pipeline(&cluster, &name, &requests)
        }));
    }
    std::thread::sleep(PAIRS_AFTER);
    for number in 0..PAIRS {
        let cluster = Arc::clone(&cluster);
        let name = format!("pair-{number:02}");
        callers.push(std::thread::spawn(move || {
            pipeline(&cluster, &name, &["stock"; 2])
        }));
    }
    let outcomes: Vec<Outcome> = callers
        .into_iter()
        .flat_map(|it| it.join().unwrap())
        .collect();
    Ok(judge(&record, &outcomes))
}

/// Time for which a caller waits for its answers.
const PATIENCE: Duration = Duration::from_secs(12);

/// Sends requests on one connection without waiting for answers, and reads these.
fn pipeline(cluster: &Cluster, name: &str, requests: &[&str]) -> Vec<Outcome> {
    let front = cluster.entries[0].front();
    let mut outcomes: Vec<Outcome> = Vec::new();
    let mut bytes = Vec::new();
    for (number, kind) in requests.iter().enumerate() {
        let id = format!("{name}-{number:02}-{kind}");
        let deadline = if *kind == "proof" { "12000" } else { "4000" };
        let headers = [
            ("Host", "ficu95.example"),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", deadline),
        ];
        bytes.extend(http::request(
            &format!("GET /{kind}/2f"),
            &headers,
            b"",
            front,
        ));
        let timeout = if *kind == "proof" {
            PROOF_TIMEOUT
        } else {
            STOCK_TIMEOUT
        };
        outcomes.push(Outcome {
            id,
            timeout,
            first_in_line_after: None,
            answered_after: None,
            status: 0,
        });
    }
    let Ok(mut conn) = Conn::open(front, Duration::from_secs(1)) else {
        return outcomes;
    };
    let begun = Instant::now();
    cluster
        .record
        .note(&format!("{name} sends {} requests", requests.len()));
    if conn.write(&bytes).is_err() {
        return outcomes;
    }
    for outcome in &mut outcomes {
        outcome.first_in_line_after = Some(begun.elapsed());
        let left = PATIENCE
            .saturating_sub(begun.elapsed())
            .max(Duration::from_millis(1));
        let _ = conn.stream.set_read_timeout(Some(left));
        match conn.read() {
            Ok(answer) => {
                outcome.answered_after = Some(begun.elapsed());
                outcome.status = answer.status();
                cluster
                    .record
                    .note(&format!("answer id={} -> {}", outcome.id, outcome.status));
            }
            Err(error) => {
                cluster
                    .record
                    .note(&format!("no answer id={}: {error}", outcome.id));
                break;
            }
        }
    }
    outcomes
}

/// Counts the requests that are still unanswered at their route's timeout, and those of them that
/// have no answer half a second later. The time of a request counts from when all earlier ones of
/// its connection were answered.
fn judge(record: &Record, outcomes: &[Outcome]) -> bool {
    let waited = |outcome: &&Outcome| outcome.waited(PATIENCE).map(|time| (time, outcome.timeout));
    let over = |extra: Duration| {
        let times = outcomes.iter().filter_map(|outcome| waited(&outcome));
        times
            .filter(|(time, timeout)| *time > *timeout + extra)
            .count()
    };
    let (unanswered, late) = (over(Duration::ZERO), over(LATE_AFTER));
    for outcome in outcomes.iter().filter(|it| it.id.starts_with("pair")) {
        let (id, status) = (&outcome.id, outcome.status);
        record.note(&format!(
            "waited id={id}: {:?}, status {status}",
            outcome.waited(PATIENCE)
        ));
    }
    record.tell(&format!(
        "{} requests; unanswered at their route's timeout: {unanswered}",
        outcomes.len()
    ));
    record.tell(&format!("without an answer half a second later: {late}"));
    let held = late < 8 || late * 2 <= unanswered;
    record.tell(if held { "CONFIG held" } else { "CONFIG broken" });
    held
}

fn config() -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: Duration| {
        let timeout = timeout.as_millis();
        format!(
            r#"["{name}","ficu95.example","/{kind}/","safe","{timeout}ms","1500ms",2,"{service}",2,false,[],null]"#
        )
    };
    let proof = route("r-proof", "proof", "platebook", PROOF_TIMEOUT);
    let stock = route("r-stock", "stock", "regdesk", STOCK_TIMEOUT);
    format!(
        r#"{{"version":"r1","routes":{{"columns":["name","host","pathPrefix","kind","timeout","goal","priority","service","maxAttempts","sticky","homeRegions","trafficSplit"],"rows":[{proof},{stock}]}},"services":{{"columns":["name","healthPath","maxConns","protocol","tls","coldStart","coldPerS"],"rows":[["platebook","/health",390,"h1",false,"3s",7.5],["regdesk","/health",390,"h1",false,"3s",7.5]]}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"baseVersion":0}}"#
    )
}
