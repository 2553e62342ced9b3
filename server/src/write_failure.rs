//! Failures of a write to the data folder: those that leave it unchanged, and all others.

use std::io;

use snafu::Snafu;

/// Reason for which a write to the data folder did not succeed.
#[derive(Debug, Snafu)]
pub enum WriteFailure {
    /// There was no room, and nothing of the write remains.
    #[snafu(display("no room: {source}"))]
    Refused {
        /// What the operating system reported.
        source: io::Error,
    },
    /// The content of the folder is unknown.
    #[snafu(display("{source}"))]
    Failed {
        /// What the operating system reported.
        source: io::Error,
    },
}

impl WriteFailure {
    /// Converts the error of an operation that adds to the folder and has not been synced. A refused
    /// operation may have left a part of its effect, which the caller removes.
    #[must_use]
    pub fn of_unsynced(source: io::Error) -> Self {
        if is_out_of_room(&source) {
            Self::Refused { source }
        } else {
            Self::Failed { source }
        }
    }

    /// Converts any other error, also that of a sync: the operating system may have dropped the
    /// pages of a failed sync, for whatever reason.
    #[must_use]
    pub const fn failed(source: io::Error) -> Self {
        Self::Failed { source }
    }
}

/// Returns whether the operating system refused to take more bytes: the device is full, or a quota
/// or the limit on the size of a file is reached.
#[must_use]
pub fn is_out_of_room(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull
            | io::ErrorKind::QuotaExceeded
            | io::ErrorKind::FileTooLarge
            | io::ErrorKind::WriteZero
    )
}
