//! Collects announcements of backend servers into batches that are committed together.
//!
//! The leader sends each commit to all other replicas and waits for their answers. When hundreds
//! of backend servers start, restart after a power loss or cease to be cold within seconds,
//! separate commits would dominate the leader's work.

use std::time::Duration;

use heatherring_lib::fleet_record::BackendChange;
use tokio::sync::mpsc;

/// Time for which announcements are collected. It adds to the time until a new backend server
/// receives requests, which is otherwise at most two heartbeats of 1.5 s.
const BATCH_WINDOW: Duration = Duration::from_millis(50);

/// Largest number of announcements in one commit; each takes about 100 bytes.
const MAX_BATCH: usize = 256;

/// Adds announcements to the next commit.
#[derive(Clone, Debug)]
pub struct AnnouncementBatch {
    tx: mpsc::UnboundedSender<BackendChange>,
}

impl AnnouncementBatch {
    /// Spawns the collecting task, which calls `commit` with each batch.
    pub fn spawn<C>(commit: impl Fn(Vec<BackendChange>) -> C + Send + 'static) -> Self
    where
        C: Future<Output = ()> + Send + 'static,
    {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(collect_batches(rx, commit));
        Self { tx }
    }

    /// Adds an announcement. If it is lost, the next heartbeat repeats it.
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

async fn collect_batches<C>(
    mut rx: mpsc::UnboundedReceiver<BackendChange>,
    commit: impl Fn(Vec<BackendChange>) -> C,
) where
    C: Future<Output = ()> + Send + 'static,
{
    while let Some(first) = rx.recv().await {
        tokio::time::sleep(BATCH_WINDOW).await;
        let changes = collect_batch(first, MAX_BATCH, || rx.try_recv().ok());
        // Spawned, so that a slow commit does not delay the following ones.
        tokio::spawn(commit(changes));
    }
}
