//! Tests of a set that sends numbered changes.

use std::collections::BTreeSet;
use std::num::NonZeroU64;

use heatherring_lib::id::BackendName;
use heatherring_lib::id::VmName;
use heatherring_lib::numbered_set::NumberedSet;
use heatherring_lib::presence::Absent;
use proptest::prelude::ProptestConfig;
use proptest::proptest;

const START: NonZeroU64 = NonZeroU64::MIN;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// A copy that applies the updates equals the set, however rarely it requests them.
    #[test]
    fn test_copies_follow_the_set(steps in proptest::collection::vec((0_u8..20, 0_u8..4), 1..200)) {
        let mut set = NumberedSet::starting_at(START);
        let mut copies = vec![(0, BTreeSet::new()); 4];
        for (member, asks) in steps {
            if !set.remove(&member) {
                set.insert(member);
            }
            let (known, copy) = &mut copies[usize::from(asks)];
            let update = set.update_from(*known);
            *known = update.number;
            update.apply_to(copy);
            assert_eq!(copy, set.members());
        }
    }
}

/// A copy that is too far behind, or whose number belongs to another incarnation of the owner,
/// receives the whole set.
#[test]
fn test_whoever_is_behind_gets_the_whole_set() {
    let mut set = NumberedSet::starting_at(START);
    for number in 0..3_000 {
        set.insert(number);
    }
    assert!(set.update_from(0).whole);
    assert!(set.update_from(5).whole);
    assert!(set.update_from(set.number() + 1).whole);
    assert!(!set.update_from(set.number() - 5).whole);
}

/// Returns the size of the updates sent to one entry VM while 20 of `vms` entry VMs leave and
/// return, one after the other.
///
/// Guards against updates that name all entry VMs in service: each entry VM then received 3 KB
/// whenever any of them left or returned, up to 5 times per second.
fn update_bytes(vms: usize) -> usize {
    let mut absent = NumberedSet::starting_at(START);
    for number in 0..vms / 10 {
        absent.insert(Absent::Backend(BackendName::new(format!(
            "backend-{number:06}"
        ))));
    }
    let mut known = absent.number();
    let mut bytes = 0;
    for number in 0..20 {
        let vm = Absent::Entry(VmName::new(format!("entry-{number:06}")));
        for is_back in [false, true] {
            let changed = if is_back {
                absent.remove(&vm)
            } else {
                absent.insert(vm.clone())
            };
            assert!(changed);
            let update = absent.update_from(known);
            known = update.number;
            bytes += postcard::to_stdvec(&update).unwrap().len();
        }
    }
    bytes
}

#[test]
fn test_update_size_is_independent_of_the_number_of_entry_vms() {
    let (small, large) = (update_bytes(100), update_bytes(400));
    println!("bytes for 40 changes: {small} with 100 entry VMs, {large} with 400");
    assert_eq!(small, large);
}
