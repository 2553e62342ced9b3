//! The errors with which a command can end, and the exit code of each.

use std::error::Error;

use heatherring_lib::config_fault::ConfigFaults;
use snafu::Snafu;

/// Exit code: the cluster refused the request, for example because of a version conflict.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code: the arguments, the settings or the manifest are invalid.
pub const EXIT_USER: u8 = 2;
/// Exit code: no process could be reached, or the outcome is unknown; a retry is safe.
pub const EXIT_UNAVAILABLE: u8 = 3;
/// Exit code: a failure of the program or of its VM, such as a failed sync.
pub const EXIT_INTERNAL: u8 = 70;

/// Reasons for which a command fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// The input is invalid.
    #[snafu(display("{message}"))]
    User {
        /// One line for each fault, with file, line and column where they are known.
        message: String,
        /// What to do about it.
        hint: Option<String>,
    },
    /// The cluster refused the request; a retry of the same request is refused as well.
    #[snafu(display("{message}"))]
    Refused {
        /// Reason for the refusal.
        message: String,
        /// What to do about it.
        hint: Option<String>,
    },
    /// No process could be reached, or the outcome is unknown.
    #[snafu(display("{message}"))]
    Unavailable {
        /// What was tried and how it failed.
        message: String,
        /// What to do about it.
        hint: Option<String>,
    },
    /// A failure of the program or of its VM.
    #[snafu(display("internal error: {source}"))]
    Internal {
        /// The cause.
        source: Box<dyn Error + Send + Sync>,
    },
}

impl CliError {
    /// Returns an error for invalid input; `message` has one line for each fault.
    pub fn user(message: impl Into<String>) -> Self {
        Self::User {
            message: message.into(),
            hint: None,
        }
    }

    /// Returns an error for a request that the cluster refused.
    pub fn refused(message: impl Into<String>) -> Self {
        Self::Refused {
            message: message.into(),
            hint: None,
        }
    }

    /// Returns an error for a request that got no answer or whose outcome is unknown.
    pub fn unavailable(message: impl Into<String>) -> Self {
        Self::Unavailable {
            message: message.into(),
            hint: None,
        }
    }

    /// Returns an error for a failure of the program or of its VM.
    pub fn internal(source: impl Error + Send + Sync + 'static) -> Self {
        Self::Internal {
            source: Box::new(source),
        }
    }

    /// Sets the hint that tells the user what to do; ignored for internal errors.
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

    /// Returns the hint that tells the user what to do; always `None` for internal errors.
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
