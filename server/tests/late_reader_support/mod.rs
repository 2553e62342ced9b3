//! A backend server that leaves a request unread until its connection has ended, as if the network
//! had held it up until then.

use std::io::ErrorKind;
use std::net::SocketAddr;

use heatherring_testutils::raw_request::body_length;
use heatherring_testutils::raw_request::head_length;
use heatherring_testutils::raw_request::value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::Interest;
use tokio::io::Ready;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

/// The last part of the paths of requests that are left unread.
pub const HELD: &str = "held";

const REQUEST_ID: &str = "heatherring-request-id";

/// How a connection ended for the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// By a reset.
    Reset,
    /// In the ordinary way, after all requests had been read.
    Closed,
    /// In the ordinary way, behind a request that could still be read.
    Delivered,
}

/// What the backend server writes.
#[derive(Clone, Copy, Debug)]
pub struct Answers {
    /// To a request that it leaves unread; `{id}` stands for the identifier of that.
    pub held: &'static str,
    /// Whether its other answers name their request.
    pub named: bool,
    /// A line in the heads of its other answers; may be empty.
    pub line: &'static str,
}

/// A backend server that runs as a task of the test and is stopped when dropped.
pub struct LateReader {
    pub address: SocketAddr,
    arrived: mpsc::UnboundedReceiver<()>,
    ends: mpsc::UnboundedReceiver<(bool, End)>,
    _task: AbortOnDropHandle<()>,
}

impl LateReader {
    pub async fn start(address: SocketAddr, answers: Answers) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let (arrived_tx, arrived) = mpsc::unbounded_channel();
        let (ends_tx, ends) = mpsc::unbounded_channel();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = Connection {
                    stream,
                    answers,
                    arrived: arrived_tx.clone(),
                };
                let ends = ends_tx.clone();
                tokio::spawn(async move {
                    let _ = ends.send(connection.serve().await);
                });
            }
        });
        Self {
            address,
            arrived,
            ends,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// Waits until a request is there that is left unread.
    pub async fn until_held(&mut self) {
        self.arrived.recv().await.unwrap();
    }

    /// Returns how the connection with the unread request ended.
    pub async fn held_end(&mut self) -> End {
        loop {
            if let (true, end) = self.ends.recv().await.unwrap() {
                return end;
            }
        }
    }

    /// Returns how the next connection ended, whatever it carried.
    pub async fn next_end(&mut self) -> End {
        self.ends.recv().await.unwrap().1
    }
}

struct Connection {
    stream: TcpStream,
    answers: Answers,
    arrived: mpsc::UnboundedSender<()>,
}

impl Connection {
    /// Serves requests until the connection ends; returns whether one was left unread, and the end.
    async fn serve(mut self) -> (bool, End) {
        self.stream.set_nodelay(true).unwrap();
        loop {
            let head = match self.peek_head().await {
                Ok(head) => head,
                Err(end) => return (false, end),
            };
            if head.lines().next().is_some_and(|line| line.contains(HELD)) {
                return (true, self.hold(&head).await);
            }
            let mut request = vec![0; head.len() + body_length(&head)];
            let answer = self.answer(&head);
            if self.stream.read_exact(&mut request).await.is_err()
                || self.stream.write_all(answer.as_bytes()).await.is_err()
            {
                return (false, End::Reset);
            }
        }
    }

    /// Returns the head of the next request, which stays unread, or how the connection ended.
    async fn peek_head(&self) -> Result<String, End> {
        let mut buf = vec![0; 8 << 10];
        loop {
            let length = self.stream.peek(&mut buf).await.map_err(end_of_error)?;
            if length == 0 {
                return Err(End::Closed);
            }
            let text = String::from_utf8_lossy(&buf[..length]);
            if let Some(length) = head_length(text.as_bytes()) {
                return Ok(text[..length].to_owned());
            }
            tokio::task::yield_now().await;
        }
    }

    async fn hold(&mut self, head: &str) -> End {
        let answer = self.answers.held.replace("{id}", value(head, REQUEST_ID));
        let _ = self.stream.write_all(answer.as_bytes()).await;
        let _ = self.arrived.send(());
        while !self.has_ended().await {
            tokio::task::yield_now().await;
        }
        // What had arrived before a reset can still be read; a network in between would lose it.
        match self.stream.read_to_end(&mut Vec::new()).await {
            Ok(_) => End::Delivered,
            Err(error) => end_of_error(error),
        }
    }

    async fn has_ended(&self) -> bool {
        let ready = self.stream.ready(Interest::READABLE).await;
        ready.is_ok_and(Ready::is_read_closed)
    }

    fn answer(&self, head: &str) -> String {
        let named = format!("{REQUEST_ID}: {}\r\n", value(head, REQUEST_ID));
        let named = if self.answers.named { &named } else { "" };
        let line = self.answers.line;
        format!("HTTP/1.1 200 OK\r\n{named}{line}content-length: 0\r\n\r\n")
    }
}

#[expect(clippy::needless_pass_by_value, reason = "for map_err")]
fn end_of_error(error: std::io::Error) -> End {
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    End::Reset
}
