//! Batching of announcements of backend servers into commits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use heatherring_lib::fleet_record::BackendChange;
use heatherring_lib::fleet_record::BackendRecord;
use heatherring_lib::fleet_record::BackendState;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VersionName;
use heatherring_server::announcement_batch::AnnouncementBatch;
use heatherring_server::announcement_batch::BatchResult;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

fn change(number: usize) -> BackendChange {
    BackendChange {
        backend: BackendName::new(format!("backend-{number}")),
        record: BackendRecord {
            service: ServiceName::new("service"),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            place: PlaceName::new("place"),
            slots: 3,
            state: BackendState::Ready,
            born: 1,
            sequence: 1,
            cold_for: Duration::ZERO,
            version: VersionName::new(""),
        },
        reclaims: false,
    }
}

/// Guards against a leader that uses up its CPU allowance at 300 VMs: hundreds of backend servers
/// announce themselves within a second, and each announcement is a commit of its own.
#[tokio::test]
async fn test_concurrent_announcements_are_committed_together_and_in_order() {
    let (tx, mut committed) = mpsc::unbounded_channel();
    let batch = AnnouncementBatch::spawn(move |changes| {
        let _ = tx.send(changes);
        async { BatchResult::Committed }
    });
    for number in 0..300 {
        batch.add(change(number));
    }
    let first = committed.recv().await.unwrap();
    let second = committed.recv().await.unwrap();
    assert_eq!(first.len() + second.len(), 300);
    let all: Vec<BackendChange> = first.into_iter().chain(second).collect();
    assert_eq!(all, (0..300).map(change).collect::<Vec<_>>());
    batch.add(change(1));
    assert_eq!(committed.recv().await.unwrap(), [change(1)]);
}

/// Guards against commits of announcements that pile up at a leader that is slow already.
#[tokio::test]
async fn test_flood_of_announcements_has_one_commit_under_way() {
    let under_way = Arc::new(AtomicUsize::new(0));
    let room = Arc::new(Semaphore::new(0));
    let (tx, mut committed) = mpsc::unbounded_channel();
    let batch = AnnouncementBatch::spawn({
        let (under_way, room) = (Arc::clone(&under_way), Arc::clone(&room));
        move |changes: Vec<BackendChange>| {
            let (under_way, room, tx) = (Arc::clone(&under_way), Arc::clone(&room), tx.clone());
            async move {
                assert_eq!(under_way.fetch_add(1, Ordering::SeqCst), 0);
                let _ = tx.send(changes.len());
                room.acquire().await.unwrap().forget();
                under_way.fetch_sub(1, Ordering::SeqCst);
                BatchResult::Committed
            }
        }
    });
    for _ in 0..10 {
        for number in 0..1_000 {
            batch.add(change(number));
        }
    }
    let mut total = committed.recv().await.unwrap();
    room.add_permits(100);
    while total < 1_000 {
        total += committed.recv().await.unwrap();
    }
    // Each backend server waits once, however often it announced itself.
    assert_eq!(total, 1_000);
    batch.add(change(1));
    assert_eq!(committed.recv().await, Some(1));
}

/// Guards against a backend server that stays unknown until its next heartbeat, which may be half a
/// minute away, because one commit failed.
#[tokio::test]
async fn test_announcements_of_a_failed_commit_are_proposed_again() {
    let tries = Arc::new(AtomicUsize::new(0));
    let (tx, mut proposed) = mpsc::unbounded_channel();
    let batch = AnnouncementBatch::spawn({
        let tries = Arc::clone(&tries);
        move |changes: Vec<BackendChange>| {
            let _ = tx.send(changes);
            let fails = tries.fetch_add(1, Ordering::SeqCst) < 3;
            async move {
                if fails {
                    BatchResult::Open
                } else {
                    BatchResult::Committed
                }
            }
        }
    });
    batch.add(change(1));
    for _ in 0..4 {
        assert_eq!(proposed.recv().await.unwrap(), [change(1)]);
    }
    batch.add(change(2));
    assert_eq!(proposed.recv().await.unwrap(), [change(2)]);
}

/// Guards against an earlier state of a backend server that is proposed after a later one, since its
/// first commit failed.
#[tokio::test]
async fn test_failed_announcement_gives_way_to_a_later_one() {
    let (tx, mut proposed) = mpsc::unbounded_channel();
    let batch = AnnouncementBatch::spawn(move |changes: Vec<BackendChange>| {
        let _ = tx.send(changes);
        async { BatchResult::Open }
    });
    batch.add(change(1));
    assert_eq!(proposed.recv().await.unwrap(), [change(1)]);
    let mut later = change(1);
    later.record.sequence = 2;
    batch.add(later.clone());
    while proposed.recv().await.unwrap() != [later.clone()] {}
    for _ in 0..2 {
        assert_eq!(proposed.recv().await.unwrap(), [later.clone()]);
    }
}
