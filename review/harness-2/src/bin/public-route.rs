//! Case 5: a configuration without tenants, and a change that makes one of its routes public. Do
//! the requests on the other routes still pass?
//!
//! Usage: public-route FOLDER. With TROUBLE=0 the change leaves the route as it was.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use review_harness_2::cluster::Cluster;
use review_harness_2::cluster::Plan;
use review_harness_2::cluster::ZONES;
use review_harness_2::http;
use review_harness_2::record::Record;
use review_harness_2::upstream::Upstream;

/// `apply` of the deployments.
const APPLY: Duration = Duration::from_millis(2_500);
const BEFORE: u32 = 50;
const AFTER: u32 = 60;

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
    let cluster = Cluster::start(plan, &record)?;
    let upstreams: Vec<_> = (0..3)
        .map(|number| {
            Upstream::start(
                &format!("i-{number:08x}"),
                "huvo11a",
                cluster.upstream_address(number),
                ZONES[usize::from(number)].0,
                Duration::from_millis(20),
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
    // The backend servers have announced themselves by then.
    std::thread::sleep(Duration::from_secs(3));
    let denied = request(&cluster, BEFORE, "before");
    if denied > 0 {
        return Err(unable("requests were denied before the change"));
    }
    if cluster.order("PATCH /heatherring/config", &change(trouble), within) != Some(200) {
        return Err(unable("the change was not confirmed"));
    }
    record.tell(&format!(
        "confirmed: version r3, route r-open is public: {trouble}"
    ));
    std::thread::sleep(APPLY + Duration::from_secs(1));
    let denied = request(&cluster, AFTER, "after");
    read_back(&cluster);
    let runs: usize = upstreams.iter().map(|upstream| upstream.runs().len()).sum();
    record.tell(&format!("requests that ran: {runs}"));
    let most = 5 + (BEFORE + AFTER) / 500;
    let held = denied <= most;
    let verdict = if held { "held" } else { "broken" };
    record.tell(&format!(
        "DENIED {verdict}: {denied} requests, allowed are {most}"
    ));
    Ok(held)
}

/// Sends requests on the route that no change concerns; returns how many the system denies.
fn request(cluster: &Cluster, count: u32, name: &str) -> u32 {
    let mut denied = 0;
    let mut served = 0;
    for number in 0..count {
        let entry = &cluster.entries[number as usize % cluster.entries.len()];
        let id = format!("{name}-{number:06}");
        let headers = [
            ("Host", "ficu95.example"),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", "2000"),
        ];
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
        let is_exempt = [408, 421, 429].contains(&status);
        denied += u32::from((300..500).contains(&status) && !is_exempt && !seal);
        served += u32::from(status == 200 && seal);
        std::thread::sleep(Duration::from_millis(20));
    }
    cluster.record.tell(&format!(
        "{name}: of {count} requests {served} are served, {denied} denied"
    ));
    denied
}

fn read_back(cluster: &Cluster) {
    let control = cluster.controls[0].control();
    let timeout = Duration::from_secs(2);
    let answer = http::call(control, "GET /heatherring/config", &[], b"", timeout);
    let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    cluster
        .record
        .note(&format!("read back: {}", text.unwrap_or_default()));
}

const COLUMNS: &str = r#"["name","host","pathPrefix","kind","timeout","goal","priority","service","maxAttempts","public","sticky","homeRegions","trafficSplit"]"#;

fn route(name: &str, prefix: &str, public: bool) -> String {
    format!(
        r#"["{name}","ficu95.example","{prefix}","safe","2000ms","500ms",2,"huvo11a",2,{public},true,[],null]"#
    )
}

fn first_config() -> String {
    let (closed, open) = (
        route("r-ji9n73h", "/lohu930/", false),
        route("r-open", "/status/", false),
    );
    format!(
        r#"{{"version":"r1","routes":{{"columns":{COLUMNS},"rows":[{closed},{open}]}},"services":{{"columns":["name","healthPath","maxConns","protocol","tls","coldStart","coldPerS"],"rows":[["huvo11a","/health",390,"h1",false,"3s",7.5]]}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"baseVersion":0}}"#
    )
}

fn change(public: bool) -> String {
    let open = route("r-open", "/status/", public);
    format!(
        r#"{{"version":"r3","upsert":{{"routes":{{"columns":{COLUMNS},"rows":[{open}]}}}},"baseVersion":"r1"}}"#
    )
}
