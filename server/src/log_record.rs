//! Records of the write-ahead log and the names of its files.

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

/// Holds one record of the log. A frame holds a sequence of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogRecord<'a> {
    /// Begins a segment.
    Head(SegmentHead),
    /// Replaces term and vote.
    HardState(HardState),
    /// Drops all entries from a position on.
    Truncate(Revision),
    /// Appends an entry.
    Append(Cow<'a, LogEntry>),
    /// Makes a snapshot file count; it is durable already.
    Snapshot(SnapshotMark),
    /// Ends a segment: the next one exists.
    Sealed,
}

/// Says what a segment follows, so that a missing one is noticed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SegmentHead {
    /// Version of the files' format.
    pub format: u32,
    /// The cluster that the replica belongs to.
    pub cluster: ClusterId,
    /// The replica.
    pub replica: ReplicaId,
    /// The segment's number.
    pub number: u64,
    /// The position that the next entry has unless a truncation comes first.
    pub next_index: Revision,
    /// Term and vote at the segment's beginning.
    pub hard_state: HardState,
    /// The latest snapshot at the segment's beginning.
    pub snapshot: Option<SnapshotMark>,
}

/// Names a snapshot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMark {
    /// The last position that it includes.
    pub index: Revision,
    /// The term of that position.
    pub term: Term,
}

/// Returns the name of a segment's file.
#[must_use]
pub fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:020}")
}

/// Returns the number of a segment's file; `None` for other files.
#[must_use]
pub fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix(SEGMENT_PREFIX)?.parse().ok()
}

/// Returns the name of a snapshot's file.
#[must_use]
pub fn snapshot_name(mark: SnapshotMark) -> String {
    format!("snapshot-{:020}-{:020}", mark.index.0, mark.term.0)
}
