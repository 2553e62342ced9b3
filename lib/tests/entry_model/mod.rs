//! Deterministic model of control and of entry VMs with message delays.
//!
//! Control keeps the log of views, the leases and the acknowledgements as described in
//! docs/architecture.md. Entry VMs receive changes late, freeze, lapse, leave and return. Time
//! advances in steps of [`STEP`].

// Each test binary uses only a part of this module.
#![allow(dead_code)]

#[path = "../common/entry_sample.rs"]
pub mod entry_sample;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use entry_sample::entry_info;
use heatherring_lib::admission::ViewStep;
use heatherring_lib::id::ContentDigest;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::SessionId;
use heatherring_lib::manifest::LookUps;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::manifest::Operation;
use heatherring_lib::manifest::Place;
use heatherring_lib::manifest::PlaceLimit;
use heatherring_lib::manifest::Service;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntryInfo;
use heatherring_lib::view::EntrySession;
use heatherring_lib::view::ManifestInForce;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

pub const STEP: Duration = Duration::from_millis(5);
pub const LEASE: Duration = Duration::from_millis(1_500);
pub const LEASE_MARGIN: Duration = Duration::from_millis(200);
pub const SYNC_INTERVAL: Duration = Duration::from_millis(100);
pub const SERVICE: &str = "registry";

pub fn place(name: &str) -> PlaceName {
    PlaceName::new(name)
}

pub fn service() -> ServiceName {
    ServiceName::new(SERVICE)
}

/// Builds a manifest with one service; each place is given as `(place, region)`.
pub fn manifest(places: &[(&str, &str)], limit: PlaceLimit) -> Manifest {
    manifest_with_deadline(places, limit, 1_000)
}

pub fn manifest_with_deadline(
    places: &[(&str, &str)],
    limit: PlaceLimit,
    deadline_ms: u32,
) -> Manifest {
    let operation = |name: &str, idempotent| Operation {
        name: name.into(),
        method: "GET".into(),
        path_prefix: format!("/{name}"),
        idempotent,
        deadline_ms,
    };
    let service = Service {
        operations: vec![operation("read", true), operation("write", false)],
        max_slots_per_backend: 3,
        max_connections_per_backend: 330,
        limits: places
            .iter()
            .map(|(name, _)| (place(name), limit))
            .collect(),
        warm_up_ms: 0,
    };
    Manifest {
        version: ManifestVersion(1),
        deployment: "test".into(),
        places: places
            .iter()
            .map(|(name, region)| {
                let region = RegionName::new(*region);
                (place(name), Place { region })
            })
            .collect(),
        services: BTreeMap::from([(self::service(), service)]),
        shift_caps: Vec::new(),
        links: Vec::new(),
        drains: Vec::new(),
        client_blocks: Vec::new(),
        look_ups: LookUps::default(),
    }
}

pub fn plenty() -> PlaceLimit {
    PlaceLimit {
        max_in_flight: 1_000,
        max_per_second: 100_000,
    }
}

pub fn in_force(revision: Revision, manifest: Manifest) -> Arc<ManifestInForce> {
    Arc::new(ManifestInForce {
        revision,
        digest: ContentDigest::of(&revision.0.to_be_bytes()),
        manifest,
    })
}

/// Builds a view at `revision` with one session for each `(id, vm, place, region)`.
pub fn view(
    revision: u64,
    manifest: Manifest,
    sessions: &[(u64, &str, &str, &str)],
) -> Arc<ControlView> {
    let sessions = sessions.iter().map(|(id, vm, place_name, region)| {
        let session = EntrySession {
            id: SessionId(*id),
            info: entry_info(vm, place_name, region),
            leaving: false,
        };
        (session.id, session)
    });
    Arc::new(ControlView {
        revision: Revision(revision),
        manifest: Some(in_force(Revision(revision), manifest)),
        sessions: sessions.collect(),
    })
}

/// Decision logic of an entry VM under one session.
pub trait Decider {
    fn start(session: SessionId) -> Self;
    fn apply_view(&mut self, now: Instant, view: &Arc<ControlView>, step: ViewStep);
    fn settle(&mut self, now: Instant, revision: Revision);
    fn extend_lease(&mut self, until: Instant);
}

/// Control's log and its record of the sessions.
pub struct Control {
    views: Vec<Arc<ControlView>>,
    contacts: BTreeMap<SessionId, SessionContact>,
    settled: Revision,
}

struct SessionContact {
    at: Instant,
    applied: Revision,
}

impl Control {
    pub fn new() -> Self {
        Self {
            views: vec![Arc::default()],
            contacts: BTreeMap::new(),
            settled: Revision(0),
        }
    }

    pub fn view(&self) -> &Arc<ControlView> {
        self.views.last().expect("the log is never empty")
    }

    pub fn settled(&self) -> Revision {
        self.settled
    }

    /// Appends a change to the log and returns its revision.
    pub fn append(&mut self, change: impl FnOnce(&mut ControlView)) -> Revision {
        let mut next = ControlView::clone(self.view());
        next.revision = next.revision.next();
        change(&mut next);
        let revision = next.revision;
        self.views.push(Arc::new(next));
        revision
    }

    pub fn submit(&mut self, manifest: Manifest) -> Revision {
        self.append(|view| view.manifest = Some(in_force(view.revision, manifest)))
    }

    fn open(&mut self, now: Instant, info: EntryInfo) -> SessionId {
        let revision = self.append(|view| {
            let id = SessionId(view.revision.0);
            let session = EntrySession {
                id,
                info,
                leaving: false,
            };
            view.sessions.insert(id, session);
        });
        let id = SessionId(revision.0);
        let applied = Revision(0);
        self.contacts
            .insert(id, SessionContact { at: now, applied });
        id
    }

    pub fn end(&mut self, id: SessionId) {
        if self.contacts.remove(&id).is_some() {
            self.append(|view| {
                view.sessions.remove(&id);
            });
        }
    }

    pub fn leave(&mut self, id: SessionId) {
        if self.contacts.contains_key(&id) {
            self.append(|view| {
                if let Some(session) = view.sessions.get_mut(&id) {
                    session.leaving = true;
                }
            });
        }
    }

    /// Lapses sessions that sent nothing for a lease and a margin.
    fn lapse(&mut self, now: Instant) {
        let over = |contact: &SessionContact| now > contact.at + LEASE + LEASE_MARGIN;
        let lapsed: Vec<SessionId> = self
            .contacts
            .iter()
            .filter(|(_, contact)| over(contact))
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            self.end(id);
        }
    }

    fn record_contact(&mut self, now: Instant, id: SessionId, applied: Revision) -> bool {
        let Some(contact) = self.contacts.get_mut(&id) else {
            return false;
        };
        contact.at = now;
        contact.applied = contact.applied.max(applied);
        self.settle();
        true
    }

    fn settle(&mut self) {
        let last = self.view().revision;
        let all_applied = |revision: &Revision| {
            self.contacts
                .iter()
                .all(|(id, contact)| id.0 >= revision.0 || contact.applied >= *revision)
        };
        let newly = (self.settled.0 + 1..=last.0).map(Revision);
        if let Some(settled) = newly.filter(all_applied).max() {
            self.settled = settled;
        }
    }
}

/// Message in transit from control to an entry VM.
struct Reply {
    arrives: Instant,
    sent: Instant,
    kind: ReplyKind,
}

enum ReplyKind {
    Opened(SessionId, Arc<ControlView>, Revision),
    Granted(Vec<Arc<ControlView>>, Revision),
    Lost,
}

/// Message in transit from an entry VM to control.
struct Sync {
    arrives: Instant,
    sent: Instant,
    session: Option<SessionId>,
    applied: Revision,
}

/// An entry VM.
pub struct Entry<D> {
    pub info: EntryInfo,
    pub session: Option<SessionId>,
    pub decider: Option<D>,
    pub view: Arc<ControlView>,
    pub frozen_until: Instant,
    /// End of a network partition from control, during which the entry VM continues to work.
    pub cut_until: Instant,
    /// Highest delay of a message to or from control, in milliseconds.
    pub max_delay_ms: u64,
    next_sync: Instant,
    syncs: Vec<Sync>,
    replies: Vec<Reply>,
}

impl<D: Decider> Entry<D> {
    pub fn new(now: Instant, info: EntryInfo, max_delay_ms: u64) -> Self {
        Self {
            info,
            session: None,
            decider: None,
            view: Arc::default(),
            frozen_until: now,
            cut_until: now,
            max_delay_ms,
            next_sync: now,
            syncs: Vec::new(),
            replies: Vec::new(),
        }
    }

    pub fn is_frozen(&self, now: Instant) -> bool {
        now < self.frozen_until
    }

    /// Kills the process and starts a new incarnation without a session.
    pub fn restart(&mut self, now: Instant) {
        *self = Self::new(now, self.info.clone(), self.max_delay_ms);
    }

    fn delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        Duration::from_millis(rng.random_range(1..=self.max_delay_ms))
    }

    fn step(&mut self, now: Instant, control: &mut Control, rng: &mut ChaCha8Rng) {
        if !self.is_frozen(now) {
            self.take_replies(now);
            self.send_sync(now, rng);
        }
        let (received, in_transit) = std::mem::take(&mut self.syncs)
            .into_iter()
            .partition(|sync| sync.arrives <= now);
        self.syncs = in_transit;
        if now < self.cut_until {
            return;
        }
        for sync in received {
            let kind = answer(now, control, &self.info, &sync);
            let arrives = now + self.delay(rng);
            let sent = sync.sent;
            self.replies.push(Reply {
                arrives,
                sent,
                kind,
            });
        }
    }

    fn send_sync(&mut self, now: Instant, rng: &mut ChaCha8Rng) {
        // As in the real process, only one call is in flight at a time.
        if now < self.next_sync || !self.syncs.is_empty() || !self.replies.is_empty() {
            return;
        }
        self.next_sync = now + SYNC_INTERVAL;
        self.syncs.push(Sync {
            arrives: now + self.delay(rng),
            sent: now,
            session: self.session,
            applied: self.view.revision,
        });
    }

    fn take_replies(&mut self, now: Instant) {
        let (arrived, in_transit) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition(|reply| reply.arrives <= now);
        self.replies = in_transit;
        for reply in arrived {
            self.take_reply(now, reply);
        }
    }

    fn take_reply(&mut self, now: Instant, reply: Reply) {
        match reply.kind {
            ReplyKind::Opened(session, view, settled) => {
                let mut decider = D::start(session);
                decider.extend_lease(reply.sent + LEASE);
                decider.apply_view(now, &view, ViewStep::Whole);
                decider.settle(now, settled);
                self.session = Some(session);
                self.decider = Some(decider);
                self.view = view;
            }
            ReplyKind::Granted(views, settled) => {
                let Some(decider) = &mut self.decider else {
                    return;
                };
                decider.extend_lease(reply.sent + LEASE);
                for view in views {
                    decider.apply_view(now, &view, ViewStep::OneChange);
                    self.view = view;
                }
                decider.settle(now, settled);
            }
            ReplyKind::Lost => {
                self.session = None;
                self.decider = None;
                self.view = Arc::default();
            }
        }
    }
}

fn answer(now: Instant, control: &mut Control, info: &EntryInfo, sync: &Sync) -> ReplyKind {
    let Some(session) = sync.session else {
        let session = control.open(now, info.clone());
        return ReplyKind::Opened(session, Arc::clone(control.view()), control.settled);
    };
    if !control.record_contact(now, session, sync.applied) {
        return ReplyKind::Lost;
    }
    let from = usize::try_from(sync.applied.0 + 1).expect("revision exceeds usize");
    ReplyKind::Granted(control.views[from..].to_vec(), control.settled)
}

/// Control and its entry VMs.
pub struct EntryModel<D> {
    pub now: Instant,
    pub control: Control,
    pub entries: Vec<Entry<D>>,
}

impl<D: Decider> EntryModel<D> {
    pub fn new(now: Instant) -> Self {
        Self {
            now,
            control: Control::new(),
            entries: Vec::new(),
        }
    }

    /// Advances time by one step.
    pub fn step(&mut self, rng: &mut ChaCha8Rng) {
        self.now += STEP;
        self.control.lapse(self.now);
        self.control.settle();
        for entry in &mut self.entries {
            entry.step(self.now, &mut self.control, rng);
        }
    }
}
