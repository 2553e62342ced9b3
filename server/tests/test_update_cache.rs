//! Tests of the cache of updates, which are encoded once for many entry VMs.

use std::net::SocketAddr;

use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::fleet_state::FleetState;
use heatherring_lib::fleet_update::FleetUpdate;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::VmName;
use heatherring_server::update_cache::UpdateCache;

/// Enrolls one more entry VM, at revision `number`.
fn enroll(fleet: &mut FleetState, number: u64) {
    let command = FleetCommand::EnrollEntry {
        vm: VmName::new(format!("entry-{number}")),
        record: EntryRecord {
            place: PlaceName::new("place"),
            region: RegionName::new("region"),
            callers: SocketAddr::from(([127, 0, 0, 1], 1)),
            life: number,
        },
    };
    command.apply(Revision(number), fleet);
}

/// Guards against a cached update for the wrong revision: in whatever order revisions are
/// requested, each entry VM must get exactly the changes after its own.
#[test]
fn test_update_cache_returns_updates_from_requested_revision() {
    let cache = UpdateCache::default();
    let mut fleet = FleetState::default();
    for number in 1..=20 {
        enroll(&mut fleet, number);
        for _ in 0..2 {
            for from in [0, number - 1, number / 2, 1] {
                let encoded = cache.encoded(&fleet, Revision(from)).unwrap().unwrap();
                let update = FleetUpdate::decode(&encoded).unwrap();
                assert_eq!(Some(update), fleet.update_from(Revision(from)));
            }
        }
    }
    assert_eq!(cache.encoded(&fleet, Revision(21)).unwrap(), None);
    let whole = cache.encoded(&fleet, Revision(0)).unwrap().unwrap();
    let update = FleetUpdate::decode(&whole).unwrap();
    let view = FleetView::default().updated(&update).unwrap();
    assert_eq!(view.entries.len(), 20);
}
