//! The write-ahead log and the snapshots of a control replica.
//!
//! The log is a sequence of segments. Each segment is a file of frames (see
//! `record_codec`). Each snapshot is a file of its own, which takes effect only once a
//! marker for it is in the log. Segments whose entries are all included in the latest
//! snapshot are deleted, oldest first.

use std::borrow::Cow;
use std::io;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::Revision;
use heatherring_lib::raft_config::DurableState;
use heatherring_lib::raft_message::HardState;
use heatherring_lib::raft_message::LogWrite;
use heatherring_lib::raft_message::Snapshot;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::data_folder::Disk;
use crate::data_folder::FORMAT_VERSION;
use crate::data_folder::IDENTITY_FILE;
use crate::data_folder::Identity;
use crate::data_folder::TEMPORARY_ENDING;
use crate::data_folder::write_atomically;
use crate::log_record::LogRecord;
use crate::log_record::SegmentHead;
use crate::log_record::SnapshotMark;
use crate::log_record::segment_name;
use crate::log_record::segment_number;
use crate::log_record::snapshot_name;
use crate::log_replay::DamagedLog;
use crate::log_replay::Replayed;
use crate::log_replay::replay;
use crate::metric;
use crate::record_codec::encode_frame;
use crate::write_failure::WriteFailure;
use crate::write_failure::is_out_of_room;

/// Size in bytes from which a segment is sealed and the next one is started.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Reasons for which the data folder cannot be opened, formatted or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DiskError {
    /// The folder has no identity file: formatting was never done, or not completed.
    #[snafu(display(
        "the data folder is not formatted\nhint: `heatherring control init` creates a new cluster; \
         `heatherring control join` adds this replica to an existing one"
    ))]
    Unformatted,
    /// The folder to be formatted already contains files.
    #[snafu(display(
        "the data folder is not empty: it contains {name}\nhint: specify an empty folder; a folder \
         that has been in use is never formatted again"
    ))]
    NotEmpty {
        /// Name of one of these files.
        name: String,
    },
    /// Another process holds the lock of the folder.
    #[snafu(display("the data folder is in use by another process"))]
    Locked,
    /// The folder does not exist.
    #[snafu(display(
        "there is no such folder\nhint: `heatherring control init` creates it for a new cluster, \
         `heatherring control join` for a replica of an existing one"
    ))]
    MissingFolder,
    /// The content of the folder is damaged, so acknowledged records may be lost.
    #[snafu(display(
        "{source}\nhint: this replica may have forgotten votes or entries that it \
         acknowledged; move the folder away and replace the replica with \
         `heatherring control repair`"
    ))]
    Damaged {
        /// The damage that was found.
        source: DamagedLog,
    },
    /// Reading a file or the folder failed.
    #[snafu(display("could not read the data folder: {source}"))]
    Read {
        /// What the operating system reported.
        source: io::Error,
    },
    /// There is no room for records, which left no trace.
    #[snafu(display("the data folder has no room: {source}\nhint: free space on its disk"))]
    Full {
        /// Number of records before them that are durable.
        durable: usize,
        /// What the operating system reported.
        source: io::Error,
    },
    /// Writing or syncing a file or the folder failed.
    #[snafu(display("could not write to the data folder: {source}"))]
    Write {
        /// What the operating system reported.
        source: io::Error,
    },
    /// An earlier write or sync failed, so the log accepts no more writes.
    #[snafu(display("an earlier write to the data folder failed"))]
    Stopped,
}

impl DiskError {
    /// Converts an error of [`FolderDisk::open`](crate::data_folder::FolderDisk::open).
    #[must_use]
    pub fn from_open(source: io::Error) -> Self {
        match source.kind() {
            io::ErrorKind::WouldBlock => Self::Locked,
            io::ErrorKind::NotFound => Self::MissingFolder,
            _ if is_out_of_room(&source) => Self::Full { durable: 0, source },
            _ => Self::Read { source },
        }
    }

    pub(crate) fn from_write(failure: WriteFailure, durable: usize) -> Self {
        match failure {
            WriteFailure::Refused { source } => Self::Full { durable, source },
            WriteFailure::Failed { source } => Self::Write { source },
        }
    }

    /// Returns whether only room is missing.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }

    /// Returns whether the choice or the state of the folder is at fault, rather than the
    /// disk or the content of the log.
    #[must_use]
    pub const fn is_user_error(&self) -> bool {
        match self {
            Self::Unformatted | Self::NotEmpty { .. } | Self::Locked | Self::MissingFolder => true,
            Self::Damaged { .. }
            | Self::Read { .. }
            | Self::Full { .. }
            | Self::Write { .. }
            | Self::Stopped => false,
        }
    }
}

/// State that a replica reads from its disk when it starts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Recovered {
    /// Identity of the data folder.
    pub identity: Identity,
    /// Term, vote, latest snapshot and the entries after it.
    pub durable: DurableState,
}

/// Write-ahead log of one replica.
#[derive(Debug)]
pub struct LogDisk<D> {
    disk: D,
    identity: Identity,
    hard_state: HardState,
    snapshot: Option<SnapshotMark>,
    next_index: Revision,
    segments: Vec<Segment>,
    segment_bytes: u64,
    next_frame: u64,
    failed: bool,
    last_sync: Duration,
}

/// One segment file of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Segment {
    /// Number of the segment, counted from 1.
    pub(crate) number: u64,
    /// Highest index of the entries appended to it; 0 if there are none.
    pub(crate) highest: Revision,
}

/// Formats an empty folder: writes the log first and the identity file last.
///
/// A crash in between leaves a folder without an identity file. Such a folder counts as
/// unformatted, and the next attempt removes its files and starts over.
///
/// # Errors
///
/// Returns [`DiskError::NotEmpty`] if the folder contains anything but the lock file and
/// the files of an interrupted attempt, and [`DiskError::Read`] or [`DiskError::Write`] if
/// an operation on the folder fails.
pub fn format<D: Disk>(
    mut disk: D,
    identity: Identity,
    writes: &[LogWrite],
) -> Result<D, DiskError> {
    ensure_empty(&disk)?;
    // The identity may have been removed without a sync, and must not come back without its log.
    disk.sync_folder().context(WriteSnafu)?;
    for name in disk.list().context(ReadSnafu)? {
        if is_log_file(&name) || name.ends_with(TEMPORARY_ENDING) {
            disk.remove(&name).context(WriteSnafu)?;
        }
    }
    let mut log = LogDisk {
        disk,
        identity,
        hard_state: HardState::default(),
        snapshot: None,
        next_index: Revision(1),
        segments: Vec::new(),
        segment_bytes: 0,
        next_frame: 0,
        failed: false,
        last_sync: Duration::ZERO,
    };
    let begun = log.begin_segment(0);
    begun.map_err(|failure| DiskError::from_write(failure, 0))?;
    log.write(writes)?;
    let formatted = write_atomically(&mut log.disk, IDENTITY_FILE, &identity.encode());
    formatted.map_err(|failure| DiskError::from_write(failure, 0))?;
    Ok(log.disk)
}

/// Checks that a folder may be formatted: it contains nothing but the lock file and the
/// files of an interrupted attempt to format it.
///
/// # Errors
///
/// Returns [`DiskError::NotEmpty`] if it may not be formatted, [`DiskError::Read`] if its
/// files can't be listed.
pub fn ensure_empty<D: Disk>(disk: &D) -> Result<(), DiskError> {
    let names = disk.list().context(ReadSnafu)?;
    let formatted = names.iter().any(|name| name == IDENTITY_FILE);
    for name in names {
        let is_leftover = is_log_file(&name) || name.ends_with(TEMPORARY_ENDING);
        let is_allowed = name == crate::data_folder::LOCK_FILE || (is_leftover && !formatted);
        ensure!(is_allowed, NotEmptySnafu { name });
    }
    Ok(())
}

fn is_log_file(name: &str) -> bool {
    segment_number(name).is_some() || name.starts_with("snapshot-")
}

impl<D: Disk> LogDisk<D> {
    /// Opens a formatted folder and replays its log.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError::Unformatted`], [`DiskError::Damaged`],
    /// [`DiskError::Read`], or [`DiskError::Write`] if leftover files can't be removed, a torn
    /// tail can't be truncated, or what was recovered can't be synced.
    pub fn open(mut disk: D) -> Result<(Self, Recovered), DiskError> {
        let names = disk.list().context(ReadSnafu)?;
        let formatted = names.iter().any(|name| name == IDENTITY_FILE);
        ensure!(formatted, UnformattedSnafu);
        let content = disk.read(IDENTITY_FILE).context(ReadSnafu)?;
        let identity = Identity::decode(&content)
            .filter(|identity| identity.format == FORMAT_VERSION)
            .ok_or(DamagedLog::Identity)
            .context(DamagedSnafu)?;
        let replayed = replay(&disk, &identity, &names)?;
        make_durable(&mut disk, &replayed).context(WriteSnafu)?;
        remove_leftovers(&mut disk, &names, replayed.snapshot.as_ref())?;
        Ok(Self::start(disk, identity, replayed))
    }

    fn start(disk: D, identity: Identity, replayed: Replayed) -> (Self, Recovered) {
        let snapshot = replayed.snapshot.as_ref().map(|snapshot| SnapshotMark {
            index: snapshot.index,
            term: snapshot.term,
        });
        let log = Self {
            disk,
            identity,
            hard_state: replayed.hard_state,
            snapshot,
            next_index: replayed.next_index,
            segments: replayed.segments,
            segment_bytes: replayed.segment_bytes,
            next_frame: replayed.next_frame,
            failed: false,
            last_sync: Duration::ZERO,
        };
        let recovered = Recovered {
            identity,
            durable: DurableState {
                hard_state: replayed.hard_state,
                snapshot: replayed.snapshot,
                entries: replayed.entries,
            },
        };
        (log, recovered)
    }

    /// Makes records durable in order. Records between two snapshots share one sync.
    ///
    /// Records for which there is no room leave no trace; they may be written again, after those
    /// that are durable.
    ///
    /// After any other failed write or sync the content of the disk is unknown: the operating
    /// system may have dropped the pages and may report success the next time. The log
    /// therefore accepts no more writes, and the process must stop without sending any
    /// message.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError::Full`] if there is no room, [`DiskError::Write`] for the first other
    /// failure, and [`DiskError::Stopped`] for every later call.
    pub fn write(&mut self, writes: &[LogWrite]) -> Result<(), DiskError> {
        ensure!(!self.failed, StoppedSnafu);
        let mut durable = 0;
        let result = self.write_all(writes, &mut durable);
        self.failed = matches!(result, Err(WriteFailure::Failed { .. }));
        result.map_err(|failure| DiskError::from_write(failure, durable))
    }

    /// Returns how long the latest append with its sync took; zero before the first.
    #[must_use]
    pub const fn last_sync(&self) -> Duration {
        self.last_sync
    }

    /// Returns the disk, which tests reopen or inspect.
    #[must_use]
    pub fn into_disk(self) -> D {
        self.disk
    }

    fn write_all(&mut self, writes: &[LogWrite], durable: &mut usize) -> Result<(), WriteFailure> {
        while let Some(first) = writes.get(*durable) {
            if let LogWrite::Snapshot(snapshot) = first {
                self.write_snapshot(snapshot)?;
                *durable += 1;
                continue;
            }
            let rest = writes[*durable..].iter();
            let batch = rest.take_while(|write| !matches!(write, LogWrite::Snapshot(_)));
            let batch: Vec<&LogWrite> = batch.collect();
            self.write_records(&batch)?;
            *durable += batch.len();
        }
        if self.segment_bytes >= SEGMENT_BYTES {
            self.begin_next_segment()?;
        }
        Ok(())
    }

    /// Writes records, none of them a snapshot, as one frame.
    fn write_records(&mut self, writes: &[&LogWrite]) -> Result<(), WriteFailure> {
        let records = writes.iter().filter_map(|write| match write {
            LogWrite::HardState(state) => Some(LogRecord::HardState(*state)),
            LogWrite::Truncate(from) => Some(LogRecord::Truncate(*from)),
            LogWrite::Append(entry) => Some(LogRecord::Append(Cow::Borrowed(entry))),
            LogWrite::Snapshot(_) => None,
        });
        let records: Vec<LogRecord<'_>> = records.collect();
        self.write_frame(&records)?;
        for write in writes {
            self.note_durable(write);
        }
        Ok(())
    }

    fn note_durable(&mut self, write: &LogWrite) {
        match write {
            LogWrite::HardState(state) => self.hard_state = *state,
            LogWrite::Truncate(from) => self.next_index = self.next_index.min(*from),
            LogWrite::Append(entry) => {
                self.next_index = entry.index.next();
                if let Some(segment) = self.segments.last_mut() {
                    segment.highest = segment.highest.max(entry.index);
                }
            }
            LogWrite::Snapshot(_) => {}
        }
    }

    fn current_name(&self) -> Result<String, WriteFailure> {
        let last = self.segments.last();
        let last = last.ok_or_else(|| WriteFailure::failed(io::ErrorKind::NotFound.into()))?;
        Ok(segment_name(last.number))
    }

    fn write_frame(&mut self, records: &[LogRecord<'_>]) -> Result<(), WriteFailure> {
        let name = self.current_name()?;
        let started_at = Instant::now();
        let bytes = self.append_frame(&name, self.next_frame, records)?;
        self.last_sync = started_at.elapsed();
        metric::log_sync(self.last_sync);
        self.next_frame += 1;
        self.segment_bytes += bytes;
        Ok(())
    }

    /// Appends a frame to a segment of `segment_bytes` and syncs it; returns its length. Without
    /// room, what was appended is cut off again, which needs none.
    fn append_frame(
        &mut self,
        name: &str,
        number: u64,
        records: &[LogRecord<'_>],
    ) -> Result<u64, WriteFailure> {
        let body = encode(records)?;
        let mut buf = Vec::with_capacity(body.len() + crate::record_codec::FRAME_BYTES);
        encode_frame(number, &body, &mut buf);
        if let Err(source) = self.disk.append(name, &buf) {
            let failure = WriteFailure::of_unsynced(source);
            if matches!(failure, WriteFailure::Refused { .. }) {
                let cut = self.disk.cut(name, self.segment_bytes);
                cut.map_err(WriteFailure::failed)?;
            }
            return Err(failure);
        }
        self.disk.sync(name).map_err(WriteFailure::failed)?;
        Ok(buf.len() as u64)
    }

    /// Writes a snapshot file, then the marker that puts it into effect, then deletes the
    /// previous snapshot and the segments that it replaces.
    ///
    /// A crash between two of these steps leaves a snapshot file that is not the current
    /// one, which the next start removes, or superfluous segments, which are deleted before
    /// the next snapshot.
    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), WriteFailure> {
        let mark = SnapshotMark {
            index: snapshot.index,
            term: snapshot.term,
        };
        if self.snapshot == Some(mark) {
            return Ok(());
        }
        if let Some(current) = self.snapshot {
            self.delete_old_segments(current)?;
        }
        let body = encode(snapshot)?;
        let mut content = Vec::with_capacity(body.len() + crate::record_codec::FRAME_BYTES);
        encode_frame(snapshot.index.0, &body, &mut content);
        let file = snapshot_name(mark);
        write_atomically(&mut self.disk, &file, &content)?;
        if let Err(failure) = self.write_frame(&[LogRecord::Snapshot(mark)]) {
            if matches!(failure, WriteFailure::Refused { .. }) {
                self.remove(&file)?;
            }
            return Err(failure);
        }
        let replaced = self.snapshot.replace(mark);
        self.next_index = self.next_index.max(mark.index.next());
        self.begin_next_segment()?;
        if let Some(old) = replaced {
            self.remove(&snapshot_name(old))?;
        }
        self.delete_old_segments(mark)
    }

    /// Starts the next segment; keeps the current one if there is no room for another, since all
    /// records are durable.
    fn begin_next_segment(&mut self) -> Result<(), WriteFailure> {
        match self.seal_and_begin_segment() {
            Err(WriteFailure::Refused { source }) => {
                log::info!(event = "segment_kept", bytes = self.segment_bytes, error:% = source; "no room for another segment of the log");
                Ok(())
            }
            begun => begun,
        }
    }

    /// Starts the next segment and seals the current one. The seal lets a replay detect
    /// that the next segment is missing. Without room for both, neither remains.
    fn seal_and_begin_segment(&mut self) -> Result<(), WriteFailure> {
        let sealed = self.current_name()?;
        let sealed_bytes = self.segment_bytes;
        let seal_frame = self.next_frame;
        self.begin_segment(seal_frame + 1)?;
        let head_bytes = std::mem::replace(&mut self.segment_bytes, sealed_bytes);
        let appended = self.append_frame(&sealed, seal_frame, &[LogRecord::Sealed]);
        if appended.is_ok() {
            self.segment_bytes = head_bytes;
        } else if matches!(appended, Err(WriteFailure::Refused { .. })) {
            let successor = self.current_name()?;
            self.remove(&successor)?;
            self.segments.pop();
            self.next_frame = seal_frame;
        }
        appended.map(|_| ())
    }

    /// Creates the segment after the current one, with its first frame.
    fn begin_segment(&mut self, frame: u64) -> Result<(), WriteFailure> {
        let number = self.segments.last().map_or(1, |last| last.number + 1);
        let head = SegmentHead {
            format: FORMAT_VERSION,
            cluster: self.identity.cluster,
            replica: self.identity.replica,
            number,
            next_index: self.next_index,
            hard_state: self.hard_state,
            snapshot: self.snapshot,
        };
        let body = encode(&[LogRecord::Head(head)][..])?;
        let mut content = Vec::new();
        encode_frame(frame, &body, &mut content);
        write_atomically(&mut self.disk, &segment_name(number), &content)?;
        self.next_frame = frame + 1;
        self.segment_bytes = content.len() as u64;
        self.segments.push(Segment {
            number,
            highest: Revision(0),
        });
        Ok(())
    }

    fn delete_old_segments(&mut self, mark: SnapshotMark) -> Result<(), WriteFailure> {
        while self.segments.len() > 1 && self.segments[0].highest <= mark.index {
            self.remove(&segment_name(self.segments[0].number))?;
            self.segments.remove(0);
        }
        Ok(())
    }

    /// Removes a file durably.
    fn remove(&mut self, name: &str) -> Result<(), WriteFailure> {
        let removed = self.disk.remove(name);
        let removed = removed.and_then(|()| self.disk.sync_folder());
        removed.map_err(WriteFailure::failed)
    }
}

fn encode<T: Serialize + ?Sized>(value: &T) -> Result<Vec<u8>, WriteFailure> {
    postcard::to_stdvec(value)
        .map_err(io::Error::other)
        .map_err(WriteFailure::failed)
}

/// Makes durable what a replay has read, and truncates a torn tail.
///
/// Records and names that a killed process had not synced may be in the page cache only. They must
/// be durable before the replica goes by them, and before the files that they replace are removed.
fn make_durable<D: Disk>(disk: &mut D, replayed: &Replayed) -> io::Result<()> {
    if let Some((name, length)) = &replayed.torn {
        log::warn!(file = name.as_str(), length; "truncating the log: a crash interrupted the last write");
        disk.cut(name, *length)?;
    } else if let Some(last) = replayed.segments.last() {
        disk.sync(&segment_name(last.number))?;
    }
    disk.sync_folder()
}

/// Removes files that a crash has left behind: temporary files and all snapshots but the
/// current one.
fn remove_leftovers<D: Disk>(
    disk: &mut D,
    names: &[String],
    snapshot: Option<&Snapshot>,
) -> Result<(), DiskError> {
    let current = snapshot.map(|snapshot| {
        snapshot_name(SnapshotMark {
            index: snapshot.index,
            term: snapshot.term,
        })
    });
    for name in names {
        let unmarked = name.starts_with("snapshot-") && Some(name) != current.as_ref();
        if unmarked || name.ends_with(TEMPORARY_ENDING) {
            disk.remove(name).context(WriteSnafu)?;
        }
    }
    Ok(())
}
