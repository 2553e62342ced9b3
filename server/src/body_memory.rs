//! Memory for the bodies of requests, which all connections of a listener share.
//!
//! Callers determine how long their bodies are, up to the limit for each, and how slowly they send
//! them. Without a limit for all together, a few callers could use up a VM's memory.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use snafu::OptionExt;
use snafu::Snafu;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Memory for long bodies, in bytes.
const MAX_BYTES: usize = 128 << 20;

/// Size up to which a body does not count, in bytes, so that long bodies never keep short ones away.
const SHORT_BYTES: usize = 32 << 10;

/// The memory for long bodies is in use.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the memory for the bodies of requests is in use"))]
pub struct BodyMemoryFull;

/// Memory for the bodies of requests; clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    free: Arc<Semaphore>,
}

impl Default for BodyMemory {
    fn default() -> Self {
        Self {
            free: Arc::new(Semaphore::new(MAX_BYTES)),
        }
    }
}

impl BodyMemory {
    /// Returns an empty buffer for a body.
    #[must_use]
    pub fn buffer(&self) -> BodyBuffer {
        BodyBuffer {
            memory: self.clone(),
            content: BytesMut::new(),
            reserved: None,
        }
    }

    fn reserve(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).ok()?;
        Arc::clone(&self.free).try_acquire_many_owned(bytes).ok()
    }
}

/// A body that is being read.
#[derive(Debug)]
pub struct BodyBuffer {
    memory: BodyMemory,
    content: BytesMut,
    reserved: Option<OwnedSemaphorePermit>,
}

impl BodyBuffer {
    /// Returns the number of bytes read so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.content.len()
    }

    /// Returns whether nothing was read so far.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.content.is_empty()
    }

    /// Appends bytes to the body.
    ///
    /// # Errors
    ///
    /// Fails if the body is long and there is no memory left for it.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BodyMemoryFull> {
        let wanted = counted_bytes(self.len() + bytes.len()) - counted_bytes(self.len());
        if wanted > 0 {
            let reserved = self.memory.reserve(wanted).context(BodyMemoryFullSnafu)?;
            match &mut self.reserved {
                Some(all) => all.merge(reserved),
                None => self.reserved = Some(reserved),
            }
        }
        self.content.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the body. Its memory is free again once all clones are dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        match self.reserved {
            Some(reserved) => Bytes::from_owner(LongBody {
                content: self.content,
                _reserved: reserved,
            }),
            None => self.content.freeze(),
        }
    }
}

/// Returns how many bytes of the memory a body takes. One that is longer than all of it takes all.
const fn counted_bytes(length: usize) -> usize {
    if length <= SHORT_BYTES {
        0
    } else if length < MAX_BYTES {
        length
    } else {
        MAX_BYTES
    }
}

struct LongBody {
    content: BytesMut,
    _reserved: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for LongBody {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
