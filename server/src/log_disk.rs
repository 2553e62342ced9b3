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
            _ => Self::Read { source },
        }
    }

    /// Returns whether the choice or the state of the folder is at fault, rather than the
    /// disk or the content of the log.
    #[must_use]
    pub const fn is_user_error(&self) -> bool {
        match self {
            Self::Unformatted | Self::NotEmpty { .. } | Self::Locked | Self::MissingFolder => true,
            Self::Damaged { .. } | Self::Read { .. } | Self::Write { .. } | Self::Stopped => false,
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
    log.begin_segment().context(WriteSnafu)?;
    log.write(writes)?;
    write_atomically(&mut log.disk, IDENTITY_FILE, &identity.encode()).context(WriteSnafu)?;
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
    /// [`DiskError::Read`], or [`DiskError::Write`] if leftover files can't be removed or a
    /// torn tail can't be truncated.
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
        remove_leftovers(&mut disk, &names, replayed.snapshot.as_ref())?;
        if let Some((name, length)) = &replayed.torn {
            log::warn!(file = name.as_str(), length; "truncating the log: a crash interrupted the last write");
            disk.cut(name, *length).context(WriteSnafu)?;
        }
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
    /// After a failed write or sync the content of the disk is unknown: the operating
    /// system may have dropped the pages and may report success the next time. The log
    /// therefore accepts no more writes, and the process must stop without sending any
    /// message.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError::Write`] for the first failure and [`DiskError::Stopped`] for
    /// every later call.
    pub fn write(&mut self, writes: &[LogWrite]) -> Result<(), DiskError> {
        ensure!(!self.failed, StoppedSnafu);
        let result = self.write_all(writes);
        self.failed = result.is_err();
        result.context(WriteSnafu)
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

    fn write_all(&mut self, writes: &[LogWrite]) -> io::Result<()> {
        let mut records = Vec::with_capacity(writes.len());
        for write in writes {
            match write {
                LogWrite::HardState(state) => {
                    self.hard_state = *state;
                    records.push(LogRecord::HardState(*state));
                }
                LogWrite::Truncate(from) => {
                    self.next_index = self.next_index.min(*from);
                    records.push(LogRecord::Truncate(*from));
                }
                LogWrite::Append(entry) => {
                    self.next_index = entry.index.next();
                    self.raise_highest(entry.index);
                    records.push(LogRecord::Append(Cow::Borrowed(entry)));
                }
                LogWrite::Snapshot(snapshot) => {
                    self.write_frame(&records)?;
                    records.clear();
                    self.write_snapshot(snapshot)?;
                }
            }
        }
        self.write_frame(&records)?;
        if self.segment_bytes >= SEGMENT_BYTES {
            self.seal_and_begin_segment()?;
        }
        Ok(())
    }

    fn raise_highest(&mut self, index: Revision) {
        if let Some(segment) = self.segments.last_mut() {
            segment.highest = segment.highest.max(index);
        }
    }

    fn current_name(&self) -> io::Result<String> {
        let last = self.segments.last().ok_or(io::ErrorKind::NotFound)?;
        Ok(segment_name(last.number))
    }

    fn write_frame(&mut self, records: &[LogRecord<'_>]) -> io::Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let body = encode_records(records)?;
        let mut buf = Vec::with_capacity(body.len() + crate::record_codec::FRAME_BYTES);
        encode_frame(self.next_frame, &body, &mut buf);
        let name = self.current_name()?;
        let started_at = Instant::now();
        self.disk.append(&name, &buf)?;
        self.disk.sync(&name)?;
        self.last_sync = started_at.elapsed();
        metric::log_sync(self.last_sync);
        self.next_frame += 1;
        self.segment_bytes += buf.len() as u64;
        Ok(())
    }

    /// Writes a snapshot file, then the marker that puts it into effect, then deletes the
    /// previous snapshot and the segments that it replaces.
    ///
    /// A crash between two of these steps leaves a snapshot file that is not the current
    /// one, which the next start removes, or superfluous segments, which are deleted after
    /// the next snapshot.
    fn write_snapshot(&mut self, snapshot: &Snapshot) -> io::Result<()> {
        let mark = SnapshotMark {
            index: snapshot.index,
            term: snapshot.term,
        };
        if self.snapshot == Some(mark) {
            return Ok(());
        }
        let body = postcard::to_stdvec(snapshot).map_err(io::Error::other)?;
        let mut content = Vec::with_capacity(body.len() + crate::record_codec::FRAME_BYTES);
        encode_frame(snapshot.index.0, &body, &mut content);
        write_atomically(&mut self.disk, &snapshot_name(mark), &content)?;
        self.write_frame(&[LogRecord::Snapshot(mark)])?;
        let replaced = self.snapshot.replace(mark);
        self.next_index = self.next_index.max(mark.index.next());
        self.seal_and_begin_segment()?;
        if let Some(old) = replaced {
            self.disk.remove(&snapshot_name(old))?;
        }
        self.delete_old_segments(mark)
    }

    /// Starts the next segment and seals the current one. The seal lets a replay detect
    /// that the next segment is missing.
    fn seal_and_begin_segment(&mut self) -> io::Result<()> {
        let sealed = self.current_name()?;
        let seal_frame = self.next_frame;
        self.next_frame += 1;
        self.begin_segment()?;
        let body = encode_records(&[LogRecord::Sealed])?;
        let mut buf = Vec::new();
        encode_frame(seal_frame, &body, &mut buf);
        self.disk.append(&sealed, &buf)?;
        self.disk.sync(&sealed)
    }

    fn begin_segment(&mut self) -> io::Result<()> {
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
        let body = encode_records(&[LogRecord::Head(head)])?;
        let mut content = Vec::new();
        encode_frame(self.next_frame, &body, &mut content);
        write_atomically(&mut self.disk, &segment_name(number), &content)?;
        self.next_frame += 1;
        self.segment_bytes = content.len() as u64;
        self.segments.push(Segment {
            number,
            highest: Revision(0),
        });
        Ok(())
    }

    fn delete_old_segments(&mut self, mark: SnapshotMark) -> io::Result<()> {
        while self.segments.len() > 1 && self.segments[0].highest <= mark.index {
            self.disk.remove(&segment_name(self.segments[0].number))?;
            self.disk.sync_folder()?;
            self.segments.remove(0);
        }
        Ok(())
    }
}

fn encode_records(records: &[LogRecord<'_>]) -> io::Result<Vec<u8>> {
    postcard::to_stdvec(records).map_err(io::Error::other)
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
