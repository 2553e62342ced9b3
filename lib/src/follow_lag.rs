//! Measures how far entry VMs lag behind the confirmed manifests, as one control replica sees it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::id::ManifestVersion;
use crate::id::Revision;
use crate::id::VmName;

/// Time within which a confirmed manifest is to be in force at every entry VM, unless the settings
/// name another one.
pub const DEFAULT_IN_FORCE_DELAY: Duration = Duration::from_millis(2_500);

/// Shortest such time in the settings. An entry VM that follows control without trouble has proofs
/// that are up to 1.5 s old; with a shorter time it takes its own view for outdated now and then.
pub const SHORTEST_IN_FORCE_DELAY: Duration = Duration::from_millis(100);

/// Longest such time in the settings.
pub const LONGEST_IN_FORCE_DELAY: Duration = Duration::from_mins(1);

/// Number of manifests whose times are kept.
const MAX_KNOWN_MANIFESTS: usize = 64;

/// Age at which the times of manifests and the last requests of entry VMs are dropped.
const RETENTION: Duration = Duration::from_mins(1);

/// A manifest and when this replica learned of it.
#[derive(Clone, Copy, Debug)]
struct KnownManifest {
    version: ManifestVersion,
    revision: Revision,
    at: Instant,
}

/// Last request of an entry VM.
#[derive(Clone, Copy, Debug)]
struct LastRequest {
    at: Instant,
    revision: Revision,
    /// Last version that was reported as late for this entry VM.
    late: ManifestVersion,
}

/// A manifest that an entry VM has not applied in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LateManifest {
    /// Oldest version that the entry VM lacks.
    pub version: ManifestVersion,
    /// Time since this replica learned of that version.
    pub lag: Duration,
}

/// What a request of an entry VM reveals about its lag.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LagObservation {
    /// For each version newly in force at the entry VM, the time since this replica learned of it.
    pub in_force_after: Vec<Duration>,
    /// Version that the entry VM lacks for longer than it may; reported once per version.
    pub late_manifest: Option<LateManifest>,
}

/// Tracks which manifests entry VMs have applied.
#[derive(Debug)]
pub struct FollowLag {
    /// Time within which a manifest is to be in force.
    in_force_within: Duration,
    manifests: VecDeque<KnownManifest>,
    last_requests: BTreeMap<VmName, LastRequest>,
}

impl FollowLag {
    /// Creates a record without manifests and entry VMs, which reports manifests that are not in force
    /// `in_force_within` after they were recorded.
    #[must_use]
    pub const fn new(in_force_within: Duration) -> Self {
        Self {
            in_force_within,
            manifests: VecDeque::new(),
            last_requests: BTreeMap::new(),
        }
    }

    /// Records the manifest in force at this replica. `revision` is the revision of the state that
    /// contains it.
    pub fn note_manifest(&mut self, now: Instant, version: ManifestVersion, revision: Revision) {
        let is_retained =
            |known: &KnownManifest| now.saturating_duration_since(known.at) < RETENTION;
        while self
            .manifests
            .front()
            .is_some_and(|front| !is_retained(front))
        {
            self.manifests.pop_front();
        }
        let is_known = |known: &KnownManifest| known.version >= version;
        if self.manifests.back().is_some_and(is_known) {
            return;
        }
        if self.manifests.len() == MAX_KNOWN_MANIFESTS {
            self.manifests.pop_front();
        }
        self.last_requests
            .retain(|_, last_request| now.saturating_duration_since(last_request.at) < RETENTION);
        self.manifests.push_back(KnownManifest {
            version,
            revision,
            at: now,
        });
    }

    /// Handles a request of an entry VM that has applied everything up to `revision`, or 0 if it
    /// has just started.
    pub fn note_request(
        &mut self,
        now: Instant,
        vm: &VmName,
        revision: Revision,
    ) -> LagObservation {
        let age = |known: &KnownManifest| now.saturating_duration_since(known.at);
        let previous = self.last_requests.get(vm).copied();
        // An entry VM that followed another replica in the meantime may have applied them long ago.
        let followed = previous.filter(|previous| {
            previous.revision.0 > 0
                && now.saturating_duration_since(previous.at) < self.in_force_within
        });
        let in_force_after = followed.map_or_else(Vec::new, |previous| {
            let newly = previous.revision.next()..=revision;
            let newly = self
                .manifests
                .iter()
                .filter(|known| newly.contains(&known.revision));
            newly.map(age).collect()
        });
        let last_reported =
            previous.map_or_else(ManifestVersion::default, |previous| previous.late);
        let missing = self
            .manifests
            .iter()
            .find(|known| known.revision > revision);
        let late = missing.filter(|missing| {
            revision.0 > 0 && missing.version > last_reported && age(missing) > self.in_force_within
        });
        let last_request = LastRequest {
            at: now,
            revision,
            late: late.map_or(last_reported, |late| late.version),
        };
        self.last_requests.insert(vm.clone(), last_request);
        LagObservation {
            in_force_after,
            late_manifest: late.map(|late| LateManifest {
                version: late.version,
                lag: age(late),
            }),
        }
    }
}
