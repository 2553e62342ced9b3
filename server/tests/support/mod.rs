//! An in-memory [`Disk`] with injected faults: lost, torn and refused writes, and failing,
//! delayed or full devices.

#![allow(
    dead_code,
    reason = "each test file is a crate of its own and uses only a part of this module"
)]

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;

use heatherring_server::data_folder::Disk;

pub const SECTOR_BYTES: usize = 512;

/// Determines what a crash leaves of the bytes that were appended but not synced.
#[derive(Clone, Copy, Debug)]
pub enum Unsynced {
    /// All of them survive.
    Kept,
    /// Only the given share of them survives, from the start, per thousand.
    Cut(usize),
    /// The length survives, but everything from the start of the sector at the given position
    /// (per thousand) reads as zeros.
    ZeroEnd(usize),
    /// The length survives, but the one sector at the given position (per thousand) reads as
    /// zeros.
    ZeroSector(usize),
}

#[derive(Clone, Debug, Default)]
struct FakeFile {
    durable: Vec<u8>,
    content: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
struct Inner {
    files: Vec<FakeFile>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    /// Number of operations that still succeed; `None` is unlimited.
    remaining_operations: Option<usize>,
    failing_sync: bool,
    free_bytes: Option<usize>,
}

/// Records whether syncs are to block, and whether one has blocked since then.
#[derive(Clone, Copy, Debug, Default)]
struct SyncHold {
    requested: bool,
    reached: bool,
}

/// A disk whose clones share their state, so that a test can inject faults while the log under
/// test writes to it.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk {
    inner: Arc<Mutex<Inner>>,
    sync_hold: Arc<(Mutex<SyncHold>, Condvar)>,
}

impl FaultyDisk {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    /// Fails every operation after the given number of further ones.
    pub fn fail_after(&self, operations: usize) {
        self.inner().remaining_operations = Some(operations);
    }

    /// Fails every sync from now on; bytes appended before it may be lost in a crash.
    pub fn fail_syncs(&self) {
        self.inner().failing_sync = true;
    }

    /// Blocks every sync until [`Self::release_syncs`], as a disk does that is saturated by others.
    pub fn hold_syncs(&self) {
        self.sync_hold.0.lock().unwrap().requested = true;
    }

    /// Returns whether a sync has blocked since [`Self::hold_syncs`].
    pub fn is_sync_held(&self) -> bool {
        self.sync_hold.0.lock().unwrap().reached
    }

    /// Lets blocked syncs continue and blocks no further ones.
    pub fn release_syncs(&self) {
        *self.sync_hold.0.lock().unwrap() = SyncHold::default();
        self.sync_hold.1.notify_all();
    }

    fn wait_until_released(&self) {
        let mut hold = self.sync_hold.0.lock().unwrap();
        while hold.requested {
            hold.reached = true;
            hold = self.sync_hold.1.wait(hold).unwrap();
        }
    }

    /// Limits the free space to the given number of bytes. An append that exceeds it writes what
    /// fits and fails.
    pub fn limit_free_space(&self, free_bytes: usize) {
        self.inner().free_bytes = Some(free_bytes);
    }

    /// Returns the disk as the next process finds it after a crash of the VM, without the injected
    /// faults. `keep_names` keeps created, renamed and removed files although the folder was not
    /// synced.
    pub fn crash(&self, unsynced: Unsynced, keep_names: bool) -> Self {
        let mut inner = self.inner().clone();
        inner.remaining_operations = None;
        inner.failing_sync = false;
        inner.free_bytes = None;
        if !keep_names {
            inner.names.clone_from(&inner.durable_names);
        }
        inner.durable_names.clone_from(&inner.names);
        for file in &mut inner.files {
            let left = content_after_crash(&file.durable, &file.content, unsynced);
            file.content.clone_from(&left);
            file.durable = left;
        }
        Self {
            inner: Arc::new(Mutex::new(inner)),
            sync_hold: Arc::default(),
        }
    }

    /// Flips one bit of a file, also in its durable content.
    pub fn flip_bit(&self, name: &str, bit: usize) {
        let mut inner = self.inner();
        let file = inner.names[name];
        let file = &mut inner.files[file];
        file.content[bit / 8] ^= 1 << (bit % 8);
        file.durable = file.content.clone();
    }

    /// Overwrites one sector of a file with zeros.
    pub fn zero_sector(&self, name: &str, sector: usize) {
        let mut inner = self.inner();
        let file = inner.names[name];
        let start = sector * SECTOR_BYTES;
        inner.files[file].content[start..start + SECTOR_BYTES].fill(0);
    }

    pub fn content(&self, name: &str) -> Vec<u8> {
        self.read(name).unwrap()
    }

    /// Lists the files whose names start with `prefix`.
    pub fn files_with_prefix(&self, prefix: &str) -> Vec<String> {
        let mut names = self.list().unwrap();
        names.retain(|name| name.starts_with(prefix));
        names
    }
}

fn content_after_crash(durable: &[u8], content: &[u8], unsynced: Unsynced) -> Vec<u8> {
    if content.len() <= durable.len() {
        return content.to_vec();
    }
    let added = content.len() - durable.len();
    let mut left = content.to_vec();
    match unsynced {
        Unsynced::Kept => {}
        Unsynced::Cut(permille) => left.truncate(durable.len() + added * permille / 1_000),
        Unsynced::ZeroEnd(permille) => {
            let from = durable.len() + added * permille / 1_000;
            let from = from / SECTOR_BYTES * SECTOR_BYTES;
            zero(&mut left, from.max(durable.len()), content.len());
        }
        Unsynced::ZeroSector(permille) => {
            let position = durable.len() + added * permille / 1_000;
            let start = position / SECTOR_BYTES * SECTOR_BYTES;
            let end = (start + SECTOR_BYTES).min(content.len());
            zero(&mut left, start.max(durable.len()), end);
        }
    }
    left
}

/// Zeroes a range. Ranges of three bytes or fewer are left alone, because the log cannot tell
/// such a torn write from a damaged record.
fn zero(bytes: &mut [u8], start: usize, end: usize) {
    if end - start > 3 {
        bytes[start..end].fill(0);
    }
}

impl Inner {
    fn count_operation(&mut self) -> io::Result<()> {
        match &mut self.remaining_operations {
            Some(0) => Err(io::Error::other("injected fault: the disk has failed")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut FakeFile> {
        let file = self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.files[*file])
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.count_operation()?;
        let room = self.free_bytes.unwrap_or(bytes.len()).min(bytes.len());
        if let Some(free) = &mut self.free_bytes {
            *free -= room;
        }
        self.file(name)?.content.extend_from_slice(&bytes[..room]);
        if room < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        if self.failing_sync {
            return Err(io::Error::other("injected fault: sync failed"));
        }
        let file = self.file(name)?;
        file.durable.clone_from(&file.content);
        Ok(())
    }
}

impl Disk for FaultyDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.inner().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.inner().file(name)?.content.clone())
    }

    fn write_whole(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        let mut inner = self.inner();
        inner.count_operation()?;
        inner.files.push(FakeFile::default());
        let file = inner.files.len() - 1;
        inner.names.insert(name.to_owned(), file);
        inner.append(name, content)?;
        inner.sync(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.inner().append(name, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.wait_until_released();
        self.inner().sync(name)
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut inner = self.inner();
        inner.count_operation()?;
        let length = usize::try_from(length).unwrap();
        inner.file(name)?.content.truncate(length);
        inner.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.count_operation()?;
        let file = inner.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        inner.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.count_operation()?;
        inner.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut inner = self.inner();
        inner.count_operation()?;
        let names = inner.names.clone();
        inner.durable_names = names;
        Ok(())
    }
}
