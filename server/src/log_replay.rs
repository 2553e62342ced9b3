//! Replays the log of a control replica at start and rejects a log that may have lost
//! acknowledged records.

use heatherring_lib::id::Revision;
use heatherring_lib::raft_message::HardState;
use heatherring_lib::raft_message::LogEntry;
use heatherring_lib::raft_message::Snapshot;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::data_folder::Disk;
use crate::data_folder::FORMAT_VERSION;
use crate::data_folder::Identity;
use crate::log_disk::DamagedSnafu;
use crate::log_disk::DiskError;
use crate::log_disk::ReadSnafu;
use crate::log_disk::Segment;
use crate::log_record::LogRecord;
use crate::log_record::SegmentHead;
use crate::log_record::SnapshotMark;
use crate::log_record::segment_name;
use crate::log_record::segment_number;
use crate::log_record::snapshot_name;
use crate::record_codec::FrameError;
use crate::record_codec::Tail;
use crate::record_codec::decode_frame;
use crate::record_codec::judge_tail;

/// Kinds of damage of a data folder.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DamagedLog {
    /// The identity file is damaged or has another format version.
    #[snafu(display("the identity file of the data folder is damaged or has an unknown format"))]
    Identity,
    /// A frame of the log is damaged and may have held acknowledged records.
    #[snafu(display("the log is damaged in {file} at byte {offset}: {source}"))]
    Frame {
        /// Name of the file.
        file: String,
        /// Position in the file at which the frame starts, in bytes.
        offset: usize,
        /// Kind of the damage.
        source: FrameError,
    },
    /// A frame has valid checksums, but its number or its records don't follow from the
    /// frames before it.
    #[snafu(display("the log is damaged in {file} at byte {offset}: frames are out of order"))]
    Order {
        /// Name of the file.
        file: String,
        /// Position in the file at which the frame starts, in bytes.
        offset: usize,
    },
    /// A segment or the current snapshot is missing, or a segment has no frame.
    #[snafu(display("a file of the log is missing: {file}"))]
    Missing {
        /// Name of the file.
        file: String,
    },
    /// The file of the current snapshot is damaged or holds another snapshot.
    #[snafu(display("the snapshot {file} is damaged"))]
    Snapshot {
        /// Name of the file.
        file: String,
    },
}

/// Result of a replay.
#[derive(Debug)]
pub(crate) struct Replayed {
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) entries: Vec<LogEntry>,
    pub(crate) next_index: Revision,
    pub(crate) segments: Vec<Segment>,
    pub(crate) segment_bytes: u64,
    pub(crate) next_frame: u64,
    pub(crate) torn: Option<(String, u64)>,
}

/// State of a replay, which applies the records of the log in order.
#[derive(Debug, Default)]
struct Replay {
    hard_state: HardState,
    mark: Option<SnapshotMark>,
    entries: Vec<LogEntry>,
    next_index: Revision,
    segments: Vec<Segment>,
    next_frame: Option<u64>,
    sealed: bool,
    predecessor_sealed: bool,
    segment_bytes: u64,
    torn: Option<(String, u64)>,
}

/// Reads all segments and the current snapshot of a folder that contains the files
/// `names`.
///
/// # Errors
///
/// Returns [`DiskError::Damaged`] if acknowledged records may be lost, [`DiskError::Read`]
/// if a file can't be read.
pub(crate) fn replay<D: Disk>(
    disk: &D,
    identity: &Identity,
    names: &[String],
) -> Result<Replayed, DiskError> {
    let mut numbers: Vec<u64> = names
        .iter()
        .filter_map(|name| segment_number(name))
        .collect();
    numbers.sort_unstable();
    let mut replay = Replay::default();
    for (position, number) in numbers.iter().enumerate() {
        let name = segment_name(*number);
        let content = disk.read(&name).context(ReadSnafu)?;
        let last = position + 1 == numbers.len();
        replay
            .segment(identity, *number, &name, &content, last)
            .context(DamagedSnafu)?;
    }
    replay.check_end().context(DamagedSnafu)?;
    let snapshot = match replay.mark {
        Some(mark) => Some(read_snapshot(disk, mark, names)?),
        None => None,
    };
    Ok(Replayed {
        hard_state: replay.hard_state,
        snapshot,
        entries: replay.entries,
        next_index: replay.next_index,
        segments: replay.segments,
        segment_bytes: replay.segment_bytes,
        next_frame: replay.next_frame.unwrap_or(0),
        torn: replay.torn,
    })
}

fn read_snapshot<D: Disk>(
    disk: &D,
    mark: SnapshotMark,
    names: &[String],
) -> Result<Snapshot, DiskError> {
    let file = snapshot_name(mark);
    if !names.contains(&file) {
        return Err(DamagedLog::Missing { file }).context(DamagedSnafu);
    }
    let content = disk.read(&file).context(ReadSnafu)?;
    let snapshot = decode_snapshot(&content)
        .filter(|snapshot| snapshot.index == mark.index && snapshot.term == mark.term)
        .ok_or(DamagedLog::Snapshot { file });
    snapshot.context(DamagedSnafu)
}

fn decode_snapshot(content: &[u8]) -> Option<Snapshot> {
    let frame = decode_frame(content).ok()?;
    if frame.length != content.len() {
        return None;
    }
    postcard::from_bytes(frame.body).ok()
}

impl Replay {
    fn segment(
        &mut self,
        identity: &Identity,
        number: u64,
        file: &str,
        content: &[u8],
        last: bool,
    ) -> Result<(), DamagedLog> {
        self.check_predecessor(number)?;
        self.predecessor_sealed = self.sealed;
        self.sealed = false;
        self.segments.push(Segment {
            number,
            highest: Revision(0),
        });
        let mut offset = 0;
        while offset < content.len() {
            let frame = match decode_frame(&content[offset..]) {
                Ok(frame) => frame,
                Err(error) if self.is_torn(content, offset, &error) => {
                    self.torn = last.then(|| (file.to_owned(), offset as u64));
                    break;
                }
                Err(source) => {
                    let file = file.to_owned();
                    return Err(DamagedLog::Frame {
                        file,
                        offset,
                        source,
                    });
                }
            };
            let in_order = self.frame(identity, number, offset, frame.number, frame.body);
            ensure!(in_order.is_some(), OrderSnafu { file, offset });
            offset += frame.length;
        }
        self.segment_bytes = offset as u64;
        ensure!(offset > 0, MissingSnafu { file });
        Ok(())
    }

    /// Returns whether the bytes from `offset` on are a write that a crash interrupted.
    ///
    /// The first frame of a segment can't be torn, since it is written before the file
    /// gets its final name. In a segment that has a successor, only the seal can be torn;
    /// the number of the successor's first frame shows whether anything else is missing.
    fn is_torn(&self, content: &[u8], offset: usize, error: &FrameError) -> bool {
        offset > 0 && !self.sealed && judge_tail(content, offset, error) == Tail::Torn
    }

    fn check_predecessor(&self, number: u64) -> Result<(), DamagedLog> {
        let expected = match self.segments.last() {
            Some(last) => last.number + 1,
            None => number,
        };
        ensure!(
            number == expected,
            MissingSnafu {
                file: segment_name(expected)
            }
        );
        Ok(())
    }

    /// Applies the records of a frame. Returns `None` if they don't follow from the frames
    /// before it.
    fn frame(
        &mut self,
        identity: &Identity,
        segment: u64,
        offset: usize,
        number: u64,
        body: &[u8],
    ) -> Option<()> {
        let records: Vec<LogRecord<'_>> = postcard::from_bytes(body).ok()?;
        for record in records {
            match record {
                LogRecord::Head(head) if offset == 0 => {
                    self.head(identity, segment, &head)?;
                }
                _ if offset == 0 || self.sealed => return None,
                record => self.record(record)?,
            }
        }
        let expected = self.next_frame.unwrap_or(number);
        if number != expected {
            return None;
        }
        self.next_frame = Some(number + 1);
        Some(())
    }

    fn head(&mut self, identity: &Identity, segment: u64, head: &SegmentHead) -> Option<()> {
        let matches_identity = head.format == FORMAT_VERSION
            && head.cluster == identity.cluster
            && head.replica == identity.replica
            && head.number == segment;
        if !matches_identity {
            return None;
        }
        if self.segments.len() == 1 {
            self.next_index = head.next_index;
            self.hard_state = head.hard_state;
            self.mark = head.snapshot;
            return Some(());
        }
        // The seal is written after the head of the next segment but has the frame number
        // before it. A crash may therefore leave out the seal, but nothing else.
        if !self.predecessor_sealed {
            self.next_frame = self.next_frame.map(|next| next + 1);
        }
        let follows = head.next_index == self.next_index
            && head.hard_state == self.hard_state
            && head.snapshot == self.mark;
        follows.then_some(())
    }

    fn record(&mut self, record: LogRecord<'_>) -> Option<()> {
        match record {
            LogRecord::Head(_) => return None,
            LogRecord::HardState(state) => self.hard_state = state,
            LogRecord::Truncate(from) => {
                self.entries.retain(|entry| entry.index < from);
                self.next_index = self.next_index.min(from);
            }
            LogRecord::Append(entry) => {
                let entry = entry.into_owned();
                if entry.index != self.next_index {
                    return None;
                }
                self.next_index = entry.index.next();
                if let Some(segment) = self.segments.last_mut() {
                    segment.highest = segment.highest.max(entry.index);
                }
                self.entries.push(entry);
            }
            LogRecord::Snapshot(mark) => {
                self.entries.retain(|entry| entry.index > mark.index);
                self.next_index = self.next_index.max(mark.index.next());
                self.mark = Some(mark);
            }
            LogRecord::Sealed => self.sealed = true,
        }
        Some(())
    }

    fn check_end(&self) -> Result<(), DamagedLog> {
        let next_number = self.segments.last().map_or(1, |last| last.number + 1);
        let complete = !self.segments.is_empty() && !self.sealed;
        ensure!(
            complete,
            MissingSnafu {
                file: segment_name(next_number)
            }
        );
        let after_snapshot = self.mark.map_or(Revision(1), |mark| mark.index.next());
        let first = self.entries.first().map_or(self.next_index, |e| e.index);
        let oldest = self.segments.first().map_or(1, |segment| segment.number);
        ensure!(
            first <= after_snapshot,
            MissingSnafu {
                file: segment_name(oldest.saturating_sub(1))
            }
        );
        Ok(())
    }
}
