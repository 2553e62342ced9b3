//! Tests of the assignment of owners, and that a change of owner overloads no backend
//! server.

mod entry_model;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use entry_model::Decider;
use entry_model::Entry;
use entry_model::EntryModel;
use entry_model::entry_sample::entry_info;
use entry_model::manifest;
use entry_model::manifest_with_deadline;
use entry_model::place;
use entry_model::plenty;
use entry_model::service;
use entry_model::view;
use heatherring_lib::admission::Admission;
use heatherring_lib::admission::Dispatch;
use heatherring_lib::admission::DispatchKey;
use heatherring_lib::admission::Effect;
use heatherring_lib::admission::Ending;
use heatherring_lib::admission::Offer;
use heatherring_lib::admission::RequestToken;
use heatherring_lib::admission::Verdict;
use heatherring_lib::admission::ViewStep;
use heatherring_lib::announcement::Announcement;
use heatherring_lib::announcement::BackendState;
use heatherring_lib::announcement_number::AnnouncementNumber;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::ownership;
use heatherring_lib::ownership::Group;
use heatherring_lib::ownership::Release;
use heatherring_lib::view::ControlView;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const PLACES: [(&str, &str); 2] = [("a1", "a"), ("b1", "b")];
const SLOTS: u32 = 3;
const BACKENDS: [&str; 2] = ["r1", "r2"];
const GROUP_PLACE: &str = "a1";

/// An admission and the effects it has returned so far.
struct Owner {
    admission: Admission,
    effects: Vec<Effect>,
}

impl Decider for Owner {
    fn start(session: SessionId) -> Self {
        Self {
            admission: Admission::new(session, session.0),
            effects: Vec::new(),
        }
    }

    fn apply_view(&mut self, now: Instant, view: &Arc<ControlView>, step: ViewStep) {
        let effects = self.admission.apply_view(now, view, step);
        self.effects.extend(effects);
    }

    fn settle(&mut self, now: Instant, revision: Revision) {
        let effects = self.admission.settle(now, revision);
        self.effects.extend(effects);
    }

    fn extend_lease(&mut self, until: Instant) {
        self.admission.extend_lease(until);
    }
}

/// A request at a backend server, as seen by the server.
struct Run {
    backend: BackendName,
    begins: Instant,
    ends: Instant,
    /// The entry VM and the session that sent it, and the time at which they receive the
    /// answer.
    entry: usize,
    session: SessionId,
    key: DispatchKey,
    answered: Instant,
    reported: bool,
}

struct OwnerModel {
    model: EntryModel<Owner>,
    runs: Vec<Run>,
    releases: Vec<(Instant, SessionId, Release)>,
    offers: BTreeMap<RequestToken, Instant>,
    next_token: u64,
    deadline_ms: u64,
    dispatched: usize,
    dispatching_sessions: BTreeSet<SessionId>,
    rng: ChaCha8Rng,
}

impl OwnerModel {
    fn new(seed: u64, entries: usize, deadline_ms: u64) -> Self {
        let now = Instant::now();
        let mut model = EntryModel::new(now);
        let longest = u32::try_from(deadline_ms).expect("a short deadline");
        let manifest = manifest_with_deadline(&PLACES, plenty(), longest);
        model.control.submit(manifest);
        for number in 0..entries {
            let (place_name, region) = PLACES[usize::from(number % 4 == 3)];
            let info = entry_info(&format!("entry-{number}"), place_name, region);
            model.entries.push(Entry::new(now, info, 60));
        }
        Self {
            model,
            runs: Vec::new(),
            releases: Vec::new(),
            offers: BTreeMap::new(),
            next_token: 0,
            deadline_ms,
            dispatched: 0,
            dispatching_sessions: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn step(&mut self) {
        self.model.step(&mut self.rng);
        let now = self.model.now;
        self.deliver_releases(now);
        for index in 0..self.model.entries.len() {
            if !self.model.entries[index].is_frozen(now) {
                self.act(now, index);
            }
        }
        self.check_slots(now);
        self.runs.retain(|run| !run.reported || now < run.ends);
    }

    /// Runs one step of an entry VM: receives announcements and answers, offers requests,
    /// and executes effects.
    fn act(&mut self, now: Instant, index: usize) {
        let Some(session) = self.model.entries[index].session else {
            return;
        };
        let answered: Vec<(usize, DispatchKey)> = self
            .runs
            .iter()
            .enumerate()
            .filter(|(_, run)| run.entry == index && run.session == session && !run.reported)
            .filter(|(_, run)| now >= run.answered)
            .map(|(position, run)| (position, run.key))
            .collect();
        let owner = self.model.entries[index]
            .decider
            .as_mut()
            .expect("a session");
        for (position, key) in answered {
            self.runs[position].reported = true;
            let latency = Duration::from_millis(50);
            let effects = owner
                .admission
                .finish(now, key, Ending::Answered { latency });
            owner.effects.extend(effects);
        }
        for backend in BACKENDS {
            let effects = owner.admission.announce(now, &announcement(backend));
            owner.effects.extend(effects.unwrap_or_default());
        }
        let mut dispatches = Vec::new();
        for _ in 0..2 {
            let token = RequestToken(self.next_token);
            self.next_token += 1;
            let deadline =
                now + Duration::from_millis(self.rng.random_range(100..=self.deadline_ms));
            self.offers.insert(token, deadline);
            if let Verdict::Dispatch(dispatch) = owner.admission.offer(now, offer(token, deadline))
            {
                dispatches.push(dispatch);
            }
        }
        let effects = owner.admission.tick(now);
        owner.effects.extend(effects);
        for effect in std::mem::take(&mut owner.effects) {
            match effect {
                Effect::Dispatch { dispatch, .. } => dispatches.push(dispatch),
                Effect::Release { to, release } if self.rng.random_ratio(4, 5) => {
                    let delay = Duration::from_millis(self.rng.random_range(1..=300));
                    self.releases.push((now + delay, to, release));
                }
                _ => {}
            }
        }
        for dispatch in dispatches {
            self.send(now, index, session, &dispatch);
        }
    }

    fn send(&mut self, now: Instant, entry: usize, session: SessionId, dispatch: &Dispatch) {
        let travel = Duration::from_millis(self.rng.random_range(1..=5));
        let service = Duration::from_millis(self.rng.random_range(20..=self.deadline_ms));
        let begins = now + travel;
        let ends = (begins + service).min(dispatch.deadline).max(begins);
        self.dispatched += 1;
        self.dispatching_sessions.insert(session);
        self.runs.push(Run {
            backend: dispatch.backend.clone(),
            begins,
            ends,
            entry,
            session,
            key: dispatch.key,
            answered: ends + travel,
            reported: false,
        });
    }

    fn deliver_releases(&mut self, now: Instant) {
        let (due, later) = std::mem::take(&mut self.releases)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.releases = later;
        for (_, to, release) in due {
            let receiver = self
                .model
                .entries
                .iter_mut()
                .find(|entry| entry.session == Some(to) && !entry.is_frozen(now));
            if let Some(owner) = receiver.and_then(|entry| entry.decider.as_mut()) {
                let effects = owner.admission.take_release(now, &release);
                owner.effects.extend(effects);
            }
        }
    }

    fn check_slots(&self, now: Instant) {
        for backend in BACKENDS {
            let backend = BackendName::new(backend);
            let running = self
                .runs
                .iter()
                .filter(|run| run.backend == backend && run.begins <= now && now < run.ends)
                .count();
            assert!(
                running <= SLOTS as usize,
                "{running} requests run at {backend}, which has {SLOTS} slots"
            );
        }
    }

    /// Injects a random fault.
    fn inject_fault(&mut self) {
        let now = self.model.now;
        let index = self.rng.random_range(0..self.model.entries.len());
        let freeze = Duration::from_millis(self.rng.random_range(200..=4_000));
        let entry = &mut self.model.entries[index];
        match self.rng.random_range(0..6) {
            0 => entry.frozen_until = now + freeze,
            1 => entry.cut_until = now + freeze,
            2 => entry.restart(now),
            3 | 4 => {
                if let Some(session) = entry.session {
                    self.model.control.leave(session);
                }
            }
            _ => entry.max_delay_ms = self.rng.random_range(5..=400),
        }
        self.replace_departed();
    }

    /// Ends the sessions that have left and are idle, and restarts their entry VMs.
    fn replace_departed(&mut self) {
        let now = self.model.now;
        for index in 0..self.model.entries.len() {
            let entry = &mut self.model.entries[index];
            let (Some(session), Some(owner)) = (entry.session, &entry.decider) else {
                continue;
            };
            let left = entry.view.sessions.get(&session).is_some_and(|s| s.leaving);
            if left && owner.admission.is_idle() && !entry.is_frozen(now) {
                self.model.control.end(session);
                entry.restart(now);
            }
        }
    }
}

fn announcement(backend: &str) -> Announcement {
    let address: SocketAddr = "127.0.0.1:2".parse().expect("a literal address");
    Announcement {
        backend: BackendName::new(backend),
        service: service(),
        place: place(GROUP_PLACE),
        address,
        slots: SLOTS,
        max_connections: 330,
        state: BackendState::Ready,
        in_flight: 0,
        load: 0.0,
        number: AnnouncementNumber::default(),
    }
}

fn offer(token: RequestToken, deadline: Instant) -> Offer {
    Offer {
        token,
        group: Group::new(service(), place(GROUP_PLACE)),
        operation: 0,
        origin: place(GROUP_PLACE),
        deadline,
        idempotent: true,
    }
}

/// Guards against more requests at a backend server than it has slots. Sessions open,
/// leave, lapse, freeze and resume in any order, views and releases are late or lost, and
/// the owner changes several times within one deadline. It would happen if a new owner
/// started before the old one stopped, or ignored the requests that the old one left.
#[rstest]
fn test_ownership_changes_never_overload(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(2, 5)] entries: usize,
    #[values(300, 3_000)] deadline_ms: u64,
) {
    println!("seed {seed}");
    let mut owners = OwnerModel::new(seed, entries, deadline_ms);
    for step in 0..15_000 {
        owners.step();
        if step % 400 == 399 || (step % 50 == 0 && owners.rng.random_ratio(1, 20)) {
            owners.inject_fault();
        }
    }
    // Without further faults there is one owner, and it dispatches.
    let before = owners.dispatched;
    for _ in 0..2_000 {
        owners.step();
        owners.replace_departed();
    }
    assert!(owners.dispatched > before + 20, "no session dispatches");
    println!(
        "{} sessions, {} requests",
        owners.dispatching_sessions.len(),
        owners.dispatched
    );
    assert!(
        owners.dispatching_sessions.len() > 3,
        "the owner never changed"
    );
}

/// Guards against two entry VMs that dispatch to the same backend server: the owner
/// freezes, its session lapses and another owner takes over; the old one resumes without
/// knowing. It must check its lease, not only its view.
#[test]
fn test_ownership_frozen_owner_wakes() {
    let now = Instant::now();
    let sessions = [(1, "entry-1", "a1", "a")];
    let first = view(1, manifest(&PLACES, plenty()), &sessions);
    let mut admission = Admission::new(SessionId(1), 1);
    admission.extend_lease(now + Duration::from_secs(3));
    admission.apply_view(now, &first, ViewStep::Whole);
    admission.settle(now, Revision(1));
    let awake = now + Duration::from_secs(2);
    admission
        .announce(awake, &announcement("r1"))
        .expect("the announcement matches the manifest");
    admission.tick(awake);
    let deadline = awake + Duration::from_secs(1);
    let verdict = admission.offer(awake, offer(RequestToken(1), deadline));
    assert!(matches!(verdict, Verdict::Dispatch(_)), "{verdict:?}");
    let late = now + Duration::from_secs(4);
    let deadline = late + Duration::from_secs(1);
    let verdict = admission.offer(late, offer(RequestToken(2), deadline));
    assert!(matches!(verdict, Verdict::Refused(_)), "{verdict:?}");
}

/// Two owners at the time a group moves from one to the other with two of three slots in
/// use.
struct Handover {
    now: Instant,
    old_owner: Admission,
    /// Requests that the old owner has in flight.
    dispatched: Vec<DispatchKey>,
    new_owner: Admission,
    after: Arc<ControlView>,
    release: Release,
}

impl Handover {
    fn new() -> Self {
        let now = Instant::now();
        let sessions = [(1, "entry-1", "a1", "a"), (2, "entry-2", "a1", "a")];
        let before = view(2, manifest(&PLACES, plenty()), &sessions);
        let old = ownership::owner(&before, &service(), &place(GROUP_PLACE)).expect("an owner");
        let mut ids = sessions.map(|(id, ..)| SessionId(id)).into_iter();
        let new = ids.find(|id| *id != old.id).expect("another session");
        let mut after = ControlView::clone(&before);
        after.revision = Revision(3);
        after
            .sessions
            .get_mut(&old.id)
            .expect("the session exists")
            .leaving = true;
        let after = Arc::new(after);

        let [mut old_owner, new_owner] = [old.id, new].map(|id| {
            let mut admission = Admission::new(id, 1);
            admission.extend_lease(now + Duration::from_mins(1));
            admission.apply_view(now, &before, ViewStep::Whole);
            admission.settle(now, Revision(2));
            admission
        });
        let now = now + Duration::from_secs(2);
        old_owner
            .announce(now, &announcement("r1"))
            .expect("the announcement matches the manifest");
        let dispatched = (0..2).map(|number| {
            let request = offer(RequestToken(number), now + Duration::from_secs(1));
            match old_owner.offer(now, request) {
                Verdict::Dispatch(dispatch) => dispatch.key,
                other => panic!("not dispatched: {other:?}"),
            }
        });
        let dispatched = dispatched.collect();
        let effects = old_owner.apply_view(now, &after, ViewStep::OneChange);
        let release = effects.into_iter().find_map(|effect| match effect {
            Effect::Release { to, release } if to == new => Some(release),
            _ => None,
        });
        Self {
            now,
            old_owner,
            dispatched,
            new_owner,
            after,
            release: release.expect("a release to the new owner"),
        }
    }

    fn apply_view(&mut self) {
        self.new_owner
            .apply_view(self.now, &self.after, ViewStep::OneChange);
    }

    fn take_release(&mut self) {
        self.new_owner.take_release(self.now, &self.release);
    }

    /// Offers three requests to the new owner and returns how many it dispatches before
    /// and after the revision is settled.
    fn dispatched(&mut self) -> (usize, usize) {
        let deadline = self.now + Duration::from_millis(900);
        let verdicts = (10..13).map(|number| {
            let request = offer(RequestToken(number), deadline);
            self.new_owner.offer(self.now, request)
        });
        let at_once = |verdict: &Verdict| matches!(verdict, Verdict::Dispatch(_));
        let before = verdicts.filter(at_once).count();
        let effects = self.new_owner.settle(self.now, Revision(3));
        let dispatch = |effect: &&Effect| matches!(effect, Effect::Dispatch { .. });
        (before, effects.iter().filter(dispatch).count())
    }
}

/// Guards against overload just after a planned change of owner, with two of three slots
/// in use. The new owner must not start before the revision is settled, because others
/// may still act on an older view, and it must count the requests that the old one has in
/// flight.
#[test]
fn test_ownership_counts_released_work() {
    let mut handover = Handover::new();
    handover.apply_view();
    handover.take_release();
    assert_eq!(handover.dispatched(), (0, 1));
}

/// Guards against the same overload if the connection of a request of the old owner
/// breaks after the change: its dispatch is finished, but the request may still be
/// running and must count.
#[rstest]
fn test_ownership_counts_work_on_broken_connections(#[values(true, false)] breaks: bool) {
    let mut handover = Handover::new();
    let answered = Ending::Answered {
        latency: Duration::from_millis(20),
    };
    let endings = [if breaks { Ending::Failed } else { answered }, answered];
    for (key, ending) in handover.dispatched.clone().into_iter().zip(endings) {
        let effects = handover.old_owner.finish(handover.now, key, ending);
        if let [Effect::Release { release, .. }] = &effects[..] {
            assert!(release.serial > handover.release.serial);
            handover.release.in_flight.clone_from(&release.in_flight);
        }
    }
    handover.apply_view();
    handover.take_release();
    assert_eq!(handover.dispatched(), (0, if breaks { 2 } else { 3 }));
}

/// The same, if the release arrives before the corresponding view.
#[test]
fn test_ownership_counts_work_released_early() {
    let mut handover = Handover::new();
    handover.take_release();
    handover.apply_view();
    assert_eq!(handover.dispatched(), (0, 1));
}

/// Guards against the same overload if a late release of an earlier change of owner is
/// taken for the current one.
#[rstest]
fn test_ownership_ignores_old_release(#[values(true, false)] early: bool) {
    let mut handover = Handover::new();
    handover.release.revision = Revision(2);
    if early {
        handover.take_release();
        handover.apply_view();
    } else {
        handover.apply_view();
        handover.take_release();
    }
    assert_eq!(handover.dispatched(), (0, 0));
}

macro_rules! owner_cases {
    ($($name:ident: $sessions:expr, $place:literal => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let places = [("a1", "a"), ("a2", "a"), ("b1", "b")];
                let view = view(1, manifest(&places, plenty()), &$sessions);
                let owner = ownership::owner(&view, &service(), &place($place));
                assert_eq!(owner.map(|session| session.info.vm.as_str()), $expected);
            }
        )*
    };
}

owner_cases! {
    test_ownership_goes_to_the_place:
        [(1, "x", "a2", "a"), (2, "y", "a1", "a"), (3, "z", "b1", "b")], "a1" => Some("y");
    test_ownership_goes_to_the_region:
        [(1, "x", "a2", "a"), (3, "z", "b1", "b")], "a1" => Some("x");
    test_ownership_goes_anywhere: [(3, "z", "b1", "b")], "a1" => Some("z");
    test_ownership_without_sessions: [], "a1" => None;
}

/// A session that starts acquires groups only for itself, and one that ends leaves the
/// groups of the others in place.
#[test]
fn test_ownership_moves_only_what_it_must() {
    let names: Vec<String> = (0..40).map(|number| format!("p{number}")).collect();
    let places: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "a")).collect();
    let all: Vec<(u64, String)> = (1..=5).map(|id| (id, format!("entry-{id}"))).collect();
    let sessions: Vec<_> = all
        .iter()
        .map(|(id, vm)| (*id, vm.as_str(), "elsewhere", "a"))
        .collect();
    let four = view(1, manifest(&places, plenty()), &sessions[..4]);
    let five = view(2, manifest(&places, plenty()), &sessions);
    let mut moved = 0;
    for name in &names {
        let owner = |view| ownership::owner(view, &service(), &place(name)).map(|s| s.id);
        if owner(&four) != owner(&five) {
            assert_eq!(owner(&five), Some(SessionId(5)));
            moved += 1;
        }
    }
    assert!((1..=20).contains(&moved), "{moved} of 40 groups moved");
}
