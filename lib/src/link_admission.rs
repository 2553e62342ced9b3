//! Admission of requests by the bytes that their answers put on the link of this entry VM.
//!
//! Each request in flight at a backend server counts with the size that the answers of its route
//! have had. Small answers go ahead of large ones, so a small one is refused only if small traffic
//! alone is too much; a large one is refused at once if the large ones before it take too long.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::answer_size::AnswerKind;
use crate::answer_size::AnswerSizeKey;
use crate::answer_size::AnswerSizes;
use crate::dispatch_request::DispatchRequest;
use crate::id::RouteName;
use crate::link_load::LinkLoad;
use crate::link_schedule::USED_SHARE;
use crate::link_schedule::as_f64;

/// Bytes of the heads of a request and its answer, and of the packets that carry them.
pub const OVERHEAD_BYTES: u64 = 1_200;

/// Share of a request's deadline by which a large answer has to be complete to be admitted, if
/// that is later than its latency objective.
const DEADLINE_SHARE: f64 = 0.4;

/// Bounds of the receive buffer of a connection to a backend server, in bytes.
const RECEIVE_BUFFER_BYTES: (u32, u32) = (16 << 10, 128 << 10);

/// Round trips whose bytes a receive buffer holds at the link's rate.
const BUFFERED_ROUND_TRIPS: f64 = 1.0;

/// The bytes by which a request counts against the link until its answer has begun.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedAnswer {
    /// The route's size estimate.
    pub size: AnswerSizeKey,
    /// Whether the answer is scheduled.
    pub kind: AnswerKind,
    /// Expected bytes, including heads.
    pub bytes: u64,
}

/// Time that a request has left, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTime {
    /// Until its latency objective.
    pub objective: f64,
    /// Until its deadline.
    pub deadline: f64,
    /// Share of its time that a request of its rank may wait.
    pub wait_share: f64,
}

impl AnswerTime {
    /// Returns the time that a request has left at `now`.
    pub(crate) fn left(now: Instant, request: &DispatchRequest<'_>, wait_share: f64) -> Self {
        let until = |at: Instant| at.saturating_duration_since(now).as_secs_f64();
        Self {
            objective: until(request.objective),
            deadline: until(request.answer_by()),
            wait_share,
        }
    }
}

/// Accounts for the requests in flight by the bytes that they put on the link.
#[derive(Debug)]
pub struct LinkAdmission {
    /// Bytes per second that the link carries in each direction.
    rate: f64,
    bulk_routes: BTreeSet<RouteName>,
    sizes: AnswerSizes,
    /// Bytes expected for requests in flight at backend servers.
    small: u64,
    large: u64,
    load: LinkLoad,
}

impl LinkAdmission {
    /// Creates the account of an idle link that carries `rate` bytes per second.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        Self {
            rate,
            bulk_routes: BTreeSet::new(),
            sizes: AnswerSizes::default(),
            small: 0,
            large: 0,
            load: LinkLoad::default(),
        }
    }

    /// Returns the bytes per second that the link carries in each direction.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    /// Applies the routes of the manifest whose answers are large.
    pub fn apply_bulk_routes(&mut self, bulk_routes: &BTreeSet<RouteName>) {
        if self.bulk_routes != *bulk_routes {
            self.bulk_routes.clone_from(bulk_routes);
            self.sizes = AnswerSizes::default();
        }
    }

    /// Applies the load that the schedule of large answers has published.
    pub const fn note_load(&mut self, load: LinkLoad) {
        self.load = load;
    }

    /// Returns what the answer to a request on `route` is expected to weigh; `None` if the link is
    /// not scheduled because no route has large answers.
    pub fn expect(&mut self, route: &RouteName) -> Option<ExpectedAnswer> {
        if self.bulk_routes.is_empty() {
            return None;
        }
        let kind = if self.bulk_routes.contains(route) {
            AnswerKind::Large
        } else {
            AnswerKind::Small
        };
        let size = self.sizes.key(route, kind);
        Some(ExpectedAnswer {
            size,
            kind,
            bytes: self.sizes.expected(size, kind) + OVERHEAD_BYTES,
        })
    }

    /// Returns whether the answer fits on the link in time, behind what is committed before it. A
    /// large one is admitted anyway where nothing is: its size is only an estimate.
    #[must_use]
    pub fn has_room(&self, expected: &ExpectedAnswer, time: AnswerTime) -> bool {
        let rate = self.rate * USED_SHARE;
        let small = as_f64(self.small + expected.bytes) / rate;
        match expected.kind {
            AnswerKind::Small => small <= time.deadline * time.wait_share,
            AnswerKind::Large => {
                let before = self.load.backlog + as_f64(self.large) / rate;
                let limit = time.objective.max(time.deadline * DEADLINE_SHARE);
                before <= 0.0 || before + small <= limit * time.wait_share
            }
        }
    }

    /// Returns the size of the receive buffer, in bytes, for connections with a round-trip time:
    /// enough for the link's rate, and not so much that unread answers fill the link. `None` if
    /// the link is not scheduled.
    #[must_use]
    pub fn receive_buffer(&self, round_trip: Duration) -> Option<u32> {
        if self.bulk_routes.is_empty() {
            return None;
        }
        let bytes = self.rate * round_trip.as_secs_f64() * BUFFERED_ROUND_TRIPS;
        let (min, max) = RECEIVE_BUFFER_BYTES;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped"
        )]
        let bytes = bytes.clamp(min.into(), max.into()) as u32;
        Some(bytes)
    }

    /// Counts a request as in flight.
    pub fn begin(&mut self, expected: &ExpectedAnswer) {
        *self.account(expected.kind) += expected.bytes;
    }

    /// Records that a request has ended, or that its answer has begun to be passed on, and the
    /// size of a successful answer if it is known.
    pub fn end(&mut self, expected: &ExpectedAnswer, answer_bytes: Option<u64>) {
        let account = self.account(expected.kind);
        *account = account.saturating_sub(expected.bytes);
        if let Some(bytes) = answer_bytes {
            self.sizes.observe(expected.size, bytes);
        }
    }

    const fn account(&mut self, kind: AnswerKind) -> &mut u64 {
        match kind {
            AnswerKind::Small => &mut self.small,
            AnswerKind::Large => &mut self.large,
        }
    }
}
