//! What a command can end with, and the exit code of each ending.

use std::error::Error;

use heatherring_lib::config_fault::ConfigFaults;
use snafu::Snafu;

/// Exit code: the cluster refused what was asked, for example a version conflict.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code: the arguments, the settings or the manifest are at fault.
pub const EXIT_USER: u8 = 2;
/// Exit code: nobody could be asked, or the outcome is unknown; asking again is safe.
pub const EXIT_UNAVAILABLE: u8 = 3;
/// Exit code: a fault of the program or of its VM, such as a failed sync.
pub const EXIT_INTERNAL: u8 = 70;

/// Tells how a command ended without success.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// The input is at fault. The message has one line a fault.
    #[snafu(display("{message}"))]
    User {
        /// One line a fault, with file, line and column where there are any.
        message: String,
        /// What to do about it.
        hint: Option<String>,
    },
    /// The cluster refused the request for good.
    #[snafu(display("{message}"))]
    Refused {
        /// Why.
        message: String,
        /// What to do about it.
        hint: Option<String>,
    },
    /// Nobody could be asked, or the outcome is unknown.
    #[snafu(display("{message}"))]
    Unavailable {
        /// What was tried.
        message: String,
        /// What to do about it.
        hint: Option<String>,
    },
    /// A fault of the program or of its VM.
    #[snafu(display("internal error: {source}"))]
    Internal {
        /// What failed.
        source: Box<dyn Error + Send + Sync>,
    },
}

impl CliError {
    /// Makes an error of input that is at fault; one line a fault.
    pub fn user(message: impl Into<String>) -> Self {
        Self::User {
            message: message.into(),
            hint: None,
        }
    }

    /// Makes an error of a request that the cluster refused for good.
    pub fn refused(message: impl Into<String>) -> Self {
        Self::Refused {
            message: message.into(),
            hint: None,
        }
    }

    /// Makes an error of an answer that nobody could give.
    pub fn unavailable(message: impl Into<String>) -> Self {
        Self::Unavailable {
            message: message.into(),
            hint: None,
        }
    }

    /// Makes an error of the program or its VM.
    pub fn internal(source: impl Error + Send + Sync + 'static) -> Self {
        Self::Internal {
            source: Box::new(source),
        }
    }

    /// Adds what the user can do; a fault of the program takes none.
    pub fn with_hint(mut self, text: impl Into<String>) -> Self {
        match &mut self {
            Self::User { hint, .. }
            | Self::Refused { hint, .. }
            | Self::Unavailable { hint, .. } => *hint = Some(text.into()),
            Self::Internal { .. } => {}
        }
        self
    }

    /// Returns the exit code, as documented in docs/cli.md.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::User { .. } => EXIT_USER,
            Self::Refused { .. } => EXIT_REFUSED,
            Self::Unavailable { .. } => EXIT_UNAVAILABLE,
            Self::Internal { .. } => EXIT_INTERNAL,
        }
    }

    /// Returns what the user can do, where there is something.
    pub fn hint(&self) -> Option<&str> {
        match self {
            Self::User { hint, .. }
            | Self::Refused { hint, .. }
            | Self::Unavailable { hint, .. } => hint.as_deref(),
            Self::Internal { .. } => None,
        }
    }
}

impl From<ConfigFaults> for CliError {
    fn from(faults: ConfigFaults) -> Self {
        Self::user(faults.to_string())
    }
}
