//! The backend servers of one group: what they announced and what is in flight there.
//!
//! The owner's own count is the truth. What a server reports about itself, and how old
//! the report is, only ever lowers what is sent to it, and by half at most: reports lag,
//! freeze and lie, and a lie must not take a server out of service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::admission_event::Ending;
use crate::announcement::Announcement;
use crate::announcement::BackendState;
use crate::announcement::LAPSE_MS;
use crate::announcement::REPEAT_MS;
use crate::circuit_breaker::CircuitBreaker;
use crate::circuit_breaker::Flow;
use crate::id::BackendName;
use crate::id::SessionId;
use crate::manifest::Drain;
use crate::ownership::ReleasedBackend;
use crate::warm_up::Ramp;

/// Age of an announcement from which the server lapses.
pub const LAPSE: Duration = Duration::from_millis(LAPSE_MS as u64);

/// Age of an announcement from which only half of the slots are used.
const STALE_AFTER: Duration = Duration::from_millis(2 * REPEAT_MS as u64);

/// Time for which "leaving" outweighs a "ready" that may have been overtaken on another
/// path.
const LEAVING_HOLD: Duration = Duration::from_millis(2 * LAPSE_MS as u64);

/// Pause after a backend server has refused; it doubles with each refusal in a row.
const FIRST_SHED_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after a refusal.
const LONGEST_SHED_PAUSE: Duration = Duration::from_secs(2);

/// Time after which a server that has refused is trusted with one slot more.
const SHED_RECOVERY: Duration = Duration::from_millis(500);

/// Holds the backend servers of one group.
#[derive(Debug, Default)]
pub struct BackendRegistry {
    servers: BTreeMap<BackendName, BackendServer>,
    held: Vec<HeldSlot>,
}

/// Counts a request that may still run although nobody waits for it here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldSlot {
    /// The backend server.
    pub backend: BackendName,
    /// Time until which it counts.
    pub until: Instant,
    /// The old owner that told of it; none for this session's own.
    pub from: Option<SessionId>,
}

#[derive(Debug)]
struct BackendServer {
    announcement: Announcement,
    slots: u32,
    state: BackendState,
    received_at: Instant,
    leaving_since: Option<Instant>,
    ramp: Ramp,
    circuit_breaker: CircuitBreaker,
    shed: ShedLimit,
    in_flight: u32,
    /// Most requests in flight since the last announcement.
    peak: u32,
    /// Running requests that it reports and nobody here has sent.
    unattributed: u32,
    drained: bool,
    last_used: Option<Instant>,
}

/// Limits a server that refuses before running.
#[derive(Clone, Copy, Debug, Default)]
struct ShedLimit {
    ceiling: Option<u32>,
    changed: Option<Instant>,
    pause: Duration,
}

/// Names the server chosen for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendEndpoint {
    /// The server.
    pub backend: BackendName,
    /// Its address.
    pub address: SocketAddr,
}

impl BackendRegistry {
    /// Returns whether no backend server has announced itself.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Takes an announcement with the slots that are believed of it. `new_is_warm`
    /// says that a server not known yet has served another owner before.
    ///
    /// Returns whether it has just stopped taking new work.
    pub fn announce(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        slots: u32,
        new_is_warm: bool,
    ) -> bool {
        let ramp = if new_is_warm && announcement.state == BackendState::Ready {
            Ramp::Warm
        } else {
            Ramp::Since(now)
        };
        let server = self
            .servers
            .entry(announcement.backend.clone())
            .or_insert_with(|| BackendServer::new(now, announcement, ramp));
        if now < server.received_at {
            return false;
        }
        let was_ready = server.state == BackendState::Ready;
        server.apply(now, announcement, slots);
        was_ready && server.state == BackendState::Leaving
    }

    /// Marks the servers that are drained by plan.
    pub fn set_drained(&mut self, drains: &[Drain]) {
        for (name, server) in &mut self.servers {
            server.drained = drains.contains(&Drain::BackendServer(name.clone()));
        }
    }

    /// Returns the slots that may be used now, taken ones included.
    #[must_use]
    pub fn usable(&self, now: Instant, warm_up: Duration) -> u32 {
        self.servers
            .values()
            .map(|server| server.usable(now, warm_up))
            .sum()
    }

    /// Returns the slots of all ready servers, before ramps, back-off and doubts.
    #[must_use]
    pub fn ready_slots(&self, now: Instant) -> u32 {
        self.servers
            .values()
            .filter(|server| server.accepts_work(now))
            .map(|server| server.slots)
            .sum()
    }

    /// Returns what is in flight or may be, over all servers.
    #[must_use]
    pub fn taken(&self, now: Instant) -> u32 {
        let own: u32 = self.servers.values().map(|server| server.in_flight).sum();
        own + count(self.held.iter().filter(|held| now < held.until))
    }

    /// Chooses a server with a free slot and takes the slot.
    ///
    /// The one with the smallest share of its slots in use; among equals the one used
    /// last, whose connection is open and whose caches are warm.
    pub fn reserve_slot(
        &mut self,
        now: Instant,
        warm_up: Duration,
        idempotent: bool,
    ) -> Option<BackendEndpoint> {
        let name = self
            .servers
            .iter()
            .filter_map(|(name, server)| {
                let taken = server.in_flight + self.held_at(now, name);
                let usable = server.usable(now, warm_up);
                (taken < usable && server.admits(now, idempotent, taken)).then_some((
                    name,
                    Occupancy { taken, usable },
                    server.last_used,
                ))
            })
            .min_by(|(_, a, a_used), (_, b, b_used)| a.compare(*b).then(b_used.cmp(a_used)))
            .map(|(name, _, _)| name.clone())?;
        let server = self.servers.get_mut(&name)?;
        server.in_flight += 1;
        server.peak = server.peak.max(server.in_flight);
        server.last_used = Some(now);
        server.circuit_breaker.note_sent();
        Some(BackendEndpoint {
            address: server.announcement.address,
            backend: name,
        })
    }

    /// Gives a slot back, or holds it while the request may still run.
    pub fn finish(
        &mut self,
        now: Instant,
        backend: &BackendName,
        deadline: Instant,
        ending: Ending,
    ) {
        let Some(server) = self.servers.get_mut(backend) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        match ending {
            Ending::Answered { .. } => {
                server.circuit_breaker.note_answer();
                server.shed.note_answer(now, server.slots);
            }
            Ending::NotConnected | Ending::Failed => server.circuit_breaker.note_failure(now),
            Ending::ShedByServer => {
                server.circuit_breaker.note_inconclusive();
                server.shed.note_shed(now, server.in_flight);
            }
            Ending::Cancelled => server.circuit_breaker.note_inconclusive(),
        }
        if let Some(until) = ending.may_run_until(now, deadline) {
            self.hold(HeldSlot {
                backend: backend.clone(),
                until,
                from: None,
            });
        }
    }

    /// Counts a request that may still run.
    pub fn hold(&mut self, held: HeldSlot) {
        self.held.push(held);
    }

    /// Forgets what an old owner told of, as it tells anew.
    pub fn drop_held_from(&mut self, session: SessionId) {
        self.held.retain(|held| held.from != Some(session));
    }

    /// Returns what is held still.
    pub fn held(&self, now: Instant) -> impl Iterator<Item = &HeldSlot> {
        self.held.iter().filter(move |held| now < held.until)
    }

    /// Forgets what is over: held slots, and servers that have lapsed and run nothing.
    /// Returns the servers forgotten.
    pub fn forget(&mut self, now: Instant) -> Vec<BackendEndpoint> {
        self.held.retain(|held| now < held.until);
        let mut forgotten = Vec::new();
        self.servers.retain(|name, server| {
            let keep = server.in_flight > 0 || server.age(now) < LEAVING_HOLD;
            if !keep {
                forgotten.push(BackendEndpoint {
                    backend: name.clone(),
                    address: server.announcement.address,
                });
            }
            keep
        });
        forgotten
    }

    /// Returns the last announcements, with their ages.
    #[must_use]
    pub fn announcements(&self, now: Instant) -> Vec<ReleasedBackend> {
        self.servers
            .values()
            .map(|server| ReleasedBackend {
                announcement: server.announcement.clone(),
                age_ms: u32::try_from(server.age(now).as_millis()).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Returns all servers.
    pub fn all(&self) -> impl Iterator<Item = BackendEndpoint> {
        self.servers.iter().map(|(name, server)| BackendEndpoint {
            backend: name.clone(),
            address: server.announcement.address,
        })
    }

    fn held_at(&self, now: Instant, backend: &BackendName) -> u32 {
        count(self.held(now).filter(|held| held.backend == *backend))
    }
}

impl BackendServer {
    fn new(now: Instant, announcement: &Announcement, ramp: Ramp) -> Self {
        Self {
            announcement: announcement.clone(),
            slots: 0,
            state: announcement.state,
            received_at: now,
            leaving_since: None,
            ramp,
            circuit_breaker: CircuitBreaker::default(),
            shed: ShedLimit::default(),
            in_flight: 0,
            peak: 0,
            unattributed: 0,
            drained: false,
            last_used: None,
        }
    }

    fn apply(&mut self, now: Instant, announcement: &Announcement, slots: u32) {
        let restarted = announcement.address != self.announcement.address
            || announcement.state == BackendState::Starting;
        if restarted {
            self.leaving_since = None;
            self.ramp = Ramp::Since(now);
            self.circuit_breaker = CircuitBreaker::default();
        }
        if announcement.state == BackendState::Leaving {
            self.leaving_since = Some(now);
        }
        let holds = |since: Instant| now < since + LEAVING_HOLD;
        self.state = if self.leaving_since.is_some_and(holds) {
            BackendState::Leaving
        } else {
            announcement.state
        };
        self.announcement.clone_from(announcement);
        self.slots = slots;
        self.received_at = now;
        self.unattributed = announcement.in_flight.saturating_sub(self.peak);
        self.peak = self.in_flight;
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.received_at)
    }

    fn accepts_work(&self, now: Instant) -> bool {
        self.state == BackendState::Ready && !self.drained && self.age(now) < LAPSE
    }

    fn usable(&self, now: Instant, warm_up: Duration) -> u32 {
        if !self.accepts_work(now) {
            return 0;
        }
        match self.circuit_breaker.flow(now) {
            Flow::All => {}
            Flow::OneIdempotent | Flow::One => return 1,
            Flow::Nothing => return 0,
        }
        let ramped = self.ramp.slots(now, warm_up, self.slots);
        self.slots_by_report(now)
            .min(ramped)
            .min(self.shed.slots(now, self.slots))
    }

    /// Returns the slots that the server's own report leaves, at least half of them.
    fn slots_by_report(&self, now: Instant) -> u32 {
        let half = self.slots.div_ceil(2);
        let load = self.announcement.load;
        let overloaded = load.is_finite() && load > 1.0;
        if overloaded || self.age(now) >= STALE_AFTER {
            return half;
        }
        self.slots.saturating_sub(self.unattributed).max(half)
    }

    fn admits(&self, now: Instant, idempotent: bool, taken: u32) -> bool {
        match self.circuit_breaker.flow(now) {
            Flow::All => true,
            Flow::OneIdempotent => idempotent && taken == 0,
            Flow::One => taken == 0,
            Flow::Nothing => false,
        }
    }
}

impl ShedLimit {
    fn note_shed(&mut self, now: Instant, in_flight: u32) {
        self.pause = (self.pause * 2).clamp(FIRST_SHED_PAUSE, LONGEST_SHED_PAUSE);
        self.ceiling = Some(in_flight.max(1));
        self.changed = Some(now);
    }

    fn note_answer(&mut self, now: Instant, slots: u32) {
        self.pause /= 2;
        let grown = self.slots(now, slots);
        if grown >= slots {
            self.ceiling = None;
        }
    }

    fn slots(&self, now: Instant, slots: u32) -> u32 {
        let (Some(ceiling), Some(changed)) = (self.ceiling, self.changed) else {
            return slots;
        };
        let since = now.saturating_duration_since(changed);
        let Some(after_pause) = since.checked_sub(self.pause) else {
            return 0;
        };
        let grown = after_pause.as_millis() / SHED_RECOVERY.as_millis();
        ceiling
            .saturating_add(u32::try_from(grown).unwrap_or(u32::MAX))
            .min(slots)
    }
}

/// Compares servers by the share of their slots in use, without division.
#[derive(Clone, Copy, Debug)]
struct Occupancy {
    taken: u32,
    usable: u32,
}

impl Occupancy {
    fn compare(self, other: Self) -> std::cmp::Ordering {
        let own = u64::from(self.taken) * u64::from(other.usable);
        let others = u64::from(other.taken) * u64::from(self.usable);
        own.cmp(&others)
    }
}

fn count<T>(items: impl Iterator<Item = T>) -> u32 {
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}
