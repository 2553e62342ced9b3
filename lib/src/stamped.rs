//! Values of the replicated state with the log position of their last change.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Revision;

/// A value with the revision that last changed it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Stamped<T> {
    pub(crate) revision: Revision,
    pub(crate) value: T,
}
