//! Backend servers that follow a script.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Bytes of the answer of [`Script::Large`]; many seconds on the narrow links.
const LARGE: usize = 20_000;

/// Time that [`Script::Slow`] takes; well below the deadline.
const SLOW: Duration = Duration::from_millis(500);

/// Time for which a backend server that ended is away.
const AWAY: Duration = Duration::from_millis(300);

/// Says what a scripted backend server does with one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Script {
    /// A whole answer with a length.
    Whole,
    /// A whole answer in chunks.
    Chunked,
    /// A length, half of the body, and the end of the connection.
    ShortLength,
    /// One chunk, and the end of the connection instead of the last chunk.
    ShortChunked,
    /// No length and no chunks: the end of the connection ends the body.
    CloseDelimited,
    /// The head and a part of the body, and nothing more.
    Stalled,
    /// 503 with the header that proves "not run".
    Refuse,
    /// The end of the connection instead of an answer.
    HangUp,
    /// A whole answer of [`LARGE`] bytes.
    Large,
    /// A whole answer after a time.
    Slow,
    /// No answer at all.
    NoAnswer,
    /// A whole answer, and the end of the connection right after it.
    WholeThenClose,
    /// The end of the backend server with all its connections; it is back after [`AWAY`].
    End,
}

/// A backend server that follows a script, one step a request; the last one repeats.
#[derive(Clone, Debug)]
pub struct ScriptedBackend {
    pub address: SocketAddr,
    pub connections: Arc<AtomicUsize>,
    pub requests: Arc<AtomicUsize>,
    /// Connections that the other side has closed.
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
        tokio::spawn(backend.clone().live(listener));
        backend
    }

    /// Runs one process after the other.
    async fn live(self, mut listener: TcpListener) {
        loop {
            self.accept(listener).await;
            tokio::time::sleep(AWAY).await;
            listener = TcpListener::bind(self.address).await.expect("its address");
        }
    }

    /// Takes connections until the backend server ends.
    async fn accept(&self, listener: TcpListener) {
        let end = Arc::new(Notify::new());
        let mut connections = JoinSet::new();
        loop {
            let stream = tokio::select! {
                Ok((stream, _)) = listener.accept() => stream,
                () = end.notified() => return,
            };
            self.connections.fetch_add(1, Ordering::SeqCst);
            connections.spawn(self.clone().serve(stream, Arc::clone(&end)));
        }
    }

    async fn serve(self, mut stream: TcpStream, end: Arc<Notify>) {
        let mut head = Vec::new();
        loop {
            let mut buf = [0; 4_096];
            match stream.read(&mut buf).await {
                Ok(0) | Err(_) => {
                    self.closed.fetch_add(1, Ordering::SeqCst);
                    return;
                }
                Ok(count) => head.extend_from_slice(&buf[..count]),
            }
            if !head.ends_with(b"\r\n\r\n") {
                continue;
            }
            let path = path_of(&head);
            head.clear();
            let number = self.requests.fetch_add(1, Ordering::SeqCst);
            let script = self.script[number.min(self.script.len() - 1)];
            if script == Script::End {
                end.notify_one();
                std::future::pending::<()>().await;
            }
            if !answer(&mut stream, script, &path).await {
                return;
            }
        }
    }
}

fn path_of(head: &[u8]) -> String {
    let text = String::from_utf8_lossy(head);
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Returns whether the connection goes on.
async fn answer(stream: &mut TcpStream, script: Script, path: &str) -> bool {
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
        Script::HangUp | Script::NoAnswer | Script::End => String::new(),
    };
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
