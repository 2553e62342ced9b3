//! Recent changes of the view, from which entry VMs can resume.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Revision;
use crate::view::ManifestChange;
use crate::view::ViewChange;
use crate::view::ViewChangeKind;

/// Number of changes kept.
pub const VIEW_LOG_CAPACITY: usize = 1_024;

/// Number of whole manifests kept among the changes. An entry that needs more of them is better
/// served with the whole view.
pub const WHOLE_MANIFEST_CAPACITY: usize = 4;

/// The latest changes, in log order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewLog {
    changes: VecDeque<ViewChange>,
    /// Revision of the last change that was dropped.
    floor: Revision,
}

impl ViewLog {
    /// Creates an empty log that starts after `revision`.
    #[must_use]
    pub fn starting_at(revision: Revision) -> Self {
        Self {
            changes: VecDeque::new(),
            floor: revision,
        }
    }

    /// Appends a change, dropping the oldest ones beyond the capacities.
    pub fn push(&mut self, change: ViewChange) {
        self.changes.push_back(change);
        while self.overflows() {
            if let Some(dropped) = self.changes.pop_front() {
                self.floor = dropped.revision;
            }
        }
    }

    fn overflows(&self) -> bool {
        let whole = self.changes.iter().filter(|change| is_whole(change));
        self.changes.len() > VIEW_LOG_CAPACITY || whole.count() > WHOLE_MANIFEST_CAPACITY
    }

    /// Returns the changes after `revision`, or `None` if some of them were dropped.
    #[must_use]
    pub fn after(&self, revision: Revision) -> Option<Vec<ViewChange>> {
        if revision < self.floor {
            return None;
        }
        let start = self
            .changes
            .partition_point(|change| change.revision <= revision);
        Some(self.changes.range(start..).cloned().collect())
    }
}

const fn is_whole(change: &ViewChange) -> bool {
    matches!(
        change.kind,
        ViewChangeKind::Manifest(ManifestChange::Whole(_))
    )
}
