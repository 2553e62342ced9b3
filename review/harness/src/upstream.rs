//! Upstreams that follow PROTOCOL.md, with the faults that a case asks for.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::net;
use crate::net::Connection;
use crate::net::Message;
use crate::record::Record;

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// What all upstreams of a case have run: the upstreams by attempt.
#[derive(Default)]
pub struct Runs(Mutex<HashMap<String, Vec<String>>>);

impl Runs {
    pub fn of(&self, attempt: &str) -> Vec<String> {
        self.0
            .lock()
            .unwrap()
            .get(attempt)
            .cloned()
            .unwrap_or_default()
    }

    pub fn twice(&self) -> Vec<(String, Vec<String>)> {
        let runs = self.0.lock().unwrap();
        let twice = runs.iter().filter(|(_, by)| by.len() > 1);
        twice
            .map(|(attempt, by)| (attempt.clone(), by.clone()))
            .collect()
    }
}

pub struct Upstream {
    pub id: String,
    pub service: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    /// Every n-th answer is sent a second time, when the next request arrives; 0 for never.
    pub extra_every: AtomicU64,
    pub rejected: AtomicU64,
    pub extras_of_rejections: AtomicU64,
    pub extras_of_others: AtomicU64,
    answers: AtomicU64,
    load: Mutex<Load>,
    freed: Condvar,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

impl Upstream {
    #[expect(
        clippy::too_many_arguments,
        reason = "each is one property of the upstream"
    )]
    pub fn start(
        id: &str,
        service: &str,
        zone: &'static str,
        address: SocketAddr,
        (slots, queue): (usize, usize),
        work: Duration,
        runs: &Arc<Runs>,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone,
            address,
            slots,
            queue,
            work,
            extra_every: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
            extras_of_rejections: AtomicU64::new(0),
            extras_of_others: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            load: Mutex::default(),
            freed: Condvar::new(),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&upstream);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = Arc::clone(&serving);
                std::thread::spawn(move || {
                    // The connection ends with any error.
                    let _ = upstream.serve(Connection::new(stream));
                });
            }
        });
        Ok(upstream)
    }

    /// Checks in about every 1.5 s, at one address after the other.
    pub fn announce(self: &Arc<Self>, control: Vec<SocketAddr>) {
        let upstream = Arc::clone(self);
        std::thread::spawn(move || {
            for seq in 1_u64.. {
                let path = format!("/heatherring/instances/{}", upstream.id);
                let body = format!(
                    r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","coldLeft":"0ms","seq":{seq}}}"#,
                    upstream.service, upstream.address, upstream.zone, upstream.slots
                );
                for address in &control {
                    let timeout = Duration::from_secs(1);
                    let answer = net::call(*address, "PUT", &path, &body, timeout);
                    if answer.is_ok_and(|answer| answer.status() == 200) {
                        break;
                    }
                }
                std::thread::sleep(Duration::from_millis(1_500));
            }
        });
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        let mut extra: Option<Vec<u8>> = None;
        loop {
            let request = connection.read_request()?;
            if let Some(extra) = extra.take() {
                connection.write(&extra)?;
            }
            let (answer, is_rejection) = self.answer(&request);
            connection.write(&answer)?;
            let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
            let every = self.extra_every.load(Ordering::Relaxed);
            if every > 0 && number % every == 0 && request.target().1 != "/health" {
                let counter = if is_rejection {
                    &self.extras_of_rejections
                } else {
                    &self.extras_of_others
                };
                counter.fetch_add(1, Ordering::Relaxed);
                let attempt = request.header("attempt-id").unwrap_or("-");
                let kind = if is_rejection {
                    "503 with Not-Executed"
                } else {
                    "200"
                };
                self.record.line(&format!(
                    "{}: the answer to {attempt} ({kind}) will be sent once more, late, on its connection",
                    self.id
                ));
                extra = Some(answer);
            }
        }
    }

    /// Returns the answer to a request, and whether it says that the request has not run.
    fn answer(&self, request: &Message) -> (Vec<u8>, bool) {
        let load = || {
            let load = self.load.lock().unwrap();
            format!("{},{},{}", load.running, load.waiting, self.slots)
        };
        if request.target().1 == "/health" {
            let (load, id) = (load(), self.id.as_str());
            let headers = [("Instance-Id", id), ("Server-Load", &load)];
            return (net::format("HTTP/1.1 200 OK", &headers, b""), false);
        }
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        let refuse = |first_line: &str| {
            self.rejected.fetch_add(1, Ordering::Relaxed);
            let load = load();
            let headers = [
                ("Attempt-Id", attempt.as_str()),
                ("Not-Executed", "1"),
                ("Server-Load", &load),
                ("Keep-Alive", "timeout=10"),
            ];
            (net::format(first_line, &headers, b""), true)
        };
        if attempt.is_empty() {
            return refuse("HTTP/1.1 400 Bad Request");
        }
        let target = request.header("target-instance");
        if target.is_some_and(|target| target != self.id) {
            return refuse("HTTP/1.1 421 Misdirected Request");
        }
        let deadline = request.header("deadline-ms").and_then(|ms| ms.parse().ok());
        let until = Instant::now() + Duration::from_millis(deadline.unwrap_or(30_000));
        let mut state = self.load.lock().unwrap();
        if state.running >= self.slots {
            if state.waiting >= self.queue {
                drop(state);
                return refuse("HTTP/1.1 503 Service Unavailable");
            }
            state.waiting += 1;
            while state.running >= self.slots {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    state.waiting -= 1;
                    drop(state);
                    return refuse("HTTP/1.1 503 Service Unavailable");
                }
                state = self.freed.wait_timeout(state, left).unwrap().0;
            }
            state.waiting -= 1;
        }
        state.running += 1;
        drop(state);
        let mut runs = self.runs.0.lock().unwrap();
        runs.entry(attempt.clone())
            .or_default()
            .push(self.id.clone());
        drop(runs);
        self.record.line(&format!("{}: runs {attempt}", self.id));
        std::thread::sleep(self.work);
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
        let load = load();
        let seal = format!("seal-{}-{attempt}", self.id);
        let headers = [
            ("Attempt-Id", attempt.as_str()),
            ("Server-Seal", &seal),
            ("Server-Load", &load),
            ("Keep-Alive", "timeout=10"),
        ];
        let body = format!("{attempt} run by {}", self.id);
        (
            net::format("HTTP/1.1 200 OK", &headers, body.as_bytes()),
            false,
        )
    }
}
