//! Checks of a manifest that look at more than one field.

use snafu::Snafu;

/// Tells what doesn't fit in a manifest, and what is allowed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ManifestProblem {
    /// Versions start at 1.
    #[snafu(display("the version is 0; allowed are versions from 1 up"))]
    VersionZero,
}
