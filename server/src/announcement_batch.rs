//! Gathers what backend servers announce, so that it is committed together.
//!
//! Each commit goes from the leader to all other replicas, and its answer back. When hundreds of
//! backend servers start, come back after a loss of power or cease to be cold within seconds,
//! one commit for each is what the leader does most.

use std::time::Duration;

use heatherring_lib::fleet_record::BackendChange;
use tokio::sync::mpsc;

/// Time for which announcements are gathered. It is added to the time until a new backend server
/// is sent to, two heartbeats of 1.5 s at most otherwise.
const GATHER_FOR: Duration = Duration::from_millis(50);

/// Announcements that are committed together at most, some 100 bytes each.
const MOST_TOGETHER: usize = 256;

/// Takes announcements for the next commit.
#[derive(Clone, Debug)]
pub struct AnnouncementBatch {
    tx: mpsc::UnboundedSender<BackendChange>,
}

impl AnnouncementBatch {
    /// Starts the task that gathers; `commit` is called with what came together.
    pub fn spawn<C>(commit: impl Fn(Vec<BackendChange>) -> C + Send + 'static) -> Self
    where
        C: Future<Output = ()> + Send + 'static,
    {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(gather(rx, commit));
        Self { tx }
    }

    /// Adds an announcement. If it gets lost, the next heartbeat repeats it.
    pub fn add(&self, change: BackendChange) {
        // The task ends only with the process.
        let _ = self.tx.send(change);
    }
}

/// Returns `first` and what has come since, `most` together.
pub(crate) fn gathered<T>(first: T, most: usize, next: impl FnMut() -> Option<T>) -> Vec<T> {
    let rest = std::iter::from_fn(next);
    std::iter::once(first).chain(rest).take(most).collect()
}

async fn gather<C>(
    mut rx: mpsc::UnboundedReceiver<BackendChange>,
    commit: impl Fn(Vec<BackendChange>) -> C,
) where
    C: Future<Output = ()> + Send + 'static,
{
    while let Some(first) = rx.recv().await {
        tokio::time::sleep(GATHER_FOR).await;
        let changes = gathered(first, MOST_TOGETHER, || rx.try_recv().ok());
        // The next ones aren't held up by a commit that takes long.
        tokio::spawn(commit(changes));
    }
}
