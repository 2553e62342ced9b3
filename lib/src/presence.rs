//! Presence of backend servers and entry VMs: soft state that control replicas exchange.
//!
//! A backend server or an entry VM sends its heartbeats to one replica of its choice and may switch
//! to another at any time. Each replica therefore reports to the others whose heartbeats it
//! receives. A partitioned replica receives few heartbeats and must not declare the others dead, so
//! its verdicts are not used while it has no contact with a majority.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::headroom::Headroom;
use crate::heartbeat_timing::HeartbeatTiming;
use crate::id::BackendName;
use crate::id::VmName;
use crate::numbered_set::SetUpdate;
use crate::presence_report::HeartbeatSource;
use crate::presence_report::LocalHeartbeats;
use crate::presence_report::PresenceReport;
use crate::presence_report::ReplicaEndpoints;
use crate::presence_report::StatementStamp;

/// Time without heartbeats after which an entry VM is no longer named to callers. It polls control
/// at least once per second, may have to switch to another replica, which takes a second, and its
/// heartbeat takes half a second to be reported to the other replicas.
pub const ENTRY_SILENCE: Duration = Duration::from_millis(3_500);

/// Interval between two reports to the other replicas.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without any event after which this process counts as having been suspended. Events are a
/// quarter of a second apart at most.
const SUSPENSION: Duration = Duration::from_secs(1);

/// Time without reports after which a replica no longer counts towards a majority: three intervals.
const PEER_SILENCE: Duration = Duration::from_millis(1_600);

/// A backend server or entry VM that is not to be used for now, as sent to entry VMs.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Absent {
    /// A backend server whose heartbeats have ceased.
    Backend(BackendName),
    /// An entry VM that accepts no requests.
    Entry(VmName),
    /// An entry VM that is to be named to callers as its headroom allows.
    Partly {
        /// Name of the VM.
        vm: VmName,
        /// Its headroom.
        headroom: Headroom,
    },
}

/// How many replicas receive heartbeats of a source, and when the last one did.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// Number of replicas that receive its heartbeats now.
    reporters: u32,
    /// Time of the last heartbeat; used only while no replica receives any.
    last: Instant,
}

impl Contact {
    fn silence(&self, now: Instant) -> Duration {
        if self.reporters > 0 {
            Duration::ZERO
        } else {
            now.saturating_duration_since(self.last)
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct EntryContact {
    stamp: StatementStamp,
    ready: bool,
    /// When it began to report this state.
    stated_at: Instant,
    contact: Contact,
}

/// What an entry VM last told of its headroom. It holds until the entry VM tells another one.
#[derive(Clone, Copy, Debug)]
struct Room {
    stamp: StatementStamp,
    headroom: Headroom,
    /// When it began to tell this.
    stated_at: Instant,
}

/// Latest report of another replica.
#[derive(Debug)]
struct Peer {
    life: u64,
    /// Number of the last of its changes known here; 0 if a full report is needed next.
    number: u64,
    /// Highest number of a report that was applied.
    latest: u64,
    sources: BTreeSet<HeartbeatSource>,
    endpoints: Option<ReplicaEndpoints>,
    at: Instant,
}

impl Peer {
    /// Creates the entry of a replica that has reported no sources yet.
    fn unheard(now: Instant, report: &PresenceReport) -> Self {
        Self {
            life: report.life,
            number: 0,
            latest: 0,
            sources: BTreeSet::new(),
            endpoints: report.endpoints.clone(),
            at: now,
        }
    }

    /// Removes the sources that an update removes, and returns them.
    fn removed_by(&mut self, update: &SetUpdate<HeartbeatSource>) -> Vec<HeartbeatSource> {
        let mut removed: Vec<HeartbeatSource> = update.removed.clone();
        if update.whole {
            let whole: BTreeSet<&HeartbeatSource> = update.added.iter().collect();
            let gone = self.sources.iter().filter(|known| !whole.contains(known));
            removed.extend(gone.cloned());
        }
        removed.retain(|source| self.sources.remove(source));
        removed
    }
}

/// Presence of all backend servers and entry VMs, as known to this replica.
#[derive(Debug)]
pub struct Presence {
    began: Instant,
    /// Time of the latest event.
    awake_at: Instant,
    timing: HeartbeatTiming,
    own: LocalHeartbeats,
    backends: BTreeMap<BackendName, Contact>,
    entries: BTreeMap<VmName, EntryContact>,
    rooms: BTreeMap<VmName, Room>,
    peers: BTreeMap<VmName, Peer>,
}

impl Presence {
    /// Creates an empty state. `life` identifies this incarnation of the process and is drawn at
    /// random, and `timing` applies to backend servers.
    #[must_use]
    pub fn new(now: Instant, life: u64, timing: HeartbeatTiming) -> Self {
        Self {
            began: now,
            awake_at: now,
            timing,
            own: LocalHeartbeats::new(life, timing),
            backends: BTreeMap::new(),
            entries: BTreeMap::new(),
            rooms: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Records that the process runs; must be called at each event, and at regular intervals.
    ///
    /// A process that was suspended could not receive heartbeats or reports, and what it receives
    /// first on resuming is not what was sent last. Its silences therefore exclude that time.
    pub fn note_awake(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.awake_at);
        self.awake_at = self.awake_at.max(now);
        if pause < SUSPENSION {
            return;
        }
        self.began += pause;
        self.own.extend(pause);
        for contact in self.backends.values_mut() {
            contact.last += pause;
        }
        for entry in self.entries.values_mut() {
            entry.contact.last += pause;
        }
        for peer in self.peers.values_mut() {
            peer.at += pause;
        }
    }

    /// Records a heartbeat of a backend server. Returns whether it counted as silent before.
    pub fn record_backend_heartbeat(&mut self, now: Instant, backend: &BackendName) -> bool {
        let silent = self.is_silent(now, backend);
        let source = HeartbeatSource::Backend(backend.clone());
        if self.own.record_heartbeat(now, &source) {
            self.add(now, &source);
        }
        silent
    }

    /// Records a heartbeat of an entry VM. Returns whether its incarnation or readiness is new. A
    /// heartbeat with an earlier statement than the known one was held up and is ignored.
    pub fn record_entry_heartbeat(
        &mut self,
        now: Instant,
        vm: &VmName,
        stamp: StatementStamp,
        ready: bool,
    ) -> bool {
        let source = |stamp, ready| HeartbeatSource::Entry {
            vm: vm.clone(),
            stamp,
            ready,
        };
        let before = self.entries.get(vm).copied();
        if before.is_some_and(|known| stamp.is_before(known.stamp)) {
            return false;
        }
        let is_new = before.is_none_or(|known| known.stamp != stamp || known.ready != ready);
        if is_new && let Some(known) = before {
            let outdated = source(known.stamp, known.ready);
            if self.own.drop_source(&outdated) {
                self.remove(&outdated, now);
            }
        }
        let source = source(stamp, ready);
        if self.own.record_heartbeat(now, &source) {
            self.add(now, &source);
        }
        is_new
    }

    /// Records the headroom that an entry VM tells with a heartbeat. Returns whether it is new. An
    /// earlier statement than the known one is ignored.
    pub fn record_headroom(
        &mut self,
        now: Instant,
        vm: &VmName,
        stamp: StatementStamp,
        headroom: Headroom,
    ) -> bool {
        let source = |stamp, headroom| HeartbeatSource::Room {
            vm: vm.clone(),
            stamp,
            headroom,
        };
        let before = self.rooms.get(vm).copied();
        if before.is_some_and(|room| stamp.is_before(room.stamp)) {
            return false;
        }
        let is_new = before.is_none_or(|room| room.stamp != stamp || room.headroom != headroom);
        if is_new && let Some(room) = before {
            self.own.drop_source(&source(room.stamp, room.headroom));
        }
        let source = source(stamp, headroom);
        if self.own.record_heartbeat(now, &source) {
            self.add(now, &source);
        }
        is_new
    }

    /// Returns what the present incarnation of an entry VM last told of its headroom.
    #[must_use]
    pub fn headroom(&self, vm: &VmName) -> Option<Headroom> {
        let life = self.entries.get(vm)?.stamp.life;
        let room = self.rooms.get(vm);
        let room = room.filter(|room| room.stamp.life == life);
        room.map(|room| room.headroom)
    }

    /// Returns the report for a replica that knows all changes up to number `known`.
    #[must_use]
    pub fn report(&self, now: Instant, known: u64, endpoints: &ReplicaEndpoints) -> PresenceReport {
        self.own.report(now, known, endpoints)
    }

    /// Applies the report of another replica. Returns the number of the last of its changes known
    /// here, from which its next report is to start. A report that was overtaken by a later one is
    /// ignored.
    pub fn apply_report(&mut self, now: Instant, from: &VmName, report: &PresenceReport) -> u64 {
        if report.sources.whole
            && self
                .peers
                .get(from)
                .is_none_or(|peer| peer.life != report.life)
        {
            self.drop_peer(now, from);
            self.peers.insert(from.clone(), Peer::unheard(now, report));
        }
        let Some(peer) = self
            .peers
            .get_mut(from)
            .filter(|peer| peer.life == report.life)
        else {
            return 0;
        };
        let is_overtaken = report.sources.number < peer.latest;
        let follows_on = report.sources.whole || peer.number == report.base;
        if is_overtaken || !follows_on {
            return peer.number;
        }
        peer.at = now;
        peer.number = report.sources.number;
        peer.latest = peer.number;
        let removed = peer.removed_by(&report.sources);
        let added = report.sources.added.iter().zip(&report.began_ms);
        let added: Vec<(&HeartbeatSource, &u32)> = added
            .filter(|(source, _)| peer.sources.insert((*source).clone()))
            .collect();
        for source in removed {
            self.remove(&source, earlier(now, source.heartbeat_timeout(self.timing)));
        }
        for (source, began_ms) in added {
            let began = earlier(now, Duration::from_millis((*began_ms).into()));
            self.add(began, source);
        }
        report.sources.number
    }

    /// Removes the sources whose heartbeats have ceased, here or at replicas that no longer report.
    pub fn expire(&mut self, now: Instant) {
        for (source, last) in self.own.expire(now) {
            self.remove(&source, last);
        }
        let is_silent = |peer: &Peer| now.saturating_duration_since(peer.at) >= PEER_SILENCE;
        let silent: Vec<VmName> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_silent(peer) && !peer.sources.is_empty())
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in silent {
            self.drop_peer(now, &vm);
        }
    }

    /// Drops everything without heartbeats or reports for `age`.
    pub fn forget(&mut self, now: Instant, age: Duration) {
        self.backends
            .retain(|_, contact| contact.silence(now) < age);
        self.entries
            .retain(|_, entry| entry.contact.silence(now) < age);
        let entries = &self.entries;
        self.rooms.retain(|vm, _| entries.contains_key(vm));
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.at) < age);
    }

    /// Returns whether enough of the `replicas` report to conclude anything from silence: a
    /// majority, including this one.
    #[must_use]
    pub fn has_majority(&self, now: Instant, replicas: usize) -> bool {
        let reporting = self
            .peers
            .values()
            .filter(|peer| now.saturating_duration_since(peer.at) < PEER_SILENCE);
        (reporting.count() + 1) * 2 > replicas
    }

    /// Returns the endpoints of the other replicas that have sent a full report, and whether each
    /// has reported recently.
    pub fn replica_endpoints(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&ReplicaEndpoints, bool)> {
        self.peers.values().filter_map(move |peer| {
            let is_reporting = now.saturating_duration_since(peer.at) < PEER_SILENCE;
            peer.endpoints
                .as_ref()
                .map(|endpoints| (endpoints, is_reporting))
        })
    }

    /// Returns the addresses of the other replicas, and when each last reported.
    pub fn replica_contacts(&self) -> impl Iterator<Item = (SocketAddr, Instant)> {
        let peers = self.peers.values();
        peers.filter_map(|peer| Some((peer.endpoints.as_ref()?.address, peer.at)))
    }

    /// Returns whether a backend server has sent no heartbeats for [`HeartbeatTiming::silence`]. For
    /// one that never sent any, the time counts from this replica's start.
    #[must_use]
    pub fn is_silent(&self, now: Instant, backend: &BackendName) -> bool {
        self.silence(now, backend) >= self.timing.silence()
    }

    /// Returns those of the backend servers `names` for which [`Self::is_silent`] holds. The names
    /// must be in ascending order.
    pub fn silent_backends<'a>(
        &'a self,
        now: Instant,
        names: impl Iterator<Item = &'a BackendName>,
    ) -> impl Iterator<Item = &'a BackendName> {
        let unheard = now.saturating_duration_since(self.began);
        let mut contacts = self.backends.iter().peekable();
        names.filter(move |name| {
            while contacts.next_if(|(known, _)| known < name).is_some() {}
            let contact = contacts.next_if(|(known, _)| known == name);
            let silence = contact.map_or(unheard, |(_, contact)| contact.silence(now));
            silence >= self.timing.silence()
        })
    }

    /// Returns how long a backend server has sent no heartbeats.
    #[must_use]
    pub fn silence(&self, now: Instant, backend: &BackendName) -> Duration {
        let unheard = now.saturating_duration_since(self.began);
        let contact = self.backends.get(backend);
        contact.map_or(unheard, |contact| contact.silence(now))
    }

    /// Returns how long an entry VM has sent no heartbeats.
    #[must_use]
    pub fn entry_silence(&self, now: Instant, vm: &VmName) -> Duration {
        let unheard = now.saturating_duration_since(self.began);
        let entry = self.entries.get(vm);
        entry.map_or(unheard, |entry| entry.contact.silence(now))
    }

    /// Returns whether an entry VM accepts no requests: it says so, or its heartbeats have ceased.
    /// For one that never sent any, the time counts from this replica's start.
    #[must_use]
    pub fn is_out_of_service(&self, now: Instant, vm: &VmName) -> bool {
        let is_not_ready = self.entries.get(vm).is_some_and(|entry| !entry.ready);
        is_not_ready || self.entry_silence(now, vm) >= ENTRY_SILENCE
    }

    fn add(&mut self, began: Instant, source: &HeartbeatSource) {
        match source {
            HeartbeatSource::Backend(backend) => {
                let unheard = Contact {
                    reporters: 0,
                    last: began,
                };
                let contact = self.backends.entry(backend.clone()).or_insert(unheard);
                contact.reporters += 1;
            }
            HeartbeatSource::Entry { vm, stamp, ready } => {
                let reported = EntryContact {
                    stamp: *stamp,
                    ready: *ready,
                    stated_at: began,
                    contact: Contact {
                        reporters: 0,
                        last: began,
                    },
                };
                let entry = self.entries.entry(vm.clone()).or_insert(reported);
                // A late report of another replica may still hold an earlier state of the entry VM.
                if supersedes((*stamp, began), (entry.stamp, entry.stated_at)) {
                    (entry.stamp, entry.ready, entry.stated_at) = (*stamp, *ready, began);
                }
                entry.contact.reporters += 1;
            }
            HeartbeatSource::Room {
                vm,
                stamp,
                headroom,
            } => {
                let told = Room {
                    stamp: *stamp,
                    headroom: *headroom,
                    stated_at: began,
                };
                let room = self.rooms.entry(vm.clone()).or_insert(told);
                if supersedes((*stamp, began), (room.stamp, room.stated_at)) {
                    *room = told;
                }
            }
        }
    }

    fn remove(&mut self, source: &HeartbeatSource, last: Instant) {
        let contact = match source {
            HeartbeatSource::Backend(backend) => self.backends.get_mut(backend),
            HeartbeatSource::Entry { vm, .. } => {
                self.entries.get_mut(vm).map(|entry| &mut entry.contact)
            }
            HeartbeatSource::Room { .. } => None,
        };
        if let Some(contact) = contact {
            contact.reporters = contact.reporters.saturating_sub(1);
            contact.last = contact.last.max(last);
        }
    }

    /// Removes all sources that a replica reported; their last heartbeat counts as of its last
    /// report.
    fn drop_peer(&mut self, now: Instant, vm: &VmName) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        let last = peer.at.min(now);
        // Requires a full report next.
        peer.number = 0;
        for source in std::mem::take(&mut peer.sources) {
            self.remove(&source, last);
        }
    }
}

/// Returns whether a statement of an entry VM replaces the known one: by its number within an
/// incarnation, else by the time at which the entry VM began to make it. That time is only as good
/// as the messages are fast, since it is counted back from their arrival.
fn supersedes(new: (StatementStamp, Instant), known: (StatementStamp, Instant)) -> bool {
    let ((new, began), (known, stated_at)) = (new, known);
    if new.is_before(known) || known.is_before(new) {
        known.is_before(new)
    } else {
        began >= stated_at
    }
}

fn earlier(now: Instant, age: Duration) -> Instant {
    now.checked_sub(age).unwrap_or(now)
}
