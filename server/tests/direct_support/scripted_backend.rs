//! A backend server that writes what a test scripts, at any point of a connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use heatherring_testutils::raw_request;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use super::HEALTH_PATH;

/// What the backend server does with a request, in this order.
#[derive(Clone, Debug)]
pub enum Act {
    /// Reads the body.
    Read,
    /// Reads the body and runs the request.
    Run,
    /// Writes an answer that belongs to the request.
    Write(String),
    /// Writes bytes that belong to another request or to none.
    Stray(String),
    /// Waits, so that the bytes after it travel on their own.
    Pause,
    /// Reads and writes nothing more.
    Stall,
    /// Closes the connection.
    Close,
}

/// A request as the script sees it.
#[derive(Clone, Debug)]
pub struct Arrived {
    /// The backend server that it arrived at.
    pub backend: String,
    /// The last part of its path, which tells requests apart whatever their identifiers.
    pub key: String,
    /// Its identifier; empty without one.
    pub id: String,
    /// Whether it is a health check.
    pub is_health: bool,
    /// Its place on its connection, from 1.
    pub position: usize,
    /// The request before it on its connection.
    pub before: Option<Box<Arrived>>,
}

impl Arrived {
    /// Returns the latest earlier request on the connection that `is_wanted`.
    pub fn earlier(&self, is_wanted: impl Fn(&Self) -> bool) -> Option<&Self> {
        let chain = std::iter::successors(self.before.as_deref(), |at| at.before.as_deref());
        let mut wanted = chain.filter(|at| is_wanted(at));
        wanted.next()
    }
}

type Script = Arc<dyn Fn(&Arrived) -> Vec<Act> + Send + Sync>;

/// When a backend server writes an opening.
#[derive(Clone, Copy, Debug)]
pub enum OpeningTime {
    /// As soon as the connection is accepted.
    AtAccept,
    /// A moment after the connection is accepted.
    Soon,
    /// Once bytes of the first request have arrived, none of which were read.
    AtRequest,
}

/// An answer that a backend server writes on a new connection before it reads from it.
#[derive(Clone, Debug)]
pub struct Opening {
    pub time: OpeningTime,
    pub text: String,
}

/// What the scripted backend servers of a test did.
#[derive(Debug, Default)]
pub struct Ledger {
    ran: Mutex<BTreeMap<String, usize>>,
    arrived: Mutex<Vec<Arrived>>,
    strays: Mutex<usize>,
    opening: Mutex<Option<Opening>>,
}

impl Ledger {
    /// Returns how often each request ran, by its key.
    pub fn ran(&self) -> BTreeMap<String, usize> {
        self.ran.lock().unwrap().clone()
    }

    /// Returns the number of times that bytes were written that do not belong to the request.
    pub fn strays(&self) -> usize {
        *self.strays.lock().unwrap()
    }

    /// Makes the backend servers write an opening on each connection that they accept from now on.
    pub fn open_with(&self, opening: Option<Opening>) {
        *self.opening.lock().unwrap() = opening;
    }

    /// Returns all requests that arrived.
    pub fn arrived(&self) -> Vec<Arrived> {
        self.arrived.lock().unwrap().clone()
    }
}

/// A backend server that runs as a task of the test and is stopped when dropped.
pub struct ScriptedBackend {
    pub name: String,
    pub address: SocketAddr,
    _task: AbortOnDropHandle<()>,
}

impl ScriptedBackend {
    pub async fn start(
        name: &str,
        address: SocketAddr,
        ledger: &Arc<Ledger>,
        script: impl Fn(&Arrived) -> Vec<Act> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let (script, ledger): (Script, _) = (Arc::new(script), Arc::clone(ledger));
        let backend = name.to_owned();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = Connection {
                    backend: backend.clone(),
                    stream,
                    unread: Vec::new(),
                    body: 0,
                    ledger: Arc::clone(&ledger),
                };
                tokio::spawn(connection.serve(Arc::clone(&script)));
            }
        });
        Self {
            name: name.to_owned(),
            address,
            _task: AbortOnDropHandle::new(task),
        }
    }
}

struct Connection {
    backend: String,
    stream: TcpStream,
    unread: Vec<u8>,
    /// Bytes of the current request's body that were not read yet.
    body: usize,
    ledger: Arc<Ledger>,
}

impl Connection {
    /// Serves requests until the peer closes the connection or the script does.
    async fn serve(mut self, script: Script) -> Option<()> {
        self.stream.set_nodelay(true).ok()?;
        let opening = self.ledger.opening.lock().unwrap().clone();
        if let Some(opening) = opening {
            self.open(opening).await?;
        }
        let mut before: Option<Box<Arrived>> = None;
        loop {
            let head = self.read_head().await?;
            let path = raw_request::path(&head);
            let arrived = Arrived {
                backend: self.backend.clone(),
                key: path.rsplit('/').next()?.to_owned(),
                id: raw_request::value(&head, "heatherring-request-id").to_owned(),
                is_health: path == HEALTH_PATH,
                position: before.as_ref().map_or(1, |before| before.position + 1),
                before: before.take(),
            };
            self.ledger.arrived.lock().unwrap().push(arrived.clone());
            for act in script(&arrived) {
                self.perform(act, &arrived).await?;
            }
            self.read_body().await?;
            before = Some(Box::new(arrived));
        }
    }

    async fn open(&mut self, opening: Opening) -> Option<()> {
        match opening.time {
            OpeningTime::AtAccept => {}
            OpeningTime::Soon => tokio::time::sleep(Duration::from_millis(1)).await,
            OpeningTime::AtRequest => {
                self.stream.peek(&mut [0]).await.ok()?;
            }
        }
        self.write_stray(&opening.text).await
    }

    async fn perform(&mut self, act: Act, arrived: &Arrived) -> Option<()> {
        match act {
            Act::Read => self.read_body().await,
            Act::Run => {
                self.read_body().await?;
                let mut ran = self.ledger.ran.lock().unwrap();
                *ran.entry(arrived.key.clone()).or_default() += 1;
                Some(())
            }
            Act::Write(text) => self.write(&text).await,
            Act::Stray(text) => self.write_stray(&text).await,
            Act::Pause => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                Some(())
            }
            Act::Stall => std::future::pending().await,
            Act::Close => None,
        }
    }

    async fn write_stray(&mut self, text: &str) -> Option<()> {
        *self.ledger.strays.lock().unwrap() += 1;
        self.write(text).await
    }

    async fn write(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).await.ok()
    }

    async fn read_head(&mut self) -> Option<String> {
        let head = raw_request::read_head(&mut self.stream, &mut self.unread).await?;
        self.body = raw_request::body_length(&head);
        Some(head)
    }

    async fn read_body(&mut self) -> Option<()> {
        raw_request::skip_body(&mut self.stream, &mut self.unread, &mut self.body).await
    }
}

/// Returns an answer after which the connection is closed, with a body and the header lines that
/// are not empty.
pub fn last_answer(status: u16, headers: &[&str], body: &str) -> String {
    answer(status, &[headers, &["connection: close"]].concat(), body)
}

/// Returns an answer with a body and the header lines that are not empty.
pub fn answer(status: u16, headers: &[&str], body: &str) -> String {
    let lines = headers.iter().filter(|line| !line.is_empty());
    let lines: String = lines.flat_map(|line| [*line, "\r\n"]).collect();
    let length = body.len();
    format!("HTTP/1.1 {status} Scripted\r\n{lines}content-length: {length}\r\n\r\n{body}")
}
