//! The backend servers of one group: their announcements and the requests in flight at each.
//!
//! The owner's own count of requests is authoritative. The load that a server reports, and the
//! age of that report, can only lower the number of requests sent to it, and by at most half.
//! Reports may be delayed, stuck or wrong, and a wrong report must not take a server out of
//! service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::admission_event::Ending;
use crate::announcement::Announcement;
use crate::announcement::BackendState;
use crate::announcement::LAPSE_MS;
use crate::announcement::REPEAT_MS;
use crate::announcement_number::AnnouncementNumber;
use crate::backend_limit::BackendLimit;
use crate::backend_limit::MIN_RATE;
use crate::backend_limit::tolerance;
use crate::backend_statement::LeavingNotice;
use crate::backend_statement::ReceivedStatement;
use crate::backend_statement::StatementEvent;
use crate::backend_statement::StatementKind;
use crate::backend_statement::StatementSource;
use crate::circuit_breaker::CircuitBreaker;
use crate::circuit_breaker::Flow;
use crate::id::BackendName;
use crate::id::SessionId;
use crate::manifest::Drain;
use crate::ownership::ReleasedBackend;
use crate::pushback::PushbackNotice;
use crate::sender_share::SendGate;
use crate::warm_up::Ramp;

/// Age at which an announcement expires and its server receives no more requests.
pub const LAPSE: Duration = Duration::from_millis(LAPSE_MS as u64);

/// Age of an announcement above which only half of the slots are used.
const STALE_AFTER: Duration = Duration::from_millis(2 * REPEAT_MS as u64);

/// Time during which a "leaving" announcement takes precedence over a "ready" one, which may
/// have been overtaken on a different path.
const LEAVING_HOLD: Duration = Duration::from_millis(2 * LAPSE_MS as u64);

/// Number of forgotten servers that were leaving whose late announcements are still recognized.
const LEFT_CAPACITY: usize = 2_048;

/// Pause after a rejection by a backend server; it doubles with each consecutive rejection.
const FIRST_SHED_PAUSE: Duration = Duration::from_millis(50);

/// Upper bound of the pause after a rejection.
const LONGEST_SHED_PAUSE: Duration = Duration::from_secs(2);

/// Interval at which one more slot is used again after a rejection.
const SHED_RECOVERY: Duration = Duration::from_millis(500);

/// Backend servers of one group.
#[derive(Debug, Default)]
pub struct BackendRegistry {
    servers: BTreeMap<BackendName, BackendServer>,
    held: Vec<HeldSlot>,
    /// Last numbers of servers that were leaving when they were forgotten, oldest first.
    left: VecDeque<(BackendName, AnnouncementNumber)>,
}

/// What an announcement has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Announced {
    /// Nothing, or nothing that ends requests.
    Known,
    /// The server has just stopped accepting new work.
    Stopped,
    /// It states that the server is leaving, but a later one states the contrary.
    Overtaken,
}

/// A slot counted as taken because its request may still be running although nobody here waits
/// for it any more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldSlot {
    /// Backend server that may still run the request.
    pub backend: BackendName,
    /// Time at which the slot is freed.
    pub until: Instant,
    /// Previous owner that reported the slot; `None` for a request of this session.
    pub from: Option<SessionId>,
}

#[derive(Debug)]
struct BackendServer {
    announcement: Announcement,
    /// Highest number announced.
    number: AnnouncementNumber,
    slots: u32,
    state: BackendState,
    received_at: Instant,
    leaving_since: Option<Instant>,
    ramp: Ramp,
    circuit_breaker: CircuitBreaker,
    shed: ShedLimit,
    limit: BackendLimit,
    /// Spaces the requests while there is a limit.
    gate: SendGate,
    /// Kinds of statements that could not be read.
    unreadable: BTreeSet<StatementKind>,
    in_flight: u32,
    /// Maximum number of requests in flight since the last announcement.
    peak: u32,
    /// Reported number of running requests beyond those sent from here.
    unattributed: u32,
    drained: bool,
    last_used: Option<Instant>,
}

/// Limits the requests to a server that rejects them before running them.
#[derive(Clone, Copy, Debug, Default)]
struct ShedLimit {
    ceiling: Option<u32>,
    changed: Option<Instant>,
    pause: Duration,
    /// Until when the server wants no requests.
    paused_until: Option<Instant>,
}

/// Name and address of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendEndpoint {
    /// Name of the server.
    pub backend: BackendName,
    /// Address that the server announced.
    pub address: SocketAddr,
}

impl BackendRegistry {
    /// Returns whether no backend server has announced itself.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Applies an announcement; `slots` is the number of slots credited to the server.
    /// `new_is_warm` means that a server not known yet has already served a previous owner. An
    /// announcement that is numbered lower than an earlier one changes nothing.
    pub fn announce(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        slots: u32,
        new_is_warm: bool,
    ) -> Announced {
        if self.is_late(announcement) {
            return self.announced_late(announcement);
        }
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
            return Announced::Known;
        }
        let was_ready = server.state == BackendState::Ready;
        server.apply(now, announcement, slots);
        if was_ready && server.state == BackendState::Leaving {
            Announced::Stopped
        } else {
            Announced::Known
        }
    }

    fn is_late(&self, announcement: &Announcement) -> bool {
        let Announcement {
            backend, number, ..
        } = announcement;
        let known = self.servers.get(backend).map(|server| server.number);
        let left = self.left.iter().filter(|(name, _)| name == backend);
        let known = known.into_iter().chain(left.map(|(_, number)| *number));
        number.is_announced() && known.max().is_some_and(|known| *number <= known)
    }

    fn announced_late(&self, announcement: &Announcement) -> Announced {
        let known = self.servers.get(&announcement.backend);
        let is_leaving = known.is_none_or(|known| known.state == BackendState::Leaving);
        if announcement.state == BackendState::Leaving && !is_leaving {
            Announced::Overtaken
        } else {
            Announced::Known
        }
    }

    /// Marks the servers that are covered by planned drains, and unmarks all others.
    pub fn set_drained(&mut self, drains: &[Drain]) {
        for (name, server) in &mut self.servers {
            server.drained = drains.contains(&Drain::BackendServer(name.clone()));
        }
    }

    /// Returns the number of slots that may be used now, including those taken.
    #[must_use]
    pub fn usable(&self, now: Instant, warm_up: Duration) -> u32 {
        self.servers
            .values()
            .map(|server| server.usable(now, warm_up))
            .sum()
    }

    /// Returns the number of slots of all ready servers, before any reduction by ramp-up,
    /// back-off or load reports.
    #[must_use]
    pub fn ready_slots(&self, now: Instant) -> u32 {
        self.servers
            .values()
            .filter(|server| server.accepts_work(now))
            .map(|server| server.slots)
            .sum()
    }

    /// Returns the number of taken slots over all servers: requests in flight and those that
    /// may still run.
    #[must_use]
    pub fn taken(&self, now: Instant) -> u32 {
        let own: u32 = self.servers.values().map(|server| server.in_flight).sum();
        own + count(self.held.iter().filter(|held| now < held.until))
    }

    /// Selects a server with a free slot and takes the slot.
    ///
    /// Prefers the server with the smallest share of its slots in use, and among equals the
    /// most recently used one, which has an open connection and warm caches.
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
        let interval = server.limit_interval().unwrap_or_default();
        server.gate.note_sent(now, interval);
        server.circuit_breaker.note_sent();
        Some(BackendEndpoint {
            address: server.announcement.address,
            backend: name,
        })
    }

    /// Releases a slot, or keeps it taken while the request may still run.
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

    /// Applies what the head of the answer to a request sent at `sent_at` states about its server.
    /// `is_success` means that the request ran without a fault.
    pub fn note_statement(
        &mut self,
        now: Instant,
        backend: &BackendName,
        sent_at: Instant,
        received: &ReceivedStatement,
        is_success: bool,
    ) -> Vec<StatementEvent> {
        let Some(server) = self.servers.get_mut(backend) else {
            return Vec::new();
        };
        let statement = &received.statement;
        let mut events = statement.unreadable_events(backend, &mut server.unreadable);
        let limit = &mut server.limit;
        let before = limit.rate();
        limit.note_answer(sent_at, received.at, statement.limit, is_success);
        let interval = server.limit_interval();
        let change = server.limit.take_change(now, backend, before, interval);
        events.extend(change.map(StatementEvent::Limit));
        if let PushbackNotice::For(asked) = statement.pushback
            && server
                .shed
                .pause(now, received.at + asked, server.in_flight)
        {
            let backend = backend.clone();
            events.push(StatementEvent::Paused { backend, asked });
        }
        if statement.leaving == LeavingNotice::Leaving {
            if server.state != BackendState::Leaving {
                events.push(StatementEvent::Leaving {
                    backend: backend.clone(),
                    source: StatementSource::Answer,
                });
            }
            server.state = BackendState::Leaving;
            server.leaving_since = Some(now);
        }
        events
    }

    /// Takes a slot for a request that may still run.
    pub fn hold(&mut self, held: HeldSlot) {
        self.held.push(held);
    }

    /// Drops the slots reported by a previous owner, which reports all of them again.
    pub fn drop_held_from(&mut self, session: SessionId) {
        self.held.retain(|held| held.from != Some(session));
    }

    /// Returns the slots taken by requests that may still run.
    pub fn held(&self, now: Instant) -> impl Iterator<Item = &HeldSlot> {
        self.held.iter().filter(move |held| now < held.until)
    }

    /// Drops expired slots, and servers whose announcements have expired and that run nothing.
    /// Returns the dropped servers.
    pub fn forget(&mut self, now: Instant) -> Vec<BackendEndpoint> {
        self.held.retain(|held| now < held.until);
        let mut forgotten = Vec::new();
        self.servers.retain(|name, server| {
            let keep = server.in_flight > 0 || server.age(now) < LEAVING_HOLD;
            if !keep && server.state == BackendState::Leaving && server.number.is_announced() {
                self.left.push_back((name.clone(), server.number));
            }
            if !keep {
                forgotten.push(BackendEndpoint {
                    backend: name.clone(),
                    address: server.announcement.address,
                });
            }
            keep
        });
        let surplus = self.left.len().saturating_sub(LEFT_CAPACITY);
        self.left.drain(..surplus);
        forgotten
    }

    /// Returns the last announcement of each server and its age.
    #[must_use]
    pub fn announcements(&self, now: Instant) -> Vec<ReleasedBackend> {
        self.servers
            .values()
            .map(|server| ReleasedBackend {
                announcement: Announcement {
                    number: server.number,
                    ..server.announcement.clone()
                },
                age_ms: u32::try_from(server.age(now).as_millis()).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Returns all known servers.
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
            number: announcement.number,
            slots: 0,
            state: announcement.state,
            received_at: now,
            leaving_since: None,
            ramp,
            circuit_breaker: CircuitBreaker::default(),
            shed: ShedLimit::default(),
            limit: BackendLimit::default(),
            gate: SendGate::default(),
            unreadable: BTreeSet::new(),
            in_flight: 0,
            peak: 0,
            unattributed: 0,
            drained: false,
            last_used: None,
        }
    }

    fn apply(&mut self, now: Instant, announcement: &Announcement, slots: u32) {
        let restarted = announcement.address != self.announcement.address
            || announcement.state == BackendState::Starting
            || (announcement.number.born > self.number.born && self.number.is_announced());
        if restarted {
            self.leaving_since = None;
            self.ramp = Ramp::Since(now);
            self.circuit_breaker = CircuitBreaker::default();
            self.shed.paused_until = None;
            self.limit = BackendLimit::default();
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
        self.number = self.number.max(announcement.number);
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
        if !self.accepts_work(now) || !self.is_within_limit(now) {
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

    /// Returns the minimum interval between two requests; `None` without a limit. The owner is the only
    /// sender.
    fn limit_interval(&self) -> Option<Duration> {
        let rate = self.limit.rate()?.per_second().max(MIN_RATE);
        Duration::try_from_secs_f64(1.0 / rate).ok()
    }

    fn is_within_limit(&self, now: Instant) -> bool {
        self.limit_interval()
            .is_none_or(|interval| self.gate.is_open(now, interval, tolerance(interval)))
    }

    /// Returns the number of slots that the server's own report allows, but at least half of
    /// its slots.
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

    /// Records that the server wants no requests before `until`; returns whether such a time begins.
    /// It is never shortened.
    fn pause(&mut self, now: Instant, until: Instant, in_flight: u32) -> bool {
        if until <= now {
            return false;
        }
        let begins = self.paused_until.is_none_or(|known| known <= now);
        self.paused_until = self.paused_until.max(Some(until));
        self.ceiling = Some(self.ceiling.unwrap_or(in_flight).max(1));
        self.changed = Some(now);
        begins
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
        let opens_at = self.paused_until.max(Some(changed + self.pause));
        let after_pause = opens_at.and_then(|at| now.checked_duration_since(at));
        let Some(after_pause) = after_pause else {
            return 0;
        };
        let grown = after_pause.as_millis() / SHED_RECOVERY.as_millis();
        ceiling
            .saturating_add(u32::try_from(grown).unwrap_or(u32::MAX))
            .min(slots)
    }
}

/// Share of slots in use, compared without division.
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
