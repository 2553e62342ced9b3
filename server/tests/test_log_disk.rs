//! Tests of the write-ahead log on disks that lose, tear, flip and refuse.

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
use heatherring_server::data_folder::FolderDisk;
use heatherring_server::data_folder::IDENTITY_FILE;
use heatherring_server::data_folder::Identity;
use heatherring_server::log_disk::DiskError;
use heatherring_server::log_disk::LogDisk;
use heatherring_server::log_disk::format;
use heatherring_server::log_replay::DamagedLog;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use support::FaultyDisk;
use support::Unsynced;

const IDENTITY: Identity = Identity {
    format: FORMAT_VERSION,
    cluster: ClusterId([7; 16]),
    replica: ReplicaId(42),
};

/// Seed of the random crashes; another one finds other sequences.
const SEED: u64 = 20_261_202;

fn formatted() -> FaultyDisk {
    format(FaultyDisk::default(), IDENTITY, &[]).unwrap()
}

fn open(disk: &FaultyDisk) -> Result<(LogDisk<FaultyDisk>, DurableState), DiskError> {
    let (log, recovered) = LogDisk::open(disk.clone())?;
    assert_eq!(recovered.identity, IDENTITY);
    Ok((log, recovered.durable))
}

fn recovered(disk: &FaultyDisk) -> DurableState {
    open(disk).unwrap().1
}

fn damage(disk: &FaultyDisk) -> DamagedLog {
    match open(disk) {
        Err(DiskError::Damaged { source }) => source,
        other => panic!("expected damage, got {other:?}"),
    }
}

fn append(index: u64, bytes: usize) -> LogWrite {
    LogWrite::Append(LogEntry {
        index: Revision(index),
        term: Term(1),
        payload: LogPayload::Command(vec![b'x'; bytes].into()),
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

fn state_after(writes: &[LogWrite]) -> DurableState {
    let mut state = DurableState::default();
    for write in writes {
        state.apply(write.clone()).unwrap();
    }
    state
}

fn last_segment(disk: &FaultyDisk) -> String {
    disk.named("log-").pop().unwrap()
}

/// Names each case: the batches that are written, one after the other, and come back.
macro_rules! read_back_cases {
    ($($name:ident: $batches:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let disk = formatted();
                let batches: Vec<Vec<LogWrite>> = $batches;
                let (mut log, _) = open(&disk).unwrap();
                for batch in &batches {
                    log.write(batch).unwrap();
                }
                let crashed = disk.crash(Unsynced::Cut(0), false);
                assert_eq!(recovered(&crashed), state_after(&batches.concat()));
            }
        )*
    };
}

read_back_cases! {
    test_read_back_nothing: vec![];
    test_read_back_vote: vec![vec![vote(3)], vec![vote(5)]];
    test_read_back_entries: vec![vec![vote(1), append(1, 10)], vec![append(2, 2_000)]];
    test_read_back_truncation: vec![
        vec![append(1, 1), append(2, 1), append(3, 1)],
        vec![LogWrite::Truncate(Revision(2)), append(2, 9)],
    ];
    test_read_back_snapshot: vec![
        vec![vote(1), append(1, 1), append(2, 1), append(3, 1)],
        vec![snapshot(2)],
        vec![append(4, 1)],
    ];
    test_read_back_snapshot_beyond_log: vec![
        vec![append(1, 1)],
        vec![snapshot(50), vote(4)],
        vec![append(51, 1)],
    ];
    test_read_back_many_segments: vec![
        vec![vote(2), append(1, 9 << 20)],
        vec![append(2, 9 << 20)],
        vec![append(3, 5)],
        vec![snapshot(2)],
        vec![append(4, 5)],
    ];
}

#[test]
fn test_snapshot_deletes_old_segments() {
    let disk = formatted();
    let (mut log, _) = open(&disk).unwrap();
    for index in 1..=4 {
        log.write(&[append(index, 9 << 20)]).unwrap();
    }
    assert_eq!(disk.named("log-").len(), 5);
    log.write(&[snapshot(4)]).unwrap();
    assert_eq!(disk.named("log-").len(), 1);
    log.write(&[append(5, 1)]).unwrap();
    log.write(&[snapshot(5)]).unwrap();
    assert_eq!(disk.named("snapshot-").len(), 1);
}

#[rstest]
fn test_torn_last_write_is_cut(
    #[values(
        Unsynced::Cut(1),
        Unsynced::Cut(500),
        Unsynced::Cut(999),
        Unsynced::ZeroEnd(0),
        Unsynced::ZeroEnd(700),
        Unsynced::ZeroSector(0),
        Unsynced::ZeroSector(500)
    )]
    unsynced: Unsynced,
) {
    // Symptom: a replica refuses to start after an ordinary power cut.
    // Sequence: a batch is being written when the VM dies; part of it reaches the disk.
    // Cause: a write that was never acknowledged looks like damage.
    let disk = formatted();
    let (mut log, _) = open(&disk).unwrap();
    let kept = [vote(1), append(1, 100)];
    log.write(&kept).unwrap();
    disk.fail_syncs();
    log.write(&[append(2, 3_000)]).unwrap_err();
    let crashed = disk.crash(unsynced, true);
    let (mut log, durable) = open(&crashed).unwrap();
    assert_eq!(durable, state_after(&kept));
    // The next write continues where the cut was made.
    log.write(&[append(2, 7)]).unwrap();
    let expected = state_after(&[vote(1), append(1, 100), append(2, 7)]);
    assert_eq!(recovered(&crashed), expected);
}

#[test]
fn test_flipped_bit_is_damage() {
    // Symptom: a replica votes twice in a term, or a committed entry is gone.
    // Sequence: a bit of an acknowledged record flips; the process restarts.
    // Cause: the record is taken for a torn write and cut off.
    let disk = formatted();
    let (mut log, _) = open(&disk).unwrap();
    log.write(&[vote(1), append(1, 40)]).unwrap();
    log.write(&[append(2, 40)]).unwrap();
    let name = last_segment(&disk);
    for bit in 0..disk.content(&name).len() * 8 {
        let copy = disk.crash(Unsynced::Kept, true);
        copy.flip(&name, bit);
        let damage = damage(&copy);
        assert!(
            matches!(damage, DamagedLog::Frame { .. }),
            "bit {bit}: {damage}"
        );
    }
}

#[test]
fn test_lost_sector_before_valid_records_is_damage() {
    // Symptom: all records from the middle of the log on are gone.
    // Sequence: a sector of an acknowledged record reads as zeros; valid records follow.
    // Cause: the zeros are taken for the end of an interrupted write.
    let disk = formatted();
    let (mut log, _) = open(&disk).unwrap();
    log.write(&[append(1, 3_000)]).unwrap();
    log.write(&[append(2, 10)]).unwrap();
    let name = last_segment(&disk);
    disk.zero_sector(&name, 2);
    assert!(matches!(damage(&disk), DamagedLog::Frame { .. }));
}

#[test]
fn test_shortened_segment_before_last_is_damage() {
    // Symptom: acknowledged entries are gone from the middle of the log.
    // Sequence: a segment that has a successor loses its end.
    // Cause: the loss is taken for the interrupted write of the segment's seal.
    let mut disk = formatted();
    let (mut log, _) = open(&disk).unwrap();
    log.write(&[append(1, 10)]).unwrap();
    log.write(&[append(2, 9 << 20)]).unwrap();
    log.write(&[append(3, 10)]).unwrap();
    let first = disk.named("log-").remove(0);
    let length = disk.content(&first).len() as u64;
    Disk::cut(&mut disk, &first, length - 1_000).unwrap();
    assert!(matches!(damage(&disk), DamagedLog::Order { .. }));
}

#[test]
fn test_flipped_bit_of_snapshot_is_damage() {
    let disk = formatted();
    let (mut log, _) = open(&disk).unwrap();
    log.write(&[append(1, 1)]).unwrap();
    log.write(&[snapshot(1)]).unwrap();
    let name = disk.named("snapshot-").pop().unwrap();
    disk.flip(&name, 8 * 40);
    assert!(matches!(damage(&disk), DamagedLog::Snapshot { .. }));
}

#[test]
fn test_flipped_bit_of_identity_is_damage() {
    let disk = formatted();
    disk.flip(IDENTITY_FILE, 8 * 30);
    assert_eq!(damage(&disk), DamagedLog::Identity);
}

/// Names each case: which of the log's files goes missing.
macro_rules! missing_file_cases {
    ($($name:ident: $prefix:expr, $position:expr;)*) => {
        $(
            #[test]
            fn $name() {
                // Symptom: entries are gone from the middle or the end of the log.
                // Sequence: a file of the folder is deleted, then the process restarts.
                // Cause: the replay takes what is left for the whole.
                let mut disk = formatted();
                let (mut log, _) = open(&disk).unwrap();
                log.write(&[append(1, 1)]).unwrap();
                log.write(&[snapshot(1)]).unwrap();
                for index in 2..=4 {
                    log.write(&[append(index, 9 << 20)]).unwrap();
                }
                let name = disk.named($prefix).remove($position);
                Disk::remove(&mut disk, &name).unwrap();
                assert!(matches!(damage(&disk), DamagedLog::Missing { .. }));
            }
        )*
    };
}

missing_file_cases! {
    test_missing_first_segment_is_damage: "log-", 0;
    test_missing_middle_segment_is_damage: "log-", 1;
    test_missing_last_segment_is_damage: "log-", 3;
    test_missing_snapshot_is_damage: "snapshot-", 0;
}

#[test]
fn test_failed_sync_stops_for_good() {
    // Symptom: an acknowledged entry is gone after a crash.
    // Sequence: a sync fails, the next one succeeds, the VM crashes.
    // Cause: the operating system dropped the pages of the failed sync.
    let disk = formatted();
    let (mut log, _) = open(&disk).unwrap();
    disk.fail_syncs();
    assert!(matches!(
        log.write(&[append(1, 1)]),
        Err(DiskError::Write { .. })
    ));
    let healed = disk.crash(Unsynced::Kept, true);
    drop(healed);
    assert!(matches!(log.write(&[vote(1)]), Err(DiskError::Stopped)));
}

#[test]
fn test_full_disk_stops_and_keeps_what_was_synced() {
    let disk = formatted();
    let (mut log, _) = open(&disk).unwrap();
    log.write(&[append(1, 10)]).unwrap();
    disk.fill_up(50);
    log.write(&[append(2, 100)]).unwrap_err();
    assert!(matches!(log.write(&[vote(1)]), Err(DiskError::Stopped)));
    let restarted = disk.crash(Unsynced::Kept, true);
    assert_eq!(recovered(&restarted), state_after(&[append(1, 10)]));
}

#[test]
fn test_format_refuses_used_folder() {
    let disk = formatted();
    let again = format(disk, IDENTITY, &[]);
    assert!(matches!(again, Err(DiskError::NotEmpty { .. })));
}

#[test]
fn test_format_interrupted_leaves_unformatted_folder() {
    // Symptom: a replica runs on half of its first records.
    // Sequence: the VM dies while the folder is formatted.
    // Cause: the identity is written before what it vouches for.
    for operations in 0..12 {
        let disk = FaultyDisk::default();
        disk.fail_after(operations);
        if format(disk.clone(), IDENTITY, &[vote(1), append(1, 1)]).is_ok() {
            continue;
        }
        let restarted = disk.crash(Unsynced::Cut(500), operations % 2 == 0);
        match open(&restarted) {
            Err(DiskError::Unformatted) => {
                format(restarted, IDENTITY, &[vote(1)]).unwrap();
            }
            Ok((_, durable)) => assert_eq!(durable, state_after(&[vote(1), append(1, 1)])),
            Err(error) => panic!("after {operations} operations: {error}"),
        }
    }
}

#[test]
fn test_folder_is_locked_against_a_second_process() {
    let folder = tempfile::tempdir().unwrap();
    let first = FolderDisk::open(folder.path()).unwrap();
    let second = FolderDisk::open(folder.path()).map_err(DiskError::from_open);
    assert!(matches!(second, Err(DiskError::Locked)));
    drop(first);
    FolderDisk::open(folder.path()).unwrap();
}

#[test]
fn test_folder_on_real_files_reads_back() {
    let folder = tempfile::tempdir().unwrap();
    let disk = FolderDisk::open(folder.path()).unwrap();
    let writes = [vote(1), append(1, 10), append(2, 10), snapshot(1)];
    let disk = format(disk, IDENTITY, &writes).unwrap();
    let (mut log, _) = LogDisk::open(disk).unwrap();
    log.write(&[append(3, 10)]).unwrap();
    drop(log);
    let (_, recovered) = LogDisk::open(FolderDisk::open(folder.path()).unwrap()).unwrap();
    let all = [writes.as_slice(), &[append(3, 10)]].concat();
    assert_eq!(recovered.durable, state_after(&all));
}

/// Picks what a batch writes; positions are filled in so that the log has no gap.
#[derive(Clone, Debug)]
enum Kind {
    Vote,
    Append(usize),
    Truncate,
    Snapshot,
}

fn kinds() -> impl Strategy<Value = Kind> {
    prop_oneof![
        Just(Kind::Vote),
        (0_usize..2_000).prop_map(Kind::Append),
        (0_usize..2_000).prop_map(Kind::Append),
        Just(Kind::Truncate),
        Just(Kind::Snapshot),
    ]
}

fn unsynced() -> impl Strategy<Value = Unsynced> {
    let permille = 0_usize..=1_000;
    prop_oneof![
        Just(Unsynced::Kept),
        permille.clone().prop_map(Unsynced::Cut),
        permille.clone().prop_map(Unsynced::ZeroEnd),
        (0_usize..1_000).prop_map(Unsynced::ZeroSector),
    ]
}

fn fill_in(batches: &[Vec<Kind>]) -> Vec<Vec<LogWrite>> {
    let mut state = DurableState::default();
    let mut term = 1;
    let mut filled = Vec::new();
    for batch in batches {
        let mut writes = Vec::new();
        for kind in batch {
            let first = state.snapshot.as_ref().map_or(1, |s| s.index.0 + 1);
            let last = state.last_index().0;
            let write = match kind {
                Kind::Vote => {
                    term += 1;
                    vote(term)
                }
                Kind::Append(bytes) => append(last + 1, *bytes),
                Kind::Truncate if last >= first => LogWrite::Truncate(Revision(last)),
                Kind::Snapshot if last >= first => snapshot(first),
                Kind::Truncate | Kind::Snapshot => continue,
            };
            state.apply(write.clone()).unwrap();
            writes.push(write);
        }
        filled.push(writes);
    }
    filled
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    #[test]
    fn test_crash_never_loses_a_synced_record(
        batches in prop::collection::vec(prop::collection::vec(kinds(), 0..5), 1..12),
        operations in 0_usize..60,
        unsynced in unsynced(),
        keep_names in any::<bool>(),
    ) {
        // Symptom: a replica has forgotten a vote or an entry that it acknowledged.
        // Sequence: the VM dies at any operation of the disk, and loses or tears what
        // was not synced.
        // Cause: a record counted before it was durable, or was cut off on restart.
        let disk = formatted();
        let (mut log, _) = open(&disk).unwrap();
        disk.fail_after(operations);
        let batches = fill_in(&batches);
        let mut synced = Vec::new();
        let mut in_doubt = Vec::new();
        for batch in batches {
            if log.write(&batch).is_err() {
                in_doubt = batch;
                break;
            }
            synced.extend(batch);
        }
        let found = recovered(&disk.crash(unsynced, keep_names));
        let possible = (0..=in_doubt.len()).any(|count| {
            let writes = [synced.as_slice(), &in_doubt[..count]].concat();
            state_after(&writes) == found
        });
        prop_assert!(possible, "found {found:?}");
    }
}
