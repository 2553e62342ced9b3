//! Keeps recent decisions for operators who ask why.
//!
//! Requests never wait for it: when it can't keep up, records are dropped and counted.

use heatherring_lib::decision_log::DecisionFilter;
use heatherring_lib::decision_log::DecisionLog;
use heatherring_lib::decision_record::DecisionRecord;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Look-ups kept, and other decisions kept.
const KEPT_RECORDS: usize = 2_048;
/// Records on their way to the task.
const QUEUE_CAPACITY: usize = 1_024;
/// Records in one answer.
const MAX_ANSWERED: usize = 200;

#[derive(Debug)]
enum Message {
    Note(Box<DecisionRecord>),
    Recent(DecisionFilter, oneshot::Sender<Vec<DecisionRecord>>),
}

/// Reaches the task.
#[derive(Clone, Debug)]
pub struct DecisionHandle {
    tx: mpsc::Sender<Message>,
}

impl DecisionHandle {
    /// Starts the task; it ends with the last handle.
    #[must_use]
    pub fn spawn() -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run(rx));
        Self { tx }
    }

    /// Notes a decision, which is made into a record only if there is room for it.
    /// Returns whether there was.
    pub fn note(&self, record: impl FnOnce() -> DecisionRecord) -> bool {
        match self.tx.try_reserve() {
            Ok(permit) => {
                permit.send(Message::Note(Box::new(record())));
                true
            }
            Err(_) => false,
        }
    }

    /// Returns recent decisions that match, the newest first.
    pub async fn recent(&self, filter: DecisionFilter) -> Vec<DecisionRecord> {
        let (reply_tx, reply_rx) = oneshot::channel();
        let sent = self.tx.send(Message::Recent(filter, reply_tx)).await;
        match sent {
            Ok(()) => reply_rx.await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }
}

async fn run(mut rx: mpsc::Receiver<Message>) {
    let mut log = DecisionLog::new(KEPT_RECORDS);
    while let Some(message) = rx.recv().await {
        match message {
            Message::Note(record) => log.push(*record),
            Message::Recent(filter, reply) => {
                let recent = log.recent(&filter, MAX_ANSWERED);
                // Whoever asked may have gone.
                let _ = reply.send(recent.into_iter().cloned().collect());
            }
        }
    }
}
