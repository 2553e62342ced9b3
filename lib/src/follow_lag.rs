//! How far entry VMs lag behind the manifests that are confirmed, as one replica hears of it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::id::ManifestVersion;
use crate::id::Revision;
use crate::id::VmName;

/// Time within which a confirmed manifest should be in force at every entry VM.
pub const MAX_IN_FORCE_DELAY: Duration = Duration::from_millis(2_500);

/// Manifests whose times are kept.
const MAX_KNOWN_MANIFESTS: usize = 64;

/// Age at which their times are dropped, and what entry VMs asked.
const RETENTION: Duration = Duration::from_mins(1);

/// Holds a manifest that a replica learned of.
#[derive(Clone, Copy, Debug)]
struct KnownManifest {
    version: ManifestVersion,
    revision: Revision,
    at: Instant,
}

/// Holds what an entry VM said last.
#[derive(Clone, Copy, Debug)]
struct LastRequest {
    at: Instant,
    revision: Revision,
    /// The last version that it was told of as late.
    late: ManifestVersion,
}

/// Tells of an entry VM that goes by an older manifest for too long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LateManifest {
    /// The oldest version that it lacks.
    pub version: ManifestVersion,
    /// Time since this replica learned of that version.
    pub lag: Duration,
}

/// Tells what an entry VM's question shows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LagObservation {
    /// For each version that is newly in force there, the time from when this replica learned of
    /// it until now.
    pub in_force_after: Vec<Duration>,
    /// A version that it lacks beyond [`MAX_IN_FORCE_DELAY`]; told once a version.
    pub late_manifest: Option<LateManifest>,
}

/// Follows who has applied what.
#[derive(Debug, Default)]
pub struct FollowLag {
    manifests: VecDeque<KnownManifest>,
    last_requests: BTreeMap<VmName, LastRequest>,
}

impl FollowLag {
    /// Notes the manifest in force at this replica. `revision` is the revision of the state that
    /// has it.
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

    /// Takes a question of an entry VM, which has applied everything up to `revision`; 0 if it has
    /// just started.
    pub fn note_request(
        &mut self,
        now: Instant,
        vm: &VmName,
        revision: Revision,
    ) -> LagObservation {
        let age = |known: &KnownManifest| now.saturating_duration_since(known.at);
        let previous = self.last_requests.get(vm).copied();
        // One that followed another replica meanwhile may have applied them long ago.
        let followed = previous.filter(|previous| {
            previous.revision.0 > 0
                && now.saturating_duration_since(previous.at) < MAX_IN_FORCE_DELAY
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
            revision.0 > 0 && missing.version > last_reported && age(missing) > MAX_IN_FORCE_DELAY
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
