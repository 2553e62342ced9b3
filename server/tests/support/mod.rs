//! An in-memory [`Disk`] with injected faults: lost, torn and refused writes, and failing,
//! delayed or full devices.

#![allow(
    dead_code,
    reason = "each test file is a crate of its own and uses only a part of this module"
)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;

use heatherring_server::data_folder::Disk;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

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
    refusal: Option<Refusal>,
}

/// Refuses operations that need room for further bytes or names.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// Number of such operations that still succeed.
    after: usize,
    /// Share of the bytes that a refused operation writes, per thousand.
    written: usize,
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
    /// The disk after each operation; `None` if they are not recorded.
    history: Arc<Mutex<Option<Vec<Inner>>>>,
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

    /// Refuses every operation that needs room, after the given number of further ones, until
    /// [`Self::free`]. A refused operation writes a share of its bytes, per thousand.
    pub fn refuse_after(&self, operations: usize, written: usize) {
        self.inner().refusal = Some(Refusal {
            after: operations,
            written,
        });
    }

    /// Gives the disk room without a limit.
    pub fn free(&self) {
        let mut inner = self.inner();
        inner.refusal = None;
        inner.free_bytes = None;
    }

    /// Records the disk after each further operation, for [`Self::crashes`].
    pub fn record(&self) {
        *self.history.lock().unwrap() = Some(Vec::new());
    }

    /// Returns the disk as it is found after a crash behind each recorded operation.
    pub fn crashes(&self, unsynced: Unsynced, keep_names: bool) -> Vec<Self> {
        let history = self.history.lock().unwrap();
        let states = history.iter().flatten();
        states
            .map(|state| Self::after_crash(state.clone(), unsynced, keep_names))
            .collect()
    }

    fn note(&self) {
        if let Some(history) = &mut *self.history.lock().unwrap() {
            history.push(self.inner().clone());
        }
    }

    /// Returns the disk as the next process finds it after a crash of the VM, without the injected
    /// faults. `keep_names` keeps created, renamed and removed files although the folder was not
    /// synced.
    pub fn crash(&self, unsynced: Unsynced, keep_names: bool) -> Self {
        Self::after_crash(self.inner().clone(), unsynced, keep_names)
    }

    fn after_crash(mut inner: Inner, unsynced: Unsynced, keep_names: bool) -> Self {
        inner.clear_faults();
        if !keep_names {
            inner.names.clone_from(&inner.durable_names);
        }
        inner.durable_names.clone_from(&inner.names);
        for file in &mut inner.files {
            let left = content_after_crash(&file.durable, &file.content, unsynced);
            file.content.clone_from(&left);
            file.durable = left;
        }
        Self::with(inner)
    }

    fn with(inner: Inner) -> Self {
        Self {
            inner: Arc::new(Mutex::new(inner)),
            ..Self::default()
        }
    }

    /// Returns the disk as the next process finds it after this one was killed, without the injected
    /// faults: nothing is lost, and what was not synced still isn't.
    pub fn kill(&self) -> Self {
        let mut inner = self.inner().clone();
        inner.clear_faults();
        Self::with(inner)
    }

    /// Returns the disk after a loss of power, without the injected faults. Each name that was
    /// created, renamed or removed without a sync of the folder is kept or lost by itself, and so
    /// are the unsynced bytes of each file, as drawn from `seed`.
    pub fn lose_power(&self, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut inner = self.inner().clone();
        inner.clear_faults();
        let known = inner.durable_names.keys().chain(inner.names.keys());
        let known: BTreeSet<String> = known.cloned().collect();
        for name in known {
            if rng.random() {
                continue;
            }
            match inner.durable_names.get(&name) {
                Some(file) => inner.names.insert(name, *file),
                None => inner.names.remove(&name),
            };
        }
        inner.durable_names.clone_from(&inner.names);
        for file in &mut inner.files {
            let left = content_after_crash(&file.durable, &file.content, drawn(&mut rng));
            file.content.clone_from(&left);
            file.durable = left;
        }
        Self::with(inner)
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

/// Draws what a loss of power leaves of the unsynced bytes of a file.
fn drawn(rng: &mut StdRng) -> Unsynced {
    let permille = rng.random_range(0..1_000);
    match rng.random_range(0..4) {
        0 => Unsynced::Kept,
        1 => Unsynced::Cut(permille),
        2 => Unsynced::ZeroEnd(permille),
        _ => Unsynced::ZeroSector(permille),
    }
}

impl Inner {
    fn clear_faults(&mut self) {
        self.remaining_operations = None;
        self.failing_sync = false;
        self.free_bytes = None;
        self.refusal = None;
    }

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

    /// Returns the number of bytes that an operation may write, of those that it needs; `None` if
    /// it is not refused.
    fn refused(&mut self, bytes: usize) -> Option<usize> {
        let refusal = self.refusal.as_mut()?;
        if refusal.after > 0 {
            refusal.after -= 1;
            return None;
        }
        Some(bytes * refusal.written / 1_000)
    }

    /// Gives back the room of removed bytes.
    fn release(&mut self, bytes: usize) {
        if let Some(free) = &mut self.free_bytes {
            *free += bytes;
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.count_operation()?;
        if let Some(written) = self.refused(bytes.len()) {
            self.file(name)?
                .content
                .extend_from_slice(&bytes[..written]);
            return Err(io::ErrorKind::StorageFull.into());
        }
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

    fn create(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        self.count_operation()?;
        self.files.push(FakeFile::default());
        let file = self.files.len() - 1;
        self.names.insert(name.to_owned(), file);
        self.append(name, content)
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.count_operation()?;
        let length = usize::try_from(length).unwrap();
        let content = &mut self.file(name)?.content;
        let released = content.len().saturating_sub(length);
        content.truncate(length);
        self.release(released);
        self.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.count_operation()?;
        if self.refused(0).is_some() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let file = self.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        let released = self.file(name)?.content.len();
        self.names.remove(name);
        self.release(released);
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

    fn create(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        let created = self.inner().create(name, content);
        self.note();
        created
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let appended = self.inner().append(name, bytes);
        self.note();
        appended
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.wait_until_released();
        let synced = self.inner().sync(name);
        self.note();
        synced
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        let cut = self.inner().cut(name, length);
        self.note();
        cut
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let renamed = self.inner().rename(from, to);
        self.note();
        renamed
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let removed = self.inner().remove(name);
        self.note();
        removed
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut inner = self.inner();
        inner.count_operation()?;
        let names = inner.names.clone();
        inner.durable_names = names;
        drop(inner);
        self.note();
        Ok(())
    }
}
