//! Times after which suspected requests are released, by the monotonic clock of the leading
//! replica.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::Revision;
use crate::quarantine::Quarantine;
use crate::request_fingerprint::Fingerprint;

/// Time without a note about a suspected request after which it is released by one step. A caller
/// that keeps sending a quarantined request is noted every
/// [`crate::crash_evidence::REFUSED_NOTE_INTERVAL`].
pub const RELEASE_AFTER: Duration = Duration::from_mins(10);

/// Tracks when each suspected request was last noted. A replica that starts or becomes the leader
/// counts from when it first saw the request.
#[derive(Debug, Default)]
pub struct QuarantineTimes {
    noted_at: BTreeMap<Fingerprint, (Revision, Instant)>,
}

impl QuarantineTimes {
    /// Updates the times from the current state of the quarantine.
    pub fn follow(&mut self, now: Instant, quarantine: &Quarantine) {
        self.noted_at
            .retain(|request, _| quarantine.suspect(request).is_some());
        for (request, noted) in quarantine.suspects() {
            let last_noted = self.noted_at.entry(*request).or_insert((noted.at, now));
            if last_noted.0 != noted.at {
                *last_noted = (noted.at, now);
            }
        }
    }

    /// Returns the requests without a note for [`RELEASE_AFTER`], each with the log index of its
    /// last note.
    #[must_use]
    pub fn due_for_release(&self, now: Instant) -> Vec<(Fingerprint, Revision)> {
        let is_quiet = |at: Instant| now.saturating_duration_since(at) >= RELEASE_AFTER;
        let noted_at = self.noted_at.iter();
        noted_at
            .filter(|(_, (_, at))| is_quiet(*at))
            .map(|(request, (noted, _))| (*request, *noted))
            .collect()
    }
}
