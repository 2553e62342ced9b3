//! The ledger of fake backend servers: the ground truth of what ran.
//!
//! One task of each process owns the file and the counts of slots in use, so the order
//! of the lines is the order of events, and the count in each line is exact.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::answer_fault::EndlessPart;
use crate::machine_clock::now_us;

/// Holds one line of a ledger.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerEvent {
    /// Microseconds of the machine's monotonic clock.
    pub at_us: u64,
    /// The backend server.
    pub backend: String,
    /// Its service.
    pub service: String,
    /// Its place.
    pub place: String,
    /// Its slots.
    pub slots: u32,
    /// Slots in use after the event.
    pub in_use: u32,
    /// What happened.
    pub kind: LedgerEventKind,
}

/// Tells what happened at a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEventKind {
    /// The backend server's process started; nothing of an earlier life runs any more.
    Started,
    /// A request began to run.
    Start(Asked),
    /// A request stopped running.
    End {
        /// The nonce of the request.
        nonce: String,
        /// Why it stopped.
        finish: Finish,
    },
    /// A request arrived while all slots were in use; it was refused and not run.
    Overrun(Asked),
    /// A request was refused on purpose; it was not run.
    Shed(Asked),
    /// A connection above the limit was opened.
    ConnectionOverrun,
    /// The backend server announced that it leaves.
    Leaving,
    /// A connection began with an answer that nobody had asked for.
    SpokeFirst,
    /// A request's answer goes on until its connection is closed. Whether the request ran is told
    /// by the other events.
    Endless {
        /// The nonce of the request.
        nonce: String,
        /// What has no end.
        part: EndlessPart,
    },
}

/// Identifies a request as the backend server saw it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Asked {
    /// The nonce of the request.
    pub nonce: String,
    /// The system's identifier of the request.
    pub request_id: String,
    /// The key of an action.
    pub key: Option<String>,
    /// The place of the caller.
    pub origin: String,
    /// The digest of the request.
    pub digest: String,
}

/// Tells why a request stopped running.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The answer was produced.
    Answered,
    /// The deadline passed.
    Deadline,
    /// The connection was dropped.
    Cancelled,
}

/// Describes the backend server that writes to a ledger.
#[derive(Clone, Debug)]
pub struct LedgerServer {
    /// The backend server.
    pub backend: String,
    /// Its service.
    pub service: String,
    /// Its place.
    pub place: String,
    /// Its slots.
    pub slots: u32,
}

/// Tells why a ledger can't be used.
#[derive(Debug, Snafu)]
pub enum LedgerError {
    /// The file can't be created or read.
    #[snafu(display("can't use the ledger {path}"))]
    File {
        /// The ledger.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// A line is no event.
    #[snafu(display("line {line} of the ledger {path} is no event"))]
    Line {
        /// The ledger.
        path: String,
        /// The line's number, from 1.
        line: usize,
        /// What the parser said.
        source: serde_json::Error,
    },
}

enum Command {
    Begin {
        ledger: Ledger,
        server: LedgerServer,
        asked: Asked,
        admitted: oneshot::Sender<Option<Running>>,
    },
    End {
        server: LedgerServer,
        nonce: String,
        finish: Finish,
    },
    Note {
        server: LedgerServer,
        kind: LedgerEventKind,
    },
    InUse {
        backend: String,
        reply: oneshot::Sender<u32>,
    },
}

/// Sends events to the task that owns a ledger.
#[derive(Clone, Debug)]
pub struct Ledger {
    tx: mpsc::UnboundedSender<Command>,
}

impl Ledger {
    /// Creates the file and starts the task that owns it.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be created.
    pub fn create(path: &Path) -> Result<Self, LedgerError> {
        let file = File::options().create(true).append(true).open(path);
        let file = file.context(FileSnafu {
            path: path.display().to_string(),
        })?;
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(file, rx));
        Ok(Self { tx })
    }

    /// Takes a slot and records the start, or records the overrun and returns `None`.
    pub async fn begin(&self, server: &LedgerServer, asked: Asked) -> Option<Running> {
        let (admitted, verdict) = oneshot::channel();
        self.send(Command::Begin {
            ledger: self.clone(),
            server: server.clone(),
            asked,
            admitted,
        });
        verdict.await.ok().flatten()
    }

    /// Records an event that takes no slot.
    pub fn note(&self, server: &LedgerServer, kind: LedgerEventKind) {
        self.send(Command::Note {
            server: server.clone(),
            kind,
        });
    }

    /// Returns how many slots of a backend server are in use.
    pub async fn in_use(&self, backend: &str) -> u32 {
        let (reply, count) = oneshot::channel();
        self.send(Command::InUse {
            backend: backend.to_owned(),
            reply,
        });
        count.await.unwrap_or(0)
    }

    fn send(&self, command: Command) {
        // The task ends only with its runtime, when nobody needs the ledger any more.
        let _ = self.tx.send(command);
    }
}

/// Holds a slot; dropping it records the end.
#[derive(Debug)]
pub struct Running {
    ledger: Ledger,
    server: LedgerServer,
    nonce: String,
    finish: Finish,
}

impl Running {
    /// Records the end with its reason. A `Running` that is merely dropped, as when the
    /// connection is closed while the request runs, counts as cancelled.
    pub fn end(mut self, finish: Finish) {
        self.finish = finish;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.ledger.send(Command::End {
            server: self.server.clone(),
            nonce: std::mem::take(&mut self.nonce),
            finish: self.finish,
        });
    }
}

async fn run(mut file: File, mut rx: mpsc::UnboundedReceiver<Command>) {
    let mut in_use: BTreeMap<String, u32> = BTreeMap::new();
    while let Some(command) = rx.recv().await {
        match command {
            Command::Begin {
                ledger,
                server,
                asked,
                admitted,
            } => {
                let count = in_use.entry(server.backend.clone()).or_default();
                let fits = *count < server.slots;
                *count += u32::from(fits);
                let running = fits.then(|| Running {
                    ledger,
                    server: server.clone(),
                    nonce: asked.nonce.clone(),
                    finish: Finish::Cancelled,
                });
                let kind = if fits {
                    LedgerEventKind::Start(asked)
                } else {
                    LedgerEventKind::Overrun(asked)
                };
                write(&mut file, &server, *count, kind);
                // Where nobody waits for it any more, it is dropped, which records the end.
                let _ = admitted.send(running);
            }
            Command::End {
                server,
                nonce,
                finish,
            } => {
                let count = in_use.entry(server.backend.clone()).or_default();
                *count = count.saturating_sub(1);
                let kind = LedgerEventKind::End { nonce, finish };
                write(&mut file, &server, *count, kind);
            }
            Command::Note { server, kind } => {
                let count = in_use.get(&server.backend).copied().unwrap_or(0);
                write(&mut file, &server, count, kind);
            }
            Command::InUse { backend, reply } => {
                let _ = reply.send(in_use.get(&backend).copied().unwrap_or(0));
            }
        }
    }
}

fn write(file: &mut File, server: &LedgerServer, in_use: u32, kind: LedgerEventKind) {
    let event = LedgerEvent {
        at_us: now_us(),
        backend: server.backend.clone(),
        service: server.service.clone(),
        place: server.place.clone(),
        slots: server.slots,
        in_use,
        kind,
    };
    let mut line = serde_json::to_vec(&event).expect("events are writable as JSON");
    line.push(b'\n');
    // One write of a whole line: a killed process leaves no half of it behind.
    file.write_all(&line).expect("the ledger takes a line");
}

/// Reads all events of a ledger in order.
///
/// # Errors
///
/// Returns an error if the file can't be read or a line is no event.
pub fn read(path: &Path) -> Result<Vec<LedgerEvent>, LedgerError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).context(FileSnafu { path: &shown })?;
    let lines = text.lines().enumerate();
    lines
        .map(|(index, line)| {
            serde_json::from_str(line).context(LineSnafu {
                path: &shown,
                line: index + 1,
            })
        })
        .collect()
}
