//! Faults in settings and manifests, each with its file, line and column.

use std::fmt;

use snafu::Snafu;

use crate::id::MAX_NAME_LENGTH;
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

/// Names a kind of JSON value.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Kind {
    /// `null`.
    #[snafu(display("null"))]
    Null,
    /// `true` or `false`.
    #[snafu(display("true or false"))]
    Boolean,
    /// A number.
    #[snafu(display("a number"))]
    Number,
    /// A string.
    #[snafu(display("a string"))]
    Text,
    /// An array.
    #[snafu(display("an array"))]
    Array,
    /// An object.
    #[snafu(display("an object"))]
    Object,
}

/// Tells what may stand somewhere.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Allowed {
    /// A value of a kind.
    Kind(Kind),
    /// A whole number within bounds.
    WholeNumber {
        /// The least one.
        min: i128,
        /// The greatest one.
        max: i128,
    },
    /// A string that isn't empty.
    NonEmpty,
    /// A name, as [`crate::id::is_name`] has it.
    Name,
    /// An IP address with a port.
    SocketAddress,
    /// A block of addresses.
    BlockPrefix,
    /// One of several forms.
    OneOf(Vec<String>),
    /// At least so many elements.
    AtLeast(u64),
}

impl fmt::Display for Allowed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kind(kind) => kind.fmt(f),
            Self::WholeNumber { min, max } => write!(f, "a whole number from {min} to {max}"),
            Self::NonEmpty => f.write_str("a string that isn't empty"),
            Self::Name => write!(
                f,
                "a name of 1 to {MAX_NAME_LENGTH} letters, digits, '-', '_' and '.', \
                 which starts with a letter or digit"
            ),
            Self::SocketAddress => f.write_str("an IP address with a port, as in 127.0.0.1:7000"),
            Self::BlockPrefix => {
                f.write_str("the first address of a block and its prefix length, as in 10.1.0.0/16")
            }
            Self::OneOf(forms) => write!(f, "one of {}", forms.join(", ")),
            Self::AtLeast(1) => f.write_str("at least 1 element"),
            Self::AtLeast(count) => write!(f, "at least {count} elements"),
        }
    }
}

/// Tells what is wrong with a text, and what is allowed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigProblem {
    /// The text is no JSON with comments.
    #[snafu(display("{message}; allowed is JSON with comments"))]
    Syntax {
        /// What the parser said.
        message: String,
    },
    /// The text has too many bytes.
    #[snafu(display("the text has {bytes} bytes; allowed are at most {max}"))]
    TooLarge {
        /// Its size.
        bytes: usize,
        /// The bound.
        max: usize,
    },
    /// The text has no value.
    #[snafu(display("the text is empty; allowed is an object"))]
    Empty,
    /// The text is neither settings nor a manifest.
    #[snafu(display(
        "this is neither settings nor a manifest; allowed is an object with one of {}",
        quoted(telling)
    ))]
    UnknownKind {
        /// Fields by which they are told apart.
        telling: Vec<String>,
    },
    /// A value is of the wrong kind.
    #[snafu(display("found {found}; allowed is {allowed}"))]
    WrongKind {
        /// What stands there.
        found: Kind,
        /// What may stand there.
        allowed: Allowed,
    },
    /// A value is of the right kind, but not allowed.
    #[snafu(display("{value} isn't allowed here; allowed is {allowed}"))]
    BadValue {
        /// The value as it stands.
        value: String,
        /// What may stand there.
        allowed: Allowed,
    },
    /// A field isn't known.
    #[snafu(display("unknown field \"{name}\"{}; allowed are {}", did_you_mean(nearest.as_ref()), quoted(known)))]
    UnknownField {
        /// The field's name.
        name: String,
        /// The known field whose name is nearest, if one is near.
        nearest: Option<String>,
        /// All fields that are known there.
        known: Vec<String>,
    },
    /// A field isn't there.
    #[snafu(display("missing field \"{name}\"; required are {}", quoted(required)))]
    MissingField {
        /// The field's name.
        name: String,
        /// All fields that must be there.
        required: Vec<String>,
    },
    /// A key stands twice in one object.
    #[snafu(display("\"{name}\" stands here again after line {first_line}; allowed is once"))]
    DuplicateKey {
        /// The key.
        name: String,
        /// The line on which it stands first.
        first_line: usize,
    },
    /// An array has too few elements.
    #[snafu(display("the array has {count}; allowed is {allowed}"))]
    TooFew {
        /// Number of elements.
        count: usize,
        /// How many there must be.
        allowed: Allowed,
    },
    /// Settings are well-formed, but their values don't fit together.
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

/// Words the hint at a similar name, or nothing.
pub(crate) fn did_you_mean(nearest: Option<&String>) -> String {
    nearest.map_or_else(String::new, |name| format!(", did you mean \"{name}\"?"))
}

/// Lists names in quotes.
pub(crate) fn quoted(names: &[String]) -> String {
    let quoted: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
    quoted.join(", ")
}
