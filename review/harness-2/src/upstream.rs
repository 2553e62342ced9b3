//! A stand-in for a backend server: it announces itself, answers status checks and runs requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http;
use crate::http::Conn;
use crate::http::Message;
use crate::record::Record;

/// Slots of each backend server.
pub const SLOTS: u32 = 9;

/// Requests that wait for a slot at most; more are rejected.
const QUEUE: u64 = 27;

/// A backend server.
#[derive(Debug)]
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Time that a request takes.
    work: Mutex<Duration>,
    /// Where check-ins go.
    pub controls: Vec<SocketAddr>,
    pub record: Arc<Record>,
    /// Requests that run, and those that wait for a slot.
    at_work: Mutex<(u64, u64)>,
    slot_free: Condvar,
    sequence: AtomicU64,
    ended: AtomicBool,
    runs: Mutex<BTreeMap<String, u32>>,
}

impl Upstream {
    /// Starts to listen and to announce itself.
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        zone: &str,
        work: Duration,
        controls: &[SocketAddr],
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            work: Mutex::new(work),
            controls: controls.to_vec(),
            record: Arc::clone(record),
            at_work: Mutex::default(),
            slot_free: Condvar::new(),
            sequence: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            runs: Mutex::default(),
        });
        let serving = Arc::clone(&upstream);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = Arc::clone(&serving);
                std::thread::spawn(move || serving.serve(Conn::new(stream)));
            }
        });
        let announcing = Arc::clone(&upstream);
        std::thread::spawn(move || announcing.announce());
        Ok(upstream)
    }

    /// Returns how often each request ran, by its id.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().unwrap().clone()
    }

    /// Changes the time that a request takes from now on.
    pub fn set_work(&self, work: Duration) {
        *self.work.lock().unwrap() = work;
    }

    /// Ends the announcements.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    /// Sends check-ins until the backend server ends: one node after another until one answers.
    fn announce(&self) {
        let mut next = 0;
        while !self.ended.load(Ordering::Relaxed) {
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{SLOTS},"state":"ready","coldLeft":"0ms","seq":{sequence}}}"#,
                self.service, self.address, self.zone
            );
            for _ in 0..self.controls.len() {
                let first = format!("PUT /heatherring/instances/{}", self.id);
                let control = self.controls[next % self.controls.len()];
                let headers = [("Content-Type", "application/json")];
                let second = Duration::from_secs(1);
                let answer = http::call(control, &first, &headers, body.as_bytes(), second);
                if answer.is_ok_and(|answer| (200..300).contains(&answer.status())) {
                    break;
                }
                next += 1;
            }
            std::thread::sleep(Duration::from_millis(1_500));
        }
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(req) = conn.read() {
            let answer = self.answer(&req);
            if conn.write(&answer).is_err() {
                return;
            }
        }
    }

    fn load(&self) -> String {
        let (running, waiting) = *self.at_work.lock().unwrap();
        format!("{running},{waiting},{SLOTS}")
    }

    /// Waits for a slot; returns false if too many wait already.
    fn take_slot(&self) -> bool {
        let mut at_work = self.at_work.lock().unwrap();
        if at_work.0 >= u64::from(SLOTS) && at_work.1 >= QUEUE {
            return false;
        }
        at_work.1 += 1;
        while at_work.0 >= u64::from(SLOTS) {
            at_work = self.slot_free.wait(at_work).unwrap();
        }
        at_work.1 -= 1;
        at_work.0 += 1;
        true
    }

    fn leave_slot(&self) {
        self.at_work.lock().unwrap().0 -= 1;
        self.slot_free.notify_one();
    }

    fn answer(&self, req: &Message) -> Vec<u8> {
        let (method, path) = req.target();
        if (method, path) == ("GET", "/health") {
            return answer(
                "200 OK",
                &[("Instance-Id", &self.id), ("Server-Load", &self.load())],
                "",
            );
        }
        let Some(id) = req.header("attempt-id") else {
            return answer("400 Bad Request", &[("Not-Executed", "1")], "");
        };
        let target = req.header("target-instance");
        if target.is_some_and(|target| target != self.id) {
            return answer(
                "421 Misdirected Request",
                &[("Attempt-Id", id), ("Not-Executed", "1")],
                "",
            );
        }
        if !self.take_slot() {
            let headers = [
                ("Attempt-Id", id),
                ("Not-Executed", "1"),
                ("Server-Load", &self.load()),
            ];
            return answer("503 Service Unavailable", &headers, "");
        }
        *self.runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        self.record
            .note(&format!("run id={id} server={} {method} {path}", self.id));
        let work = *self.work.lock().unwrap();
        std::thread::sleep(work);
        self.leave_slot();
        let seal = format!("seal.{}.{id}", self.id);
        let headers = [
            ("Attempt-Id", id),
            ("Server-Seal", &seal),
            ("Server-Load", &self.load()),
        ];
        answer("200 OK", &headers, &format!("{method} {path} {id}"))
    }
}

fn answer(status: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nKeep-Alive: timeout=10\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    text.into_bytes()
}
