//! Tests of the leader's record of sessions and of the entry's lease.

#[path = "common/entry_sample.rs"]
mod entry_sample;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use entry_sample::entry_info;
use heatherring_lib::command::Command;
use heatherring_lib::command::CommandKind;
use heatherring_lib::control_state::ControlState;
use heatherring_lib::entry_lease::EntryLease;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::session_tracker::Renewal;
use heatherring_lib::session_tracker::SessionTracker;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20_261_202;
const LEASE: Duration = Duration::from_secs(1);
const MARGIN: Duration = Duration::from_millis(100);
const A: SessionId = SessionId(1);
const B: SessionId = SessionId(2);

/// Start of a test, from which times are counted in milliseconds.
#[derive(Clone, Copy)]
struct Start(Instant);

impl Start {
    fn now() -> Self {
        Self(Instant::now())
    }

    fn ms(self, ms: u64) -> Instant {
        self.0 + Duration::from_millis(ms)
    }
}

fn new_tracker(t: Start) -> SessionTracker {
    let mut tracker = SessionTracker::new(LEASE, MARGIN);
    tracker.reset(t.ms(0), [A, B]);
    tracker
}

/// Returns a state in which each of the log entries 1 to `count` opened a session.
fn state(count: u64) -> ControlState {
    let mut state = ControlState::default();
    for _ in 0..count {
        apply(&mut state, open());
    }
    state
}

fn open() -> CommandKind {
    CommandKind::OpenSession(entry_info("entry-1", "alm-a", "almaty"))
}

fn apply(state: &mut ControlState, kind: CommandKind) {
    let index = state.revision().next();
    state.apply(index, &Command { wall_ms: 0, kind }).unwrap();
}

#[test]
fn test_tracker_lapses_after_lease_and_margin() {
    let t = Start::now();
    let mut tracker = new_tracker(t);
    let granted = tracker.renewed(B, t.ms(600), Revision(0));
    assert_eq!(granted, Renewal::Granted);
    assert_eq!(tracker.next_wake(), Some(t.ms(1_100)));
    assert!(tracker.lapsed(t.ms(1_099)).is_empty());
    assert_eq!(tracker.lapsed(t.ms(1_100)), [A]);
    assert_eq!(tracker.next_wake(), Some(t.ms(1_700)));
    assert_eq!(tracker.lapsed(t.ms(1_700)), [B]);
}

#[test]
fn test_tracker_ignores_the_order_of_renewals() {
    let t = Start::now();
    let mut tracker = new_tracker(t);
    for received_at in [900, 200] {
        let granted = tracker.renewed(A, t.ms(received_at), Revision(0));
        assert_eq!(granted, Renewal::Granted);
    }
    assert_eq!(
        tracker.lease_left(A, t.ms(1_000)),
        Some(t.ms(2_000) - t.ms(1_000))
    );
}

#[test]
fn test_tracker_grants_nothing_once_a_lapse_is_proposed() {
    let t = Start::now();
    let mut tracker = new_tracker(t);
    // Guards against two entries that own one backend server: a renewal that arrives in time, but
    // waits for its quorum round past the end of the lease, must not be granted once the lapse is
    // proposed and may be committed.
    assert_eq!(tracker.lapsed(t.ms(1_100)), [A, B]);
    let late = tracker.renewed(A, t.ms(1_050), Revision(9));
    assert_eq!(late, Renewal::Refused);
    assert_eq!(tracker.lapsed(t.ms(1_200)), []);
    assert_eq!(tracker.lapsed(t.ms(2_100)), [A, B], "proposed again");
    assert_eq!(
        tracker.renewed(A, t.ms(2_101), Revision(9)),
        Renewal::Refused
    );
}

#[test]
fn test_tracker_gives_a_full_lease_after_an_election() {
    let t = Start::now();
    let mut tracker = new_tracker(t);
    // Guards against a healthy entry that loses its session at a change of leader: the new leader
    // cannot know of a renewal that its predecessor granted shortly before, so it must not count
    // from its own earlier knowledge.
    assert_eq!(tracker.lapsed(t.ms(1_100)), [A, B]);
    tracker.reset(t.ms(5_000), [B]);
    assert!(tracker.lapsed(t.ms(6_099)).is_empty());
    assert_eq!(
        tracker.renewed(A, t.ms(5_001), Revision(0)),
        Renewal::Refused
    );
    assert_eq!(tracker.lapsed(t.ms(6_100)), [B]);
}

#[test]
fn test_settled_needs_each_session_opened_before() {
    let t = Start::now();
    let mut state = state(3);
    let mut tracker = SessionTracker::new(LEASE, MARGIN);
    tracker.reset(t.ms(0), state.view().sessions.keys().copied());
    // Session 1 may still act on its first view; 2 and 3 never had an older one.
    assert_eq!(tracker.settled_revision(&state), Revision(1));
    let _ = tracker.renewed(SessionId(1), t.ms(1), Revision(3));
    assert_eq!(tracker.settled_revision(&state), Revision(2));
    let _ = tracker.renewed(SessionId(2), t.ms(1), Revision(3));
    assert_eq!(tracker.settled_revision(&state), Revision(3));

    apply(&mut state, CommandKind::MarkLeaving(SessionId(2)));
    let _ = tracker.renewed(SessionId(1), t.ms(2), Revision(4));
    let _ = tracker.renewed(SessionId(3), t.ms(2), Revision(4));
    assert_eq!(
        tracker.settled_revision(&state),
        Revision(3),
        "session 2 lags behind"
    );
    // A proposed lapse does not settle anything; a committed one does.
    let _ = tracker.lapsed(t.ms(1_101));
    assert_eq!(tracker.settled_revision(&state), Revision(3));
    apply(&mut state, CommandKind::LapseSession(SessionId(2)));
    assert_eq!(tracker.settled_revision(&state), Revision(4));
    assert_eq!(state.view().revision, Revision(5));
}

#[test]
fn test_settled_counts_untracked_sessions_as_behind() {
    let t = Start::now();
    // Guards against a new owner that starts while an entry still acts on the previous view: a
    // leader may be asked directly after its election, before its tracker is filled, and must not
    // treat an untracked session as one that has ended.
    let mut state = state(1);
    apply(&mut state, CommandKind::MarkLeaving(SessionId(1)));
    let mut tracker = SessionTracker::new(LEASE, MARGIN);
    assert_eq!(tracker.settled_revision(&state), Revision(1));
    tracker.reset(t.ms(0), [SessionId(1)]);
    assert_eq!(tracker.settled_revision(&state), Revision(1));
    // An entry cannot have applied more than exists.
    let _ = tracker.renewed(SessionId(1), t.ms(1), Revision(90));
    assert_eq!(tracker.settled_revision(&state), Revision(2));
}

fn held_lease(t: Start) -> EntryLease {
    let mut lease = EntryLease::default();
    assert!(lease.opened(A, t.ms(0), LEASE));
    lease
}

#[test]
fn test_lease_counts_from_sending() {
    let t = Start::now();
    let mut held = held_lease(t);
    assert!(held.is_valid(t.ms(999)));
    assert!(
        !held.is_valid(t.ms(1_000)),
        "expiry must not depend on a timer"
    );
    assert!(held.renewed(A, t.ms(500), LEASE, t.ms(900)));
    assert!(
        held.renewed(A, t.ms(300), LEASE, t.ms(950)),
        "a reply out of order"
    );
    assert_eq!(held.expires_at(), Some(t.ms(1_500)));
    assert!(!held.expire(t.ms(1_499)));
    assert!(held.expire(t.ms(1_500)));
    assert!(!held.expire(t.ms(1_501)), "reported once");
}

#[test]
fn test_lapsed_lease_is_not_revived_by_an_older_request() {
    let t = Start::now();
    let mut held = held_lease(t);
    // Guards against an entry that directed callers elsewhere and then resumes work on an older
    // lease: a renewal is sent, the lease expires, and only then does the reply arrive. The reply
    // must not be judged by the lease that it carries alone.
    assert!(!held.renewed(A, t.ms(800), LEASE, t.ms(1_000)));
    assert!(!held.is_valid(t.ms(1_001)));
    assert!(
        held.renewed(A, t.ms(1_000), LEASE, t.ms(1_400)),
        "sent after the lease expired"
    );
    assert_eq!(held.expires_at(), Some(t.ms(2_000)));
}

#[test]
fn test_frozen_entry_is_not_revived_by_an_expired_reply() {
    let t = Start::now();
    let mut held = held_lease(t);
    assert!(!held.renewed(A, t.ms(1_000), LEASE, t.ms(2_000)));
    assert_eq!(held.expires_at(), None);
}

#[test]
fn test_lease_ignores_replies_for_other_sessions() {
    let t = Start::now();
    let mut held = held_lease(t);
    assert!(
        !held.opened(B, t.ms(10), LEASE),
        "late reply to a second opening"
    );
    assert!(held.renewed(B, t.ms(900), LEASE, t.ms(950)));
    held.lost(B);
    assert_eq!(held.session(), Some(A));
    assert_eq!(held.expires_at(), Some(t.ms(1_000)));
    held.lost(A);
    assert!(
        !held.renewed(A, t.ms(960), LEASE, t.ms(970)),
        "the session was lost"
    );
    assert_eq!(held.session(), None);
}

/// A leader with its tracker, and the time since which it leads.
struct Leader {
    tracker: SessionTracker,
    since: u64,
}

/// One renewal: the pause before it is sent, and the duration of each of its legs, in milliseconds.
#[derive(Clone, Debug)]
struct Sync {
    pause: u64,
    to_leader: u64,
    barrier: u64,
    to_entry: u64,
}

fn any_sync() -> impl Strategy<Value = Sync> {
    (0_u64..700, 0_u64..600, 0_u64..600, 0_u64..600).prop_map(
        |(pause, to_leader, barrier, to_entry)| Sync {
            pause,
            to_leader,
            barrier,
            to_entry,
        },
    )
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Elected,
    Lapses,
    Arrives(usize),
    Granted(usize),
    Replied(usize),
}

/// Lists the events in order of time: renewals overlap, each with three steps.
fn timeline(syncs: &[Sync], elections: &[u64]) -> Vec<(u64, Event)> {
    let mut events: Vec<_> = elections.iter().map(|&at| (at, Event::Elected)).collect();
    let mut sent = 0;
    for (number, sync) in syncs.iter().enumerate() {
        sent += sync.pause;
        let arrives = sent + sync.to_leader;
        let granted = arrives + sync.barrier;
        events.push((arrives, Event::Arrives(number)));
        events.push((granted, Event::Granted(number)));
        events.push((granted + sync.to_entry, Event::Replied(number)));
    }
    let end = events.iter().map(|&(at, _)| at).max().unwrap_or(0) + 5_000;
    events.extend((0..end).step_by(10).map(|at| (at, Event::Lapses)));
    events.sort_unstable();
    events
}

proptest! {
    #![proptest_config(config())]

    // Guards against an entry that accepts new requests after its session was declared lapsed, for
    // renewals that overlap and are slow on any leg while leaders change.
    #[test]
    fn test_no_lease_is_valid_after_its_lapse(
        syncs in prop::collection::vec(any_sync(), 1..12),
        elections in prop::collection::vec(0_u64..6_000, 0..3),
    ) {
        let t = Start::now();
        let sent_at = |number: usize| -> u64 {
            syncs[..=number].iter().map(|sync| sync.pause).sum()
        };
        let mut leader = Leader { tracker: SessionTracker::new(LEASE, MARGIN), since: 0 };
        leader.tracker.reset(t.ms(0), [A]);
        let mut lease = EntryLease::default();
        lease.opened(A, t.ms(0), LEASE);
        let mut arrived = vec![0; syncs.len()];
        let mut granted = vec![false; syncs.len()];
        for (at, event) in timeline(&syncs, &elections) {
            match event {
                Event::Elected => {
                    leader.tracker.reset(t.ms(at), [A]);
                    leader.since = at;
                }
                Event::Lapses => {
                    if leader.tracker.lapsed(t.ms(at)).is_empty() {
                        continue;
                    }
                    // Committed at once, which is the worst case for the entry.
                    prop_assert!(!lease.is_valid(t.ms(at)));
                    let later = timeline(&syncs, &[]);
                    for &(reply_at, event) in later.iter().filter(|&&(later, _)| later >= at) {
                        if let Event::Replied(number) = event && granted[number] {
                            let sent = t.ms(sent_at(number));
                            prop_assert!(!lease.renewed(A, sent, LEASE, t.ms(reply_at)));
                        }
                    }
                    return Ok(());
                }
                Event::Arrives(number) => arrived[number] = at,
                // A quorum round that began under another leader fails.
                Event::Granted(number) if arrived[number] >= leader.since => {
                    let renewal = leader.tracker.renewed(A, t.ms(arrived[number]), Revision(0));
                    granted[number] = renewal == Renewal::Granted;
                }
                Event::Granted(_) => {}
                Event::Replied(number) => {
                    if granted[number] {
                        lease.renewed(A, t.ms(sent_at(number)), LEASE, t.ms(at));
                    }
                }
            }
        }
        prop_assert!(false, "the session must lapse in the end");
    }
}

/// One step of entries and their leader; numbers select one of the open sessions.
#[derive(Clone, Debug)]
enum Step {
    Open,
    Change(usize),
    Sync(usize),
    Lapse(usize),
    Election,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Open),
        2 => (0_usize..8).prop_map(Step::Change),
        6 => (0_usize..8).prop_map(Step::Sync),
        1 => (0_usize..8).prop_map(Step::Lapse),
        1 => Just(Step::Election),
    ]
}

/// Revision on which each open session's entry acts.
type EntryRevisions = BTreeMap<SessionId, Revision>;

fn pick(entries: &EntryRevisions, number: usize) -> Option<SessionId> {
    entries.keys().copied().cycle().nth(number)
}

fn sync(
    tracker: &mut SessionTracker,
    state: &ControlState,
    entries: &mut EntryRevisions,
    session: SessionId,
    now: Instant,
) {
    let applied = entries[&session];
    assert_eq!(tracker.renewed(session, now, applied), Renewal::Granted);
    entries.insert(session, state.view().revision);
}

proptest! {
    #![proptest_config(config())]

    // Guards against a revision that counts as settled while some entry acts on an older view, as
    // entries open, lapse and lag and leaders change in any order. Otherwise two entries might own
    // one backend server, or a manifest might be reported in force that is not in force on some
    // entry.
    #[test]
    fn test_settled_stays_settled(steps in prop::collection::vec(any_step(), 1..60)) {
        let now = Instant::now();
        let mut state = ControlState::default();
        let mut tracker = SessionTracker::new(LEASE, MARGIN);
        let mut entries = EntryRevisions::new();
        let mut settled = Revision::default();
        for step in steps {
            match step {
                Step::Open => {
                    apply(&mut state, open());
                    let session = SessionId(state.revision().0);
                    tracker.opened(session, now);
                    entries.insert(session, state.view().revision);
                }
                Step::Change(number) => {
                    if let Some(session) = pick(&entries, number) {
                        apply(&mut state, CommandKind::MarkLeaving(session));
                    }
                }
                Step::Sync(number) => {
                    if let Some(session) = pick(&entries, number) {
                        sync(&mut tracker, &state, &mut entries, session, now);
                    }
                }
                Step::Lapse(number) => {
                    if let Some(session) = pick(&entries, number) {
                        apply(&mut state, CommandKind::LapseSession(session));
                        tracker.removed(session);
                        entries.remove(&session);
                    }
                }
                Step::Election => tracker.reset(now, entries.keys().copied()),
            }
            settled = settled.max(tracker.settled_revision(&state));
            for (session, revision) in &entries {
                prop_assert!(*revision >= settled, "{session} at {revision}, settled {settled}");
            }
        }
        for session in entries.keys().copied().collect::<Vec<_>>().repeat(2) {
            sync(&mut tracker, &state, &mut entries, session, now);
        }
        prop_assert_eq!(tracker.settled_revision(&state), state.view().revision);
    }
}
