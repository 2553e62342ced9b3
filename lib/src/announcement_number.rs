//! Numbers by which the announcements of one backend server are put in order.

use serde::Deserialize;
use serde::Serialize;

/// Number of an announcement. The start of the process goes before the sequence number, so that
/// these may begin anew in each process.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AnnouncementNumber {
    /// Start of the process, in milliseconds since the Unix epoch; 0 if not announced.
    #[serde(default)]
    pub born: u64,
    /// Sequence number within the process; 0 if not announced.
    #[serde(default)]
    pub sequence: u64,
}

impl AnnouncementNumber {
    /// Returns whether the backend server numbers its announcements.
    #[must_use]
    pub const fn is_announced(self) -> bool {
        self.sequence > 0
    }
}
