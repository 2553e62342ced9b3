//! Which requests are found to end backend servers, and which aren't.

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

fn stood(number: usize, from: u8, watched: bool) -> InFlightRequest {
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

/// A backend server that ended under requests of one caller, sent before any was suspected.
fn ended(backend: usize, requests: &[usize]) -> SuspectNote {
    let requests = requests.iter().map(|number| stood(*number, 1, false));
    note(backend, requests.collect())
}

/// The same under requests that were known to be watched.
fn ended_watched(backend: usize, requests: &[usize]) -> SuspectNote {
    let requests = requests.iter().map(|number| stood(*number, 1, true));
    note(backend, requests.collect())
}

/// The same under request 0 of another caller.
fn ended_from(backend: usize, from: u8) -> SuspectNote {
    note(backend, vec![stood(0, from, true)])
}

fn answered(number: usize, from: u8) -> SuspectNote {
    SuspectNote::Answered(stood(number, from, false).tag)
}

/// Takes notes in one after the other.
fn noted(notes: impl IntoIterator<Item = SuspectNote>) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (index, note) in (1..).zip(notes) {
        quarantine.note(Revision(index), &[note]);
    }
    quarantine
}

/// Returns how request 0 of each of three callers is treated.
fn treated(quarantine: &Quarantine) -> [Option<Treatment>; 3] {
    let mut evidence = CrashEvidence::default();
    evidence.apply_verdicts(quarantine.verdicts());
    [1, 2, 3].map(|from| evidence.treatment(&stood(0, from, false).tag))
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
fn test_caller_is_the_same_over_both_protocols() {
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
                assert_eq!(treated(&noted([$($note),*])), $expected);
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
    test_quarantine_one_told_by_three_entry_vms:
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

/// Symptom: callers of a path that half of all ask for are refused for minutes. Sequence: a
/// failure domain is lost, and the path stood on each of its backend servers. Cause: more than
/// three ended under it. All ended before anybody could know that it is suspected; the first
/// answers clear it.
#[test]
fn test_quarantine_is_none_for_a_popular_request_on_a_lost_domain() {
    let lost = (0..30).map(|number| {
        let callers = [1, 2, 3].map(|from| stood(0, from, false));
        note(number, callers.to_vec())
    });
    let mut quarantine = noted(lost);
    assert_eq!(treated(&quarantine), WATCHED);
    for number in 0..30_u8 {
        quarantine.note(Revision(99), &[answered(0, number % 3 + 1)]);
    }
    assert_eq!(treated(&quarantine), FREE);
}

/// One request that is quarantined.
fn quarantined() -> Quarantine {
    noted([ended(1, &[0]), ended(2, &[0]), ended_watched(3, &[0])])
}

/// What is noted without changing a verdict is no news to hundreds of entry VMs.
#[test]
fn test_quarantine_numbers_changes_of_verdicts_only() {
    let mut quarantine = noted([ended(1, &[0, 1, 2])]);
    assert_eq!(quarantine.revision(), Revision(0));
    quarantine.note(Revision(5), &[ended(2, &[0])]);
    assert_eq!(quarantine.revision(), Revision(5));
    quarantine.note(
        Revision(6),
        &[ended(2, &[3]), SuspectNote::Refused(request(0))],
    );
    assert_eq!(quarantine.revision(), Revision(5));
}

/// Symptom: a quarantine ends by time and the request ends three backend servers again.
/// Sequence: the caller was away for ten minutes. Cause: what was known of it was forgotten
/// whole. It is watched first, and one more that ends brings it back.
#[test]
fn test_quarantine_ends_step_by_step_once_the_request_stays_away() {
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
    let mut heard_meanwhile = quarantine.clone();
    heard_meanwhile.note(Revision(5), &[SuspectNote::Refused(request(0))]);
    heard_meanwhile.release(Revision(6), &due_for_release);
    assert_eq!(treated(&heard_meanwhile), FIRST);
    quarantine.release(Revision(5), &due_for_release);
    assert_eq!(treated(&quarantine), WATCHED);
    let mut comes_again = quarantine.clone();
    comes_again.note(Revision(6), &[ended_watched(4, &[0])]);
    assert_eq!(treated(&comes_again), FIRST);
    quarantine.release(Revision(6), &[(request(0), Revision(5))]);
    assert_eq!(quarantine.suspects().count(), 0);
}

#[test]
fn test_quarantine_is_lifted_by_an_operator() {
    let mut quarantine = quarantined();
    quarantine.lift(Revision(9), &request(0));
    assert_eq!(treated(&quarantine), FREE);
    assert_eq!(quarantine.revision(), Revision(9));
}

/// Symptom: a request that ends backend servers is let through again. Sequence: another caller
/// sends thousands of different requests that end one each. Cause: the table is full, and what
/// was noted last pushes out what was noted first.
#[test]
fn test_quarantine_is_pushed_out_by_no_flood() {
    let mut quarantine = noted([
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
    assert_eq!(treated(&quarantine), FIRST);
    assert_eq!(quarantine.verdict(&request(1)), Some(Verdict::Watched));
    assert!(quarantine.suspects().count() <= 512);
}

fn is_quarantined(quarantine: &Quarantine, number: usize) -> bool {
    let verdict = quarantine.verdict(&request(number));
    verdict.is_some_and(|verdict| verdict != Verdict::Watched)
}

/// Backend servers of the model.
const BACKENDS: u32 = 20;

/// Requests that stand on each of them when it ends.
const STANDING: usize = 4;

/// A model of heavy trouble: three backend servers of twenty end each second, for minutes, and
/// callers whose requests stood on one repeat them at once, to any other.
struct Model {
    rng: ChaCha8Rng,
    quarantine: Quarantine,
    revision: u64,
    lives: usize,
    /// Requests that were cut off.
    cut_off: Vec<usize>,
    /// Requests that come again and aren't answered yet.
    again: Vec<usize>,
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
            cut_off: Vec::new(),
            again: Vec::new(),
            next: 1,
            refused: 0,
        }
    }

    /// Returns the requests that stand on the backend server that ends next: those that come
    /// again are spread over all, and the rest are new.
    fn standing(&mut self) -> Vec<usize> {
        let chance = 1.0 / f64::from(BACKENDS);
        let (mut standing, elsewhere) = (Vec::new(), std::mem::take(&mut self.again));
        for number in elsewhere {
            if self.rng.random_bool(chance) {
                standing.push(number);
            } else {
                self.again.push(number);
            }
        }
        while standing.len() < STANDING {
            standing.push(self.next);
            self.next += 1;
        }
        standing
    }

    /// Ends one backend server. Whoever stood there is sent again at once.
    fn end_one(&mut self, poison: Option<usize>) {
        self.lives += 1;
        self.revision += 1;
        let mut standing = self.standing();
        standing.retain(|number| {
            let verdict = self.quarantine.verdict(&request(*number));
            let holds = verdict.is_some_and(|verdict| verdict != Verdict::Watched);
            self.refused += usize::from(holds);
            !holds
        });
        let stood = standing.iter().chain(&poison).map(|number| {
            let watched = self.quarantine.verdict(&request(*number)).is_some();
            stood(*number, 1, watched)
        });
        let note = note(self.lives, stood.collect());
        self.quarantine.note(Revision(self.revision), &[note]);
        self.cut_off.extend(standing);
    }

    /// Lets the third of a second pass until the next one ends. Whoever was cut off is sent again
    /// at once; two thirds of these requests are answered meanwhile.
    fn pass(&mut self) {
        self.again.append(&mut self.cut_off);
        let (served, again): (Vec<usize>, Vec<usize>) = std::mem::take(&mut self.again)
            .into_iter()
            .partition(|_| self.rng.random_ratio(2, 3));
        self.again = again;
        let notes = served.into_iter().map(|number| answered(number, 1));
        let notes: Vec<SuspectNote> = notes.collect();
        self.quarantine.note(Revision(self.revision), &notes);
    }
}

/// Innocent requests are cut off by hundreds, beside one that does it: it alone is quarantined,
/// but for one innocent in a thousand at most.
#[test]
fn test_quarantine_of_innocents_is_rare() {
    let (mut innocents, mut quarantined) = (0, 0);
    for seed in 0..20 {
        let mut model = Model::new(seed);
        for round in 0..600 {
            let holds = is_quarantined(&model.quarantine, 0);
            let poison = (round < 8 && !holds).then_some(0);
            // Now and then a failure domain is lost: a third of all end at once.
            let ends = if round % 60 == 30 { BACKENDS / 3 } else { 1 };
            for _ in 0..ends {
                model.end_one(poison);
            }
            model.pass();
        }
        assert!(is_quarantined(&model.quarantine, 0), "{seed}");
        innocents += model.next;
        let held = (1..model.next).filter(|number| is_quarantined(&model.quarantine, *number));
        quarantined += held.count() + model.refused;
    }
    println!("{quarantined} of {innocents} innocent requests quarantined");
    assert!(
        quarantined * 1_000 <= innocents,
        "{quarantined} of {innocents} innocent requests"
    );
}
