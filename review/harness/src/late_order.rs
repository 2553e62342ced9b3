//! One control replica is cut off from the others for a moment, and the operator reaches it. It has
//! passed an order on to the leader; the operator gets no answer and sends the order again elsewhere.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::deployment::ZONES;
use crate::net;
use crate::net::Connection;
use crate::record::Record;
use crate::upstream::Runs;
use crate::upstream::Upstream;

const HOST: &str = "wuny96.example";
/// How long the replica is cut off.
const CUT: Duration = Duration::from_millis(1_600);
/// `evacuate`, `stabilityWindow` and `maxStretch` of the deployment.
const EVACUATE: Duration = Duration::from_millis(5_000);
const STABILITY_WINDOW: Duration = Duration::from_millis(4_000);
const MAX_STRETCH: Duration = Duration::from_millis(6_000);
const CLIENTS: usize = 24;
const OBSERVED: Duration = Duration::from_secs(6);

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::start(3, 3, true)?;
    let config = r#"{"version":"r1","routes":{"columns":["name","host","pathPrefix","kind","timeout","goal","priority","service","maxAttempts","sticky","homeRegions","trafficSplit"],"rows":[["r-look","wuny96.example","/bopu901/","safe","1000ms","250ms",2,"dele69a",2,false,[],null]]},"services":{"columns":["name","healthPath","maxConns","protocol","tls","coldStart","coldPerS"],"rows":[["dele69a","/health",330,"h1",false,"3s",9.9]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"baseVersion":0}"#;
    let answer = deployment.operate("PUT", "/heatherring/config", config)?;
    record.say(&format!("configuration r1: {}", answer.first_line));
    if answer.status() != 200 {
        return Err(io::Error::other("the first configuration was refused"));
    }
    let runs = Arc::new(Runs::default());
    let control: Vec<SocketAddr> = deployment.controls.iter().map(|n| n.control()).collect();
    for number in 0..6 {
        let address = SocketAddr::new(deployment.block.next_ip(), 8100);
        let upstream = Upstream::start(
            &format!("i-{number}"),
            "dele69a",
            ZONES[number % 3].0,
            address,
            (3, 9),
            Duration::from_millis(50),
            &runs,
            record,
        )?;
        upstream.announce(control.clone());
    }
    deployment.wait_ready()?;
    std::thread::sleep(Duration::from_secs(5));
    let leader = deployment
        .leader()
        .ok_or_else(|| io::Error::other("there is no leader"))?;
    let cut_off = (leader + 1) % 3;
    let other = (leader + 2) % 3;
    record.say(&format!(
        "{} leads, {} will be cut off",
        deployment.controls[leader].name, deployment.controls[cut_off].name
    ));
    let mut fronts = Vec::new();
    for zone in ZONES {
        let named = deployment.resolve(HOST, zone).first().copied();
        fronts.push(named.ok_or_else(|| io::Error::other("the directory names no entry VM"))?);
    }
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = fronts[number % fronts.len()];
            let (stop, record) = (Arc::clone(&stop), Arc::clone(record));
            let arrivals = Arc::clone(&arrivals);
            std::thread::spawn(move || client(number, front, &stop, &arrivals, &record))
        })
        .collect();

    let zone = ZONES[1].0;
    let path = format!("/heatherring/evacuations/{zone}");
    let operator = Operator {
        deployment: &deployment,
        record,
    };
    operator.order("POST", &path, &[cut_off, other, leader])?;
    std::thread::sleep(EVACUATE + Duration::from_secs(1));
    let in_zone = |since: Instant| {
        let arrivals = arrivals.lock().unwrap();
        let mut by_zone = [0_usize; 3];
        for (at, zone) in arrivals.iter() {
            if *at >= since {
                by_zone[*zone] += 1;
            }
        }
        by_zone
    };
    record.say(&format!(
        "answers by zone in the last second before {zone} is taken back: {:?}",
        in_zone(Instant::now() - Duration::from_secs(1))
    ));
    // The operator reads the configuration during the day, at any node.
    operator.order("GET", "/heatherring/config", &[cut_off])?;
    std::thread::sleep(Duration::from_millis(200));
    let cut_at = Instant::now();
    if trouble {
        operator.set_cut(cut_off, true);
        record.say(&format!(
            "{} is cut off from the other control replicas for {CUT:?}",
            deployment.controls[cut_off].name
        ));
    }
    std::thread::scope(|scope| {
        if trouble {
            scope.spawn(|| {
                std::thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
                operator.set_cut(cut_off, false);
                record.say("the cut has healed");
            });
        }
        std::thread::sleep(Duration::from_millis(50));
        operator.order("DELETE", &path, &[cut_off, other, leader])?;
        operator.order("POST", &path, &[other, leader])
    })?;
    let emptied_again = Instant::now();
    // From then on the entry VMs are in touch, and the bound holds even when it is stretched.
    let bound = (EVACUATE + MAX_STRETCH).max(CUT + STABILITY_WINDOW);
    std::thread::sleep(bound);
    let since = Instant::now();
    std::thread::sleep(OBSERVED);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let by_zone = in_zone(since);
    record.say(&format!(
        "requests sent from {:.1} s after the confirmation of the last evacuation of {zone}, for {OBSERVED:?}: served in {:?} by zone {:?}",
        since.duration_since(emptied_again).as_secs_f64(),
        by_zone,
        ZONES.map(|(zone, _)| zone)
    ));
    if by_zone[0] + by_zone[2] == 0 {
        return Err(io::Error::other("no request was served at all"));
    }
    record.say(&format!(
        "EVAC: {} requests ran in {zone}, which is evacuated",
        by_zone[1]
    ));
    Ok(by_zone[1] == 0)
}

struct Operator<'a> {
    deployment: &'a Deployment,
    record: &'a Record,
}

impl Operator<'_> {
    /// Sends an order to one replica after the other, until one confirms it. Moves on after a second
    /// without an answer.
    fn order(&self, method: &str, path: &str, replicas: &[usize]) -> io::Result<Instant> {
        for number in replicas.iter().cycle().take(20) {
            let node = &self.deployment.controls[*number];
            self.record
                .say(&format!("operator: {method} {path} to {}", node.name));
            let answer = net::call(node.control(), method, path, "", Duration::from_secs(1));
            match answer {
                Ok(answer) => {
                    self.record
                        .say(&format!("operator: {} {}", node.name, answer.first_line));
                    if answer.status() == 200 {
                        return Ok(Instant::now());
                    }
                }
                Err(error) => self
                    .record
                    .say(&format!("operator: no answer of {}: {error}", node.name)),
            }
        }
        Err(io::Error::other("an order was not confirmed"))
    }

    /// Cuts or heals the links of a control replica to the others, both ways.
    fn set_cut(&self, number: usize, cut: bool) {
        for (other, node) in self.deployment.controls.iter().enumerate() {
            if other != number {
                let own = self.deployment.controls[number].ip;
                self.deployment.relays[other].set_cut(own, cut);
                self.deployment.relays[number].set_cut(node.ip, cut);
            }
        }
    }
}

/// Sends safe requests, about 20 a second, on a kept connection. Records when each served one was
/// sent and the zone in which it ran.
fn client(
    number: usize,
    front: SocketAddr,
    stop: &AtomicBool,
    arrivals: &Mutex<Vec<(Instant, usize)>>,
    record: &Record,
) {
    let mut connection: Option<Connection> = None;
    for turn in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let attempt = format!("c{number:02}-{turn:05}");
        let sent = Instant::now();
        match exchange(&mut connection, front, &attempt) {
            Ok(answer) => {
                let by = String::from_utf8_lossy(&answer.body).into_owned();
                record.line(&format!(
                    "client: {attempt} via {front}: {} {by}",
                    answer.status()
                ));
                let server = by.rsplit("i-").next().and_then(|n| n.parse::<usize>().ok());
                if let Some(server) = server.filter(|_| answer.status() == 200) {
                    arrivals.lock().unwrap().push((sent, server % 3));
                }
            }
            Err(error) => {
                record.line(&format!("client: {attempt} via {front}: {error}"));
                connection = None;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn exchange(
    connection: &mut Option<Connection>,
    front: SocketAddr,
    attempt: &str,
) -> io::Result<net::Message> {
    let mut open = match connection.take() {
        Some(open) => open,
        None => Connection::open(front, Duration::from_secs(1))?,
    };
    open.stream
        .set_read_timeout(Some(Duration::from_millis(1_200)))?;
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", "1200"),
    ];
    let first_line = format!("GET /bopu901/{attempt} HTTP/1.1");
    open.write(&net::format(&first_line, &headers, b""))?;
    let answer = open.read_answer()?;
    let closes = answer.header("connection");
    if !closes.is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        *connection = Some(open);
    }
    Ok(answer)
}
