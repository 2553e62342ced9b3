//! Writes the records of a control replica beside the task that owns the replica.

use std::future::pending;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::raft_message::LogWrite;
use snafu::ResultExt;
use tokio::task::JoinHandle;

use crate::control_node::ControlNodeError;
use crate::control_node::DiskSnafu;
use crate::control_node::DiskTaskSnafu;
use crate::data_folder::Disk;
use crate::log_disk::DiskError;
use crate::log_disk::LogDisk;
use crate::metric;

/// Duration from which a write is logged as slow. While most replicas write, nothing can be
/// committed, and no replica can be elected.
const SLOW_WRITE: Duration = Duration::from_millis(500);

/// Pause before refused records are written again for the first time; it doubles each time.
const FIRST_RETRY: Duration = Duration::from_millis(50);

/// Longest pause before refused records are written again.
const MAX_RETRY: Duration = Duration::from_millis(400);

/// The log of a replica, and the write in progress.
#[derive(Debug)]
pub(crate) enum DiskWriter<D> {
    Idle(LogDisk<D>),
    Writing {
        attempts: Attempts,
        task: JoinHandle<Attempted<D>>,
    },
    /// The disk has no room for the records, which are written again.
    Full {
        attempts: Attempts,
        disk: LogDisk<D>,
        records: Vec<LogWrite>,
        retry_at: Instant,
    },
    /// A write failed.
    Failed,
}

/// Attempts to write the same records.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempts {
    began_at: Instant,
    refusals: u32,
}

/// Outcome of one attempt, with the records that it was to write.
type Attempted<D> = (LogDisk<D>, Vec<LogWrite>, Result<(), DiskError>);

/// Progress of a write.
#[derive(Debug)]
pub(crate) enum WriteProgress {
    /// The records are durable.
    Durable(Written),
    /// The disk has no room for the records. Reported once for each attempt.
    Refused,
}

/// A write that is durable.
#[derive(Debug)]
pub(crate) struct Written {
    attempts: Attempts,
}

impl Written {
    /// Returns whether the records were refused at first.
    pub const fn was_refused(&self) -> bool {
        self.attempts.refusals > 0
    }

    /// Logs that there is room again, or that the disk was slow.
    pub fn log(&self, now: Instant) {
        let took = now.saturating_duration_since(self.attempts.began_at);
        if self.was_refused() {
            metric::disk_full(false);
            log::info!(event = "disk_writable", after_ms = whole_ms(took), attempts = self.attempts.refusals; "the disk has room again: the records that it refused are durable");
        } else if took >= SLOW_WRITE {
            log::warn!(event = "disk_slow", took_ms = whole_ms(took); "slow write to disk");
        }
    }
}

impl<D: Disk> DiskWriter<D> {
    pub const fn new(disk: LogDisk<D>) -> Self {
        Self::Idle(disk)
    }

    /// Returns whether records are not durable yet.
    pub const fn is_writing(&self) -> bool {
        matches!(self, Self::Writing { .. } | Self::Full { .. })
    }

    /// Starts to write `records`. Does nothing while others are being written, or after a failure.
    pub fn begin(&mut self, records: Vec<LogWrite>, now: Instant) {
        let attempts = Attempts {
            began_at: now,
            refusals: 0,
        };
        *self = match std::mem::replace(self, Self::Failed) {
            Self::Idle(disk) => Self::attempt(disk, records, attempts),
            other => other,
        };
    }

    fn attempt(mut disk: LogDisk<D>, records: Vec<LogWrite>, attempts: Attempts) -> Self {
        let task = tokio::task::spawn_blocking(move || {
            let result = disk.write(&records);
            (disk, records, result)
        });
        Self::Writing { attempts, task }
    }

    /// Waits until the records of the last [`Self::begin`] are durable or refused once more; waits
    /// forever if there are none. May be cancelled.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlNodeError`] if the write failed.
    pub async fn progress(&mut self, clock: &dyn Clock) -> Result<WriteProgress, ControlNodeError> {
        if let Self::Full { retry_at, .. } = self {
            tokio::time::sleep(retry_at.saturating_duration_since(clock.now())).await;
            self.retry();
        }
        let Self::Writing { attempts, task } = self else {
            return pending().await;
        };
        let attempts = *attempts;
        let joined = task.await;
        *self = Self::Failed;
        let (disk, records, result) = joined.context(DiskTaskSnafu)?;
        if let Err(DiskError::Full { durable, source }) = &result {
            if attempts.refusals == 0 {
                metric::disk_full(true);
                log::warn!(event = "disk_full", records = records.len() - durable, error:% = source; "the disk has no room; records wait, and nothing that needs them is promised");
            }
            *self = Self::Full {
                attempts: Attempts {
                    refusals: attempts.refusals.saturating_add(1),
                    ..attempts
                },
                disk,
                records: records.into_iter().skip(*durable).collect(),
                retry_at: clock.now() + retry_pause(attempts.refusals),
            };
            return Ok(WriteProgress::Refused);
        }
        result.context(DiskSnafu)?;
        *self = Self::Idle(disk);
        Ok(WriteProgress::Durable(Written { attempts }))
    }

    fn retry(&mut self) {
        *self = match std::mem::replace(self, Self::Failed) {
            Self::Full {
                attempts,
                disk,
                records,
                ..
            } => Self::attempt(disk, records, attempts),
            other => other,
        };
    }
}

/// Returns the pause before the next attempt, after `refusals` earlier ones and the last.
fn retry_pause(refusals: u32) -> Duration {
    let factor = 2_u32.saturating_pow(refusals);
    FIRST_RETRY.saturating_mul(factor).min(MAX_RETRY)
}
