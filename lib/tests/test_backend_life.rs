//! Backend servers that restart under the same name, and validation of announcements.

mod dispatch_model;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use dispatch_model::Probe;
use heatherring_lib::announcement_decision::AnnouncementDecision;
use heatherring_lib::announcement_decision::SenderObservation;
use heatherring_lib::announcement_decision::decide;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::encoding;
use heatherring_lib::fleet_record::BackendChange;
use heatherring_lib::fleet_record::BackendIncarnation;
use heatherring_lib::fleet_record::BackendRecord;
use heatherring_lib::fleet_record::BackendState;
use heatherring_lib::fleet_record::RecordProblem;
use heatherring_lib::fleet_state::FleetState;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VersionName;
use proptest::prelude::any;
use proptest::proptest;
use rstest::rstest;

const PLACE: &str = "fko-hakata";

fn record(born: u64, sequence: u64, state: BackendState) -> BackendRecord {
    BackendRecord {
        service: ServiceName::new("registry"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        place: PlaceName::new(PLACE),
        slots: 3,
        state,
        born,
        sequence,
        cold_for: Duration::ZERO,
        version: VersionName::new(""),
    }
}

fn change(name: &str, record: BackendRecord) -> BackendChange {
    BackendChange {
        backend: BackendName::new(name),
        record,
        reclaims: false,
    }
}

fn incarnation(name: &str, born: u64) -> BackendIncarnation {
    BackendIncarnation {
        backend: BackendName::new(name),
        born,
    }
}

/// Fleet state together with the index of its last log entry.
struct Log {
    state: FleetState,
    index: u64,
}

impl Log {
    fn new() -> Self {
        Self {
            state: FleetState::default(),
            index: 0,
        }
    }

    fn next(&mut self) -> Revision {
        self.index += 1;
        Revision(self.index)
    }

    fn announce(&mut self, name: &str, born: u64, sequence: u64, state: BackendState) {
        let index = self.next();
        let change = change(name, record(born, sequence, state));
        self.state.announce(index, &[change]);
    }

    fn withdraw(&mut self, born: u64) {
        let index = self.next();
        self.state.withdraw(index, &incarnation("one", born));
    }

    /// Restores the state from a snapshot, as after a restart or at a lagging replica.
    fn restart(&mut self) {
        let snapshot = encoding::encode(1, &self.state).unwrap();
        self.state = encoding::decode(1, &snapshot).unwrap();
    }

    fn known(&self, name: &str) -> Option<(u64, u64, BackendState)> {
        let known = self.state.backend(&BackendName::new(name))?;
        Some((known.born, known.sequence, known.state))
    }
}

/// The rules for who holds an address, applied by walking over all backend servers.
#[derive(Default)]
struct Addresses(BTreeMap<BackendName, BackendRecord>);

impl Addresses {
    fn announce(&mut self, change: &BackendChange) {
        let BackendChange {
            backend, record, ..
        } = change;
        if let Some(known) = self.0.get(backend) {
            let superseded = known.state == BackendState::Superseded && !change.reclaims;
            if record.stamp() <= known.stamp() || (superseded && record.born == known.born) {
                return;
            }
        }
        let mut record = record.clone();
        let address = record.address;
        let holds = |other: &BackendRecord| {
            other.address == address && other.state != BackendState::Superseded
        };
        let mut others = self.0.iter_mut().filter(|(name, _)| *name != backend);
        if others.any(|(_, other)| holds(other) && record.born > 0 && other.born > record.born) {
            record.state = BackendState::Superseded;
        } else {
            let others = self.0.iter_mut().filter(|(name, _)| *name != backend);
            for (_, other) in others.filter(|(_, other)| holds(other)) {
                other.state = BackendState::Superseded;
            }
        }
        self.0.insert(backend.clone(), record);
    }
}

proptest! {
    /// Guards against an index of addresses that differs from the records, also after a restart, and
    /// against an entry VM that misses a backend server which lost its address to another one.
    #[test]
    fn test_addresses_are_held_as_if_all_records_were_searched(
        announced in proptest::collection::vec(
            (0_u8..6, 1_u16..4, 0_u64..4, 0_u64..6, any::<bool>(), any::<bool>(), any::<bool>()),
            1..60,
        ),
    ) {
        let mut log = Log::new();
        let mut expected = Addresses::default();
        let mut follower = FleetView::default();
        for (number, port, born, sequence, reclaims, forgets, restarts) in announced {
            let name = format!("backend-{number}");
            let mut record = record(born, sequence, BackendState::Ready);
            record.address.set_port(port);
            let change = BackendChange { reclaims, ..change(&name, record) };
            let index = log.next();
            log.state.announce(index, std::slice::from_ref(&change));
            expected.announce(&change);
            if forgets {
                let index = log.next();
                log.state.forget_backends(index, &[incarnation(&name, born)]);
                expected.0.retain(|known, record| *known != change.backend || record.born > born);
            }
            if restarts {
                log.restart();
                let update = log.state.update_from(follower.revision).unwrap();
                follower = follower.updated(&update).unwrap();
            }
        }
        let known: BTreeMap<BackendName, BackendRecord> = log
            .state
            .backends()
            .map(|(name, record)| (name.clone(), record.clone()))
            .collect();
        assert_eq!(known, expected.0);
        let update = log.state.update_from(follower.revision).unwrap();
        let whole = log.state.update_from(Revision(0)).unwrap();
        let whole = FleetView::default().updated(&whole).unwrap();
        assert_eq!(follower.updated(&update).unwrap().backends, whole.backends);
    }
}

/// Guards against requests to a draining backend server whose address another one had taken over,
/// after a ready announcement of it that was delayed.
#[rstest]
#[case::directly(false)]
#[case::through_a_snapshot(true)]
fn test_draining_without_its_address_is_final(#[case] restart: bool) {
    let mut log = Log::new();
    log.announce("one", 0, 1, BackendState::Ready);
    log.announce("two", 0, 1, BackendState::Ready);
    assert_eq!(log.known("one"), Some((0, 1, BackendState::Superseded)));
    log.announce("one", 0, 3, BackendState::Draining);
    if restart {
        log.restart();
    }
    let delayed = BackendChange {
        reclaims: true,
        ..change("one", record(0, 2, BackendState::Ready))
    };
    let index = log.next();
    log.state.announce(index, &[delayed]);
    assert_eq!(log.known("one"), None);
    assert_eq!(log.known("two"), Some((0, 1, BackendState::Ready)));
}

/// Guards against requests to a draining backend server whose address another one had taken over:
/// its announcement has to be committed, although it changes nothing for now.
#[rstest]
#[case::successor_alive(false)]
#[case::successor_silent(true)]
fn test_draining_without_its_address_is_committed(#[case] may_reclaim: bool) {
    let mut log = Log::new();
    log.announce("one", 0, 1, BackendState::Ready);
    log.announce("two", 0, 1, BackendState::Ready);
    let draining = change("one", record(0, 2, BackendState::Draining));
    let observed = SenderObservation {
        may_reclaim,
        new_cold_phase: false,
    };
    let decision = decide(&log.state, &draining.backend, &draining.record, observed);
    assert_eq!(decision, AnnouncementDecision::Commit(draining));
}

/// Guards against requests to a draining backend server whose address another one takes over: the
/// state must not lose that it drains.
#[rstest]
#[case::successor_announced_later(1_000, 2_000, true)]
#[case::successor_known_already(1_000, 2_000, false)]
#[case::starts_unknown(0, 0, true)]
fn test_draining_is_final_when_its_address_is_taken_over(
    #[case] born: u64,
    #[case] born_of_successor: u64,
    #[case] drains_first: bool,
) {
    let mut log = Log::new();
    if drains_first {
        log.announce("one", born, 3, BackendState::Draining);
        log.announce("two", born_of_successor, 1, BackendState::Ready);
    } else {
        log.announce("two", born_of_successor, 1, BackendState::Ready);
        log.announce("one", born, 3, BackendState::Draining);
    }
    let index = log.next();
    log.state
        .forget_backends(index, &[incarnation("one", born)]);
    log.announce("one", born, 2, BackendState::Ready);
    assert_eq!(log.known("one"), None);
    assert_eq!(
        log.known("two"),
        Some((born_of_successor, 1, BackendState::Ready))
    );
}

/// Guards against the confirmation of a draining announcement that the state passes over.
#[rstest]
#[case::ready_since(2, 3, BackendState::Ready, AnnouncementDecision::Overtaken)]
#[case::same_number(3, 3, BackendState::Ready, AnnouncementDecision::Overtaken)]
#[case::draining_since(2, 3, BackendState::Draining, AnnouncementDecision::Unchanged)]
#[case::repeated(3, 3, BackendState::Draining, AnnouncementDecision::Unchanged)]
fn test_draining_is_not_confirmed_when_overtaken(
    #[case] sequence: u64,
    #[case] known_sequence: u64,
    #[case] known: BackendState,
    #[case] expected: AnnouncementDecision,
) {
    let mut log = Log::new();
    log.announce("one", 1_000, known_sequence, known);
    let draining = change("one", record(1_000, sequence, BackendState::Draining));
    let observed = SenderObservation {
        may_reclaim: true,
        new_cold_phase: false,
    };
    let decision = decide(&log.state, &draining.backend, &draining.record, observed);
    assert_eq!(decision, expected);
}

/// Guards against requests to a draining backend server that was silent for so long that control
/// forgot it: a replica that was frozen still had a ready announcement of it to commit.
#[rstest]
#[case::directly(false)]
#[case::through_a_snapshot(true)]
fn test_draining_is_final_when_forgotten(#[case] restart: bool) {
    let mut log = Log::new();
    log.announce("one", 1_000, 3, BackendState::Draining);
    let index = log.next();
    log.state
        .forget_backends(index, &[incarnation("one", 1_000)]);
    if restart {
        log.restart();
    }
    log.announce("one", 1_000, 2, BackendState::Ready);
    assert_eq!(log.known("one"), None);
    log.announce("one", 2_000, 1, BackendState::Ready);
    assert_eq!(log.known("one"), Some((2_000, 1, BackendState::Ready)));
}

/// Guards against a restarted backend server that never receives requests again: announcements
/// of the new process are numbered from 1, and a number lower than the last one of the previous
/// process must not be mistaken for a delayed announcement.
#[rstest]
#[case::directly(false)]
#[case::through_a_snapshot(true)]
fn test_announcements_of_a_restarted_process_number_anew(#[case] restart: bool) {
    let mut log = Log::new();
    log.announce("one", 1_000, 7, BackendState::Draining);
    if restart {
        log.restart();
    }
    log.announce("one", 2_000, 1, BackendState::Ready);
    assert_eq!(log.known("one"), Some((2_000, 1, BackendState::Ready)));
    log.announce("one", 1_000, 8, BackendState::Draining);
    assert_eq!(log.known("one"), Some((2_000, 1, BackendState::Ready)));
    log.announce("one", 2_000, 1, BackendState::Draining);
    assert_eq!(log.known("one"), Some((2_000, 1, BackendState::Ready)));
}

/// A withdrawal applies to the named process instance and to earlier ones: a delayed
/// announcement of these restores nothing, and the next instance can register.
#[rstest]
#[case::directly(false)]
#[case::through_a_snapshot(true)]
fn test_withdrawal_applies_to_one_process_instance(#[case] restart: bool) {
    let mut log = Log::new();
    log.announce("one", 1_000, 7, BackendState::Ready);
    log.withdraw(1_000);
    if restart {
        log.restart();
    }
    log.announce("one", 1_000, 8, BackendState::Ready);
    assert_eq!(log.known("one"), None);
    log.announce("one", 2_000, 1, BackendState::Ready);
    assert_eq!(log.known("one"), Some((2_000, 1, BackendState::Ready)));
    log.announce("one", 1_000, 9, BackendState::Ready);
    assert_eq!(log.known("one"), Some((2_000, 1, BackendState::Ready)));
}

/// Guards against forgetting a backend server that has just restarted: its previous process is
/// found silent, the server restarts, and only then is the command to forget it executed. The
/// command has to name the process instance.
#[test]
fn test_forgetting_an_earlier_instance_keeps_the_current_one() {
    let mut log = Log::new();
    log.announce("one", 2_000, 1, BackendState::Ready);
    log.state
        .forget_backends(Revision(5), &[incarnation("one", 1_000)]);
    assert!(log.known("one").is_some());
    log.withdraw(1_000);
    assert!(log.known("one").is_some());
    log.state
        .forget_backends(Revision(6), &[incarnation("one", 2_000)]);
    assert!(log.known("one").is_none());
}

/// Guards against a backend server without requests for one or two heartbeats: it starts at the
/// address of a crashed server whose last announcement, delayed by a network partition, arrives
/// after its own first one. The address must not go to the server that was announced there
/// last.
#[test]
fn test_a_delayed_announcement_takes_no_address_from_a_later_instance() {
    let mut log = Log::new();
    log.announce("two", 2_000, 1, BackendState::Ready);
    log.announce("one", 1_000, 7, BackendState::Ready);
    assert_eq!(log.known("two"), Some((2_000, 1, BackendState::Ready)));
    assert_eq!(log.known("one"), Some((1_000, 7, BackendState::Superseded)));
    log.announce("three", 3_000, 1, BackendState::Ready);
    assert_eq!(log.known("two").unwrap().2, BackendState::Superseded);
}

/// Guards against a restarted backend server that is avoided as slow or hanging, or that
/// receives requests for data it no longer has cached, because observations were kept by name
/// across the restart.
#[test]
fn test_observations_of_an_earlier_instance_are_dropped() {
    let mut probe = Probe::new();
    let first = probe.choose("17");
    probe.end(&first, SendOutcome::Broken);
    let second = probe.choose("17");
    probe.end(&second, SendOutcome::Broken);
    let in_flight = probe.choose("18");
    assert_ne!(probe.choose("17").name, first.name);
    probe.restart_backends(1_000);
    let fresh = probe.choose("17");
    assert_eq!((&fresh.name, fresh.born), (&first.name, 1_000));
    assert_eq!(fresh.wait, Duration::ZERO);
    // A request of the previous process that ends now says nothing about the new one.
    probe.end(&in_flight, SendOutcome::Broken);
    probe.end(&first, SendOutcome::Broken);
    assert_eq!(probe.choose("17").name, first.name);
}

/// Guards against entry VMs that treat warm backend servers as cold for 3 s after a restart of
/// all VMs, so that most servers receive next to no requests and the rest are overloaded.
/// Backend servers that start under traffic announce that they are cold for 3 s, and this is
/// committed. Entry VMs that start long afterwards apply these records and count the 3 s from
/// their own start, unless the end of the cold period was committed as well.
#[rstest]
#[case::nothing_new(|_: &mut BackendRecord| {}, false)]
#[case::later_announcement(|r: &mut BackendRecord| r.sequence = 9, false)]
#[case::less_cold(|r: &mut BackendRecord| r.cold_for = Duration::from_secs(1), false)]
#[case::no_longer_cold(|r: &mut BackendRecord| r.cold_for = Duration::ZERO, true)]
#[case::leaving(|r: &mut BackendRecord| r.state = BackendState::Draining, true)]
#[case::restarted(|r: &mut BackendRecord| r.born = 2, true)]
fn test_announcement_differs_materially(
    #[case] alter: fn(&mut BackendRecord),
    #[case] differs: bool,
) {
    let mut known = record(1, 1, BackendState::Ready);
    known.cold_for = Duration::from_secs(3);
    let mut announced = known.clone();
    alter(&mut announced);
    assert_eq!(announced.differs_materially_from(&known), differs);
}

fn check(record: &BackendRecord, name: &str) -> Result<(), RecordProblem> {
    record.check(&BackendName::new(name), |place| place.as_str() == PLACE)
}

#[rstest]
#[case::valid(|_: &mut BackendRecord| {}, "one", true)]
#[case::no_name(|_: &mut BackendRecord| {}, "", false)]
#[case::long_name(|_: &mut BackendRecord| {}, &"x".repeat(300), false)]
#[case::no_service(|r: &mut BackendRecord| r.service = ServiceName::new(""), "one", false)]
#[case::unknown_place(|r: &mut BackendRecord| r.place = PlaceName::new("moon"), "one", false)]
#[case::no_port(|r: &mut BackendRecord| r.address.set_port(0), "one", false)]
#[case::no_address(|r: &mut BackendRecord| r.address.set_ip([0, 0, 0, 0].into()), "one", false)]
#[case::no_slots(|r: &mut BackendRecord| r.slots = 0, "one", false)]
#[case::odd_slots(|r: &mut BackendRecord| r.slots = u32::MAX, "one", false)]
#[case::endless_cold(|r: &mut BackendRecord| r.cold_for = Duration::MAX, "one", false)]
fn test_record_check(
    #[case] alter: fn(&mut BackendRecord),
    #[case] name: &str,
    #[case] is_valid: bool,
) {
    let mut record = record(1, 1, BackendState::Ready);
    alter(&mut record);
    assert_eq!(check(&record, name).is_ok(), is_valid);
}

proptest! {
    /// In whatever order announcements and withdrawals arrive, the latest process instance that
    /// was not withdrawn is known with its highest sequence number.
    #[test]
    fn test_the_order_in_which_announcements_come_makes_no_difference(
        mut announced in proptest::collection::vec((1_u64..4, 1_u64..6), 1..12),
        order in any::<u64>(),
        withdrawn in proptest::option::of(1_u64..4),
    ) {
        let latest = announced.iter().filter(|(born, _)| withdrawn.is_none_or(|last| *born > last)).max().copied();
        let count = announced.len();
        announced.rotate_left(usize::try_from(order % 64).unwrap() % count);
        let mut log = Log::new();
        for (number, (born, sequence)) in announced.into_iter().enumerate() {
            if let Some(withdrawn) = withdrawn.filter(|_| number == count / 2) {
                log.withdraw(withdrawn);
            }
            log.announce("one", born, sequence, BackendState::Ready);
        }
        let known = log.known("one").map(|(born, sequence, _)| (born, sequence));
        proptest::prop_assert_eq!(known, latest);
    }
}
