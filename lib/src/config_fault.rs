//! Faults in settings and manifests, each with its file, line and column.

use std::fmt;

use snafu::Snafu;

use crate::manifest_check::ManifestProblem;
use crate::settings_check::SettingsProblem;

/// Holds a place in a text, both counted from 1; columns count characters.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

/// Tells one fault of a text. It displays as one line,
/// `file:line:column: what is wrong; what is allowed`.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{file}:{}:{}: {problem}", position.line, position.column))]
pub struct ConfigFault {
    /// Names the text for people, usually by its path.
    pub file: String,
    /// Where the fault is.
    pub position: Position,
    /// What is wrong, and what is allowed.
    pub problem: ConfigProblem,
}

/// Holds every fault that was found in a text; at least one.
///
/// It displays as one line for each fault, in the order of the text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigFaults(pub Vec<ConfigFault>);

impl fmt::Display for ConfigFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigFaults {}

/// Tells what is wrong with a text, and what is allowed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ConfigProblem {
    /// The text is no JSON with comments.
    #[snafu(display("{message}; allowed is JSON with comments"))]
    Syntax {
        /// What the parser said.
        message: String,
    },
    /// A settings file is well-formed, but its values don't fit together.
    #[snafu(display("{problem}"))]
    Settings {
        /// What doesn't fit.
        problem: SettingsProblem,
    },
    /// A manifest is well-formed, but its values don't fit together.
    #[snafu(display("{problem}"))]
    Manifest {
        /// What doesn't fit.
        problem: ManifestProblem,
    },
}
