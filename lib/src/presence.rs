//! Who has been heard of lately: soft state that control replicas tell each other.
//!
//! A backend server or an entry VM sends its heartbeats to one replica of its choice,
//! and changes to another at will. Each replica therefore tells the others whom it hears.
//! A replica that is cut off hears of few; it must not take the others for dead, so it
//! gives no verdict while it has no contact with a majority.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::BackendName;
use crate::id::VmName;
use crate::numbered_set::SetUpdate;
use crate::presence_report::HeartbeatSource;
use crate::presence_report::LocalHeartbeats;
use crate::presence_report::PresenceReport;
use crate::presence_report::ReplicaEndpoints;

/// Silence after which a backend server counts as lost. Heartbeats come every 1.5 s or so,
/// may be a second late and take half a second to be passed on.
pub const BACKEND_SILENCE: Duration = Duration::from_secs(4);

/// Silence after which an entry VM is named to callers no more. It asks control at least
/// once a second, may have to change to another replica, which takes a second, and its
/// report takes half a second to be passed on.
pub const ENTRY_SILENCE: Duration = Duration::from_millis(3_500);

/// Time between two reports to the other replicas.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Silence of a replica after which it doesn't count towards a majority: three reports.
const PEER_SILENCE: Duration = Duration::from_millis(1_600);

/// Names one who isn't to be used for now, as entry VMs are told.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Absent {
    /// A backend server that is silent.
    Backend(BackendName),
    /// An entry VM that takes no requests.
    Entry(VmName),
}

/// Says when and by how many replicas one was heard.
#[derive(Clone, Copy, Debug)]
struct Standing {
    /// Replicas that hear it now.
    holders: u32,
    /// When it was heard last, if none does.
    last: Instant,
}

impl Standing {
    fn silence(&self, now: Instant) -> Duration {
        if self.holders > 0 {
            Duration::ZERO
        } else {
            now.saturating_duration_since(self.last)
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct EntryStanding {
    life: u64,
    ready: bool,
    /// When it began to say so.
    said_at: Instant,
    standing: Standing,
}

/// Holds what another replica told.
#[derive(Debug)]
struct Peer {
    life: u64,
    number: u64,
    heard: BTreeSet<HeartbeatSource>,
    endpoints: Option<ReplicaEndpoints>,
    at: Instant,
}

impl Peer {
    /// Starts with a replica that has told nothing yet.
    fn unheard(now: Instant, report: &PresenceReport) -> Self {
        Self {
            life: report.life,
            number: 0,
            heard: BTreeSet::new(),
            endpoints: report.endpoints.clone(),
            at: now,
        }
    }

    /// Lets go of those whom an update removes, and returns them.
    fn removed_by(&mut self, update: &SetUpdate<HeartbeatSource>) -> Vec<HeartbeatSource> {
        let mut removed: Vec<HeartbeatSource> = update.removed.clone();
        if update.whole {
            let heard: BTreeSet<&HeartbeatSource> = update.added.iter().collect();
            let gone = self.heard.iter().filter(|known| !heard.contains(known));
            removed.extend(gone.cloned());
        }
        removed.retain(|heard| self.heard.remove(heard));
        removed
    }
}

/// Holds who was heard when.
#[derive(Debug)]
pub struct Presence {
    began: Instant,
    own: LocalHeartbeats,
    backends: BTreeMap<BackendName, Standing>,
    entries: BTreeMap<VmName, EntryStanding>,
    peers: BTreeMap<VmName, Peer>,
}

impl Presence {
    /// Starts without having heard of anybody. `life` tells this process from the one that it
    /// was before, and is drawn at random.
    #[must_use]
    pub fn new(now: Instant, life: u64) -> Self {
        Self {
            began: now,
            own: LocalHeartbeats::new(life),
            backends: BTreeMap::new(),
            entries: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Notes a heartbeat of a backend server. Returns whether it had been silent.
    pub fn record_backend_heartbeat(&mut self, now: Instant, backend: &BackendName) -> bool {
        let silent = self.is_silent(now, backend);
        let heard = HeartbeatSource::Backend(backend.clone());
        if self.own.hear(now, &heard) {
            self.add(now, &heard);
        }
        silent
    }

    /// Notes a heartbeat of an entry VM. Returns whether anything but the time is new.
    pub fn record_entry_heartbeat(
        &mut self,
        now: Instant,
        vm: &VmName,
        life: u64,
        ready: bool,
    ) -> bool {
        let heard = |life, ready| HeartbeatSource::Entry {
            vm: vm.clone(),
            life,
            ready,
        };
        let before = self.entries.get(vm).copied();
        let is_new = before.is_none_or(|known| known.life != life || known.ready != ready);
        if is_new && let Some(known) = before {
            let outdated = heard(known.life, known.ready);
            if self.own.drop_heard(&outdated) {
                self.remove(&outdated, now);
            }
        }
        let heard = heard(life, ready);
        if self.own.hear(now, &heard) {
            self.add(now, &heard);
        }
        is_new
    }

    /// Returns what to tell a replica that knows everything up to the change numbered `known`.
    #[must_use]
    pub fn report(&self, now: Instant, known: u64, endpoints: &ReplicaEndpoints) -> PresenceReport {
        self.own.report(now, known, endpoints)
    }

    /// Takes the report of another replica in. Returns the number of its changes up to which
    /// all is known here, for its next report.
    pub fn apply_report(&mut self, now: Instant, from: &VmName, report: &PresenceReport) -> u64 {
        if report.heard.whole
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
        if !report.heard.whole && peer.number != report.base {
            return peer.number;
        }
        peer.at = now;
        peer.number = report.heard.number;
        let removed = peer.removed_by(&report.heard);
        let added = report.heard.added.iter().zip(&report.began_ms);
        let added: Vec<(&HeartbeatSource, &u32)> = added
            .filter(|(heard, _)| peer.heard.insert((*heard).clone()))
            .collect();
        for heard in removed {
            self.remove(&heard, earlier(now, heard.heartbeat_timeout()));
        }
        for (heard, began_ms) in added {
            let began = earlier(now, Duration::from_millis((*began_ms).into()));
            self.add(began, heard);
        }
        report.heard.number
    }

    /// Lets go of those who weren't heard lately, here or by replicas that are silent now.
    pub fn expire(&mut self, now: Instant) {
        for (heard, last) in self.own.expire(now) {
            self.remove(&heard, last);
        }
        let is_silent = |peer: &Peer| now.saturating_duration_since(peer.at) >= PEER_SILENCE;
        let silent: Vec<VmName> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_silent(peer) && !peer.heard.is_empty())
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in silent {
            self.drop_peer(now, &vm);
        }
    }

    /// Drops everybody who hasn't been heard of for `age`.
    pub fn forget(&mut self, now: Instant, age: Duration) {
        self.backends
            .retain(|_, standing| standing.silence(now) < age);
        self.entries
            .retain(|_, entry| entry.standing.silence(now) < age);
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.at) < age);
    }

    /// Returns whether enough of the `replicas` report for a verdict on anybody's
    /// silence: a majority with this one.
    #[must_use]
    pub fn has_majority(&self, now: Instant, replicas: usize) -> bool {
        let heard = self
            .peers
            .values()
            .filter(|peer| now.saturating_duration_since(peer.at) < PEER_SILENCE);
        (heard.count() + 1) * 2 > replicas
    }

    /// Returns where the other replicas are that were heard of, and whether each has reported
    /// lately.
    pub fn replica_endpoints(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&ReplicaEndpoints, bool)> {
        self.peers.values().filter_map(move |peer| {
            let lately = now.saturating_duration_since(peer.at) < PEER_SILENCE;
            peer.endpoints.as_ref().map(|endpoints| (endpoints, lately))
        })
    }

    /// Returns whether a backend server hasn't been heard of for [`BACKEND_SILENCE`]. One
    /// that was never heard of counts from this replica's start.
    #[must_use]
    pub fn is_silent(&self, now: Instant, backend: &BackendName) -> bool {
        self.silence(now, backend) >= BACKEND_SILENCE
    }

    /// Returns for how long a backend server hasn't been heard of.
    #[must_use]
    pub fn silence(&self, now: Instant, backend: &BackendName) -> Duration {
        let unheard = now.saturating_duration_since(self.began);
        let standing = self.backends.get(backend);
        standing.map_or(unheard, |standing| standing.silence(now))
    }

    /// Returns for how long an entry VM hasn't been heard of.
    #[must_use]
    pub fn entry_silence(&self, now: Instant, vm: &VmName) -> Duration {
        let unheard = now.saturating_duration_since(self.began);
        let entry = self.entries.get(vm);
        entry.map_or(unheard, |entry| entry.standing.silence(now))
    }

    /// Returns whether an entry VM takes no requests: it says so, or is silent. One that was
    /// never heard of counts from this replica's start.
    #[must_use]
    pub fn is_out_of_service(&self, now: Instant, vm: &VmName) -> bool {
        let says_so = self.entries.get(vm).is_some_and(|entry| !entry.ready);
        says_so || self.entry_silence(now, vm) >= ENTRY_SILENCE
    }

    fn add(&mut self, began: Instant, heard: &HeartbeatSource) {
        match heard {
            HeartbeatSource::Backend(backend) => {
                let unheard = Standing {
                    holders: 0,
                    last: began,
                };
                let standing = self.backends.entry(backend.clone()).or_insert(unheard);
                standing.holders += 1;
            }
            HeartbeatSource::Entry { vm, life, ready } => {
                let said = EntryStanding {
                    life: *life,
                    ready: *ready,
                    said_at: began,
                    standing: Standing {
                        holders: 0,
                        last: began,
                    },
                };
                let entry = self.entries.entry(vm.clone()).or_insert(said);
                // A replica that is told of late may still hold what it said before.
                if began >= entry.said_at {
                    (entry.life, entry.ready, entry.said_at) = (*life, *ready, began);
                }
                entry.standing.holders += 1;
            }
        }
    }

    fn remove(&mut self, heard: &HeartbeatSource, last: Instant) {
        let standing = match heard {
            HeartbeatSource::Backend(backend) => self.backends.get_mut(backend),
            HeartbeatSource::Entry { vm, .. } => {
                self.entries.get_mut(vm).map(|entry| &mut entry.standing)
            }
        };
        if let Some(standing) = standing {
            standing.holders = standing.holders.saturating_sub(1);
            standing.last = standing.last.max(last);
        }
    }

    /// Lets go of all whom a replica heard; they count as heard when it last reported.
    fn drop_peer(&mut self, now: Instant, vm: &VmName) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        let last = peer.at.min(now);
        // What it tells next must be everything.
        peer.number = 0;
        for heard in std::mem::take(&mut peer.heard) {
            self.remove(&heard, last);
        }
    }
}

fn earlier(now: Instant, age: Duration) -> Instant {
    now.checked_sub(age).unwrap_or(now)
}
