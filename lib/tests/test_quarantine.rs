//! Which requests are quarantined for crashing backend servers, and which are not.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Instant;

use heatherring_lib::crash_evidence::CrashEvidence;
use heatherring_lib::crash_evidence::Treatment;
use heatherring_lib::fleet_record::BackendIncarnation;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::Revision;
use heatherring_lib::quarantine::Ended;
use heatherring_lib::quarantine::InFlightRequest;
use heatherring_lib::quarantine::Quarantine;
use heatherring_lib::quarantine::SuspectNote;
use heatherring_lib::quarantine::Verdict;
use heatherring_lib::quarantine_times::QuarantineTimes;
use heatherring_lib::quarantine_times::RELEASE_AFTER;
use heatherring_lib::request_fingerprint::CallerTag;
use heatherring_lib::request_fingerprint::Fingerprint;
use heatherring_lib::request_fingerprint::FingerprintKey;
use heatherring_lib::request_fingerprint::RequestContent;
use heatherring_lib::request_fingerprint::RequestTag;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const CONTENT: RequestContent<'_> = RequestContent {
    method: "POST",
    host: "registry.example",
    path: "/bookings/7?day=2",
    body: b"cube",
};

fn key() -> FingerprintKey {
    FingerprintKey::of_cluster(ClusterId([7; 16]))
}

fn request(number: usize) -> Fingerprint {
    let path = format!("/{number}");
    let content = RequestContent {
        path: &path,
        ..CONTENT
    };
    Fingerprint::of(&key(), &content)
}

fn caller(number: u8) -> CallerTag {
    CallerTag::of(&key(), IpAddr::V4(Ipv4Addr::new(127, 0, 0, number)))
}

fn life(number: usize) -> BackendIncarnation {
    BackendIncarnation {
        backend: BackendName::new(format!("backend-{number}")),
        born: 0,
    }
}

fn in_flight(number: usize, from: u8, watched: bool) -> InFlightRequest {
    let tag = RequestTag {
        content: request(number),
        caller: caller(from),
    };
    InFlightRequest { tag, watched }
}

fn note(backend: usize, requests: Vec<InFlightRequest>) -> SuspectNote {
    let life = life(backend);
    SuspectNote::Ended(Ended { life, requests })
}

/// Returns the end of a backend server under requests of one caller that were sent before any was
/// suspected.
fn ended(backend: usize, requests: &[usize]) -> SuspectNote {
    let requests = requests.iter().map(|number| in_flight(*number, 1, false));
    note(backend, requests.collect())
}

/// Returns the end of a backend server under requests that were known to be watched.
fn ended_watched(backend: usize, requests: &[usize]) -> SuspectNote {
    let requests = requests.iter().map(|number| in_flight(*number, 1, true));
    note(backend, requests.collect())
}

/// Returns the end of a backend server under request 0 of the caller `from`, known to be watched.
fn ended_from(backend: usize, from: u8) -> SuspectNote {
    note(backend, vec![in_flight(0, from, true)])
}

fn answered(number: usize, from: u8) -> SuspectNote {
    SuspectNote::Answered(in_flight(number, from, false).tag)
}

/// Applies notes one after the other.
fn state_after(notes: impl IntoIterator<Item = SuspectNote>) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (index, note) in (1..).zip(notes) {
        quarantine.note(Revision(index), &[note]);
    }
    quarantine
}

/// Returns how request 0 of each of three callers is treated.
fn treatments(quarantine: &Quarantine) -> [Option<Treatment>; 3] {
    let mut evidence = CrashEvidence::default();
    evidence.apply_verdicts(quarantine.verdicts());
    [1, 2, 3].map(|from| evidence.treatment(&in_flight(0, from, false).tag))
}

macro_rules! other_request_cases {
    ($($name:ident: $($field:ident = $value:expr),+;)*) => {
        $(
            #[test]
            fn $name() {
                let other = RequestContent { $($field: $value,)+ ..CONTENT };
                assert_ne!(Fingerprint::of(&key(), &CONTENT), Fingerprint::of(&key(), &other));
            }
        )*
    };
}

other_request_cases! {
    test_fingerprint_of_another_method: method = "PUT";
    test_fingerprint_of_another_host: host = "certdesk.example";
    test_fingerprint_of_another_query: path = "/bookings/7?day=3";
    test_fingerprint_of_another_body: body = b"cubes";
    test_fingerprint_of_shifted_fields: path = "/bookings/7?day=2c", body = b"ube";
}

#[test]
fn test_fingerprint_depends_on_the_key() {
    let other = FingerprintKey::of_cluster(ClusterId([8; 16]));
    assert_ne!(
        Fingerprint::of(&key(), &CONTENT),
        Fingerprint::of(&other, &CONTENT)
    );
}

#[test]
fn test_caller_tag_is_the_same_for_a_mapped_address() {
    let mapped = IpAddr::V6(Ipv4Addr::LOCALHOST.to_ipv6_mapped());
    let plain = IpAddr::V4(Ipv4Addr::LOCALHOST);
    assert_eq!(CallerTag::of(&key(), plain), CallerTag::of(&key(), mapped));
    assert_ne!(caller(1), caller(2));
}

#[test]
fn test_fingerprint_is_read_as_it_is_displayed() {
    let fingerprint = Fingerprint::of(&key(), &CONTENT);
    assert_eq!(
        Fingerprint::parse(&fingerprint.to_string()),
        Some(fingerprint)
    );
    for text in ["", "12", "+0000000000000000000000000000000", "zz"] {
        assert_eq!(Fingerprint::parse(text), None, "{text}");
    }
}

macro_rules! verdict_cases {
    ($($name:ident: [$($note:expr),*] => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(treatments(&state_after([$($note),*])), $expected);
            }
        )*
    };
}

const FREE: [Option<Treatment>; 3] = [None; 3];
const WATCHED: [Option<Treatment>; 3] = [Some(Treatment::Watched); 3];
const FIRST: [Option<Treatment>; 3] = [
    Some(Treatment::Quarantined),
    Some(Treatment::Watched),
    Some(Treatment::Watched),
];
const ALL: [Option<Treatment>; 3] = [Some(Treatment::Quarantined); 3];

verdict_cases! {
    test_quarantine_one_that_ended: [ended(1, &[0])] => FREE;
    test_quarantine_two_that_ended: [ended(1, &[0]), ended(2, &[0])] => WATCHED;
    test_quarantine_three_that_ended_at_once:
        [ended(1, &[0]), ended(2, &[0]), ended(3, &[0])] => WATCHED;
    test_quarantine_three_that_ended:
        [ended(1, &[0]), ended(2, &[0]), ended_watched(3, &[0])] => FIRST;
    test_quarantine_of_all_once_it_comes_from_elsewhere:
        [ended(1, &[0]), ended(2, &[0]), ended_from(3, 2)] => ALL;
    test_quarantine_of_one_stays_with_one:
        [ended(1, &[0]), ended(2, &[0]), ended_watched(3, &[0]), ended_watched(4, &[0])] => FIRST;
    test_quarantine_one_reported_by_three_entry_vms:
        [ended(1, &[0]), ended_watched(1, &[0, 5]), ended(1, &[0])] => FREE;
    test_quarantine_an_answer_clears:
        [ended(1, &[0]), ended(2, &[0]), answered(0, 1), ended_watched(3, &[0])] => FREE;
    test_quarantine_an_answer_to_another_clears_nobody:
        [ended(1, &[0]), ended(2, &[0]), answered(0, 2), ended_watched(3, &[0])] => FIRST;
    test_quarantine_an_answer_from_before_the_verdict:
        [ended(1, &[0]), ended(2, &[0]), ended_watched(3, &[0]), answered(0, 1)] => FIRST;
    test_quarantine_answers_outweigh_ends_from_anywhere:
        [ended(1, &[0]), ended_from(2, 2), answered(0, 3), answered(0, 3), ended_from(3, 2),
         ended_from(4, 1), answered(0, 3)] => WATCHED;
    test_quarantine_ends_from_anywhere_outweigh_answers:
        [ended(1, &[0]), ended_from(2, 2), answered(0, 3), ended_from(3, 4), ended_from(4, 5)]
            => ALL;
    test_quarantine_of_another_explains_what_came_before:
        [ended(1, &[0, 9]), ended(2, &[0, 9]), ended_watched(3, &[9])] => FREE;
    test_quarantine_of_two_alike:
        [ended(1, &[0, 9]), ended(2, &[0, 9]), ended_watched(3, &[0, 9])] => FIRST;
    test_quarantine_of_two_alike_the_other_way_round:
        [ended(1, &[0, 1]), ended(2, &[0, 1]), ended_watched(3, &[0, 1])] => FIRST;
    test_quarantine_of_another_explains_what_comes_after:
        [ended(1, &[9]), ended(2, &[9]), ended_watched(3, &[9]), ended(4, &[0, 9]),
         ended(5, &[0, 9]), ended_watched(6, &[0, 9])] => FREE;
    test_quarantine_of_another_explains_nothing_it_had_no_part_in:
        [ended(1, &[0, 9]), ended(2, &[9]), ended_watched(3, &[9]), ended(4, &[0]),
         ended(5, &[0]), ended_watched(6, &[0])] => FIRST;
}

/// Symptom: callers of a path that accounts for half of all requests are refused for minutes.
/// Sequence: a failure domain is lost, and the path was in flight on each of its backend servers.
/// Cause: more than three ended under it. All of them ended before any entry VM could know that it
/// is suspected; the first answers clear it.
#[test]
fn test_quarantine_spares_a_popular_request_on_a_lost_domain() {
    let lost = (0..30).map(|number| {
        let callers = [1, 2, 3].map(|from| in_flight(0, from, false));
        note(number, callers.to_vec())
    });
    let mut quarantine = state_after(lost);
    assert_eq!(treatments(&quarantine), WATCHED);
    for number in 0..30_u8 {
        quarantine.note(Revision(99), &[answered(0, number % 3 + 1)]);
    }
    assert_eq!(treatments(&quarantine), FREE);
}

/// Returns a state with one quarantined request.
fn quarantined() -> Quarantine {
    state_after([ended(1, &[0]), ended(2, &[0]), ended_watched(3, &[0])])
}

/// A note that changes no verdict must not cause an update to hundreds of entry VMs.
#[test]
fn test_quarantine_revision_changes_with_verdicts_only() {
    let mut quarantine = state_after([ended(1, &[0, 1, 2])]);
    assert_eq!(quarantine.revision(), Revision(0));
    quarantine.note(Revision(5), &[ended(2, &[0])]);
    assert_eq!(quarantine.revision(), Revision(5));
    quarantine.note(
        Revision(6),
        &[ended(2, &[3]), SuspectNote::Refused(request(0))],
    );
    assert_eq!(quarantine.revision(), Revision(5));
}

/// Symptom: a quarantine ends after a time, and the request crashes three backend servers again.
/// Sequence: the caller was away for ten minutes.
/// Cause: all evidence was forgotten at once. The request must be watched first, so that one more
/// end quarantines it again.
#[test]
fn test_quarantine_ends_step_by_step_without_the_request() {
    let mut quarantine = quarantined();
    let start = Instant::now();
    let mut times = QuarantineTimes::default();
    times.follow(start, &quarantine);
    let halfway = start + RELEASE_AFTER / 2;
    quarantine.note(Revision(4), &[SuspectNote::Refused(request(0))]);
    times.follow(halfway, &quarantine);
    assert_eq!(times.due_for_release(start + RELEASE_AFTER), []);
    let due_for_release = times.due_for_release(halfway + RELEASE_AFTER);
    assert_eq!(due_for_release, [(request(0), Revision(4))]);
    let mut noted_meanwhile = quarantine.clone();
    noted_meanwhile.note(Revision(5), &[SuspectNote::Refused(request(0))]);
    noted_meanwhile.release(Revision(6), &due_for_release);
    assert_eq!(treatments(&noted_meanwhile), FIRST);
    quarantine.release(Revision(5), &due_for_release);
    assert_eq!(treatments(&quarantine), WATCHED);
    let mut sent_again = quarantine.clone();
    sent_again.note(Revision(6), &[ended_watched(4, &[0])]);
    assert_eq!(treatments(&sent_again), FIRST);
    quarantine.release(Revision(6), &[(request(0), Revision(5))]);
    assert_eq!(quarantine.suspects().count(), 0);
}

#[test]
fn test_quarantine_is_lifted_by_an_operator() {
    let mut quarantine = quarantined();
    quarantine.lift(Revision(9), &request(0));
    assert_eq!(treatments(&quarantine), FREE);
    assert_eq!(quarantine.revision(), Revision(9));
}

/// Symptom: a request that crashes backend servers is forwarded again.
/// Sequence: another caller sends thousands of different requests that end one backend server each.
/// Cause: the table is full, and the newest notes displace the oldest.
#[test]
fn test_quarantine_is_not_displaced_by_a_flood() {
    let mut quarantine = state_after([
        ended(1, &[0]),
        ended(2, &[0]),
        ended_watched(3, &[0]),
        ended(4, &[1]),
        ended(5, &[1]),
    ]);
    for number in 10..2_000 {
        let note = ended(number, &[number]);
        quarantine.note(Revision(u64::try_from(number).unwrap()), &[note]);
    }
    assert_eq!(treatments(&quarantine), FIRST);
    assert_eq!(quarantine.verdict(&request(1)), Some(Verdict::Watched));
    assert!(quarantine.suspects().count() <= 512);
}

fn is_quarantined(quarantine: &Quarantine, number: usize) -> bool {
    let verdict = quarantine.verdict(&request(number));
    verdict.is_some_and(|verdict| verdict != Verdict::Watched)
}

/// Backend servers of the model.
const BACKENDS: u32 = 20;

/// Requests in flight on each of them when it ends.
const IN_FLIGHT: usize = 4;

/// Model of an overload of crashes: three of twenty backend servers end each second for minutes,
/// and callers whose requests were in flight on one resend them immediately to any other.
struct Model {
    rng: ChaCha8Rng,
    quarantine: Quarantine,
    revision: u64,
    lives: usize,
    /// Requests whose backend server has ended.
    interrupted: Vec<usize>,
    /// Requests that are resent and not answered yet.
    resent: Vec<usize>,
    next: usize,
    refused: usize,
}

impl Model {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            quarantine: Quarantine::default(),
            revision: 0,
            lives: 0,
            interrupted: Vec::new(),
            resent: Vec::new(),
            next: 1,
            refused: 0,
        }
    }

    /// Returns the requests in flight on the backend server that ends next: resent requests are
    /// spread over all backend servers, and the rest are new.
    fn in_flight_requests(&mut self) -> Vec<usize> {
        let chance = 1.0 / f64::from(BACKENDS);
        let (mut in_flight_requests, elsewhere) = (Vec::new(), std::mem::take(&mut self.resent));
        for number in elsewhere {
            if self.rng.random_bool(chance) {
                in_flight_requests.push(number);
            } else {
                self.resent.push(number);
            }
        }
        while in_flight_requests.len() < IN_FLIGHT {
            in_flight_requests.push(self.next);
            self.next += 1;
        }
        in_flight_requests
    }

    /// Ends one backend server. The requests in flight on it are resent immediately.
    fn end_backend(&mut self, crasher: Option<usize>) {
        self.lives += 1;
        self.revision += 1;
        let mut in_flight_requests = self.in_flight_requests();
        in_flight_requests.retain(|number| {
            let verdict = self.quarantine.verdict(&request(*number));
            let is_refused = verdict.is_some_and(|verdict| verdict != Verdict::Watched);
            self.refused += usize::from(is_refused);
            !is_refused
        });
        let in_flight = in_flight_requests.iter().chain(&crasher).map(|number| {
            let watched = self.quarantine.verdict(&request(*number)).is_some();
            in_flight(*number, 1, watched)
        });
        let note = note(self.lives, in_flight.collect());
        self.quarantine.note(Revision(self.revision), &[note]);
        self.interrupted.extend(in_flight_requests);
    }

    /// Lets the third of a second pass until the next backend server ends. Interrupted requests are
    /// resent immediately; two thirds of these requests are answered meanwhile.
    fn advance(&mut self) {
        self.resent.append(&mut self.interrupted);
        let (served, resent): (Vec<usize>, Vec<usize>) = std::mem::take(&mut self.resent)
            .into_iter()
            .partition(|_| self.rng.random_ratio(2, 3));
        self.resent = resent;
        let notes = served.into_iter().map(|number| answered(number, 1));
        let notes: Vec<SuspectNote> = notes.collect();
        self.quarantine.note(Revision(self.revision), &notes);
    }
}

/// Hundreds of harmless requests are interrupted, together with one that causes the crashes: only
/// this one is quarantined, apart from at most one harmless request in a thousand.
#[test]
fn test_quarantine_of_harmless_requests_is_rare() {
    let (mut harmless, mut quarantined) = (0, 0);
    for seed in 0..20 {
        let mut model = Model::new(seed);
        for round in 0..600 {
            let is_refused = is_quarantined(&model.quarantine, 0);
            let crasher = (round < 8 && !is_refused).then_some(0);
            // At intervals a failure domain is lost: a third of all backend servers end at once.
            let ends = if round % 60 == 30 { BACKENDS / 3 } else { 1 };
            for _ in 0..ends {
                model.end_backend(crasher);
            }
            model.advance();
        }
        assert!(is_quarantined(&model.quarantine, 0), "{seed}");
        harmless += model.next;
        let held = (1..model.next).filter(|number| is_quarantined(&model.quarantine, *number));
        quarantined += held.count() + model.refused;
    }
    println!("{quarantined} of {harmless} harmless requests quarantined");
    assert!(
        quarantined * 1_000 <= harmless,
        "{quarantined} of {harmless} harmless requests"
    );
}
