//! Tests of the write-ahead log on disks that lose, tear, corrupt or refuse writes.

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

/// Seed of the randomized crash test; other seeds generate other sequences.
const SEED: u64 = 20_261_202;

fn formatted_disk() -> FaultyDisk {
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
        other => panic!("expected the log to be reported as damaged, got {other:?}"),
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
    disk.files_with_prefix("log-").pop().unwrap()
}

/// Generates a test for each list of batches: writes them in order, and expects to recover them
/// after a crash that loses everything not synced.
macro_rules! read_back_cases {
    ($($name:ident: $batches:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let disk = formatted_disk();
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
    let disk = formatted_disk();
    let (mut log, _) = open(&disk).unwrap();
    for index in 1..=4 {
        log.write(&[append(index, 9 << 20)]).unwrap();
    }
    assert_eq!(disk.files_with_prefix("log-").len(), 5);
    log.write(&[snapshot(4)]).unwrap();
    assert_eq!(disk.files_with_prefix("log-").len(), 1);
    log.write(&[append(5, 1)]).unwrap();
    log.write(&[snapshot(5)]).unwrap();
    assert_eq!(disk.files_with_prefix("snapshot-").len(), 1);
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
    // Guards against a replica that refuses to start after an ordinary power failure: the VM
    // fails while a batch is being written, and the part of it that reached the disk, which was
    // never acknowledged, is reported as damage.
    let disk = formatted_disk();
    let (mut log, _) = open(&disk).unwrap();
    let kept = [vote(1), append(1, 100)];
    log.write(&kept).unwrap();
    disk.fail_syncs();
    log.write(&[append(2, 3_000)]).unwrap_err();
    let crashed = disk.crash(unsynced, true);
    let (mut log, durable) = open(&crashed).unwrap();
    assert_eq!(durable, state_after(&kept));
    // The next write continues at the end of the records that were kept.
    log.write(&[append(2, 7)]).unwrap();
    let expected = state_after(&[vote(1), append(1, 100), append(2, 7)]);
    assert_eq!(recovered(&crashed), expected);
}

#[test]
fn test_flipped_bit_is_damage() {
    // Guards against a second vote in a term and the loss of a committed entry: a bit of an
    // acknowledged record flips, and the restarted process mistakes the record for a torn write
    // and truncates the log there.
    let disk = formatted_disk();
    let (mut log, _) = open(&disk).unwrap();
    log.write(&[vote(1), append(1, 40)]).unwrap();
    log.write(&[append(2, 40)]).unwrap();
    let name = last_segment(&disk);
    for bit in 0..disk.content(&name).len() * 8 {
        let copy = disk.crash(Unsynced::Kept, true);
        copy.flip_bit(&name, bit);
        let damage = damage(&copy);
        assert!(
            matches!(damage, DamagedLog::Frame { .. }),
            "bit {bit}: {damage}"
        );
    }
}

#[test]
fn test_lost_sector_before_valid_records_is_damage() {
    // Guards against the loss of all records from the middle of the log on: a sector of an
    // acknowledged record reads as zeros and is mistaken for the end of an interrupted write,
    // although valid records follow.
    let disk = formatted_disk();
    let (mut log, _) = open(&disk).unwrap();
    log.write(&[append(1, 3_000)]).unwrap();
    log.write(&[append(2, 10)]).unwrap();
    let name = last_segment(&disk);
    disk.zero_sector(&name, 2);
    assert!(matches!(damage(&disk), DamagedLog::Frame { .. }));
}

#[test]
fn test_shortened_segment_before_last_is_damage() {
    // Guards against the loss of acknowledged entries in the middle of the log: a segment that
    // has a successor loses its end, which is mistaken for an interrupted write of the
    // segment's seal.
    let mut disk = formatted_disk();
    let (mut log, _) = open(&disk).unwrap();
    log.write(&[append(1, 10)]).unwrap();
    log.write(&[append(2, 9 << 20)]).unwrap();
    log.write(&[append(3, 10)]).unwrap();
    let first = disk.files_with_prefix("log-").remove(0);
    let length = disk.content(&first).len() as u64;
    Disk::cut(&mut disk, &first, length - 1_000).unwrap();
    assert!(matches!(damage(&disk), DamagedLog::Order { .. }));
}

#[test]
fn test_flipped_bit_of_snapshot_is_damage() {
    let disk = formatted_disk();
    let (mut log, _) = open(&disk).unwrap();
    log.write(&[append(1, 1)]).unwrap();
    log.write(&[snapshot(1)]).unwrap();
    let name = disk.files_with_prefix("snapshot-").pop().unwrap();
    disk.flip_bit(&name, 8 * 40);
    assert!(matches!(damage(&disk), DamagedLog::Snapshot { .. }));
}

#[test]
fn test_flipped_bit_of_identity_is_damage() {
    let disk = formatted_disk();
    disk.flip_bit(IDENTITY_FILE, 8 * 30);
    assert_eq!(damage(&disk), DamagedLog::Identity);
}

/// Generates a test for each file of the log that can be missing: the one at `$position` among
/// those whose names start with `$prefix`.
macro_rules! missing_file_cases {
    ($($name:ident: $prefix:expr, $position:expr;)*) => {
        $(
            #[test]
            fn $name() {
                // Guards against the loss of entries in the middle or at the end of the log: a
                // file of the data folder is deleted, and the replay after a restart takes the
                // remaining files for the complete log.
                let mut disk = formatted_disk();
                let (mut log, _) = open(&disk).unwrap();
                log.write(&[append(1, 1)]).unwrap();
                log.write(&[snapshot(1)]).unwrap();
                for index in 2..=4 {
                    log.write(&[append(index, 9 << 20)]).unwrap();
                }
                let name = disk.files_with_prefix($prefix).remove($position);
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
    // Guards against the loss of an acknowledged entry in a crash: after a failed sync the
    // operating system may drop the dirty pages, so that the next sync succeeds without having
    // written them.
    let disk = formatted_disk();
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
fn test_full_disk_keeps_what_was_synced_and_goes_on() {
    // Guards against a replica that ends for want of room, and against records of a refused write
    // that are found after a crash.
    let disk = formatted_disk();
    let (mut log, _) = open(&disk).unwrap();
    log.write(&[append(1, 10)]).unwrap();
    disk.limit_free_space(50);
    let refused = log.write(&[append(2, 100)]);
    assert!(
        matches!(refused, Err(DiskError::Full { durable: 0, .. })),
        "{refused:?}"
    );
    let restarted = disk.crash(Unsynced::Kept, true);
    assert_eq!(recovered(&restarted), state_after(&[append(1, 10)]));
    disk.free();
    log.write(&[append(2, 100)]).unwrap();
    let expected = state_after(&[append(1, 10), append(2, 100)]);
    assert_eq!(recovered(&disk.crash(Unsynced::Cut(0), false)), expected);
}

/// Writes as a replica does: what was refused is written again, before anything else, once there
/// is room. Returns the number of refusals.
fn write_despite_refusals(
    log: &mut LogDisk<FaultyDisk>,
    batch: &[LogWrite],
    mut refused: impl FnMut(usize),
) -> usize {
    let mut written = 0;
    let mut refusals = 0;
    loop {
        match log.write(&batch[written..]) {
            Ok(()) => return refusals,
            Err(DiskError::Full { durable, .. }) => {
                written += durable;
                refusals += 1;
                refused(written);
            }
            Err(error) => panic!("{error}"),
        }
    }
}

/// Batches that meet all kinds of records, two snapshots, and segments that are started.
fn batches() -> Vec<Vec<LogWrite>> {
    vec![
        vec![vote(1), append(1, 700), append(2, 700)],
        vec![append(3, 600)],
        vec![append(4, 10), snapshot(2), append(5, 600)],
        vec![LogWrite::Truncate(Revision(4)), append(4, 900), vote(2)],
        vec![append(5, 10), snapshot(4), vote(3), append(6, 10)],
    ]
}

#[rstest]
fn test_refusal_at_any_point_survives_a_crash_at_any_point(
    #[values(0, 400, 999)] written: usize,
    #[values(
        Unsynced::Kept,
        Unsynced::Cut(0),
        Unsynced::Cut(500),
        Unsynced::ZeroEnd(300)
    )]
    unsynced: Unsynced,
    #[values(false, true)] keep_names: bool,
) {
    // Guards against the loss of a durable record, a replica that refuses to start, and records
    // that were never written: the disk is full from some operation on, power is lost at some step
    // of the refused write or later, and the log is read.
    let all = batches().concat();
    for refuse_after in 0.. {
        let disk = formatted_disk();
        let (mut log, _) = open(&disk).unwrap();
        disk.refuse_after(refuse_after, written);
        disk.record();
        let mut refusals = 0;
        let mut done = 0;
        for batch in batches() {
            let mut attempts = 0;
            refusals += write_despite_refusals(&mut log, &batch, |durable| {
                let found = recovered(&disk.crash(unsynced, keep_names));
                assert_eq!(found, state_after(&all[..done + durable]), "{refuse_after}");
                attempts += 1;
                if attempts == 2 {
                    disk.free();
                }
            });
            done += batch.len();
        }
        for (step, crashed) in disk.crashes(unsynced, keep_names).iter().enumerate() {
            let found = recovered(crashed);
            let known = (0..=all.len()).any(|count| found == state_after(&all[..count]));
            assert!(known, "{refuse_after}, step {step}: {found:?}");
        }
        assert_eq!(recovered(&disk), state_after(&all), "{refuse_after}");
        if refusals == 0 {
            assert!(refuse_after > 10);
            return;
        }
    }
}

#[rstest]
fn test_refusal_at_any_point_of_a_new_segment(#[values(0, 500)] written: usize) {
    // Guards against a gap between two segments: there is no room for the head of the second one,
    // or for the seal of the first.
    let all = [append(1, 9 << 20), append(2, 10)];
    for refuse_after in 0.. {
        let disk = formatted_disk();
        let (mut log, _) = open(&disk).unwrap();
        disk.refuse_after(refuse_after, written);
        let mut refusals = 0;
        for (position, write) in all.iter().enumerate() {
            refusals += write_despite_refusals(&mut log, std::slice::from_ref(write), |_| {
                let found = recovered(&disk.crash(Unsynced::Kept, true));
                assert_eq!(found, state_after(&all[..position]));
                disk.free();
            });
        }
        assert_eq!(
            recovered(&disk.crash(Unsynced::Cut(0), false)),
            state_after(&all)
        );
        if refusals == 0 && disk.files_with_prefix("log-").len() == 2 {
            return;
        }
    }
}

#[test]
fn test_full_disk_removes_old_segments_before_a_snapshot() {
    // Guards against a full disk that stays full although a part of the log is superfluous: there
    // was no room for a segment after the last snapshot, so that the one before was kept.
    let disk = formatted_disk();
    let (mut log, _) = open(&disk).unwrap();
    log.write(&[append(1, 9 << 20)]).unwrap();
    log.write(&[append(2, 10)]).unwrap();
    // A snapshot file, its name and its marker fit, another segment does not.
    disk.refuse_after(3, 0);
    log.write(&[snapshot(2)]).unwrap();
    disk.free();
    assert_eq!(disk.files_with_prefix("log-").len(), 1);
    log.write(&[append(3, 9 << 20)]).unwrap();
    assert_eq!(disk.files_with_prefix("log-").len(), 2);
    disk.refuse_after(0, 0);
    let refused = log.write(&[snapshot(3)]);
    assert!(matches!(refused, Err(DiskError::Full { .. })));
    assert_eq!(disk.files_with_prefix("log-").len(), 2);
    assert_eq!(
        recovered(&disk.crash(Unsynced::Cut(0), false)),
        state_after(&[append(1, 1), append(2, 1), snapshot(2), append(3, 9 << 20)])
    );
}

#[test]
fn test_failed_cut_of_a_refused_write_stops() {
    // Guards against writes behind a torn one: what a refused write left can't be cut off.
    let disk = formatted_disk();
    let (mut log, _) = open(&disk).unwrap();
    disk.limit_free_space(50);
    disk.fail_after(1);
    let failed = log.write(&[append(1, 100)]);
    assert!(matches!(failed, Err(DiskError::Write { .. })), "{failed:?}");
    assert!(matches!(log.write(&[vote(1)]), Err(DiskError::Stopped)));
}

#[rstest]
fn test_format_of_a_full_disk_starts_over(#[values(0, 500)] written: usize) {
    // Guards against a folder that can't be formatted once there is room again.
    let writes = [vote(1), append(1, 100)];
    for refuse_after in 0.. {
        let disk = FaultyDisk::default();
        disk.refuse_after(refuse_after, written);
        let Err(refused) = format(disk.clone(), IDENTITY, &writes) else {
            assert!(refuse_after > 3);
            return;
        };
        assert!(refused.is_full(), "{refused}");
        disk.free();
        format(disk.clone(), IDENTITY, &writes).unwrap();
        assert_eq!(recovered(&disk), state_after(&writes));
    }
}

#[test]
fn test_format_refuses_used_folder() {
    let disk = formatted_disk();
    let again = format(disk, IDENTITY, &[]);
    assert!(matches!(again, Err(DiskError::NotEmpty { .. })));
}

#[test]
fn test_format_interrupted_leaves_unformatted_folder() {
    // Guards against a replica that runs with only a part of its initial records: the VM fails
    // while the data folder is formatted, and the identity, which marks the folder as complete,
    // was written before them.
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
            Err(error) => panic!("disk failed after {operations} operations: {error}"),
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

/// Kind of a generated write; [`to_writes`] chooses its index so that the log has no gap.
#[derive(Clone, Debug)]
enum WriteKind {
    Vote,
    Append(usize),
    Truncate,
    Snapshot,
}

fn write_kinds() -> impl Strategy<Value = WriteKind> {
    prop_oneof![
        Just(WriteKind::Vote),
        (0_usize..2_000).prop_map(WriteKind::Append),
        (0_usize..2_000).prop_map(WriteKind::Append),
        Just(WriteKind::Truncate),
        Just(WriteKind::Snapshot),
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

fn to_writes(batches: &[Vec<WriteKind>]) -> Vec<Vec<LogWrite>> {
    let mut state = DurableState::default();
    let mut term = 1;
    let mut filled = Vec::new();
    for batch in batches {
        let mut writes = Vec::new();
        for kind in batch {
            let first = state.snapshot.as_ref().map_or(1, |s| s.index.0 + 1);
            let last = state.last_index().0;
            let write = match kind {
                WriteKind::Vote => {
                    term += 1;
                    vote(term)
                }
                WriteKind::Append(bytes) => append(last + 1, *bytes),
                WriteKind::Truncate if last >= first => LogWrite::Truncate(Revision(last)),
                WriteKind::Snapshot if last >= first => snapshot(first),
                WriteKind::Truncate | WriteKind::Snapshot => continue,
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
        batches in prop::collection::vec(prop::collection::vec(write_kinds(), 0..5), 1..12),
        operations in 0_usize..60,
        unsynced in unsynced(),
        keep_names in any::<bool>(),
    ) {
        // Guards against the loss of an acknowledged vote or entry: the VM fails at an arbitrary
        // disk operation and loses or tears what was not synced, and a record was acknowledged
        // before it was durable, or is truncated on restart.
        let disk = formatted_disk();
        let (mut log, _) = open(&disk).unwrap();
        disk.fail_after(operations);
        let batches = to_writes(&batches);
        let mut synced = Vec::new();
        let mut unconfirmed = Vec::new();
        for batch in batches {
            if log.write(&batch).is_err() {
                unconfirmed = batch;
                break;
            }
            synced.extend(batch);
        }
        let found = recovered(&disk.crash(unsynced, keep_names));
        let possible = (0..=unconfirmed.len()).any(|count| {
            let writes = [synced.as_slice(), &unconfirmed[..count]].concat();
            state_after(&writes) == found
        });
        prop_assert!(possible, "recovered neither the synced records nor these with a prefix of the failed batch: {found:?}");
    }
}
