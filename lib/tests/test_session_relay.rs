//! Tests of sessions renewed through relays.

#[path = "common/entry_sample.rs"]
mod entry_sample;

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use entry_sample::entry_info;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::session_relay::Acknowledgement;
use heatherring_lib::session_relay::BatchGrant;
use heatherring_lib::session_relay::RELAYS_PER_REGION;
use heatherring_lib::session_relay::RelayAnswer;
use heatherring_lib::session_relay::RelayedRenewal;
use heatherring_lib::session_relay::SessionRelay;
use heatherring_lib::session_relay::relays;
use heatherring_lib::session_relay::relays_of;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntrySession;

const LEASE: Duration = Duration::from_secs(3);
const WAIT: Duration = Duration::from_millis(900);
/// Longer than a relay collects renewals for a batch.
const COLLECTED: Duration = Duration::from_millis(600);

fn renewal(session: u64, applied: u64) -> RelayedRenewal {
    RelayedRenewal {
        session: SessionId(session),
        applied: Revision(applied),
        known_settled: Revision(applied),
        wait: WAIT,
    }
}

fn grant(revision: u64, lost: &[u64]) -> BatchGrant {
    BatchGrant {
        lease: LEASE,
        revision: Revision(revision),
        settled: Revision(revision),
        lost: lost.iter().copied().map(SessionId).collect(),
    }
}

fn granted(session: u64, applied: u64, settled: u64) -> RelayAnswer {
    RelayAnswer::Granted {
        session: SessionId(session),
        applied: Revision(applied),
        lease: LEASE,
        settled: Revision(settled),
    }
}

fn session(id: u64, vm: &str, region: &str, leaving: bool) -> EntrySession {
    EntrySession {
        id: SessionId(id),
        info: entry_info(vm, &format!("{region}-a"), region),
        leaving,
    }
}

fn view(sessions: impl IntoIterator<Item = EntrySession>) -> ControlView {
    ControlView {
        sessions: sessions.into_iter().map(|s| (s.id, s)).collect(),
        ..ControlView::default()
    }
}

#[test]
fn test_session_relay_one_batch_for_all() {
    let start = Instant::now();
    let mut relay = SessionRelay::default();
    let first = relay.renew(start, renewal(1, 7));
    let second = relay.renew(start, renewal(2, 7));
    let batch = relay.take_batch(start + COLLECTED).unwrap();
    let told: Vec<_> = batch.iter().map(|told| told.session.0).collect();
    assert_eq!(told, [1, 2]);
    assert!(relay.batch_granted(&grant(8, &[])).is_empty());
    // The relay has a change that both entry VMs lack, so both are answered at once.
    let answers = relay.answers(start + COLLECTED, Revision(8), Revision(8));
    assert_eq!(
        answers,
        [(first, granted(1, 7, 8)), (second, granted(2, 7, 8))]
    );
}

#[test]
fn test_session_relay_request_after_the_batch_left() {
    // Guards against two entry VMs that dispatch to one backend server: an entry VM loses its first
    // request and sends another while the batch with the first one is in flight. If that batch
    // granted the second request, the entry VM would count its lease from the second request, and
    // control from before it.
    let start = Instant::now();
    let mut relay = SessionRelay::default();
    let early = relay.renew(start, renewal(1, 7));
    relay.take_batch(start + COLLECTED).unwrap();
    let late = relay.renew(start + COLLECTED, renewal(1, 7));
    relay.batch_granted(&grant(7, &[]));
    let answers = relay.answers(start + COLLECTED * 4, Revision(7), Revision(7));
    assert_eq!(answers, [(early, granted(1, 7, 7))]);
    let next = relay.take_batch(start + COLLECTED * 4).unwrap();
    assert_eq!(
        next,
        [Acknowledgement {
            session: SessionId(1),
            applied: Revision(7),
        }]
    );
    relay.batch_granted(&grant(7, &[]));
    let answers = relay.answers(start + COLLECTED * 4, Revision(7), Revision(7));
    assert_eq!(answers, [(late, granted(1, 7, 7))]);
}

#[test]
fn test_session_relay_behind_control() {
    // Guards against an entry VM that continues with an outdated manifest while its lease is
    // renewed: the relay's own session is stuck, but its batches still reach control. A grant must
    // not be passed on while the relay lacks the view that belongs to it.
    let start = Instant::now();
    let mut relay = SessionRelay::default();
    let key = relay.renew(start, renewal(1, 7));
    relay.take_batch(start + COLLECTED).unwrap();
    relay.batch_granted(&grant(9, &[]));
    let behind = relay.answers(start + COLLECTED, Revision(8), Revision(8));
    assert_eq!(behind, []);
    let given_up = relay.answers(start + WAIT, Revision(8), Revision(8));
    assert_eq!(given_up, [(key, RelayAnswer::NoGrant)]);
}

#[test]
fn test_session_relay_change_does_not_wait_for_a_grant() {
    // Guards against actions refused with `not_owner` while entry VMs are replaced: a change that
    // reaches a relay while it collects renewals must not wait for control's grant, half a second
    // later, since entry VMs with and without the change disagree on owners.
    let start = Instant::now();
    let mut relay = SessionRelay::default();
    let key = relay.renew(start, renewal(1, 7));
    assert_eq!(relay.answers(start, Revision(7), Revision(7)), []);
    let told = RelayAnswer::Granted {
        session: SessionId(1),
        applied: Revision(7),
        lease: Duration::ZERO,
        settled: Revision(7),
    };
    assert_eq!(
        relay.answers(start, Revision(8), Revision(7)),
        [(key, told)]
    );
}

#[test]
fn test_session_relay_lost_session() {
    let start = Instant::now();
    let mut relay = SessionRelay::default();
    let lost = relay.renew(start, renewal(1, 7));
    let kept = relay.renew(start, renewal(2, 7));
    relay.take_batch(start + COLLECTED).unwrap();
    assert_eq!(
        relay.batch_granted(&grant(7, &[1])),
        [(lost, RelayAnswer::Lost)]
    );
    let answers = relay.answers(start + WAIT, Revision(7), Revision(7));
    assert_eq!(answers, [(kept, granted(2, 7, 7))]);
}

#[test]
fn test_session_relay_control_silent() {
    // Guards against entry VMs of a whole region losing their leases: if control does not answer a
    // relay's batch, the relay must tell the entry VMs to ask control themselves while there is
    // time.
    let start = Instant::now();
    let mut relay = SessionRelay::default();
    let key = relay.renew(start, renewal(1, 7));
    relay.take_batch(start + COLLECTED).unwrap();
    assert_eq!(relay.batch_failed(), [(key, RelayAnswer::NoGrant)]);
    assert_eq!(relay.next_wake(), None);
}

#[test]
fn test_session_relay_sends_a_newer_acknowledgement_sooner() {
    let start = Instant::now();
    let mut relay = SessionRelay::default();
    relay.renew(start, renewal(1, 7));
    relay.take_batch(start + COLLECTED).unwrap();
    relay.batch_granted(&grant(7, &[]));
    let later = start + COLLECTED;
    relay.renew(later, renewal(1, 7));
    let unhurried = relay.next_wake().unwrap();
    relay.renew(later, renewal(1, 8));
    assert!(relay.next_wake().unwrap() < unhurried);
}

#[test]
fn test_session_relay_chosen_alike_everywhere() {
    let names = ["a", "b", "c", "d", "e"];
    let sessions = (1..)
        .zip(names)
        .map(|(id, vm)| session(id, vm, "east", false));
    let mut view = view(sessions.chain([session(9, "far", "west", false)]));
    let east = RegionName::new("east");
    let chosen: BTreeSet<_> = relays(&view, &east, 3).iter().map(|s| s.id).collect();
    assert_eq!(chosen.len(), RELAYS_PER_REGION);
    for id in (1..=5).map(SessionId) {
        let asked: BTreeSet<_> = relays_of(&view, id, 3).iter().map(|s| s.id).collect();
        let expected = if chosen.contains(&id) {
            BTreeSet::new()
        } else {
            chosen.clone()
        };
        assert_eq!(asked, expected, "asked by {id}");
    }
    assert!(relays_of(&view, SessionId(9), 3).is_empty());
    assert!(relays(&view, &east, 6).is_empty());
    // A leaving entry VM is no longer a relay.
    let leaver = *chosen.first().unwrap();
    view.sessions.get_mut(&leaver).unwrap().leaving = true;
    assert!(relays(&view, &east, 3).iter().all(|s| s.id != leaver));
}
