//! Schedule by which large answers are read from backend servers, piece by piece.
//!
//! All traffic of an entry VM passes one link in both directions. A backend server sends an answer
//! as fast as it can, so that a large one occupies the link for as long as it takes, and small
//! answers, new connections and heartbeats queue behind it. TCP flow control stops the backend
//! server once the receive window of its connection is full, so the schedule decides who may read
//! how much: it grants pieces at the rate that small traffic leaves, and each piece that is read is
//! passed on at once. What is not read stays at its backend server.
//!
//! A byte that is passed on crosses the link once in each direction, so one account covers both.

use std::time::Duration;
use std::time::Instant;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::link_load::LinkLoad;

/// Bytes granted at once. A piece occupies a link of 8 Mbit/s for 8 ms.
pub const PIECE_BYTES: u32 = 8 << 10;

/// Share of the link's rate that scheduled and observed traffic may use together. The rest covers
/// what is not observed: packet headers, acknowledgements, connections and control traffic. These
/// would queue behind pieces on a link without spare capacity.
pub const USED_SHARE: f64 = 0.85;

/// Share of the rate that remains for large answers in estimates, however much small traffic there
/// is.
const MIN_SHARE: f64 = 0.1;

/// Time for which unused capacity is kept: a stream may wait for its backend server this long
/// without losing its part.
const MAX_SAVED: Duration = Duration::from_millis(20);

/// Time for which small traffic may delay large answers by what it has used beyond the rate.
const MAX_DEBT: Duration = Duration::from_millis(250);

/// Time after which a waiting stream is served first, whatever the order.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Time without a request for more after which a stream does not count as waiting for the link: its
/// caller does not read, or its backend server sends nothing.
const IDLE_AFTER: Duration = Duration::from_millis(500);

/// Time over which rates are averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

new_key_type! {
    /// Identifies a large answer that is being passed on.
    pub struct StreamKey;
}

/// Order in which waiting streams are served.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StreamOrder {
    /// The one with the fewest remaining bytes first, those that miss their objectives last.
    #[default]
    ShortestRemaining,
    /// The one that has waited longest first.
    RoundRobin,
    /// The one that began first.
    FirstCome,
}

/// A large answer that is being passed on.
#[derive(Clone, Copy, Debug)]
struct Stream {
    remaining: u64,
    /// When the answer is due by its route's latency objective.
    objective: Instant,
    /// When it ends at the latest, complete or not.
    ends_at: Option<Instant>,
    number: u64,
    /// Since when it waits for a piece; `None` while it has one.
    waiting_since: Option<Instant>,
    /// When it began, or was granted a piece last.
    active_at: Instant,
}

impl Stream {
    /// Returns whether it misses its objective even if it is served next.
    fn is_late(&self, now: Instant, rate: f64) -> bool {
        now + seconds(as_f64(self.remaining) / rate) > self.objective
    }

    /// Returns whether it can be complete before it ends, if it is served next.
    fn can_be_complete(&self, now: Instant, rate: f64) -> bool {
        let left = |end: Instant| end.saturating_duration_since(now);
        self.ends_at
            .is_none_or(|end| can_carry(rate, self.remaining, left(end)))
    }

    /// Returns whether its caller reads what was granted.
    fn is_active(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.active_at);
        self.waiting_since.is_some() || idle < IDLE_AFTER
    }
}

/// Average rate of bytes, with exponential decay.
#[derive(Clone, Copy, Debug)]
struct ByteRate {
    per_second: f64,
    at: Instant,
}

impl ByteRate {
    const fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            at: now,
        }
    }

    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.per_second * (-age.div_duration_f64(AVERAGING_TIME)).exp()
    }

    fn note(&mut self, now: Instant, bytes: f64) {
        self.per_second = self.at(now) + bytes / AVERAGING_TIME.as_secs_f64();
        self.at = now;
    }
}

/// Schedule of one link.
#[derive(Debug)]
pub struct LinkSchedule {
    /// Bytes per second that the link carries in each direction.
    rate: f64,
    order: StreamOrder,
    streams: SlotMap<StreamKey, Stream>,
    begun: u64,
    /// Bytes that may be granted now; negative after more was used.
    available: f64,
    refilled_at: Instant,
    small: ByteRate,
    all: ByteRate,
}

impl LinkSchedule {
    /// Creates the schedule of an idle link that carries `rate` bytes per second.
    #[must_use]
    pub fn new(rate: f64, order: StreamOrder, now: Instant) -> Self {
        Self {
            rate,
            order,
            streams: SlotMap::with_key(),
            begun: 0,
            available: 0.0,
            refilled_at: now,
            small: ByteRate::new(now),
            all: ByteRate::new(now),
        }
    }

    /// Adds an answer of which `bytes` are still to be read, and that should be complete by
    /// `objective`.
    pub fn begin(&mut self, now: Instant, bytes: u64, objective: Instant) -> StreamKey {
        self.begun += 1;
        self.streams.insert(Stream {
            remaining: bytes,
            objective,
            ends_at: None,
            number: self.begun,
            waiting_since: None,
            active_at: now,
        })
    }

    /// Notes when an answer ends at the latest, complete or not. One that cannot be complete by then
    /// does not count as waiting before others.
    pub fn end_by(&mut self, key: StreamKey, ends_at: Instant) {
        if let Some(stream) = self.streams.get_mut(key) {
            stream.ends_at = Some(ends_at);
        }
    }

    /// Records that a stream waits for a piece.
    pub fn request(&mut self, now: Instant, key: StreamKey) {
        if let Some(stream) = self.streams.get_mut(key) {
            stream.waiting_since.get_or_insert(now);
        }
    }

    /// Removes a stream that is complete or was abandoned, with `unused` bytes of what it was
    /// granted.
    pub fn end(&mut self, key: StreamKey, unused: u64) {
        if self.streams.remove(key).is_some() {
            self.available = (self.available + as_f64(unused)).min(self.saved());
        }
    }

    /// Records bytes that were passed on without a grant.
    pub fn note_small(&mut self, now: Instant, bytes: u64) {
        let bytes = as_f64(bytes);
        self.refill(now);
        self.available = (self.available - bytes).max(-self.pace() * MAX_DEBT.as_secs_f64());
        self.small.note(now, bytes);
        self.all.note(now, bytes);
    }

    /// Grants a piece to the next stream; `None` if none waits or the link is used up for now.
    pub fn grant(&mut self, now: Instant) -> Option<(StreamKey, u32)> {
        self.refill(now);
        if self.available < 0.0 {
            return None;
        }
        let key = self.next(now)?;
        let stream = self.streams.get_mut(key)?;
        let bytes = match u32::try_from(stream.remaining) {
            Ok(bytes @ 1..PIECE_BYTES) => bytes,
            _ => PIECE_BYTES,
        };
        stream.waiting_since = None;
        stream.active_at = now;
        stream.remaining = stream.remaining.saturating_sub(bytes.into());
        self.available -= f64::from(bytes);
        self.all.note(now, f64::from(bytes));
        Some((key, bytes))
    }

    /// Returns when the next piece can be granted; `None` if no stream waits.
    #[must_use]
    pub fn next_grant_at(&self) -> Option<Instant> {
        if self.waiting() == 0 {
            return None;
        }
        let missing = (-self.available).max(0.0);
        Some(self.refilled_at + seconds(missing / self.pace()))
    }

    /// Returns the number of streams that wait for a piece.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let streams = self.streams.values();
        streams
            .filter(|stream| stream.waiting_since.is_some())
            .count()
    }

    /// Returns the load of the link.
    #[must_use]
    pub fn load(&self, now: Instant) -> LinkLoad {
        let streams = self.streams.values();
        let active = streams
            .filter(|stream| stream.is_active(now) && stream.can_be_complete(now, self.pace()));
        let remaining: u64 = active.map(|stream| stream.remaining).sum();
        let debt = (-self.available).max(0.0);
        LinkLoad {
            used: self.all.at(now) / self.rate,
            backlog: (as_f64(remaining) + debt) / self.rate_for_large(now),
        }
    }

    /// Returns the bytes per second that small traffic leaves to large answers.
    #[must_use]
    pub fn rate_for_large(&self, now: Instant) -> f64 {
        (self.pace() - self.small.at(now)).max(self.rate * MIN_SHARE)
    }

    const fn pace(&self) -> f64 {
        self.rate * USED_SHARE
    }

    fn saved(&self) -> f64 {
        self.pace() * MAX_SAVED.as_secs_f64()
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.available + passed.as_secs_f64() * self.pace();
        self.available = refilled.min(self.saved());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn next(&self, now: Instant) -> Option<StreamKey> {
        let waiting = self
            .streams
            .iter()
            .filter_map(|(key, stream)| Some((key, stream, stream.waiting_since?)));
        let rate = self.rate_for_large(now);
        let (key, ..) = waiting.min_by_key(|(_, stream, since)| {
            let overdue = now.saturating_duration_since(*since) >= MAX_WAIT;
            let (is_late, rank) = match self.order {
                StreamOrder::ShortestRemaining if !overdue => {
                    (stream.is_late(now, rate), stream.remaining)
                }
                StreamOrder::FirstCome => (false, stream.number),
                StreamOrder::ShortestRemaining | StreamOrder::RoundRobin => (false, 0),
            };
            (!overdue, is_late, rank, *since, stream.number)
        })?;
        Some(key)
    }
}

/// Returns whether a link that carries `rate` bytes per second can pass on an answer of `bytes` in
/// `time`.
#[must_use]
pub fn can_carry(rate: f64, bytes: u64, time: Duration) -> bool {
    as_f64(bytes) <= rate * time.as_secs_f64()
}

#[expect(clippy::cast_precision_loss, reason = "byte counts far below 2^52")]
pub(crate) const fn as_f64(bytes: u64) -> f64 {
    bytes as f64
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
