//! Backend servers that answer according to a script.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use heatherring_testutils::raw_request;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Bytes of the answer of [`Script::Large`]; takes many seconds over the links of 1 kB/s.
const LARGE: usize = 20_000;

/// Time that [`Script::Slow`] takes; well below the deadline of the requests.
const SLOW: Duration = Duration::from_millis(500);

/// Time that [`Script::RefuseForAPause`] asks for.
pub const PAUSE: Duration = Duration::from_secs(2);

/// Time between a crash and the restart of the backend server.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// What a scripted backend server does with one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Script {
    /// Sends a complete answer with a content length.
    Whole,
    /// Sends a complete answer in chunks.
    Chunked,
    /// Sends a content length and half of the body, then closes the connection.
    ShortLength,
    /// Sends one chunk, then closes the connection instead of sending the last chunk.
    ShortChunked,
    /// Sends neither length nor chunks: the end of the connection delimits the body.
    CloseDelimited,
    /// Sends the head and a part of the body, then nothing on the open connection.
    Stalled,
    /// Sends 503 with the header that says `not_run`.
    Refuse,
    /// Like [`Self::Refuse`], and asks for [`PAUSE`] without requests.
    RefuseForAPause,
    /// Sends a complete answer that states that the backend server is leaving.
    WholeAndLeaving,
    /// Sends a complete answer that declares a limit of a request in 10 s.
    WholeAndLimited,
    /// Closes the connection without an answer.
    HangUp,
    /// Sends a complete answer of [`LARGE`] bytes.
    Large,
    /// Sends a complete answer after [`SLOW`].
    Slow,
    /// Never answers, on an open connection.
    NoAnswer,
    /// Sends a complete answer, then closes the connection.
    WholeThenClose,
    /// Crashes: all connections break. The backend server restarts after [`RESTART_DELAY`].
    Crash,
}

/// A backend server that answers according to a script with one step per request; the last step
/// repeats.
#[derive(Clone, Debug)]
pub struct ScriptedBackend {
    pub address: SocketAddr,
    pub connections: Arc<AtomicUsize>,
    pub requests: Arc<AtomicUsize>,
    /// Number of connections that the peer has closed.
    pub closed: Arc<AtomicUsize>,
    script: Arc<[Script]>,
}

impl ScriptedBackend {
    pub async fn start(address: SocketAddr, script: &[Script]) -> Self {
        let backend = Self {
            address,
            connections: Arc::default(),
            requests: Arc::default(),
            closed: Arc::default(),
            script: script.into(),
        };
        let listener = TcpListener::bind(address).await.expect("a free address");
        tokio::spawn(backend.clone().run(listener));
        backend
    }

    /// Accepts connections; restarts after each crash.
    async fn run(self, mut listener: TcpListener) {
        loop {
            self.accept(listener).await;
            tokio::time::sleep(RESTART_DELAY).await;
            listener = TcpListener::bind(self.address).await.expect("its address");
        }
    }

    /// Accepts connections until the backend server crashes.
    async fn accept(&self, listener: TcpListener) {
        let crash = Arc::new(Notify::new());
        let mut connections = JoinSet::new();
        loop {
            let stream = tokio::select! {
                Ok((stream, _)) = listener.accept() => stream,
                () = crash.notified() => return,
            };
            self.connections.fetch_add(1, Ordering::SeqCst);
            connections.spawn(self.clone().serve(stream, Arc::clone(&crash)));
        }
    }

    async fn serve(self, mut stream: TcpStream, crash: Arc<Notify>) {
        let mut unread = Vec::new();
        loop {
            let Some(head) = raw_request::read_head(&mut stream, &mut unread).await else {
                self.closed.fetch_add(1, Ordering::SeqCst);
                return;
            };
            let path = raw_request::path(&head);
            let id = raw_request::value(&head, "heatherring-request-id");
            let number = self.requests.fetch_add(1, Ordering::SeqCst);
            let script = self.script[number.min(self.script.len() - 1)];
            if script == Script::Crash {
                crash.notify_one();
                std::future::pending::<()>().await;
            }
            if !answer(&mut stream, script, path, id).await {
                return;
            }
        }
    }
}

/// Sends the answer of a script step. Returns whether the connection stays open.
async fn answer(stream: &mut TcpStream, script: Script, path: &str, id: &str) -> bool {
    let mut body = format!("answer to {path}");
    if script == Script::Large {
        body = "x".repeat(LARGE);
    }
    let length = body.len();
    let text = match script {
        Script::Whole | Script::Large | Script::Slow | Script::WholeThenClose => {
            format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
        }
        Script::Chunked => format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"
        ),
        Script::ShortLength | Script::Stalled => {
            let twice = 2 * length;
            format!("HTTP/1.1 200 OK\r\ncontent-length: {twice}\r\n\r\n{body}")
        }
        Script::ShortChunked => {
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n")
        }
        Script::CloseDelimited => format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}"),
        Script::Refuse => "HTTP/1.1 503 Service Unavailable\r\n\
             heatherring-outcome: not_run\r\ncontent-length: 4\r\n\r\nbusy"
            .to_owned(),
        Script::RefuseForAPause => format!(
            "HTTP/1.1 503 Service Unavailable\r\nretry-after: {}\r\n\
             heatherring-outcome: not_run\r\ncontent-length: 4\r\n\r\nbusy",
            PAUSE.as_secs()
        ),
        Script::WholeAndLeaving => format!(
            "HTTP/1.1 200 OK\r\nheatherring-leaving: 1\r\ncontent-length: {length}\r\n\r\n{body}"
        ),
        Script::WholeAndLimited => format!(
            "HTTP/1.1 200 OK\r\nheatherring-rate-limit: 0.1\r\ncontent-length: {length}\r\n\r\n{body}"
        ),
        Script::HangUp | Script::NoAnswer | Script::Crash => String::new(),
    };
    let echo = format!("\r\nheatherring-request-id: {id}\r\n");
    let text = text.replacen("\r\n", &echo, 1);
    if script == Script::Slow {
        tokio::time::sleep(SLOW).await;
    }
    let written = stream.write_all(text.as_bytes()).await.is_ok();
    let ends = matches!(
        script,
        Script::ShortLength
            | Script::ShortChunked
            | Script::CloseDelimited
            | Script::HangUp
            | Script::WholeThenClose
    );
    written && !ends
}
