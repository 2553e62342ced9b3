//! Why a cluster can't do what a test asked for.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::ledger::LedgerError;
use crate::loopback::LoopbackError;
use crate::process::ProcessError;
use crate::relay::RelayError;
use crate::wait::NeverTrue;

/// Tells why the cluster can't do what a test asked for.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClusterError {
    /// There is no block of addresses.
    #[snafu(transparent)]
    Loopback {
        /// Why.
        source: LoopbackError,
    },
    /// A process can't be handled.
    #[snafu(transparent)]
    Process {
        /// Why.
        source: ProcessError,
    },
    /// A relay can't be started.
    #[snafu(transparent)]
    Relay {
        /// Why.
        source: RelayError,
    },
    /// A ledger can't be read.
    #[snafu(transparent)]
    Ledger {
        /// Why.
        source: LedgerError,
    },
    /// A condition didn't come true.
    #[snafu(transparent)]
    Never {
        /// Which.
        source: NeverTrue,
    },
    /// A file of the test can't be written or removed.
    #[snafu(display("can't use {}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A command of an operator failed.
    #[snafu(display("heatherring {arguments} failed with {status}: {output}"))]
    Command {
        /// The arguments.
        arguments: String,
        /// The exit status.
        status: String,
        /// What it printed.
        output: String,
    },
}
