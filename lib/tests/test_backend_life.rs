//! Backend servers that start again under the name that they had, and announcements that name
//! none to use.

mod dispatch_model;

use std::net::SocketAddr;
use std::time::Duration;

use dispatch_model::Probe;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::encoding;
use heatherring_lib::fleet_record::BackendChange;
use heatherring_lib::fleet_record::BackendIncarnation;
use heatherring_lib::fleet_record::BackendRecord;
use heatherring_lib::fleet_record::BackendState;
use heatherring_lib::fleet_record::RecordProblem;
use heatherring_lib::fleet_state::FleetState;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::ServiceName;
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
    }
}

fn change(name: &str, record: BackendRecord) -> BackendChange {
    BackendChange {
        backend: BackendName::new(name),
        record,
        reclaims: false,
    }
}

fn life(name: &str, born: u64) -> BackendIncarnation {
    BackendIncarnation {
        backend: BackendName::new(name),
        born,
    }
}

/// A state and the log position that it has come to.
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
        self.state.withdraw(index, &life("one", born));
    }

    /// Goes through a snapshot, as at a restart or at a replica that lags.
    fn restart(&mut self) {
        let snapshot = encoding::encode(1, &self.state).unwrap();
        self.state = encoding::decode(1, &snapshot).unwrap();
    }

    fn known(&self, name: &str) -> Option<(u64, u64, BackendState)> {
        let known = self.state.backend(&BackendName::new(name))?;
        Some((known.born, known.sequence, known.state))
    }
}

/// Symptom: a backend server that was started again gets no requests for as long as it runs.
/// Sequence: it crashes and starts under its name; its announcements count from 1. Cause: a
/// lower number than the last one of its earlier life was taken for a late announcement.
#[rstest]
#[case::at_once(false)]
#[case::through_a_snapshot(true)]
fn test_a_later_birth_counts_anew(#[case] restart: bool) {
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

/// "Gone" binds the life that it was said of, and those before: a late announcement of these
/// brings nothing back, and the next life is free.
#[rstest]
#[case::at_once(false)]
#[case::through_a_snapshot(true)]
fn test_gone_binds_one_life(#[case] restart: bool) {
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

/// Symptom: a backend server that has just started again isn't known. Sequence: its earlier
/// life is found silent, it starts again, and the order to forget it is carried out. Cause:
/// the order named no life.
#[test]
fn test_an_earlier_life_is_forgotten_alone() {
    let mut log = Log::new();
    log.announce("one", 2_000, 1, BackendState::Ready);
    log.state
        .forget_backends(Revision(5), &[life("one", 1_000)]);
    assert!(log.known("one").is_some());
    log.withdraw(1_000);
    assert!(log.known("one").is_some());
    log.state
        .forget_backends(Revision(6), &[life("one", 2_000)]);
    assert!(log.known("one").is_none());
}

/// Symptom: a backend server gets no requests for a heartbeat or two. Sequence: it starts at
/// the address of one that crashed; that one's last announcement, held up by a cut, comes
/// after its first. Cause: an address went to whoever was announced there last.
#[test]
fn test_a_late_announcement_takes_no_address_from_one_born_later() {
    let mut log = Log::new();
    log.announce("two", 2_000, 1, BackendState::Ready);
    log.announce("one", 1_000, 7, BackendState::Ready);
    assert_eq!(log.known("two"), Some((2_000, 1, BackendState::Ready)));
    assert_eq!(log.known("one"), Some((1_000, 7, BackendState::Superseded)));
    log.announce("three", 3_000, 1, BackendState::Ready);
    assert_eq!(log.known("two").unwrap().2, BackendState::Superseded);
}

/// Symptom: a backend server that was started again is spared as slow or hanging, or is sent
/// requests for data that it no longer has. Cause: what was learned was kept by name.
#[test]
fn test_nothing_learned_of_an_earlier_life_is_believed() {
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
    // A request of before that ends now tells nothing of the new life.
    probe.end(&in_flight, SendOutcome::Broken);
    probe.end(&first, SendOutcome::Broken);
    assert_eq!(probe.choose("17").name, first.name);
}

/// Symptom: for 3 s after a loss of all power, most backend servers get next to no requests,
/// and the rest are crowded. Sequence: backend servers start during the traffic and say that
/// they are cold for 3 s; that is committed. Long after, every entry VM starts anew, takes the
/// records over, and counts the 3 s from its own start. Cause: nobody committed that the cold
/// spell was over.
#[rstest]
#[case::nothing_new(|_: &mut BackendRecord| {}, false)]
#[case::later_announcement(|r: &mut BackendRecord| r.sequence = 9, false)]
#[case::less_cold(|r: &mut BackendRecord| r.cold_for = Duration::from_secs(1), false)]
#[case::cold_no_more(|r: &mut BackendRecord| r.cold_for = Duration::ZERO, true)]
#[case::leaving(|r: &mut BackendRecord| r.state = BackendState::Draining, true)]
#[case::born_again(|r: &mut BackendRecord| r.born = 2, true)]
fn test_what_an_announcement_adds(#[case] alter: fn(&mut BackendRecord), #[case] more: bool) {
    let mut known = record(1, 1, BackendState::Ready);
    known.cold_for = Duration::from_secs(3);
    let mut said = known.clone();
    alter(&mut said);
    assert_eq!(said.differs_materially_from(&known), more);
}

fn check(record: &BackendRecord, name: &str) -> Result<(), RecordProblem> {
    record.check(&BackendName::new(name), |place| place.as_str() == PLACE)
}

#[rstest]
#[case::sound(|_: &mut BackendRecord| {}, "one", true)]
#[case::no_name(|_: &mut BackendRecord| {}, "", false)]
#[case::long_name(|_: &mut BackendRecord| {}, &"x".repeat(300), false)]
#[case::no_service(|r: &mut BackendRecord| r.service = ServiceName::new(""), "one", false)]
#[case::unknown_place(|r: &mut BackendRecord| r.place = PlaceName::new("moon"), "one", false)]
#[case::no_port(|r: &mut BackendRecord| r.address.set_port(0), "one", false)]
#[case::no_address(|r: &mut BackendRecord| r.address.set_ip([0, 0, 0, 0].into()), "one", false)]
#[case::no_slots(|r: &mut BackendRecord| r.slots = 0, "one", false)]
#[case::odd_slots(|r: &mut BackendRecord| r.slots = u32::MAX, "one", false)]
#[case::for_ever_cold(|r: &mut BackendRecord| r.cold_for = Duration::MAX, "one", false)]
fn test_what_names_no_backend_server_to_use(
    #[case] alter: fn(&mut BackendRecord),
    #[case] name: &str,
    #[case] is_sound: bool,
) {
    let mut record = record(1, 1, BackendState::Ready);
    alter(&mut record);
    assert_eq!(check(&record, name).is_ok(), is_sound);
}

proptest! {
    /// Whatever order announcements and withdrawals come in, the latest life that wasn't
    /// withdrawn is known by its highest number.
    #[test]
    fn test_the_order_in_which_announcements_come_makes_no_difference(
        mut said in proptest::collection::vec((1_u64..4, 1_u64..6), 1..12),
        order in any::<u64>(),
        gone in proptest::option::of(1_u64..4),
    ) {
        let latest = said.iter().filter(|(born, _)| gone.is_none_or(|gone| *born > gone)).max().copied();
        let count = said.len();
        said.rotate_left(usize::try_from(order % 64).unwrap() % count);
        let mut log = Log::new();
        for (number, (born, sequence)) in said.into_iter().enumerate() {
            if let Some(gone) = gone.filter(|_| number == count / 2) {
                log.withdraw(gone);
            }
            log.announce("one", born, sequence, BackendState::Ready);
        }
        let known = log.known("one").map(|(born, sequence, _)| (born, sequence));
        proptest::prop_assert_eq!(known, latest);
    }
}
