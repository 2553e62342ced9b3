//! Keeps recent decisions, so that operators can have them explained.
//!
//! Requests never wait for this task: when its queue is full, records are dropped and counted.

use heatherring_lib::decision_log::DecisionFilter;
use heatherring_lib::decision_log::DecisionLog;
use heatherring_lib::decision_record::DecisionRecord;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Number of look-ups kept, and likewise of other decisions.
const KEPT_RECORDS: usize = 2_048;
/// Number of records that the queue to the task can hold.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum number of records in one answer.
const MAX_ANSWERED: usize = 200;

#[derive(Debug)]
enum Message {
    Note(Box<DecisionRecord>),
    Recent(DecisionFilter, oneshot::Sender<Vec<DecisionRecord>>),
}

/// Handle to the task.
#[derive(Clone, Debug)]
pub struct DecisionHandle {
    tx: mpsc::Sender<Message>,
}

impl DecisionHandle {
    /// Starts the task, which ends when the last handle is dropped.
    #[must_use]
    pub fn spawn() -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run(rx));
        Self { tx }
    }

    /// Records a decision; `record` is called only if the queue has room. Returns whether it
    /// had.
    pub fn note(&self, record: impl FnOnce() -> DecisionRecord) -> bool {
        match self.tx.try_reserve() {
            Ok(permit) => {
                permit.send(Message::Note(Box::new(record())));
                true
            }
            Err(_) => false,
        }
    }

    /// Returns recent decisions that match `filter`, newest first.
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
                // The receiver may be gone.
                let _ = reply.send(recent.into_iter().cloned().collect());
            }
        }
    }
}
