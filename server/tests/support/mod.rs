//! A disk in memory that loses, tears and refuses writes as a real one may.

#![allow(
    dead_code,
    reason = "each test file is a crate, and uses a part of this"
)]

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;

use heatherring_server::data_folder::Disk;

pub const SECTOR_BYTES: usize = 512;

/// Says what a crash leaves of bytes that were appended and not synced.
#[derive(Clone, Copy, Debug)]
pub enum Unsynced {
    /// All of them.
    Kept,
    /// The first ones, per thousand.
    Cut(usize),
    /// All, but with zeros from a sector's boundary on.
    ZeroEnd(usize),
    /// All, but with one sector of zeros.
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
    /// Operations until everything fails.
    budget: Option<usize>,
    failing_sync: bool,
    free_bytes: Option<usize>,
}

/// Says whether syncs are held up, and whether one is.
#[derive(Clone, Copy, Debug, Default)]
struct Holding {
    wanted: bool,
    reached: bool,
}

/// Shares one disk between a test and the log that writes to it.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk {
    inner: Arc<Mutex<Inner>>,
    holding: Arc<(Mutex<Holding>, Condvar)>,
}

impl FaultyDisk {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    /// Fails everything after so many more operations.
    pub fn fail_after(&self, operations: usize) {
        self.inner().budget = Some(operations);
    }

    /// Fails every sync from now on; the bytes may be lost in a crash.
    pub fn fail_syncs(&self) {
        self.inner().failing_sync = true;
    }

    /// Holds every sync up until [`Self::let_go`], as a disk does that others use up.
    pub fn hold_syncs(&self) {
        self.holding.0.lock().unwrap().wanted = true;
    }

    /// Returns whether a sync is held up.
    pub fn is_holding(&self) -> bool {
        self.holding.0.lock().unwrap().reached
    }

    /// Lets the syncs go on that are held up.
    pub fn let_go(&self) {
        *self.holding.0.lock().unwrap() = Holding::default();
        self.holding.1.notify_all();
    }

    fn wait_until_let_go(&self) {
        let mut holding = self.holding.0.lock().unwrap();
        while holding.wanted {
            holding.reached = true;
            holding = self.holding.1.wait(holding).unwrap();
        }
    }

    /// Leaves room for so many more bytes.
    pub fn fill_up(&self, free_bytes: usize) {
        self.inner().free_bytes = Some(free_bytes);
    }

    /// Returns the disk as the next process finds it after a crash of the VM.
    pub fn crash(&self, unsynced: Unsynced, keep_names: bool) -> Self {
        let mut inner = self.inner().clone();
        inner.budget = None;
        inner.failing_sync = false;
        inner.free_bytes = None;
        if !keep_names {
            inner.names.clone_from(&inner.durable_names);
        }
        inner.durable_names.clone_from(&inner.names);
        for file in &mut inner.files {
            let left = torn(&file.durable, &file.content, unsynced);
            file.content.clone_from(&left);
            file.durable = left;
        }
        Self {
            inner: Arc::new(Mutex::new(inner)),
            holding: Arc::default(),
        }
    }

    /// Flips one bit of a file.
    pub fn flip(&self, name: &str, bit: usize) {
        let mut inner = self.inner();
        let file = inner.names[name];
        let file = &mut inner.files[file];
        file.content[bit / 8] ^= 1 << (bit % 8);
        file.durable = file.content.clone();
    }

    /// Fills one sector of a file with zeros.
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
    pub fn named(&self, prefix: &str) -> Vec<String> {
        let mut names = self.list().unwrap();
        names.retain(|name| name.starts_with(prefix));
        names
    }
}

fn torn(durable: &[u8], content: &[u8], unsynced: Unsynced) -> Vec<u8> {
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

/// Zeroes a part; one of three bytes or fewer can't be told from a damaged one.
fn zero(bytes: &mut [u8], start: usize, end: usize) {
    if end - start > 3 {
        bytes[start..end].fill(0);
    }
}

impl Inner {
    fn spend(&mut self) -> io::Result<()> {
        match &mut self.budget {
            Some(0) => Err(io::Error::other("the disk is gone")),
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
        self.spend()?;
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
        self.spend()?;
        if self.failing_sync {
            return Err(io::Error::other("the sync failed"));
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
        inner.spend()?;
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
        self.wait_until_let_go();
        self.inner().sync(name)
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut inner = self.inner();
        inner.spend()?;
        let length = usize::try_from(length).unwrap();
        inner.file(name)?.content.truncate(length);
        inner.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.spend()?;
        let file = inner.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        inner.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.spend()?;
        inner.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut inner = self.inner();
        inner.spend()?;
        let names = inner.names.clone();
        inner.durable_names = names;
        Ok(())
    }
}
