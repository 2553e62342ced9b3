//! Tests of the choice of the control replica to follow.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::BackendName;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::VmName;
use heatherring_lib::presence_report::ReplicaEndpoints;
use heatherring_lib::replica_choice::ReplicaChoice;
use heatherring_lib::replica_choice::ReplicaSite;
use heatherring_lib::replica_choice::Unusable;
use heatherring_lib::replica_choice::nearest_announcement_address;
use rstest::rstest;

/// Three regions of three places; the first place of each has two replicas.
fn regions() -> BTreeMap<PlaceName, RegionName> {
    (0..9)
        .map(|n| (place(n), RegionName::new(format!("region-{}", n / 3))))
        .collect()
}

fn place(n: usize) -> PlaceName {
    PlaceName::new(format!("place-{n}"))
}

fn address(n: usize) -> SocketAddr {
    format!("10.0.0.{}:1", n + 1).parse().unwrap()
}

fn sites() -> Vec<ReplicaSite> {
    let site = |(n, place)| ReplicaSite {
        address: address(n),
        place: Some(place),
    };
    let places = (0..9).chain([0, 3, 6]).map(place);
    places.enumerate().map(site).collect()
}

fn choice(vm: usize, at: usize) -> ReplicaChoice {
    let vm = VmName::new(format!("entry-{vm}"));
    let mut choice = ReplicaChoice::new(vm, place(at), regions());
    choice.learn(&sites(), &[address(0), address(3)]);
    choice
}

fn place_of(address: SocketAddr) -> usize {
    let site = sites().into_iter().find(|site| site.address == address);
    let place = site.unwrap().place.unwrap();
    (0..9).find(|n| self::place(*n) == place).unwrap()
}

/// Guards against entry VMs that follow replicas drawn at random: at 300 VMs, control's messages
/// between regions then cost more than all answers to callers were worth.
#[test]
fn test_the_nearest_replica_is_followed_and_those_equally_near_share() {
    let now = Instant::now();
    let mut of_first = 0;
    for vm in 0..100 {
        let picked = choice(vm, 0).pick(now).unwrap();
        assert_eq!(place_of(picked), 0);
        of_first += usize::from(picked == address(0));
        assert_eq!(place_of(choice(vm, 4).pick(now).unwrap()), 4);
    }
    assert!((30..=70).contains(&of_first), "{of_first}");
}

/// If the near replicas are unusable, those of the region are chosen, evenly, then the others. If
/// all are in back-off, all are tried in turn.
#[test]
fn test_unusable_replicas_are_replaced_by_farther_ones() {
    let now = Instant::now();
    let mut taken = BTreeMap::new();
    for vm in 0..90 {
        let mut choice = choice(vm, 4);
        choice.back_off(address(4), now, Unusable::Unresponsive, 0.5);
        *taken.entry(choice.pick(now).unwrap()).or_insert(0) += 1;
        for near in [3, 5, 10] {
            choice.back_off(address(near), now, Unusable::NotCurrent, 0.5);
        }
        assert_ne!(place_of(choice.pick(now).unwrap()) / 3, 1);
        let mut asked = Vec::new();
        for n in 0..24 {
            let at = now + Duration::from_millis(n);
            let next = choice.pick(at).unwrap();
            choice.back_off(next, at, Unusable::Unresponsive, 0.0);
            asked.push(next);
        }
        asked.sort_unstable();
        asked.dedup();
        assert_eq!(asked.len(), 12);
    }
    assert_eq!(taken.len(), 3, "{taken:?}");
    assert!(taken.values().all(|count| *count >= 15), "{taken:?}");
}

/// Guards against a returning replica that is contacted by all entry VMs of its failure domain at
/// the same moment: they all failed at once and would retry after equal delays.
#[test]
fn test_a_nearer_replica_is_returned_to_and_not_by_all_at_once() {
    let now = Instant::now();
    let mut back_at = Vec::new();
    for vm in 0..20_u32 {
        let mut choice = choice(0, 4);
        choice.back_off(
            address(4),
            now,
            Unusable::Unresponsive,
            f64::from(vm) / 20.0,
        );
        let farther = choice.pick(now).unwrap();
        choice.note_usable(farther);
        assert_eq!(choice.nearer_than(farther, now), None);
        let step = |n: &u64| {
            choice
                .nearer_than(farther, now + Duration::from_millis(n * 10))
                .is_some()
        };
        back_at.push((0..400).find(step).unwrap());
        assert_eq!(
            choice.nearer_than(address(4), now + Duration::from_secs(9)),
            None
        );
    }
    back_at.dedup();
    assert!(back_at.len() >= 15, "{back_at:?}");
}

/// Guards against an entry VM that learns late that a backend server is leaving; a request was sent
/// to one 2.9 s after its leave had been confirmed. The near replica was partitioned from the
/// others and reported that it was not current, and the usable farther replica was left for it
/// twice per second.
#[test]
fn test_a_usable_replica_is_not_left_for_a_recently_unusable_one() {
    let now = Instant::now();
    for draw in [0.0, 0.5, 1.0] {
        let mut choice = choice(0, 4);
        choice.back_off(address(4), now, Unusable::NotCurrent, draw);
        let farther = choice.pick(now).unwrap();
        choice.note_usable(farther);
        for millis in [200, 600, 1_000, 1_900] {
            assert_eq!(
                choice.nearer_than(farther, now + Duration::from_millis(millis)),
                None
            );
        }
        assert!(
            choice
                .nearer_than(farther, now + Duration::from_secs(4))
                .is_some()
        );
        // A replica that has become unusable may be left at once.
        let later = now + Duration::from_millis(300);
        choice.back_off(farther, later, Unusable::Unresponsive, draw);
        assert_eq!(choice.pick(later), Some(address(4)));
    }
}

/// A replica is tried again within 4 s however often it failed to answer, since a region that was
/// partitioned has its own replicas back by then.
#[rstest]
#[case::silent(Unusable::Unresponsive, 4_000)]
#[case::not_current(Unusable::NotCurrent, 1_000)]
fn test_backoff_of_a_replica_is_bounded(#[case] why: Unusable, #[case] millis: u64) {
    let now = Instant::now();
    let mut choice = choice(0, 4);
    for _ in 0..40 {
        choice.back_off(address(4), now, why, 1.0);
    }
    assert_eq!(
        choice.pick(now + Duration::from_millis(millis)),
        Some(address(4))
    );
}

/// Guards against probing only replicas that are likely to fail together.
#[test]
fn test_replicas_probed_in_parallel_are_spread_over_regions() {
    let now = Instant::now();
    for vm in 0..30 {
        let mut choice = choice(vm, 4);
        let picked = choice.pick_spread(now, None, 3);
        let regions: Vec<usize> = picked.iter().map(|at| place_of(*at) / 3).collect();
        assert_eq!(picked.first(), Some(&address(4)));
        assert_eq!(
            regions.iter().collect::<BTreeSet<_>>().len(),
            3,
            "{regions:?}"
        );
        let besides = choice.pick_spread(now, Some(address(3)), 12);
        assert_eq!(besides.len(), 11, "each once, without the excepted replica");
        let from_first = choice.pick_spread(now, Some(address(4)), 1);
        assert_eq!(place_of(from_first[0]) / 3, 1);
        assert_ne!(place_of(from_first[0]), 4);
        choice.back_off(address(4), now, Unusable::Unresponsive, 0.5);
        let without = choice.pick_spread(now, None, 12);
        assert!(!without.contains(&address(4)));
        for n in 0..12 {
            choice.back_off(address(n), now, Unusable::Unresponsive, 0.5);
        }
        assert_eq!(
            choice.pick_spread(now, None, 3).len(),
            3,
            "all are in back-off"
        );
    }
}

/// A nearer replica that answered later than a farther one is not tried again at once.
#[test]
fn test_return_to_a_passed_over_replica_is_deferred() {
    let now = Instant::now();
    let mut choice = choice(0, 4);
    let farther = address(0);
    choice.defer_return(address(4), now, 0.5);
    let after = |millis| now + Duration::from_millis(millis);
    assert_eq!(choice.nearer_than(farther, after(1_900)), None);
    assert_eq!(choice.nearer_than(farther, after(4_000)), Some(address(4)));
}

/// A seed is contacted while nothing better is known, and replicas that were removed from the list
/// are not.
#[test]
fn test_seeds_are_used_until_the_list_is_known() {
    let now = Instant::now();
    let mut choice = ReplicaChoice::new(VmName::new("entry-1"), place(4), regions());
    assert_eq!(choice.pick(now), None);
    choice.learn(&[], &[address(0)]);
    assert_eq!(choice.pick(now), Some(address(0)));
    choice.learn(&sites(), &[address(0)]);
    assert_eq!(choice.pick(now), Some(address(4)));
    let without: Vec<ReplicaSite> = sites()
        .into_iter()
        .filter(|s| s.address != address(4))
        .collect();
    choice.learn(&without, &[address(0)]);
    assert_ne!(choice.pick(now), Some(address(4)));
}

#[test]
fn test_backend_servers_are_sent_to_near_replicas_evenly() {
    let origins: Vec<ReplicaEndpoints> = sites()
        .into_iter()
        .map(|site| ReplicaEndpoints {
            address: site.address,
            announcements: Some(site.address),
            place: site.place.unwrap(),
        })
        .collect();
    let at = |n: usize, from: &[ReplicaEndpoints]| {
        let name = BackendName::new(format!("backend-{n}"));
        nearest_announcement_address(&regions(), &place(0), &name, from.iter())
    };
    let first = (0..200)
        .filter(|n| at(*n, &origins) == Some(address(0)))
        .count();
    assert!((70..=130).contains(&first), "{first}");
    assert!((0..200).all(|n| place_of(at(n, &origins).unwrap()) == 0));
    let far: Vec<ReplicaEndpoints> = origins
        .iter()
        .filter(|o| o.place != place(0))
        .cloned()
        .collect();
    assert!((0..200).all(|n| place_of(at(n, &far).unwrap()) / 3 == 0));
    assert_eq!(at(0, &[]), None);
}
