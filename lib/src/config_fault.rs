//! Faults in settings and manifests, each with its file, line and column.

use std::fmt;

use snafu::Snafu;

use crate::id::MAX_NAME_LENGTH;
use crate::manifest_check::ManifestProblem;
use crate::settings_check::SettingsProblem;

/// A position in a text. Lines and columns are counted from 1; columns count characters, not
/// bytes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

/// One fault in a text. It is displayed on one line as
/// `file:line:column: what is wrong; what is allowed`.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{file}:{}:{}: {problem}", position.line, position.column))]
pub struct ConfigFault {
    /// Display name of the text, usually its path.
    pub file: String,
    /// Position of the fault, or of the innermost enclosing value if the text lacks the faulty one.
    pub position: Position,
    /// What is wrong, and what is allowed.
    pub problem: ConfigProblem,
}

/// All faults that were found in a text; never empty.
///
/// They are displayed one a line, in the order of the text.
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

/// A kind of JSON value.
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

/// What is allowed at some position of a text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Allowed {
    /// Any value of a kind.
    Kind(Kind),
    /// A whole number in a range.
    WholeNumber {
        /// Lower bound, inclusive.
        min: i128,
        /// Upper bound, inclusive.
        max: i128,
    },
    /// A string that is not empty.
    NonEmpty,
    /// A name that satisfies [`crate::id::is_name`].
    Name,
    /// An IP address with a port.
    SocketAddress,
    /// A block of addresses in CIDR notation.
    BlockPrefix,
    /// One of several forms, each as it is written in the text.
    OneOf(Vec<String>),
    /// An array of at least this many elements.
    AtLeast(u64),
}

impl fmt::Display for Allowed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kind(kind) => kind.fmt(f),
            Self::WholeNumber { min, max } => write!(f, "a whole number from {min} to {max}"),
            Self::NonEmpty => f.write_str("a string that is not empty"),
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

/// What is wrong with a text, and what is allowed instead.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigProblem {
    /// The text is not valid JSON with comments.
    #[snafu(display("{message}; allowed is JSON with comments"))]
    Syntax {
        /// Error message of the parser.
        message: String,
    },
    /// The text is too large.
    #[snafu(display("the text has {bytes} bytes; allowed are at most {max}"))]
    TooLarge {
        /// Size of the text in bytes.
        bytes: usize,
        /// Largest size that is allowed, in bytes.
        max: usize,
    },
    /// The text contains no value.
    #[snafu(display("the text is empty; allowed is an object"))]
    Empty,
    /// The text is neither settings nor a manifest.
    #[snafu(display(
        "this is neither settings nor a manifest; allowed is an object with one of {}",
        quoted(distinguishing)
    ))]
    UnknownKind {
        /// Fields that distinguish settings and manifests.
        distinguishing: Vec<String>,
    },
    /// A value is of the wrong kind.
    #[snafu(display("found {found}; allowed is {allowed}"))]
    WrongKind {
        /// Kind of the value.
        found: Kind,
        /// What is allowed instead.
        allowed: Allowed,
    },
    /// A value is of the right kind, but not one of those allowed.
    #[snafu(display("{value} is not allowed here; allowed is {allowed}"))]
    BadValue {
        /// The value as it is written in the text.
        value: String,
        /// What is allowed instead.
        allowed: Allowed,
    },
    /// An object has a field that is not known.
    #[snafu(display("unknown field \"{name}\"{}; allowed are {}", did_you_mean(nearest.as_ref()), quoted(known)))]
    UnknownField {
        /// Name of the field.
        name: String,
        /// The known field with the most similar name; `None` if none is similar.
        nearest: Option<String>,
        /// All fields that the object may have.
        known: Vec<String>,
    },
    /// An object lacks a required field.
    #[snafu(display("missing field \"{name}\"; required are {}", quoted(required)))]
    MissingField {
        /// Name of the field.
        name: String,
        /// All fields that the object must have.
        required: Vec<String>,
    },
    /// A key occurs twice in one object.
    #[snafu(display("duplicate key \"{name}\", first on line {first_line}; allowed is once"))]
    DuplicateKey {
        /// The key.
        name: String,
        /// Line of the first occurrence.
        first_line: usize,
    },
    /// An array has too few elements.
    #[snafu(display("the array has {count} elements; allowed is {allowed}"))]
    TooFew {
        /// Number of elements that the array has.
        count: usize,
        /// Number of elements that is required.
        allowed: Allowed,
    },
    /// Settings are well-formed, but values contradict each other or the environment.
    #[snafu(display("{problem}"))]
    Settings {
        /// The problem.
        problem: SettingsProblem,
    },
    /// A manifest is well-formed, but its values contradict each other.
    #[snafu(display("{problem}"))]
    Manifest {
        /// The problem.
        problem: ManifestProblem,
    },
}

/// Formats the hint at a similar name; empty if there is none.
pub(crate) fn did_you_mean(nearest: Option<&String>) -> String {
    nearest.map_or_else(String::new, |name| format!(", did you mean \"{name}\"?"))
}

/// Joins names with commas, each in quotes.
pub(crate) fn quoted(names: &[String]) -> String {
    let quoted: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
    quoted.join(", ")
}
