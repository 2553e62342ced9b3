//! A backend server that cuts the answers off that a test names.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use heatherring_testutils::raw_request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use super::form::Form;

/// Path of health checks.
const HEALTH_PATH: &str = "/health";

/// Time in which the bytes before the end of a connection are read on their own.
const PAUSE: Duration = Duration::from_millis(3);

/// Placeholder for the header lines that every answer carries.
pub const LINES: &str = "{lines}";

/// Length of the longest identifier.
const ID_ROOM: usize = 36;

/// How a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    Close,
    /// A close after what was written has been read.
    LateClose,
    Reset,
    /// A reset after what was written has been read.
    LateReset,
    /// Not before the other side ends it.
    Never,
}

impl End {
    pub const ALL: [Self; 4] = [Self::Close, Self::LateClose, Self::Reset, Self::LateReset];

    pub const fn is_reset(self) -> bool {
        matches!(self, Self::Reset | Self::LateReset)
    }

    const fn is_late(self) -> bool {
        matches!(self, Self::LateClose | Self::LateReset)
    }
}

/// How the answer to a request is cut off.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    pub form: Form,
    /// Number of bytes that are sent.
    pub at: usize,
    pub end: End,
    /// Number of times that it is cut off; the request is answered with all bytes from then on.
    pub times: usize,
    /// Whether the answer is sent before the body of the request is read.
    pub is_early: bool,
}

/// Bytes that are written in place of an answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The bytes, with [`LINES`] as a placeholder.
    pub text: String,
    /// Whether the connection is closed behind them.
    pub is_last: bool,
    /// Number of times that they are written; the request is answered as usual from then on.
    pub times: usize,
}

/// How backend servers speak.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Name of the header that names a request.
    pub id: &'static str,
    /// Header lines of each answer.
    pub lines: &'static str,
    /// Returns the header lines of answers to health checks of the backend server with this name.
    pub health: fn(&str) -> String,
}

impl Dialect {
    /// Returns the header lines of the answer to the request with this identifier, which take the
    /// same room for all identifiers.
    pub fn lines_for(&self, id: &str) -> String {
        let pad = "-".repeat(ID_ROOM.saturating_sub(id.len()));
        format!("{}: {id}\r\nx-pad: {pad}\r\n{}", self.id, self.lines)
    }
}

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Arrived {
    pub key: String,
    /// Its place on its connection, from 1.
    pub position: usize,
}

/// What backend servers do, and did.
#[derive(Debug)]
pub struct Ledger {
    dialect: Dialect,
    cuts: Mutex<BTreeMap<String, Cut>>,
    replies: Mutex<BTreeMap<String, Reply>>,
    arrived: Mutex<Vec<Arrived>>,
    /// How answers to health checks are cut off.
    health: Mutex<Option<Cut>>,
}

impl Ledger {
    pub fn new(dialect: Dialect) -> Self {
        Self {
            dialect,
            cuts: Mutex::default(),
            replies: Mutex::default(),
            arrived: Mutex::default(),
            health: Mutex::default(),
        }
    }

    pub const fn dialect(&self) -> Dialect {
        self.dialect
    }

    /// Cuts off the answers to requests with this key.
    pub fn cut(&self, key: &str, cut: Cut) {
        self.cuts.lock().unwrap().insert(key.to_owned(), cut);
    }

    /// Answers requests with this key by `reply`.
    pub fn reply(&self, key: &str, reply: Reply) {
        self.replies.lock().unwrap().insert(key.to_owned(), reply);
    }

    /// Cuts off the answers to health checks from now on.
    pub fn cut_health(&self, cut: Option<Cut>) {
        *self.health.lock().unwrap() = cut;
    }

    /// Returns the requests with this key that arrived.
    pub fn arrived(&self, key: &str) -> Vec<Arrived> {
        let arrived = self.arrived.lock().unwrap();
        let wanted = arrived.iter().filter(|arrived| arrived.key == key);
        wanted.cloned().collect()
    }

    /// Returns the number of requests that arrived.
    pub fn count(&self) -> usize {
        self.arrived.lock().unwrap().len()
    }

    /// Notes a request, and returns the form of its answer and how that is cut off.
    fn note(&self, arrived: Arrived) -> (Form, Option<Cut>) {
        let cut = if arrived.key == HEALTH_PATH {
            *self.health.lock().unwrap()
        } else {
            self.next_cut(&arrived.key)
        };
        self.arrived.lock().unwrap().push(arrived);
        let form = cut.map_or(Form::LengthFirst, |cut| cut.form);
        (form, cut.filter(|cut| cut.times > 0))
    }

    fn next_reply(&self, key: &str) -> Option<Reply> {
        let mut replies = self.replies.lock().unwrap();
        let reply = replies.get_mut(key)?;
        reply.times = reply.times.checked_sub(1)?;
        Some(reply.clone())
    }

    fn next_cut(&self, key: &str) -> Option<Cut> {
        let mut cuts = self.cuts.lock().unwrap();
        let cut = cuts.get_mut(key)?;
        let due = *cut;
        cut.times = cut.times.saturating_sub(1);
        Some(due)
    }
}

/// A backend server that runs as a task of the test and is stopped when dropped.
pub struct CuttingBackend {
    pub name: String,
    pub address: SocketAddr,
    _task: AbortOnDropHandle<()>,
}

impl CuttingBackend {
    pub async fn start(name: &str, address: SocketAddr, ledger: &Arc<Ledger>) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let (backend, ledger) = (name.to_owned(), Arc::clone(ledger));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (backend, ledger) = (backend.clone(), Arc::clone(&ledger));
                tokio::spawn(async move { serve(stream, &backend, &ledger).await });
            }
        });
        Self {
            name: name.to_owned(),
            address,
            _task: AbortOnDropHandle::new(task),
        }
    }
}

async fn serve(mut stream: TcpStream, backend: &str, ledger: &Ledger) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut unread = Vec::new();
    for position in 1.. {
        let head = raw_request::read_head(&mut stream, &mut unread).await?;
        let path = raw_request::path(&head);
        let key = match path {
            HEALTH_PATH => path,
            _ => path.rsplit('/').next()?,
        };
        let arrived = Arrived {
            key: key.to_owned(),
            position,
        };
        let (form, cut) = ledger.note(arrived);
        let mut body = raw_request::body_length(&head);
        if !cut.is_some_and(|cut| cut.is_early) {
            raw_request::skip_body(&mut stream, &mut unread, &mut body).await?;
        }
        let lines = lines(&head, backend, ledger);
        if let Some(reply) = ledger.next_reply(key) {
            let text = reply.text.replace(LINES, &lines);
            stream.write_all(text.as_bytes()).await.ok()?;
            if reply.is_last {
                return None;
            }
            continue;
        }
        let whole = form.answer(key, &lines, head.starts_with("HEAD "));
        let bytes = match cut {
            Some(cut) => &whole.bytes[..cut.at.min(whole.bytes.len())],
            None => &whole.bytes,
        };
        stream.write_all(bytes).await.ok()?;
        if let Some(cut) = cut {
            return end(stream, cut.end).await;
        }
        if form.ends_with_connection() {
            return None;
        }
    }
    None
}

/// Returns the header lines of the answer to a request.
fn lines(head: &str, backend: &str, ledger: &Ledger) -> String {
    let dialect = ledger.dialect;
    match raw_request::path(head) {
        HEALTH_PATH => (dialect.health)(backend),
        _ => dialect.lines_for(raw_request::value(head, dialect.id)),
    }
}

async fn end(mut stream: TcpStream, end: End) -> Option<()> {
    if end == End::Never {
        let _ = stream.read_u8().await;
    }
    if end.is_late() {
        tokio::time::sleep(PAUSE).await;
    }
    if end.is_reset() {
        stream.set_zero_linger().ok()?;
    }
    None
}
