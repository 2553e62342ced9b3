//! Tests of how a replica measures the lag of entry VMs behind confirmed manifests.

use std::time::Duration;
use std::time::Instant;

use heatherring_lib::follow_lag::DEFAULT_IN_FORCE_DELAY;
use heatherring_lib::follow_lag::FollowLag;
use heatherring_lib::follow_lag::LagObservation;
use heatherring_lib::follow_lag::LateManifest;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::Revision;
use heatherring_lib::id::VmName;

struct Replica {
    lag: FollowLag,
    start: Instant,
}

impl Replica {
    fn new() -> Self {
        Self {
            lag: FollowLag::new(DEFAULT_IN_FORCE_DELAY),
            start: Instant::now(),
        }
    }

    fn learn_manifest(&mut self, ms: u64, version: u64, revision: u64) {
        let now = self.start + Duration::from_millis(ms);
        let version = ManifestVersion(version);
        self.lag.note_manifest(now, version, Revision(revision));
    }

    fn handle_request(&mut self, ms: u64, vm: &str, revision: u64) -> LagObservation {
        let now = self.start + Duration::from_millis(ms);
        self.lag
            .note_request(now, &VmName::new(vm), Revision(revision))
    }
}

fn in_force_after(ms: &[u64]) -> LagObservation {
    LagObservation {
        in_force_after: ms.iter().copied().map(Duration::from_millis).collect(),
        late_manifest: None,
    }
}

fn late_manifest(version: u64, ms: u64) -> LateManifest {
    LateManifest {
        version: ManifestVersion(version),
        lag: Duration::from_millis(ms),
    }
}

#[test]
fn test_in_force_delay_is_reported_once_per_version() {
    let mut replica = Replica::new();
    replica.learn_manifest(0, 1, 10);
    assert_eq!(
        replica.handle_request(100, "entry-1", 10),
        LagObservation::default()
    );
    replica.learn_manifest(1_000, 2, 14);
    replica.learn_manifest(1_100, 3, 15);
    assert_eq!(
        replica.handle_request(1_150, "entry-1", 12),
        LagObservation::default()
    );
    assert_eq!(
        replica.handle_request(1_300, "entry-1", 15),
        in_force_after(&[300, 200])
    );
    assert_eq!(
        replica.handle_request(1_400, "entry-1", 17),
        LagObservation::default()
    );
}

#[test]
fn test_a_late_manifest_is_reported_once_per_version() {
    let mut replica = Replica::new();
    replica.learn_manifest(0, 1, 10);
    replica.learn_manifest(1_000, 2, 14);
    replica.learn_manifest(2_000, 3, 16);
    assert_eq!(
        replica.handle_request(3_400, "entry-1", 12).late_manifest,
        None
    );
    assert_eq!(
        replica.handle_request(3_600, "entry-1", 12).late_manifest,
        Some(late_manifest(2, 2_600))
    );
    assert_eq!(
        replica.handle_request(3_800, "entry-1", 12).late_manifest,
        None
    );
    assert_eq!(
        replica.handle_request(4_700, "entry-1", 14).late_manifest,
        Some(late_manifest(3, 2_700))
    );
}

/// Guards against a lag reported for manifests that an entry VM applied while it followed another
/// replica or before it started.
#[test]
fn test_manifests_applied_through_another_replica_give_no_lag() {
    let mut replica = Replica::new();
    replica.handle_request(0, "entry-1", 10);
    replica.learn_manifest(1_000, 2, 14);
    assert_eq!(
        replica.handle_request(9_000, "entry-1", 20),
        LagObservation::default()
    );
    assert_eq!(
        replica.handle_request(9_000, "entry-2", 0),
        LagObservation::default()
    );
    assert_eq!(
        replica.handle_request(9_100, "entry-2", 20),
        LagObservation::default()
    );
}
