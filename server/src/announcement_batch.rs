//! Collects announcements of backend servers into batches that are committed together.
//!
//! The leader sends each commit to all other replicas and waits for their answers. When hundreds
//! of backend servers start, restart after a power loss or cease to be cold within seconds,
//! separate commits would dominate the leader's work. One batch of a replica is under way at a time,
//! so that the batches grow with the time that a commit takes, and their number does not.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use heatherring_lib::fleet_record::BackendChange;
use heatherring_lib::id::BackendName;
use rand::Rng;
use tokio::sync::mpsc;

/// Time for which announcements are collected. It adds to the time until a new backend server
/// receives requests, which is otherwise at most two heartbeats.
const BATCH_WINDOW: Duration = Duration::from_millis(50);

/// Largest number of announcements in one commit; each takes about 100 bytes.
const MAX_BATCH: usize = 256;

/// Largest number of announcements that wait for a commit. Further ones are left to the next
/// heartbeats.
const MAX_WAITING: usize = 16_384;

/// Bounds of the pause after a failed commit, half of which is drawn at random.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// Result of committing a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchResult {
    /// The batch is committed.
    Committed,
    /// The batch may not be committed, and is worth another attempt.
    Open,
}

/// Adds announcements to the next commit.
#[derive(Clone, Debug)]
pub struct AnnouncementBatch {
    tx: mpsc::UnboundedSender<BackendChange>,
}

impl AnnouncementBatch {
    /// Spawns the collecting task, which calls `commit` with each batch.
    pub fn spawn<C>(commit: impl Fn(Vec<BackendChange>) -> C + Send + 'static) -> Self
    where
        C: Future<Output = BatchResult> + Send + 'static,
    {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(commit_batches(rx, commit));
        Self { tx }
    }

    /// Adds an announcement. A later one of the same backend server replaces it while it waits.
    pub fn add(&self, change: BackendChange) {
        // The task ends only with the process.
        let _ = self.tx.send(change);
    }
}

/// Collects `first` and the items that `next` returns, `max` altogether.
pub(crate) fn collect_batch<T>(first: T, max: usize, next: impl FnMut() -> Option<T>) -> Vec<T> {
    let rest = std::iter::from_fn(next);
    std::iter::once(first).chain(rest).take(max).collect()
}

/// Announcements that wait for a commit, at most one of each backend server.
#[derive(Debug, Default)]
struct Waiting {
    /// In order of arrival.
    changes: BTreeMap<u64, BackendChange>,
    positions: HashMap<BackendName, u64>,
    next_position: u64,
}

impl Waiting {
    /// Adds an announcement, unless a later one of the same backend server waits.
    fn add(&mut self, change: BackendChange) {
        if let Some(position) = self.positions.get(&change.backend) {
            if let Some(known) = self.changes.get_mut(position)
                && known.record.stamp() < change.record.stamp()
            {
                *known = change;
            }
            return;
        }
        if self.changes.len() >= MAX_WAITING {
            return;
        }
        let position = self.next_position;
        self.next_position += 1;
        self.positions.insert(change.backend.clone(), position);
        self.changes.insert(position, change);
    }

    fn take(&mut self) -> Vec<BackendChange> {
        let all = std::iter::from_fn(|| self.changes.pop_first());
        let batch: Vec<BackendChange> = all.take(MAX_BATCH).map(|(_, change)| change).collect();
        for change in &batch {
            self.positions.remove(&change.backend);
        }
        batch
    }
}

async fn commit_batches<C>(
    mut rx: mpsc::UnboundedReceiver<BackendChange>,
    commit: impl Fn(Vec<BackendChange>) -> C,
) where
    C: Future<Output = BatchResult> + Send + 'static,
{
    let mut waiting = Waiting::default();
    let mut pause = FIRST_PAUSE;
    loop {
        if waiting.changes.is_empty() {
            let Some(first) = rx.recv().await else { return };
            waiting.add(first);
        }
        tokio::time::sleep(BATCH_WINDOW).await;
        while let Ok(change) = rx.try_recv() {
            waiting.add(change);
        }
        let batch = waiting.take();
        match commit(batch.clone()).await {
            BatchResult::Committed => pause = FIRST_PAUSE,
            BatchResult::Open => {
                for change in batch {
                    waiting.add(change);
                }
                let share = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(pause.mul_f64(share)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}
