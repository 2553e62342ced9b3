//! A backend server that answers some requests without end.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use heatherring_testutils::raw_request;
use heatherring_testutils::wait::wait_for;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Begin of the last part of a path whose request is answered without end.
pub const ENDLESS_KEY: &str = "endless";

/// Bytes that a connection takes in its buffers on both sides although nobody reads them, and what
/// an entry VM may read before it ends the connection.
const MAX_WRITTEN: usize = 16 << 20;

const BLOCK: usize = 16 << 10;

/// What does not end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endless {
    /// A header line.
    Head,
    /// Lines of a head.
    HeaderLines,
    /// Interim answers.
    InterimAnswers,
    /// A body of a huge length.
    Length,
    /// Chunks of a body.
    Chunks,
    /// Chunks of a single byte.
    TinyChunks,
    /// The size of a chunk, in leading zeros.
    ChunkSize,
    /// The spaces behind the size of a chunk.
    ChunkSpaces,
    /// The extension of a chunk.
    ChunkExtension,
    /// Trailers.
    Trailers,
    /// The body of a refusal.
    RefusalBody,
    /// Bytes behind a complete answer.
    AfterAnswer,
    /// Interim answers to health checks.
    Health,
}

impl Endless {
    /// Returns whether the bytes are a body that an entry VM passes on.
    pub const fn is_body(self) -> bool {
        matches!(self, Self::Length | Self::Chunks | Self::TinyChunks)
    }

    fn is_answer_to(self, key: &str) -> bool {
        match self {
            Self::Health => key == "health",
            _ => key.starts_with(ENDLESS_KEY),
        }
    }

    fn begin(self, id: &str) -> String {
        let ok = format!("HTTP/1.1 200 OK\r\nheatherring-request-id: {id}\r\n");
        let chunked = format!("{ok}transfer-encoding: chunked\r\n\r\n");
        match self {
            Self::Head => ok + "x-long: ",
            Self::HeaderLines => ok,
            Self::InterimAnswers | Self::Health => String::new(),
            Self::Length => ok + "content-length: 1000000000000\r\n\r\n",
            Self::Chunks | Self::TinyChunks | Self::ChunkSize => chunked,
            Self::ChunkSpaces => chunked + "1",
            Self::ChunkExtension => chunked + "1;",
            Self::Trailers => chunked + "1\r\nx\r\n0\r\n",
            Self::RefusalBody => {
                let refused = ok.replacen("200 OK", "503 Refused", 1);
                refused + "heatherring-outcome: not_run\r\ncontent-length: 1000000000000\r\n\r\n"
            }
            Self::AfterAnswer => ok + "content-length: 2\r\n\r\nok",
        }
    }

    fn block(self) -> Vec<u8> {
        let piece = match self {
            Self::Head | Self::Length | Self::RefusalBody | Self::AfterAnswer => "x",
            Self::ChunkExtension => "e",
            Self::HeaderLines | Self::Trailers => "x-line: 1\r\n",
            Self::InterimAnswers | Self::Health => "HTTP/1.1 102 Processing\r\n\r\n",
            Self::Chunks => &format!("1000\r\n{}\r\n", "x".repeat(0x1000)),
            Self::TinyChunks => "1\r\nx\r\n",
            Self::ChunkSize => "0",
            Self::ChunkSpaces => " ",
        };
        piece.repeat(BLOCK / piece.len()).into_bytes()
    }
}

/// What a backend server wrote without end.
#[derive(Debug, Default)]
pub struct Written {
    begun: AtomicUsize,
    ended: AtomicUsize,
    bytes: AtomicUsize,
}

impl Written {
    /// Waits until the answers that have begun, at least one, were ended by the entry VM.
    pub async fn until_ended(&self) {
        wait_for("an end", async || self.is_over().then_some(()))
            .await
            .unwrap();
    }

    pub async fn until_begun(&self) {
        wait_for("an endless answer", async || {
            (self.begun.load(Ordering::SeqCst) > 0).then_some(())
        })
        .await
        .unwrap();
    }

    pub fn is_over(&self) -> bool {
        let begun = self.begun.load(Ordering::SeqCst);
        begun > 0 && self.ended.load(Ordering::SeqCst) == begun
    }

    /// Checks that the entry VM read no more than a bounded number of bytes of each answer.
    pub fn assert_bounded(&self) {
        let bytes = self.bytes.load(Ordering::SeqCst);
        let begun = self.begun.load(Ordering::SeqCst);
        assert!(
            bytes < begun * MAX_WRITTEN,
            "{bytes} bytes were taken of {begun} answers"
        );
    }
}

/// A backend server that runs as a task of the test and is stopped when dropped.
pub struct EndlessBackend {
    pub address: SocketAddr,
    _task: AbortOnDropHandle<()>,
}

impl EndlessBackend {
    pub async fn start(
        name: &str,
        address: SocketAddr,
        endless: Endless,
        written: &Arc<Written>,
    ) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let (name, written) = (name.to_owned(), Arc::clone(written));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, name.clone(), endless, Arc::clone(&written)));
            }
        });
        Self {
            address,
            _task: AbortOnDropHandle::new(task),
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    name: String,
    endless: Endless,
    written: Arc<Written>,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut unread = Vec::new();
    loop {
        let head = raw_request::read_head(&mut stream, &mut unread).await?;
        let mut body = raw_request::body_length(&head);
        raw_request::skip_body(&mut stream, &mut unread, &mut body).await?;
        let id = raw_request::value(&head, "heatherring-request-id");
        let key = raw_request::path(&head).rsplit('/').next()?.to_owned();
        if endless.is_answer_to(&key) {
            written.begun.fetch_add(1, Ordering::SeqCst);
            write_endless(&mut stream, endless, id, &written).await;
            written.ended.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        let length = key.len();
        let text = format!(
            "HTTP/1.1 200 OK\r\nheatherring-request-id: {id}\r\nheatherring-backend: {name}\r\n\
             heatherring-cold-ms: 0\r\ncontent-length: {length}\r\n\r\n{key}"
        );
        stream.write_all(text.as_bytes()).await.ok()?;
    }
}

/// Writes until the connection is closed.
async fn write_endless(stream: &mut TcpStream, endless: Endless, id: &str, written: &Written) {
    let mut next = endless.begin(id).into_bytes();
    while stream.write_all(&next).await.is_ok() {
        written.bytes.fetch_add(next.len(), Ordering::SeqCst);
        next = endless.block();
    }
}
