//! The data folder of a control replica: file access, the lock file and the identity file.

use std::fmt::Debug;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ReplicaId;
use rustix::fs::FlockOperation;
use serde::Deserialize;
use serde::Serialize;

use crate::record_codec::decode_frame;
use crate::record_codec::encode_frame;
use crate::write_failure::WriteFailure;

/// Name of the file that holds the [`Identity`]. A folder counts as formatted if it has
/// this file.
pub const IDENTITY_FILE: &str = "identity";

/// Name of the file that a process keeps locked (`flock`) while it uses the folder.
pub const LOCK_FILE: &str = "lock";

/// Suffix of files whose writing has not finished. Their content is ignored until they
/// are renamed to their final name.
pub const TEMPORARY_ENDING: &str = ".tmp";

/// Version of the on-disk format of all files in the folder.
pub const FORMAT_VERSION: u32 = 1;

/// Identifies a data folder. Written once, when the folder is formatted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// Version of the on-disk format, see [`FORMAT_VERSION`].
    pub format: u32,
    /// Cluster that the replica belongs to.
    pub cluster: ClusterId,
    /// Replica that owns the folder.
    pub replica: ReplicaId,
}

impl Identity {
    /// Encodes the identity as the content of the file [`IDENTITY_FILE`].
    ///
    /// # Panics
    ///
    /// Never: an identity can always be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).expect("an identity can be encoded");
        let mut buf = Vec::new();
        encode_frame(0, &body, &mut buf);
        buf
    }

    /// Decodes the content of an identity file; returns `None` if it is damaged.
    #[must_use]
    pub fn decode(content: &[u8]) -> Option<Self> {
        let frame = decode_frame(content).ok()?;
        if frame.length != content.len() {
            return None;
        }
        postcard::from_bytes(frame.body).ok()
    }
}

/// File operations of the log, on the files of one folder.
///
/// Changes are durable only after a sync: appended bytes after [`Disk::sync`], the
/// creation, renaming and removal of files after [`Disk::sync_folder`].
pub trait Disk: Debug + Send + 'static {
    /// Lists the names of all files in the folder.
    ///
    /// # Errors
    ///
    /// Returns the error that the operating system reported.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Returns the error that the operating system reported.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates or truncates a file and writes its content.
    ///
    /// # Errors
    ///
    /// Returns the error that the operating system reported.
    fn create(&mut self, name: &str, content: &[u8]) -> io::Result<()>;

    /// Appends to an existing file.
    ///
    /// # Errors
    ///
    /// Returns the error that the operating system reported.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the bytes appended to a file durable.
    ///
    /// # Errors
    ///
    /// Returns the error that the operating system reported.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Truncates a file to `length` bytes and syncs it.
    ///
    /// # Errors
    ///
    /// Returns the error that the operating system reported.
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Renames a file.
    ///
    /// # Errors
    ///
    /// Returns the error that the operating system reported.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the error that the operating system reported.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the creation, renaming and removal of files durable.
    ///
    /// # Errors
    ///
    /// Returns the error that the operating system reported.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// Writes a file atomically: after a crash it exists with its whole content or not at
/// all.
///
/// The content is written to a temporary file, which is then renamed to `name`. If there is no room
/// for it, the temporary file is removed.
///
/// # Errors
///
/// Returns a [`WriteFailure`] that says whether the folder is unchanged.
pub fn write_atomically<D: Disk>(
    disk: &mut D,
    name: &str,
    content: &[u8],
) -> Result<(), WriteFailure> {
    let temporary = format!("{name}{TEMPORARY_ENDING}");
    let written = write_and_rename(disk, &temporary, name, content);
    if matches!(written, Err(WriteFailure::Refused { .. })) {
        remove_if_present(disk, &temporary).map_err(WriteFailure::failed)?;
    }
    written?;
    disk.sync_folder().map_err(WriteFailure::failed)
}

fn write_and_rename<D: Disk>(
    disk: &mut D,
    temporary: &str,
    name: &str,
    content: &[u8],
) -> Result<(), WriteFailure> {
    let created = disk.create(temporary, content);
    created.map_err(WriteFailure::of_unsynced)?;
    disk.sync(temporary).map_err(WriteFailure::failed)?;
    let renamed = disk.rename(temporary, name);
    renamed.map_err(WriteFailure::of_unsynced)
}

fn remove_if_present<D: Disk>(disk: &mut D, name: &str) -> io::Result<()> {
    match disk.remove(name) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
        removed => removed,
    }
}

/// Implements [`Disk`] on a folder of the file system, which it locks against other
/// processes.
#[derive(Debug)]
pub struct FolderDisk {
    folder: PathBuf,
    handle: File,
    open: Option<(String, File)>,
    _lock: File,
}

impl FolderDisk {
    /// Opens a folder and locks it.
    ///
    /// Two processes that use the same folder would both append to the log and both vote
    /// under one identity, so the second one is refused. The operating system releases
    /// the lock when the process that holds it ends, including when it is killed.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`io::ErrorKind::WouldBlock`] if another process holds
    /// the lock, otherwise the error that the operating system reported.
    pub fn open(folder: &Path) -> io::Result<Self> {
        let handle = File::open(folder)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(LOCK_FILE))?;
        rustix::fs::flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(Self {
            folder: folder.to_path_buf(),
            handle,
            open: None,
            _lock: lock,
        })
    }

    /// Returns the file `name`, opened for appending. The most recently used file stays open.
    fn open_for_append(&mut self, name: &str) -> io::Result<&mut File> {
        let reusable = self.open.as_ref().is_some_and(|(open, _)| open == name);
        if !reusable {
            let file = OpenOptions::new()
                .append(true)
                .open(self.folder.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        self.open
            .as_mut()
            .map(|(_, file)| file)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for FolderDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.folder)? {
            names.push(item?.file_name().to_string_lossy().into_owned());
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn create(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        let file = File::create(self.folder.join(name))?;
        let (_, file) = self.open.insert((name.to_owned(), file));
        file.write_all(content)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_for_append(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_for_append(name)?.sync_data()
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        let file = self.open_for_append(name)?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.handle.sync_all()
    }
}
