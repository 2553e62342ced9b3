//! A faulty upstream sends its answer to a request a second time, late, also where the answer is a
//! rejection. The copy arrives where the answer to the next request on the connection is expected.

use std::collections::HashMap;
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
const CLIENTS: usize = 130;
const SERVERS: usize = 20;
/// Upstreams that repeat answers: 0.6 of all.
const FAULTY: usize = 12;
/// Requests that an upstream queues beyond its three slots.
const QUEUE: usize = 2;
/// The burst, and the time in which the faulty upstreams repeat answers.
const BURST: Duration = Duration::from_millis(5_000);
/// Every 34th answer: fewer than 3 in 100.
const EXTRA_EVERY: u64 = 34;
const DEADLINE: Duration = Duration::from_millis(1_500);

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::start(3, 3, false)?;
    let config = r#"{"version":"r1","routes":{"columns":["name","host","pathPrefix","kind","timeout","goal","priority","service","maxAttempts","sticky","homeRegions","trafficSplit"],"rows":[["r-book","wuny96.example","/bopu901/","unsafe","1200ms","300ms",1,"dele69a",2,false,[],null]]},"services":{"columns":["name","healthPath","maxConns","protocol","tls","coldStart","coldPerS"],"rows":[["dele69a","/health",330,"h1",false,"3s",9.9]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"baseVersion":0}"#;
    let answer = deployment.operate("PUT", "/heatherring/config", config)?;
    record.say(&format!("configuration r1: {}", answer.first_line));
    if answer.status() != 200 {
        return Err(io::Error::other("the first configuration was refused"));
    }
    let runs = Arc::new(Runs::default());
    let control: Vec<SocketAddr> = deployment.controls.iter().map(|n| n.control()).collect();
    let mut upstreams = Vec::new();
    for number in 0..SERVERS {
        let address = SocketAddr::new(deployment.block.next_ip(), 8100);
        let upstream = Upstream::start(
            &format!("i-{number}"),
            "dele69a",
            ZONES[number % 3].0,
            address,
            (3, QUEUE),
            Duration::from_millis(100),
            &runs,
            record,
        )?;
        upstream.announce(control.clone());
        upstreams.push(upstream);
    }
    deployment.wait_ready()?;
    std::thread::sleep(Duration::from_secs(4));
    let mut fronts = Vec::new();
    for zone in ZONES {
        let named = deployment.resolve(HOST, zone);
        record.say(&format!("clients in {} use {named:?}", zone.0));
        let first = named.first().copied();
        fronts.push(first.ok_or_else(|| io::Error::other("the directory names no entry VM"))?);
    }
    if trouble {
        for upstream in &upstreams[..FAULTY] {
            upstream.extra_every.store(EXTRA_EVERY, Ordering::Relaxed);
        }
        record.say(&format!(
            "{} of {SERVERS} upstreams repeat every {EXTRA_EVERY}th answer, late, for {BURST:?}",
            FAULTY
        ));
    }
    let answers = Arc::new(Mutex::new(HashMap::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = fronts[number % fronts.len()];
            let (answers, record) = (Arc::clone(&answers), Arc::clone(record));
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || client(number, front, &stop, &answers, &record))
        })
        .collect();
    std::thread::sleep(BURST);
    for upstream in &upstreams {
        upstream.extra_every.store(0, Ordering::Relaxed);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    // A request that runs later would show by then.
    std::thread::sleep(Duration::from_secs(3));
    let answers = answers.lock().unwrap();
    let mut by_status: Vec<(u16, usize)> = Vec::new();
    for status in answers.values() {
        match by_status.iter_mut().find(|(known, _)| known == status) {
            Some((_, count)) => *count += 1,
            None => by_status.push((*status, 1)),
        }
    }
    by_status.sort_unstable();
    record.say(&format!(
        "{} unsafe attempts; answers by status (0: none): {by_status:?}",
        answers.len()
    ));
    for upstream in &upstreams {
        record.say(&format!(
            "{}: rejected {}, repeated {} rejections and {} other answers",
            upstream.id,
            upstream.rejected.load(Ordering::Relaxed),
            upstream.extras_of_rejections.load(Ordering::Relaxed),
            upstream.extras_of_others.load(Ordering::Relaxed),
        ));
    }
    let twice = runs.twice();
    for (attempt, by) in &twice {
        let status = answers.get(attempt).copied().unwrap_or(0);
        record.line(&format!(
            "TWICE {attempt}: run by {by:?}, answered {status}"
        ));
    }
    let promised = |status: u16| matches!(status, 408 | 421 | 429 | 503);
    let mut refused = 0;
    for (attempt, status) in answers.iter().filter(|(_, status)| promised(**status)) {
        let by = runs.of(attempt);
        if !by.is_empty() {
            refused += 1;
            record.line(&format!(
                "REFUSED {attempt}: answered {status}, run by {by:?}"
            ));
        }
    }
    record.say(&format!(
        "TWICE: {} attempts ran more than once; REFUSED: {refused} attempts were answered 503 and ran",
        twice.len()
    ));
    Ok(twice.is_empty() && refused == 0)
}

/// Sends unsafe requests, one after the other, on a kept connection.
fn client(
    number: usize,
    front: SocketAddr,
    stop: &AtomicBool,
    answers: &Mutex<HashMap<String, u16>>,
    record: &Record,
) {
    let mut connection = None;
    for turn in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let attempt = format!("c{number:02}-{turn:05}");
        record.line(&format!("client: sends {attempt} to {front}"));
        let begun = Instant::now();
        let answer = exchange(&mut connection, front, &attempt);
        let (status, pause) = match &answer {
            Ok(answer) => {
                let pause = answer
                    .header("retry-after")
                    .and_then(|text| text.parse().ok());
                (answer.status(), pause.unwrap_or(0.0))
            }
            Err(_) => (0, 0.1),
        };
        record.line(&format!(
            "client: {attempt} answered {status} after {} ms",
            begun.elapsed().as_millis()
        ));
        answers.lock().unwrap().insert(attempt, status);
        if answer.is_err() {
            connection = None;
        }
        // As told by `Retry-After`, up to a third of the time that is left.
        let pause = Duration::from_secs_f64(pause).min(DEADLINE / 3);
        std::thread::sleep(pause);
    }
}

fn exchange(
    connection: &mut Option<Connection>,
    front: SocketAddr,
    attempt: &str,
) -> io::Result<net::Message> {
    if connection.is_none() {
        let opened = Connection::open(front, Duration::from_secs(1))?;
        opened.stream.set_read_timeout(Some(DEADLINE))?;
        *connection = Some(opened);
    }
    let Some(open) = connection.as_mut() else {
        return Err(io::ErrorKind::NotConnected.into());
    };
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", &deadline),
    ];
    let path = format!("POST /bopu901/{attempt} HTTP/1.1");
    open.write(&net::format(&path, &headers, b"one booking"))?;
    let answer = open.read_answer()?;
    if answer
        .header("connection")
        .is_some_and(|c| c.eq_ignore_ascii_case("close"))
    {
        *connection = None;
    }
    Ok(answer)
}
