//! Who has been heard of lately.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::BackendName;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::VmName;
use heatherring_lib::presence::BACKEND_SILENCE;
use heatherring_lib::presence::ENTRY_SILENCE;
use heatherring_lib::presence::Presence;
use heatherring_lib::presence::REPORT_INTERVAL;
use heatherring_lib::presence_report::PresenceReport;
use heatherring_lib::presence_report::ReplicaEndpoints;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

fn endpoints() -> ReplicaEndpoints {
    ReplicaEndpoints {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        announcements: None,
        place: PlaceName::new("place"),
    }
}

/// Tells one replica what another hears, as often as reports go, from `from` to `until`.
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

/// Symptom: a replica takes backend servers for dead that send their heartbeats elsewhere.
///
/// Sequence: heartbeats go to another replica, which reports them.
///
/// Cause: a verdict on what was heard here alone.
#[test]
fn test_presence_counts_what_other_replicas_heard() {
    let start = Instant::now() + Duration::from_mins(1);
    let backend = BackendName::new("backend-1");
    let mut here = Presence::new(start, 1);
    let mut there = Presence::new(start, 2);
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
    // It is told half a second late at most that the heartbeats have ceased.
    assert!(here.is_silent(until + REPORT_INTERVAL, &backend));
}

/// A replica that ceases to report takes along what only it heard.
#[test]
fn test_presence_counts_a_silent_replicas_word_from_its_last_report() {
    let start = Instant::now();
    let backend = BackendName::new("backend-1");
    let mut here = Presence::new(start, 1);
    let mut there = Presence::new(start, 2);
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

/// Symptom: an isolated replica says that all entry VMs are gone.
///
/// Sequence: it is cut off from the other replicas, and hears of nobody.
///
/// Cause: silence is taken for death. Without a majority it gives no verdict.
#[test]
fn test_presence_gives_no_verdict_without_a_majority() {
    let start = Instant::now();
    let mut presence = Presence::new(start, 1);
    let report = Presence::new(start, 2).report(start, 0, &endpoints());
    presence.apply_report(start, &VmName::new("control-2"), &report);
    assert!(!presence.has_majority(start, 5));
    presence.apply_report(start, &VmName::new("control-3"), &report);
    assert!(presence.has_majority(start, 5));
    assert!(!presence.has_majority(start + Duration::from_secs(5), 5));
}

#[test]
fn test_presence_names_no_entry_that_leaves_or_is_silent() {
    let start = Instant::now();
    let vm = VmName::new("entry-1");
    let mut presence = Presence::new(start, 1);
    assert!(presence.record_entry_heartbeat(start, &vm, 1, true));
    assert!(!presence.is_out_of_service(start, &vm));
    presence.expire(start + ENTRY_SILENCE);
    assert!(presence.is_out_of_service(start + ENTRY_SILENCE, &vm));
    let later = start + Duration::from_secs(1);
    assert!(presence.record_entry_heartbeat(later, &vm, 1, false));
    assert!(presence.is_out_of_service(later, &vm));
}

/// Symptom: an entry VM that leaves is named to callers again.
///
/// Sequence: it said that it is ready to one replica, then turned to another and said there that
/// it leaves; the first one still holds what it heard, and tells a third one all of it anew.
///
/// Cause: what arrived last was taken for what was said last.
#[test]
fn test_presence_goes_by_what_an_entry_said_last() {
    let start = Instant::now();
    let vm = VmName::new("entry-1");
    let mut first = Presence::new(start, 1);
    let mut second = Presence::new(start, 2);
    let mut third = Presence::new(start, 3);
    first.record_entry_heartbeat(start, &vm, 1, true);
    let leaves_at = start + Duration::from_secs(1);
    second.record_entry_heartbeat(leaves_at, &vm, 1, false);
    let now = leaves_at + Duration::from_millis(100);
    let told = second.report(now, 0, &endpoints());
    third.apply_report(now, &VmName::new("control-2"), &told);
    let told = first.report(now, 0, &endpoints());
    third.apply_report(now, &VmName::new("control-1"), &told);
    assert!(third.is_out_of_service(now, &vm));
}

/// Symptom: after a replica has started again, backend servers count as silent at others, or go
/// on counting as heard. Sequence: reports are lost, come twice, or meet a process that knows
/// nothing of the ones before. Cause: changes were applied to another state than the one that
/// they start from.
#[test]
fn test_presence_gets_everything_anew_where_reports_dont_join() {
    let start = Instant::now();
    let peer = VmName::new("control-2");
    let names = ["backend-1", "backend-2", "backend-3"].map(BackendName::new);
    let mut there = Presence::new(start, 2);
    let mut here = Presence::new(start, 1);
    there.record_backend_heartbeat(start, &names[0]);
    let known = here.apply_report(start, &peer, &there.report(start, 0, &endpoints()));
    there.record_backend_heartbeat(start, &names[1]);
    // A lost answer: the same changes are told again, along with later ones.
    let first = there.report(start, known, &endpoints());
    there.record_backend_heartbeat(start, &names[2]);
    let second = there.report(start, known, &endpoints());
    here.apply_report(start, &peer, &first);
    let known = here.apply_report(start, &peer, &second);
    let known = here.apply_report(start, &peer, &there.report(start, known, &endpoints()));
    let mut fresh = Presence::new(start, 4);
    let refused = fresh.apply_report(start, &peer, &there.report(start, known, &endpoints()));
    assert_eq!(refused, 0);
    fresh.apply_report(start, &peer, &there.report(start, refused, &endpoints()));
    let later = start + BACKEND_SILENCE;
    for presence in [&here, &fresh] {
        assert!(names.iter().all(|name| !presence.is_silent(later, name)));
    }
    // The replica starts again and hears nobody.
    let mut restarted = Presence::new(later, 5);
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

/// Symptom: a control VM's bytes a second grew sevenfold from 100 VMs to 300, until they cost
/// more than all callers' answers were worth.
///
/// Sequence: `vms` entry VMs and five times as many backend servers send heartbeats to 15
/// replicas; the same 20 of them fall silent.
///
/// Cause: each heartbeat was told to all other replicas, 22 to 30 bytes each.
fn reported_bytes(vms: usize) -> usize {
    let start = Instant::now();
    let mut replica = Presence::new(start, 1);
    // One replica of 15 hears a fifteenth of all.
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
            replica.record_entry_heartbeat(now, entry, 1, true);
        }
        replica.expire(now);
        let report: PresenceReport = replica.report(now, known, &endpoints());
        known = report.heard.number;
        // All are told once at the start.
        if step > 0 {
            bytes += postcard::to_stdvec(&report).unwrap().len();
        }
    }
    bytes
}

#[test]
fn test_what_replicas_tell_each_other_doesnt_grow_with_those_who_send_heartbeats() {
    let (small, large) = (reported_bytes(100), reported_bytes(400));
    println!("bytes in a minute to one replica: {small} at 100 entry VMs, {large} at 400");
    // Numbers of changes take a byte more.
    assert!(large <= small + small / 4, "{small} and {large}");
}
