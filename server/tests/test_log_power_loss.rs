//! Tests of the write-ahead log of a replica that is killed, started again, and loses power.
//!
//! What a killed process wrote without a sync is still in the page cache, so that the next process
//! reads it, and a loss of power takes it away.

mod support;

use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::Term;
use heatherring_lib::raft_config::DurableState;
use heatherring_lib::raft_message::HardState;
use heatherring_lib::raft_message::LogEntry;
use heatherring_lib::raft_message::LogPayload;
use heatherring_lib::raft_message::LogWrite;
use heatherring_lib::raft_message::Membership;
use heatherring_lib::raft_message::Snapshot;
use heatherring_server::data_folder::Disk;
use heatherring_server::data_folder::FORMAT_VERSION;
use heatherring_server::data_folder::IDENTITY_FILE;
use heatherring_server::data_folder::Identity;
use heatherring_server::log_disk::DiskError;
use heatherring_server::log_disk::LogDisk;
use heatherring_server::log_disk::format;
use rstest::rstest;
use support::FaultyDisk;

const IDENTITY: Identity = Identity {
    format: FORMAT_VERSION,
    cluster: ClusterId([7; 16]),
    replica: ReplicaId(42),
};

/// Seeds of the losses of power behind each step.
const SEEDS: std::ops::Range<u64> = 0..6;

fn formatted_disk() -> FaultyDisk {
    format(FaultyDisk::default(), IDENTITY, &[]).unwrap()
}

fn append(index: u64) -> LogWrite {
    LogWrite::Append(LogEntry {
        index: Revision(index),
        term: Term(1),
        payload: LogPayload::Command(vec![b'x'; 600].into()),
    })
}

fn vote(term: u64) -> LogWrite {
    LogWrite::HardState(HardState {
        term: Term(term),
        voted_for: Some(ReplicaId(term)),
    })
}

fn snapshot(index: u64) -> LogWrite {
    LogWrite::Snapshot(Snapshot {
        index: Revision(index),
        term: Term(1),
        membership: Membership::default(),
        data: vec![b's'; 100].into(),
    })
}

fn after(mut state: DurableState, writes: &[LogWrite]) -> DurableState {
    for write in writes {
        state.apply(write.clone()).unwrap();
    }
    state
}

/// Batches that meet all kinds of records, two snapshots, and segments that are started.
fn batches() -> Vec<Vec<LogWrite>> {
    vec![
        vec![vote(1), append(1), append(2)],
        vec![append(3), snapshot(2), append(4)],
        vec![LogWrite::Truncate(Revision(4)), append(4), vote(2)],
        vec![append(5), snapshot(4), vote(3), append(6)],
    ]
}

/// Returns what a replica is shown when it starts on this disk.
fn shown(disk: &FaultyDisk) -> Result<DurableState, DiskError> {
    let (_, recovered) = LogDisk::open(disk.clone())?;
    Ok(recovered.durable)
}

/// Fails unless `found` is `state` with some of the first `writes`.
fn assert_continues(
    found: Result<DurableState, DiskError>,
    state: &DurableState,
    writes: &[LogWrite],
    at: &str,
) {
    let found = found.unwrap_or_else(|error| panic!("{at}: {error}"));
    let mut counts = 0..=writes.len();
    let continues = counts.any(|count| after(state.clone(), &writes[..count]) == found);
    assert!(continues, "{at}: {found:?}");
}

/// Writes all batches until the disk fails. Returns what was confirmed, and the batch of which
/// nothing is known. Records for which there was no room are written again.
fn write_batches(
    disk: &FaultyDisk,
    log: &mut LogDisk<FaultyDisk>,
) -> (Vec<LogWrite>, Vec<LogWrite>) {
    let mut confirmed = Vec::new();
    for batch in batches() {
        let mut written = 0;
        loop {
            match log.write(&batch[written..]) {
                Ok(()) => break,
                Err(DiskError::Full { durable, .. }) => {
                    written += durable;
                    disk.free();
                }
                Err(_) => return (confirmed, batch),
            }
        }
        confirmed.extend(batch);
    }
    (confirmed, Vec::new())
}

/// A disk whose process was killed after some operation.
struct Killed {
    disk: FaultyDisk,
    /// What the process confirmed.
    confirmed: DurableState,
    /// Writes of which nothing is known.
    unknown: Vec<LogWrite>,
}

/// Returns the disks of processes that were killed after each of their operations, at one of which
/// the disk had no room.
fn killed_while_writing(refused: Option<usize>) -> Vec<Killed> {
    let mut all = Vec::new();
    for operations in 0.. {
        let disk = formatted_disk();
        let (mut log, _) = LogDisk::open(disk.clone()).unwrap();
        if let Some(refused) = refused {
            disk.refuse_after(refused, 500);
        }
        disk.fail_after(operations);
        let (confirmed, unknown) = write_batches(&disk, &mut log);
        let done = unknown.is_empty();
        all.push(Killed {
            disk: disk.kill(),
            confirmed: after(DurableState::default(), &confirmed),
            unknown,
        });
        if done {
            break;
        }
    }
    assert!(all.len() > 30, "{}", all.len());
    all
}

/// Guards against votes and entries that a replica goes by, and forgets in a loss of power: the
/// process before it was killed between writing and syncing them.
#[rstest]
#[case::with_room(None)]
#[case::refused_append(Some(0))]
#[case::refused_snapshot(Some(3))]
#[case::refused_segment(Some(7))]
#[case::refused_seal(Some(8))]
#[case::refused_later_snapshot(Some(12))]
fn test_log_power_loss_takes_nothing_that_a_start_has_shown(#[case] refused: Option<usize>) {
    for (step, killed) in killed_while_writing(refused).iter().enumerate() {
        let Killed {
            disk,
            confirmed,
            unknown,
        } = killed;
        let known = shown(disk);
        assert_continues(known, confirmed, unknown, &format!("killed at {step}"));
        let known = shown(disk).unwrap();
        for seed in SEEDS {
            let at = format!("killed at {step}, power lost with seed {seed}");
            assert_continues(shown(&disk.lose_power(seed)), &known, &[], &at);
        }
    }
}

/// Guards against a log that is taken for damaged without a fault of the disk, or that has lost a
/// confirmed record: a process is killed, the next one is killed while it opens the log, and power
/// is lost.
#[test]
fn test_log_power_loss_after_an_interrupted_start() {
    for (step, killed) in killed_while_writing(None).iter().enumerate() {
        for operations in 0.. {
            let disk = killed.disk.kill();
            disk.fail_after(operations);
            let interrupted = shown(&disk).is_err();
            for seed in SEEDS {
                let at = format!("killed at {step} and {operations}, seed {seed}");
                let found = shown(&disk.lose_power(seed));
                assert_continues(found, &killed.confirmed, &killed.unknown, &at);
            }
            if !interrupted {
                break;
            }
        }
    }
}

/// Guards against the same where the next process goes on writing, to a segment whose name isn't
/// durable, or so that files are removed that an unsynced record had replaced.
#[rstest]
#[case::with_room(None)]
#[case::refused_segment(Some(7))]
#[case::refused_seal(Some(8))]
fn test_log_power_loss_while_the_next_process_writes(#[case] refused: Option<usize>) {
    for (step, killed) in killed_while_writing(refused).iter().enumerate() {
        for operations in 0.. {
            let disk = killed.disk.kill();
            let (mut log, recovered) = LogDisk::open(disk.clone()).unwrap();
            let mut known = recovered.durable;
            let last = known.last_index().0;
            let mut batches = vec![
                vec![vote(10), snapshot(last + 1)],
                vec![vote(9), append(last + 1)],
            ];
            disk.fail_after(operations);
            while let Some(batch) = batches.pop() {
                if log.write(&batch).is_err() {
                    batches.push(batch);
                    break;
                }
                known = after(known, &batch);
            }
            let unknown = batches.pop().unwrap_or_default();
            for seed in SEEDS {
                let at = format!("killed at {step}, power lost at {operations}, seed {seed}");
                assert_continues(shown(&disk.lose_power(seed)), &known, &unknown, &at);
            }
            if unknown.is_empty() {
                break;
            }
        }
    }
}

/// Guards against a log that is taken for damaged after a folder was emptied and formatted again: the
/// removal of the identity wasn't synced before the files of the log were removed.
#[test]
fn test_log_power_loss_while_an_emptied_folder_is_formatted() {
    for operations in 0.. {
        let mut disk = formatted_disk();
        let (mut log, _) = LogDisk::open(disk.clone()).unwrap();
        write_batches(&disk, &mut log);
        let before = shown(&disk).unwrap();
        let fresh = after(DurableState::default(), &[vote(9)]);
        Disk::remove(&mut disk, IDENTITY_FILE).unwrap();
        let disk = disk.kill();
        disk.fail_after(operations);
        let formatted = format(disk.clone(), IDENTITY, &[vote(9)]).is_ok();
        for seed in SEEDS {
            let at = format!("power lost at {operations}, seed {seed}");
            match shown(&disk.lose_power(seed)) {
                Err(DiskError::Unformatted) => assert!(!formatted, "{at}"),
                Ok(found) if found == before => assert!(!formatted, "{at}"),
                found => {
                    assert_continues(found, &fresh, &[], &at);
                }
            }
        }
        if formatted {
            break;
        }
    }
}

/// Guards against a replica that starts on a folder, votes, and finds the folder unformatted after a
/// loss of power: the process that formatted it was killed between the last name and its sync.
#[test]
fn test_log_power_loss_after_an_interrupted_format() {
    let writes = [vote(1), append(1)];
    for operations in 0.. {
        let disk = FaultyDisk::default();
        disk.fail_after(operations);
        let formatted = format(disk.clone(), IDENTITY, &writes).is_ok();
        let disk = disk.kill();
        let started = shown(&disk);
        for seed in SEEDS {
            let at = format!("killed at {operations}, power lost with seed {seed}");
            let lost = disk.lose_power(seed);
            match &started {
                Ok(known) => assert_continues(shown(&lost), known, &[], &at),
                Err(DiskError::Unformatted) => {
                    let again = format(lost.clone(), IDENTITY, &writes);
                    assert!(again.is_ok(), "{at}: {again:?}");
                    let known = after(DurableState::default(), &writes);
                    assert_continues(shown(&lost.kill()), &known, &[], &at);
                }
                Err(error) => panic!("{at}: {error}"),
            }
        }
        if formatted {
            break;
        }
    }
}
