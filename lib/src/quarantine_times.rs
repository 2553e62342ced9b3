//! When suspected requests are let go of, by the steady clock of the replica that leads.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::Revision;
use crate::quarantine::Quarantine;
use crate::request_fingerprint::Fingerprint;

/// Time without word of a suspected request after which it is let go one step. A caller that
/// sends it again and again is heard of every [`crate::crash_evidence::REFUSED_NOTE_INTERVAL`].
pub const RELEASE_AFTER: Duration = Duration::from_mins(10);

/// Follows when each suspected request was heard of. A replica that starts or becomes the leader
/// counts from when it first saw them.
#[derive(Debug, Default)]
pub struct QuarantineTimes {
    heard: BTreeMap<Fingerprint, (Revision, Instant)>,
}

impl QuarantineTimes {
    /// Takes note of what is suspected now.
    pub fn follow(&mut self, now: Instant, quarantine: &Quarantine) {
        self.heard
            .retain(|request, _| quarantine.suspect(request).is_some());
        for (request, noted) in quarantine.suspects() {
            let heard = self.heard.entry(*request).or_insert((noted.at, now));
            if heard.0 != noted.at {
                *heard = (noted.at, now);
            }
        }
    }

    /// Returns the requests that nothing was heard of for [`RELEASE_AFTER`], and when they were noted.
    #[must_use]
    pub fn due_for_release(&self, now: Instant) -> Vec<(Fingerprint, Revision)> {
        let is_quiet = |at: Instant| now.saturating_duration_since(at) >= RELEASE_AFTER;
        let heard = self.heard.iter();
        heard
            .filter(|(_, (_, at))| is_quiet(*at))
            .map(|(request, (noted, _))| (*request, *noted))
            .collect()
    }
}
