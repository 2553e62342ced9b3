//! Backend servers that send answers once more, late, on connections that are kept.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use heatherring_testutils::raw_request;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const REQUEST_ID: &str = "heatherring-request-id";

/// Which requests are named in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Echo {
    /// The request that it answers.
    Own,
    /// None.
    Nothing,
    /// None, by an empty header.
    Empty,
    /// Another request.
    Other,
    /// The request that it answers, and another one.
    Both,
}

/// What a backend server does.
#[derive(Clone, Copy, Debug)]
pub struct Habits {
    /// Which request it names.
    pub echo: Echo,
    /// How many of its first requests it refuses.
    pub refused: usize,
    /// Whether it sends the last answer on a connection once more before the next one.
    pub repeats: bool,
    /// What it writes on a new connection once the first request has arrived, before it reads that.
    /// The connection carries no other request.
    pub opening: Option<&'static str>,
}

/// How often each request ran, by its path, at all backend servers that share the record.
#[derive(Clone, Debug, Default)]
pub struct Runs(Arc<Mutex<BTreeMap<String, usize>>>);

impl Runs {
    pub fn of(&self, path: &str) -> usize {
        self.lock().get(path).copied().unwrap_or(0)
    }

    pub fn total(&self) -> usize {
        self.lock().values().sum()
    }

    fn note(&self, path: &str) {
        *self.lock().entry(path.to_owned()).or_default() += 1;
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, usize>> {
        self.0.lock().expect("the lock is not poisoned")
    }
}

/// A backend server with some habits; clones share its counts.
#[derive(Clone, Debug)]
pub struct RepeatingBackend {
    habits: Habits,
    runs: Runs,
    pub connections: Arc<AtomicUsize>,
    pub requests: Arc<AtomicUsize>,
}

impl RepeatingBackend {
    /// Starts a backend server that notes in `runs` what it runs.
    pub async fn start(address: SocketAddr, habits: Habits, runs: &Runs) -> Self {
        let backend = Self {
            habits,
            runs: runs.clone(),
            connections: Arc::default(),
            requests: Arc::default(),
        };
        let listener = TcpListener::bind(address).await.expect("a free address");
        tokio::spawn(backend.clone().accept(listener));
        backend
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.connections.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut last = String::new();
        let mut unread = Vec::new();
        if let Some(opening) = self.habits.opening {
            if stream.peek(&mut [0]).await.is_err() {
                return;
            }
            if stream.write_all(opening.as_bytes()).await.is_err() {
                return;
            }
        }
        while let Some(head) = read_request(&mut stream, &mut unread).await {
            let answer = self.answer(&head);
            let mut sent = String::new();
            if self.habits.repeats {
                sent.push_str(&last);
            }
            sent.push_str(&answer);
            if stream.write_all(sent.as_bytes()).await.is_err() {
                return;
            }
            if self.habits.opening.is_some() {
                return;
            }
            last = answer;
        }
    }

    /// Runs or refuses a request, and returns the answer.
    fn answer(&self, head: &str) -> String {
        let path = raw_request::path(head);
        let echo = self.echo(raw_request::value(head, REQUEST_ID));
        if self.requests.fetch_add(1, Ordering::SeqCst) < self.habits.refused {
            return format!(
                "HTTP/1.1 503 Service Unavailable\r\n{echo}\
                 heatherring-outcome: not_run\r\ncontent-length: 4\r\n\r\nbusy"
            );
        }
        self.runs.note(path);
        let body = format!("answer to {path}");
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\n{echo}content-length: {length}\r\n\r\n{body}")
    }

    fn echo(&self, own: &str) -> String {
        let own = format!("{REQUEST_ID}: {own}\r\n");
        let other = format!("{REQUEST_ID}: another\r\n");
        match self.habits.echo {
            Echo::Own => own,
            Echo::Nothing => String::new(),
            Echo::Empty => format!("{REQUEST_ID}:\r\n"),
            Echo::Other => other,
            Echo::Both => own + &other,
        }
    }
}

/// Reads a request with its body; returns its head, or `None` if the connection is closed.
async fn read_request(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<String> {
    let head = raw_request::read_head(stream, unread).await?;
    let mut body = raw_request::body_length(&head);
    raw_request::skip_body(stream, unread, &mut body).await?;
    Some(head)
}
