//! Tests of the presence of backend servers and entry VMs.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::headroom::Headroom;
use heatherring_lib::heartbeat_timing::HeartbeatTiming;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::VmName;
use heatherring_lib::presence::ENTRY_SILENCE;
use heatherring_lib::presence::Presence;
use heatherring_lib::presence::REPORT_INTERVAL;
use heatherring_lib::presence_report::PresenceReport;
use heatherring_lib::presence_report::ReplicaEndpoints;
use heatherring_lib::presence_report::StatementStamp;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use rstest::rstest;

/// Interval between two heartbeats.
const HEARTBEAT: Duration = HeartbeatTiming::DEFAULT_INTERVAL;

/// Timeouts for that interval.
const TIMING: HeartbeatTiming = HeartbeatTiming::new(HEARTBEAT);

/// Time without heartbeats after which a backend server counts as lost.
const BACKEND_SILENCE: Duration = TIMING.silence();

fn endpoints() -> ReplicaEndpoints {
    ReplicaEndpoints {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        announcements: None,
        place: PlaceName::new("place"),
    }
}

const fn stated(life: u64, number: u64) -> StatementStamp {
    StatementStamp { life, number }
}

/// Sends reports of `there` to `here` at the usual interval, from `from` to `until`.
fn report(there: &mut Presence, here: &mut Presence, from: Instant, until: Instant) {
    let peer = VmName::new("control-2");
    let mut known = 0;
    let mut now = from;
    while now <= until {
        there.expire(now);
        here.expire(now);
        let report = there.report(now, known, &endpoints());
        known = here.apply_report(now, &peer, &report);
        now += REPORT_INTERVAL;
    }
}

/// Guards against counting backend servers as lost that send their heartbeats to another replica: a
/// verdict must include what other replicas report.
#[test]
fn test_presence_counts_what_other_replicas_heard() {
    let start = Instant::now() + Duration::from_mins(1);
    let backend = BackendName::new("backend-1");
    let mut here = Presence::new(start, 1, TIMING);
    let mut there = Presence::new(start, 2, TIMING);
    let heard_at = start + Duration::from_secs(10);
    there.record_backend_heartbeat(heard_at, &backend);
    let told_at = heard_at + REPORT_INTERVAL;
    report(
        &mut there,
        &mut here,
        told_at,
        heard_at + BACKEND_SILENCE / 2,
    );
    assert!(!here.is_silent(heard_at + BACKEND_SILENCE / 2, &backend));
    let until = heard_at + BACKEND_SILENCE;
    report(&mut there, &mut here, heard_at + BACKEND_SILENCE / 2, until);
    // The end of the heartbeats is reported at most half a second late.
    assert!(here.is_silent(until + REPORT_INTERVAL, &backend));
}

/// When a replica ceases to report, the sources that only it received heartbeats from count as
/// heard at its last report.
#[test]
fn test_presence_counts_a_silent_replicas_sources_from_its_last_report() {
    let start = Instant::now();
    let backend = BackendName::new("backend-1");
    let mut here = Presence::new(start, 1, TIMING);
    let mut there = Presence::new(start, 2, TIMING);
    there.record_backend_heartbeat(start, &backend);
    report(&mut there, &mut here, start, start);
    for millis in [2_000, 3_999, 4_000] {
        let now = start + Duration::from_millis(millis);
        here.expire(now);
        assert_eq!(
            here.is_silent(now, &backend),
            now >= start + BACKEND_SILENCE
        );
    }
}

/// Guards against a partitioned replica that declares all entry VMs lost because it receives no
/// heartbeats. Without a majority it must not conclude anything from silence.
#[test]
fn test_presence_reports_no_majority_without_enough_peers() {
    let start = Instant::now();
    let mut presence = Presence::new(start, 1, TIMING);
    let report = Presence::new(start, 2, TIMING).report(start, 0, &endpoints());
    presence.apply_report(start, &VmName::new("control-2"), &report);
    assert!(!presence.has_majority(start, 5));
    presence.apply_report(start, &VmName::new("control-3"), &report);
    assert!(presence.has_majority(start, 5));
    assert!(!presence.has_majority(start + Duration::from_secs(5), 5));
}

#[test]
fn test_presence_takes_leaving_or_silent_entries_out_of_service() {
    let start = Instant::now();
    let vm = VmName::new("entry-1");
    let mut presence = Presence::new(start, 1, TIMING);
    assert!(presence.record_entry_heartbeat(start, &vm, stated(1, 0), true));
    assert!(!presence.is_out_of_service(start, &vm));
    presence.expire(start + ENTRY_SILENCE);
    assert!(presence.is_out_of_service(start + ENTRY_SILENCE, &vm));
    let later = start + Duration::from_secs(1);
    assert!(presence.record_entry_heartbeat(later, &vm, stated(1, 0), false));
    assert!(presence.is_out_of_service(later, &vm));
}

/// Guards against naming a leaving entry VM to callers again: it reported ready to one replica,
/// then switched to another and reported there that it leaves. The first replica still holds the
/// earlier state and sends it to a third one in a full report. The latest statement counts, not the
/// latest report.
#[test]
fn test_presence_uses_the_latest_statement_of_an_entry() {
    let start = Instant::now();
    let vm = VmName::new("entry-1");
    let mut first = Presence::new(start, 1, TIMING);
    let mut second = Presence::new(start, 2, TIMING);
    let mut third = Presence::new(start, 3, TIMING);
    first.record_entry_heartbeat(start, &vm, stated(1, 0), true);
    let leaves_at = start + Duration::from_secs(1);
    second.record_entry_heartbeat(leaves_at, &vm, stated(1, 0), false);
    let now = leaves_at + Duration::from_millis(100);
    let told = second.report(now, 0, &endpoints());
    third.apply_report(now, &VmName::new("control-2"), &told);
    let told = first.report(now, 0, &endpoints());
    third.apply_report(now, &VmName::new("control-1"), &told);
    assert!(third.is_out_of_service(now, &vm));
}

/// Guards against the return of a statement that an entry VM has replaced: the poll that made it was
/// held up on its way to a replica, given up, and arrives there after the VM has turned to another.
#[rstest]
#[case::ready(true)]
#[case::not_ready(false)]
fn test_presence_ignores_a_poll_that_was_held_up(#[case] held_up: bool) {
    let start = Instant::now();
    let vm = VmName::new("entry-1");
    let [mut followed, mut left, mut third] =
        [1, 2, 3].map(|life| Presence::new(start, life, TIMING));
    let stated_at = start + Duration::from_secs(1);
    followed.record_entry_heartbeat(stated_at, &vm, stated(1, 2), !held_up);
    let arrives_at = stated_at + Duration::from_secs(1);
    left.record_entry_heartbeat(arrives_at, &vm, stated(1, 1), held_up);
    for (from, replica) in [("control-1", &followed), ("control-2", &left)] {
        let report = replica.report(arrives_at, 0, &endpoints());
        third.apply_report(arrives_at, &VmName::new(from), &report);
    }
    assert_eq!(third.is_out_of_service(arrives_at, &vm), held_up);
    // The replica that the entry VM left hears of the later statement as well.
    let report = followed.report(arrives_at, 0, &endpoints());
    left.apply_report(arrives_at, &VmName::new("control-1"), &report);
    assert_eq!(left.is_out_of_service(arrives_at, &vm), held_up);
    left.record_entry_heartbeat(arrives_at, &vm, stated(1, 1), held_up);
    assert_eq!(left.is_out_of_service(arrives_at, &vm), held_up);
}

/// Guards against a headroom that an entry VM has replaced, told by a poll that was held up.
#[test]
fn test_presence_ignores_a_headroom_that_was_held_up() {
    let start = Instant::now();
    let vm = VmName::new("entry-1");
    let (full, free) = (Headroom::new(1.0, 8, 0), Headroom::new(1.0, 8, 7));
    let [mut followed, mut left, mut third] =
        [1, 2, 3].map(|life| Presence::new(start, life, TIMING));
    followed.record_entry_heartbeat(start, &vm, stated(1, 1), true);
    followed.record_headroom(start, &vm, stated(1, 2), full);
    let arrives_at = start + Duration::from_secs(1);
    left.record_entry_heartbeat(arrives_at, &vm, stated(1, 1), true);
    left.record_headroom(arrives_at, &vm, stated(1, 1), free);
    for (from, replica) in [("control-1", &followed), ("control-2", &left)] {
        let report = replica.report(arrives_at, 0, &endpoints());
        third.apply_report(arrives_at, &VmName::new(from), &report);
    }
    assert_eq!(third.headroom(&vm), Some(full));
}

/// Guards against a full report that was held up and replaces later ones: the replica reported over
/// a new connection meanwhile.
#[test]
fn test_presence_ignores_a_report_that_was_overtaken() {
    let start = Instant::now();
    let peer = VmName::new("control-2");
    let names = ["backend-1", "backend-2"].map(BackendName::new);
    let mut there = Presence::new(start, 2, TIMING);
    let mut here = Presence::new(start, 1, TIMING);
    there.record_backend_heartbeat(start, &names[0]);
    let held_up = there.report(start, 0, &endpoints());
    let ceased_at = start + BACKEND_SILENCE;
    there.record_backend_heartbeat(ceased_at, &names[1]);
    there.expire(ceased_at);
    let known = here.apply_report(ceased_at, &peer, &there.report(ceased_at, 0, &endpoints()));
    let now = ceased_at + REPORT_INTERVAL;
    assert_eq!(here.apply_report(now, &peer, &held_up), known);
    assert!(here.is_silent(now, &names[0]));
    here.expire(now + BACKEND_SILENCE);
    // Nothing has changed there since, so the next report tells nothing new.
    there.record_backend_heartbeat(now, &names[1]);
    let report = there.report(now, known, &endpoints());
    here.apply_report(now, &peer, &report);
    assert!(!here.is_silent(now, &names[1]));
}

/// Guards against outdated headroom: the entry VM told it to a replica that has lost contact since,
/// or an earlier incarnation of it did.
#[test]
fn test_presence_knows_the_headroom_last_told_by_the_present_incarnation() {
    let start = Instant::now();
    let vm = VmName::new("entry-1");
    let (full, free) = (Headroom::new(1.0, 8, 0), Headroom::new(1.0, 8, 7));
    let mut first = Presence::new(start, 1, TIMING);
    let mut second = Presence::new(start, 2, TIMING);
    let mut third = Presence::new(start, 3, TIMING);
    first.record_entry_heartbeat(start, &vm, stated(1, 0), true);
    assert!(first.record_headroom(start, &vm, stated(1, 0), free));
    assert!(!first.record_headroom(start, &vm, stated(1, 0), free));
    let moved_at = start + Duration::from_secs(1);
    second.record_entry_heartbeat(moved_at, &vm, stated(1, 0), true);
    second.record_headroom(moved_at, &vm, stated(1, 0), full);
    let now = moved_at + Duration::from_millis(100);
    for (from, replica) in [("control-2", &second), ("control-1", &first)] {
        let report = replica.report(now, 0, &endpoints());
        third.apply_report(now, &VmName::new(from), &report);
    }
    assert_eq!(third.headroom(&vm), Some(full));
    third.expire(now + Duration::from_secs(30));
    assert_eq!(third.headroom(&vm), Some(full));
    third.record_entry_heartbeat(now, &vm, stated(2, 0), true);
    assert_eq!(third.headroom(&vm), None);
}

/// Guards against backend servers that count as silent, or keep counting as present, at other
/// replicas after a replica restarts: reports that are lost, duplicated or sent by a new
/// incarnation must not be applied to another state than the one they are based on.
#[test]
fn test_presence_requests_a_full_report_where_reports_do_not_follow_on() {
    let start = Instant::now();
    let peer = VmName::new("control-2");
    let names = ["backend-1", "backend-2", "backend-3"].map(BackendName::new);
    let mut there = Presence::new(start, 2, TIMING);
    let mut here = Presence::new(start, 1, TIMING);
    there.record_backend_heartbeat(start, &names[0]);
    let known = here.apply_report(start, &peer, &there.report(start, 0, &endpoints()));
    there.record_backend_heartbeat(start, &names[1]);
    // The answer is lost, so the same changes are sent again, along with later ones.
    let first = there.report(start, known, &endpoints());
    there.record_backend_heartbeat(start, &names[2]);
    let second = there.report(start, known, &endpoints());
    here.apply_report(start, &peer, &first);
    let known = here.apply_report(start, &peer, &second);
    let known = here.apply_report(start, &peer, &there.report(start, known, &endpoints()));
    let mut fresh = Presence::new(start, 4, TIMING);
    let refused = fresh.apply_report(start, &peer, &there.report(start, known, &endpoints()));
    assert_eq!(refused, 0);
    fresh.apply_report(start, &peer, &there.report(start, refused, &endpoints()));
    let later = start + BACKEND_SILENCE;
    for presence in [&here, &fresh] {
        assert!(names.iter().all(|name| !presence.is_silent(later, name)));
    }
    // The replica restarts and receives no heartbeats.
    let mut restarted = Presence::new(later, 5, TIMING);
    restarted.expire(later);
    let refused = here.apply_report(later, &peer, &restarted.report(later, known, &endpoints()));
    here.apply_report(
        later,
        &peer,
        &restarted.report(later, refused, &endpoints()),
    );
    let silent_at = later + BACKEND_SILENCE;
    assert!(names.iter().all(|name| here.is_silent(silent_at, name)));
}

/// Returns the size of the reports from one of 15 replicas to another in a minute, while `vms`
/// entry VMs and five times as many backend servers send heartbeats, and the same 20 backend
/// servers fall silent.
///
/// Guards against reporting each heartbeat to all other replicas, at 22 to 30 bytes each: a control
/// VM's traffic then grew sevenfold from 100 VMs to 300, until it cost more than all answers to
/// callers were worth.
fn reported_bytes(vms: usize) -> usize {
    let start = Instant::now();
    let mut replica = Presence::new(start, 1, TIMING);
    // One replica of 15 receives the heartbeats of a fifteenth of all sources.
    let backends: Vec<BackendName> = (0..vms * 5 / 15)
        .map(|number| BackendName::new(format!("backend-{number:06}")))
        .collect();
    let entries: Vec<VmName> = (0..vms / 15)
        .map(|number| VmName::new(format!("entry-{number:06}")))
        .collect();
    let mut known = 0;
    let mut bytes = 0;
    let steps = Duration::from_mins(1).as_millis() / REPORT_INTERVAL.as_millis();
    for step in 0..u32::try_from(steps).unwrap() {
        let now = start + REPORT_INTERVAL * step;
        let is_beat = (REPORT_INTERVAL * step)
            .as_millis()
            .is_multiple_of(HEARTBEAT.as_millis());
        let gone = if step > 60 { 20 } else { 0 };
        if is_beat {
            for backend in backends.iter().skip(gone) {
                replica.record_backend_heartbeat(now, backend);
            }
        }
        for entry in &entries {
            replica.record_entry_heartbeat(now, entry, stated(1, 0), true);
            replica.record_headroom(now, entry, stated(1, 0), Headroom::new(1.0, 8, 7));
        }
        replica.expire(now);
        let report: PresenceReport = replica.report(now, known, &endpoints());
        known = report.sources.number;
        // The first report contains all sources.
        if step > 0 {
            bytes += postcard::to_stdvec(&report).unwrap().len();
        }
    }
    bytes
}

#[test]
fn test_report_size_is_independent_of_the_number_of_heartbeat_sources() {
    let (small, large) = (reported_bytes(100), reported_bytes(400));
    println!("bytes per minute to one replica: {small} with 100 entry VMs, {large} with 400");
    // Larger change numbers take a byte more.
    assert!(large <= small + small / 4, "{small} and {large}");
}

/// Guards against callers that are refused because replicas that were suspended together take
/// backend servers and entry VMs for silent on resuming.
#[test]
fn test_presence_excludes_the_time_of_a_suspension() {
    const SUSPENDED: Duration = Duration::from_secs(30);
    let start = Instant::now() + Duration::from_mins(1);
    let backends = [BackendName::new("backend-1"), BackendName::new("backend-2")];
    let vm = VmName::new("entry-1");
    let mut here = Presence::new(start, 1, TIMING);
    let mut there = Presence::new(start, 2, TIMING);
    let heard_at = start + Duration::from_secs(10);
    for presence in [&mut here, &mut there] {
        presence.note_awake(heard_at);
    }
    here.record_backend_heartbeat(heard_at, &backends[0]);
    there.record_backend_heartbeat(heard_at, &backends[1]);
    there.record_entry_heartbeat(heard_at, &vm, stated(1, 0), true);
    report(&mut there, &mut here, heard_at, heard_at);
    let resumed_at = heard_at + SUSPENDED;
    here.note_awake(resumed_at);
    let is_silent = |here: &Presence, now| backends.iter().any(|name| here.is_silent(now, name));
    let now = resumed_at + HEARTBEAT;
    here.note_awake(resumed_at + HEARTBEAT / 2);
    here.note_awake(now);
    here.expire(now);
    assert!(!is_silent(&here, now));
    assert!(!here.is_out_of_service(now, &vm));
    let mut now = now;
    while now < resumed_at + BACKEND_SILENCE {
        now += REPORT_INTERVAL;
        here.note_awake(now);
        here.expire(now);
    }
    assert!(is_silent(&here, now), "a silence is still noticed");
    assert!(here.is_out_of_service(now, &vm));
}

/// Backend server whose heartbeats go to one of two replicas, `near`, which reports to the other one.
struct Heartbeats {
    timing: HeartbeatTiming,
    now: Instant,
    replicas: [Presence; 2],
    /// Changes of the first replica that the second one knows, and the reverse.
    known: [u64; 2],
    /// Sources that either replica reported as ceased.
    ceased: usize,
}

const STEP: Duration = Duration::from_millis(250);

impl Heartbeats {
    fn new(interval: Duration) -> Self {
        let timing = HeartbeatTiming::new(interval);
        let now = Instant::now() + Duration::from_mins(10);
        let replicas = [1, 2].map(|life| Presence::new(now, life, timing));
        Self {
            timing,
            now,
            replicas,
            known: [0; 2],
            ceased: 0,
        }
    }

    fn beat(&mut self, near: usize) {
        let backend = BackendName::new("backend-1");
        self.replicas[near].record_backend_heartbeat(self.now, &backend);
    }

    /// Lets time pass in steps, with a report after every second one. Returns whether the backend
    /// server counted as lost at any replica.
    fn run_until(&mut self, until: Instant) -> bool {
        let backend = BackendName::new("backend-1");
        let mut lost = false;
        while self.now < until {
            self.now = (self.now + STEP).min(until);
            for from in [0, 1] {
                self.replicas[from].expire(self.now);
                let report = self.replicas[from].report(self.now, self.known[from], &endpoints());
                self.ceased += report.sources.removed.len();
                let vm = VmName::new(format!("control-{from}"));
                self.known[from] = self.replicas[1 - from].apply_report(self.now, &vm, &report);
            }
            lost |= self
                .replicas
                .iter()
                .any(|replica| replica.is_silent(self.now, &backend));
        }
        lost
    }
}

/// Generates tests for intervals between heartbeats.
macro_rules! heartbeat_interval_cases {
    ($($name:ident: $interval_ms:expr;)*) => {
        $(
            #[test]
            fn $name() {
                // Guards against backend servers that are lost and found again with each heartbeat,
                // because a timeout stands for an interval that the deployment does not have.
                let interval = Duration::from_millis($interval_ms);
                let mut beats = Heartbeats::new(interval);
                for _ in 0..20 {
                    beats.beat(0);
                    assert!(!beats.run_until(beats.now + interval));
                }
                assert_eq!(beats.ceased, 0);
                let ended_at = beats.now - interval;
                beats.run_until(ended_at + beats.timing.silence() + REPORT_INTERVAL);
                let backend = BackendName::new("backend-1");
                for replica in &beats.replicas {
                    assert!(replica.is_silent(beats.now, &backend));
                }
            }
        )*
    };
}

heartbeat_interval_cases! {
    test_presence_keeps_backend_servers_at_half_a_second: 500;
    test_presence_keeps_backend_servers_at_one_and_a_half_seconds: 1_500;
    test_presence_keeps_backend_servers_at_five_seconds: 5_000;
    test_presence_keeps_backend_servers_at_fifteen_seconds: 15_000;
    test_presence_keeps_backend_servers_at_half_a_minute: 30_000;
}

proptest! {
    /// Guards against losing a backend server whose heartbeats are up to a second late, or which
    /// turns to another replica a second after the first one did not answer.
    #[test]
    fn test_presence_keeps_backend_servers_that_are_late_or_move(
        interval_ms in 500_u64..=30_000,
        beats in proptest::collection::vec((0_u64..=1_000, any::<bool>()), 1..30),
    ) {
        let interval = Duration::from_millis(interval_ms);
        let mut fleet = Heartbeats::new(interval);
        let mut due = fleet.now;
        let mut near = 0;
        fleet.beat(near);
        for (late_ms, moves) in beats {
            due += interval;
            let lateness = if moves {
                near = 1 - near;
                Duration::from_secs(1)
            } else {
                Duration::from_millis(late_ms)
            };
            let at = due + lateness;
            prop_assert!(!fleet.run_until(at));
            fleet.beat(near);
        }
    }

    /// The silent ones are the same whether asked for one by one or all at once.
    #[test]
    fn test_silent_backends_are_those_that_are_silent(
        heard in proptest::collection::btree_map(0_u8..40, 0_u64..10_000, 0..40),
        registered in proptest::collection::btree_set(0_u8..40, 0..40),
    ) {
        let start = Instant::now();
        let mut presence = Presence::new(start, 1, TIMING);
        let name = |number: u8| BackendName::new(format!("backend-{number}"));
        for (number, at_ms) in heard {
            let at = start + Duration::from_millis(at_ms);
            presence.record_backend_heartbeat(at, &name(number));
        }
        let now = start + Duration::from_secs(10);
        presence.expire(now);
        let names: std::collections::BTreeSet<BackendName> =
            registered.into_iter().map(name).collect();
        let one_by_one: Vec<&BackendName> = names
            .iter()
            .filter(|name| presence.is_silent(now, name))
            .collect();
        let at_once: Vec<&BackendName> = presence.silent_backends(now, names.iter()).collect();
        prop_assert!(one_by_one == at_once);
    }
}
