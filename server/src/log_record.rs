//! Record types of the write-ahead log, and the names of segment and snapshot files.

use std::borrow::Cow;

use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::Term;
use heatherring_lib::raft_message::HardState;
use heatherring_lib::raft_message::LogEntry;
use serde::Deserialize;
use serde::Serialize;

const SEGMENT_PREFIX: &str = "log-";

/// One record of the log. The body of a frame is a sequence of records.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogRecord<'a> {
    /// First record of each segment; occurs nowhere else.
    Head(SegmentHead),
    /// Replaces the term and the vote.
    HardState(HardState),
    /// Removes all entries from this index on.
    Truncate(Revision),
    /// Appends an entry, whose index must be the next one.
    Append(Cow<'a, LogEntry>),
    /// Puts a snapshot into effect. Its file was made durable before this record.
    Snapshot(SnapshotMark),
    /// Last record of a segment; written once the file of the next segment is durable.
    Sealed,
}

/// State of the log at the start of a segment. A replay compares it with the end of the
/// previous segment and so detects missing or foreign segments.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SegmentHead {
    /// Version of the on-disk format.
    pub format: u32,
    /// Cluster that the replica belongs to.
    pub cluster: ClusterId,
    /// Replica that wrote the segment.
    pub replica: ReplicaId,
    /// Number of the segment, the same as in its file name.
    pub number: u64,
    /// Index of the next entry unless a truncation comes first.
    pub next_index: Revision,
    /// Term and vote at the start of the segment.
    pub hard_state: HardState,
    /// Latest snapshot at the start of the segment; `None` before the first one.
    pub snapshot: Option<SnapshotMark>,
}

/// Identifies a snapshot by the last entry that it includes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMark {
    /// Index of the last entry that the snapshot includes.
    pub index: Revision,
    /// Term of that entry.
    pub term: Term,
}

/// Returns the file name of the segment with the given number.
#[must_use]
pub fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:020}")
}

/// Returns the number of the segment in the file `name`; `None` for other files.
#[must_use]
pub fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix(SEGMENT_PREFIX)?.parse().ok()
}

/// Returns the file name of a snapshot.
#[must_use]
pub fn snapshot_name(mark: SnapshotMark) -> String {
    format!("snapshot-{:020}-{:020}", mark.index.0, mark.term.0)
}
