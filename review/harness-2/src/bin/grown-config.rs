//! Case 4: entry VMs on links of 2 Mbit/s, a configuration that has grown by many routes, and the
//! loss of all processes. Do the entry VMs serve again?
//!
//! Usage: grown-config FOLDER. Environment: TROUBLE=0 leaves the processes alone; GROWTHS sets how
//! often the configuration grows.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use review_harness_2::cluster::Cluster;
use review_harness_2::cluster::Plan;
use review_harness_2::cluster::ZONES;
use review_harness_2::http;
use review_harness_2::record::Record;
use review_harness_2::upstream::Upstream;

/// Routes by which the configuration grows at a time: the largest `big_config` of the pages.
const ROUTES_AT_A_TIME: usize = 1_400;
/// `linkMbps` of the entry VMs of several deployments.
const LINK_MBPS: f64 = 2.0;
/// `recovery` of the deployments.
const RECOVERY: Duration = Duration::from_secs(15);
const BEFORE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(20);

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let growths = std::env::var("GROWTHS")
        .ok()
        .and_then(|value| value.parse().ok());
    match run(&folder, trouble, growths.unwrap_or(4)) {
        Ok(held) => ExitCode::from(u8::from(!held)),
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(folder: &str, trouble: bool, growths: usize) -> std::io::Result<bool> {
    let record = Arc::new(Record::create(&Path::new(folder).join("record.txt"))?);
    let plan = Plan {
        controls: 3,
        entries: 3,
        link_mbps: Some(LINK_MBPS),
        extra_control: String::new(),
    };
    let mut cluster = Cluster::start(plan, &record)?;
    let upstreams: Vec<_> = (0..3)
        .map(|number| {
            Upstream::start(
                &format!("i-{number:08x}"),
                "huvo11a",
                cluster.upstream_address(number),
                ZONES[usize::from(number)].0,
                Duration::from_millis(50),
                &cluster.control_addresses(),
                &record,
            )
        })
        .collect::<Result<_, _>>()?;
    let unable = |what: &str| std::io::Error::other(what.to_owned());
    let within = Duration::from_secs(15);
    if cluster.order("PUT /heatherring/config", &first_config(), within) != Some(200) {
        return Err(unable("the first configuration was not confirmed"));
    }
    if cluster.wait_ready(within) < cluster.entries.len() {
        return Err(unable("the entry VMs did not become ready"));
    }
    let mut base = 1;
    for _ in 0..growths {
        let body = growth(base);
        if cluster.order("PATCH /heatherring/config", &body, within) != Some(200) {
            return Err(unable("the configuration did not grow"));
        }
        base += 2;
        std::thread::sleep(Duration::from_secs(2));
    }
    record.tell(&format!(
        "confirmed: version r{base}, {} more routes",
        growths * ROUTES_AT_A_TIME
    ));
    let before = serve(&cluster, BEFORE, "before");
    if trouble {
        record.tell("all processes are killed");
        cluster.kill_all();
        std::thread::sleep(Duration::from_secs(1));
        cluster.start_all()?;
        record.tell("all processes are started again");
    }
    std::thread::sleep(RECOVERY);
    let ready = cluster.wait_ready(Duration::ZERO);
    record.tell(&format!(
        "{ready} of {} entry VMs say that they are ready",
        cluster.entries.len()
    ));
    let after = serve(&cluster, AFTER, "after");
    let runs: usize = upstreams.iter().map(|upstream| upstream.runs().len()).sum();
    record.tell(&format!("requests that ran: {runs}"));
    if before < 0.25 {
        return Err(unable("less than a quarter was served before the fault"));
    }
    let held = after >= 0.25;
    record.tell(if held {
        "RECOVER held"
    } else {
        "RECOVER broken"
    });
    Ok(held)
}

/// Sends ten requests a second, to the entry VMs in turn; returns the share that is served.
fn serve(cluster: &Cluster, time: Duration, name: &str) -> f64 {
    let begun = Instant::now();
    let (mut sent, mut served) = (0_u32, 0_u32);
    while begun.elapsed() < time {
        let entry = &cluster.entries[sent as usize % cluster.entries.len()];
        let id = format!("{name}-{sent:06}");
        let headers = [
            ("Host", "ficu95.example"),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", "2000"),
        ];
        let due = Instant::now() + Duration::from_millis(100);
        let timeout = Duration::from_secs(2);
        let answer = http::call(entry.front(), "GET /lohu930/2f", &headers, b"", timeout);
        let status = answer.as_ref().map_or(0, http::Message::status);
        let seal = answer
            .as_ref()
            .is_ok_and(|answer| answer.header("server-seal").is_some());
        cluster.record.note(&format!(
            "request id={id} to {} -> {status}, seal {seal}",
            entry.name
        ));
        sent += 1;
        served += u32::from(status == 200 && seal);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    cluster
        .record
        .tell(&format!("{name}: {served} of {sent} requests are served"));
    f64::from(served) / f64::from(sent.max(1))
}

const COLUMNS: &str = r#"["name","host","pathPrefix","kind","timeout","goal","priority","service","maxAttempts","sticky","homeRegions","trafficSplit"]"#;

fn route(name: &str, prefix: &str) -> String {
    format!(
        r#"["{name}","ficu95.example","{prefix}","safe","2000ms","500ms",2,"huvo11a",2,true,[],null]"#
    )
}

fn first_config() -> String {
    let routes = route("r-ji9n73h", "/lohu930/");
    format!(
        r#"{{"version":"r1","routes":{{"columns":{COLUMNS},"rows":[{routes}]}},"services":{{"columns":["name","healthPath","maxConns","protocol","tls","coldStart","coldPerS"],"rows":[["huvo11a","/health",390,"h1",false,"3s",7.5]]}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"baseVersion":0}}"#
    )
}

/// Returns a change that adds routes, with names as long as those of the pages.
fn growth(base: usize) -> String {
    let rows = (0..ROUTES_AT_A_TIME).map(|number| {
        let word = format!("{:03}{number:04}", base % 1_000);
        route(&format!("r-{word}"), &format!("/{word}/"))
    });
    let rows: Vec<String> = rows.collect();
    format!(
        r#"{{"version":"r{}","upsert":{{"routes":{{"columns":{COLUMNS},"rows":[{}]}}}},"baseVersion":"r{base}"}}"#,
        base + 2,
        rows.join(",")
    )
}
