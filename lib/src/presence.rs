//! Who has been heard of lately: soft state that control replicas tell each other.
//!
//! A backend server or an entry VM sends its heartbeats to one replica of its choice,
//! and changes to another at will. Each replica therefore passes on what it heard, every
//! so often. A replica that is cut off hears of few; it must not take the others for
//! dead, so it gives no verdict while it has no contact with a majority.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::BackendName;
use crate::id::VmName;

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

/// Names one who sends heartbeats in a report, and says how long ago the last one came.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeardBackend {
    /// The backend server.
    pub backend: BackendName,
    /// Milliseconds since its heartbeat.
    pub age_ms: u32,
}

/// Holds a heartbeat of an entry VM in a report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeardEntry {
    /// The entry VM.
    pub vm: VmName,
    /// The life of its process.
    pub life: u64,
    /// Whether it takes requests.
    pub ready: bool,
    /// Milliseconds since its heartbeat.
    pub age_ms: u32,
}

/// Holds what one replica heard itself since its last report.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PresenceReport {
    /// The backend servers.
    pub backends: Vec<HeardBackend>,
    /// The entry VMs.
    pub entries: Vec<HeardEntry>,
}

#[derive(Clone, Copy, Debug)]
struct EntryPresence {
    life: u64,
    ready: bool,
    at: Instant,
}

/// Holds who was heard when.
#[derive(Debug)]
pub struct Presence {
    began: Instant,
    backends: BTreeMap<BackendName, Instant>,
    entries: BTreeMap<VmName, EntryPresence>,
    peers: BTreeMap<VmName, Instant>,
    own: PresenceReport,
    own_since: Instant,
}

impl Presence {
    /// Starts without having heard of anybody.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            backends: BTreeMap::new(),
            entries: BTreeMap::new(),
            peers: BTreeMap::new(),
            own: PresenceReport::default(),
            own_since: now,
        }
    }

    /// Notes a heartbeat of a backend server. Returns whether it had been silent.
    pub fn hear_backend(&mut self, now: Instant, backend: &BackendName) -> bool {
        let silent = self.is_silent(now, backend);
        self.backends.insert(backend.clone(), now);
        self.own.backends.retain(|heard| heard.backend != *backend);
        self.own.backends.push(HeardBackend {
            backend: backend.clone(),
            age_ms: millis(now.saturating_duration_since(self.own_since)),
        });
        silent
    }

    /// Notes a heartbeat of an entry VM. Returns whether anything but the time is new.
    pub fn hear_entry(&mut self, now: Instant, vm: &VmName, life: u64, ready: bool) -> bool {
        let before = self.entries.insert(
            vm.clone(),
            EntryPresence {
                life,
                ready,
                at: now,
            },
        );
        self.own.entries.retain(|heard| heard.vm != *vm);
        self.own.entries.push(HeardEntry {
            vm: vm.clone(),
            life,
            ready,
            age_ms: millis(now.saturating_duration_since(self.own_since)),
        });
        before.is_none_or(|before| before.ready != ready || before.life != life)
    }

    /// Returns what this replica heard itself since the last call.
    pub fn take_report(&mut self, now: Instant) -> PresenceReport {
        let until = millis(now.saturating_duration_since(self.own_since));
        let mut report = std::mem::take(&mut self.own);
        // Until here `age_ms` was the time from the last report to the heartbeat.
        for heard in &mut report.backends {
            heard.age_ms = until.saturating_sub(heard.age_ms);
        }
        for heard in &mut report.entries {
            heard.age_ms = until.saturating_sub(heard.age_ms);
        }
        self.own_since = now;
        report
    }

    /// Takes the report of another replica in.
    pub fn take_in(&mut self, now: Instant, from: &VmName, report: &PresenceReport) {
        self.peers.insert(from.clone(), now);
        for heard in &report.backends {
            let at = earlier(now, heard.age_ms);
            let known = self.backends.entry(heard.backend.clone()).or_insert(at);
            *known = at.max(*known);
        }
        for heard in &report.entries {
            let at = earlier(now, heard.age_ms);
            let presence = EntryPresence {
                life: heard.life,
                ready: heard.ready,
                at,
            };
            let known = self.entries.entry(heard.vm.clone()).or_insert(presence);
            if at >= known.at {
                *known = presence;
            }
        }
    }

    /// Returns whether enough of the `replicas` report for a verdict on anybody's
    /// silence: a majority with this one.
    #[must_use]
    pub fn is_connected(&self, now: Instant, replicas: usize) -> bool {
        let heard = self
            .peers
            .values()
            .filter(|at| now.saturating_duration_since(**at) < PEER_SILENCE);
        (heard.count() + 1) * 2 > replicas
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
        let heard = self.backends.get(backend).copied().unwrap_or(self.began);
        now.saturating_duration_since(heard)
    }

    /// Returns for how long an entry VM hasn't been heard of.
    #[must_use]
    pub fn entry_silence(&self, now: Instant, vm: &VmName) -> Duration {
        let heard = self.entries.get(vm).map_or(self.began, |entry| entry.at);
        now.saturating_duration_since(heard)
    }

    /// Returns whether an entry VM takes requests, as far as is known.
    #[must_use]
    pub fn is_live_entry(&self, now: Instant, vm: &VmName) -> bool {
        self.entries.get(vm).is_some_and(|entry| {
            entry.ready && now.saturating_duration_since(entry.at) < ENTRY_SILENCE
        })
    }

    /// Drops everybody who hasn't been heard of for `age`.
    pub fn expire(&mut self, now: Instant, age: Duration) {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < age;
        self.backends.retain(|_, at| fresh(at));
        self.entries.retain(|_, entry| fresh(&entry.at));
        self.peers.retain(|_, at| fresh(at));
    }
}

fn earlier(now: Instant, age_ms: u32) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms.into()))
        .unwrap_or(now)
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
