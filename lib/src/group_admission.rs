//! Admission control for one group of backend servers.

use std::time::Duration;
use std::time::Instant;

use crate::admission_event::Ending;
use crate::admission_event::Offer;
use crate::admission_event::RequestToken;
use crate::announcement::Announcement;
use crate::announcement::REPEAT_MS;
use crate::backend_registry::Announced;
use crate::backend_registry::BackendEndpoint;
use crate::backend_registry::BackendRegistry;
use crate::backend_registry::HeldSlot;
use crate::backend_registry::LAPSE;
use crate::backend_statement::ReceivedStatement;
use crate::backend_statement::StatementEvent;
use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::Revision;
use crate::load_digest::GroupLoad;
use crate::manifest::Drain;
use crate::manifest::Manifest;
use crate::manifest::PlaceLimit;
use crate::manifest::Service;
use crate::outcome::NotRun;
use crate::outcome::NotRunReason;
use crate::ownership::Group;
use crate::ownership::Release;
use crate::ownership::ReleasedBackend;
use crate::ownership_state::Acquisition;
use crate::ownership_state::OwnershipState;
use crate::rate_meter::RateMeter;
use crate::retry_advice::RetryAdvice;
use crate::service_time::ServiceTimes;
use crate::settled_share::SettledShare;
use crate::shift_budget::Shift;
use crate::shift_budget::ShiftBudgets;
use crate::usage_window::RecentUse;
use crate::usage_window::UsageWindow;
use crate::wait_queue::WaitQueue;
use crate::warm_up::OriginRamps;

/// Maximum number of queued requests per slot, so that a request waits for at most about
/// this many service times. A longer queue would make answers late under overload; a
/// shorter one would refuse requests of a short burst (figures in
/// docs/design/admission.md).
const QUEUED_PER_SLOT: usize = 2;

/// Retry time advised when no backend server accepts requests.
const NO_SERVER_WAIT: Duration = Duration::from_millis(500);

/// Time within which every backend server has repeated its announcement to a new owner.
const ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(2 * REPEAT_MS as u64);

/// Retry time advised while ownership is not settled.
const UNSETTLED_WAIT: Duration = Duration::from_millis(200);

/// State that several groups share when they decide.
#[derive(Debug)]
pub struct GroupContext<'a> {
    /// Current time.
    pub now: Instant,
    /// The manifest in force.
    pub manifest: &'a Manifest,
    /// This session's shares of the shift caps.
    pub shifts: &'a mut ShiftBudgets,
    /// Computes retry times with jitter for refused callers.
    pub advice: &'a mut RetryAdvice,
}

/// Decision about an offered request that is not refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request runs at this backend server.
    Place(BackendEndpoint),
    /// The request is queued.
    Wait,
}

/// Decision about a queued request.
#[derive(Clone, Debug)]
pub enum Step {
    /// The request runs at this backend server.
    Place(Offer, BackendEndpoint),
    /// The request is refused.
    Refuse(RequestToken, NotRun),
}

/// Settings of a group, taken from the manifest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct GroupSettings {
    limit: PlaceLimit,
    warm_up: Duration,
}

/// Admission state of one group.
#[derive(Debug)]
pub struct GroupAdmission {
    group: Group,
    settings: GroupSettings,
    /// Longest deadline of any operation in the manifests applied so far.
    longest_deadline: Duration,
    acquired: Acquisition,
    ownership_state: OwnershipState,
    registry: BackendRegistry,
    queue: WaitQueue,
    times: ServiceTimes,
    origins: OriginRamps,
    rate: UsageWindow,
    rate_share: SettledShare,
    arrivals: RateMeter,
    refusals: RateMeter,
    place_drained: bool,
}

impl GroupAdmission {
    /// Creates the admission state at the time this session becomes the owner.
    #[must_use]
    pub fn new(group: Group, service: &Service, acquired: Acquisition) -> Self {
        let limit = place_limit(service, &group);
        let rate_share = SettledShare::with_base(u64::from(limit.max_per_second));
        Self {
            settings: GroupSettings {
                limit,
                warm_up: Duration::from_millis(u64::from(service.warm_up_ms)),
            },
            group,
            longest_deadline: longest_deadline(service),
            acquired,
            ownership_state: OwnershipState::begin(acquired),
            registry: BackendRegistry::default(),
            queue: WaitQueue::default(),
            times: ServiceTimes::default(),
            origins: OriginRamps::default(),
            rate: UsageWindow::default(),
            rate_share,
            arrivals: RateMeter::default(),
            refusals: RateMeter::default(),
            place_drained: false,
        }
    }

    /// Returns the revision at which this session acquired the group.
    #[must_use]
    pub const fn acquired(&self) -> Revision {
        self.acquired.revision
    }

    /// Returns the latest revision whose owners this session knew before it acquired the
    /// group.
    #[must_use]
    pub const fn seen_until(&self) -> Revision {
        self.acquired.seen_until
    }

    /// Applies the settings of a new manifest.
    pub fn apply_settings(&mut self, service: &Service, revision: Revision) {
        self.settings = GroupSettings {
            limit: place_limit(service, &self.group),
            warm_up: Duration::from_millis(u64::from(service.warm_up_ms)),
        };
        self.longest_deadline = self.longest_deadline.max(longest_deadline(service));
        let rate = u64::from(self.settings.limit.max_per_second);
        self.rate_share.set(revision, rate);
    }

    /// Updates whether the place and the backend servers of the group are drained.
    pub fn set_drained(&mut self, place: &PlaceName, drains: &[Drain]) {
        self.place_drained = drains.contains(&Drain::Place(place.clone()));
        self.registry.set_drained(drains);
    }

    /// Records that `revision` is settled.
    pub fn settle(&mut self, now: Instant, revision: Revision) {
        self.ownership_state
            .settle(now, revision, self.longest_deadline);
        self.rate_share.settle(now, revision);
    }

    /// Applies the release of a previous owner: its requests in flight occupy slots until
    /// they must have ended.
    pub fn take_release(&mut self, now: Instant, received_at: Instant, release: &Release) {
        self.registry.drop_held_from(release.from);
        for work in &release.in_flight {
            self.registry.hold(HeldSlot {
                backend: work.backend.clone(),
                until: received_at + Duration::from_millis(u64::from(work.left_ms)),
                from: Some(release.from),
            });
        }
        if !self.ownership_state.knows_all_in_flight(now) {
            self.rate.add_reported(received_at, &release.recent);
        }
        self.ownership_state.note_release(now);
    }

    /// Applies an announcement, limited to `slots`.
    pub fn announce(&mut self, now: Instant, announcement: &Announcement, slots: u32) -> Announced {
        let is_new_owner = self.counts_new_as_warm(now);
        self.registry
            .announce(now, announcement, slots, is_new_owner)
    }

    /// Decides whether a request runs now or is queued.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request must not run.
    pub fn offer(&mut self, cx: &mut GroupContext<'_>, offer: &Offer) -> Result<Decision, NotRun> {
        self.arrivals.note(cx.now);
        let decision = self.decide(cx, offer);
        if decision.is_err() {
            self.refusals.note(cx.now);
        }
        decision
    }

    fn decide(&mut self, cx: &mut GroupContext<'_>, offer: &Offer) -> Result<Decision, NotRun> {
        self.check_open(cx, offer)?;
        if self.ownership_state.active_since(cx.now).is_none() {
            return self.wait_for_ownership(cx, offer);
        }
        self.check_budgets(cx, offer)?;
        let usable = self.usable(cx.now);
        if usable == 0 {
            return self.wait_for_servers(cx, offer);
        }
        let needed = self.times.needed(cx.now, offer.operation);
        if cx.now + needed > offer.deadline {
            return Err(self.refuse(cx, NotRunReason::DeadlineTooShort, Duration::ZERO));
        }
        // Queued requests need no check here: the queue is processed whenever a slot
        // becomes free.
        if let Some(placed) = self.try_place(cx, offer) {
            self.charge(cx, offer);
            return Ok(Decision::Place(placed));
        }
        let wait = self.expected_wait(cx.now);
        if self.queue.len() >= queue_limit(usable) {
            return Err(self.refuse(cx, NotRunReason::Overloaded, wait));
        }
        if cx.now + wait + needed > offer.deadline {
            return Err(self.refuse(cx, NotRunReason::DeadlineTooShort, wait));
        }
        Ok(self.enqueue(cx, offer))
    }

    /// Queues a request until the change of owner is complete, so that a planned change
    /// refuses no request whose deadline allows for the wait.
    fn wait_for_ownership(
        &mut self,
        cx: &mut GroupContext<'_>,
        offer: &Offer,
    ) -> Result<Decision, NotRun> {
        let wait = self.ownership_state.wait(cx.now).unwrap_or(UNSETTLED_WAIT);
        let needed = self.times.needed(cx.now, offer.operation);
        let in_time = cx.now + wait + needed <= offer.deadline;
        if !in_time || self.queue.len() >= queue_limit(self.settings.limit.max_in_flight) {
            return Err(self.refuse(cx, NotRunReason::NotOwner, wait));
        }
        Ok(self.enqueue(cx, offer))
    }

    /// Queues a request at a new owner until backend servers have announced themselves to
    /// it.
    ///
    /// The release of the previous owner lists them, but it can be lost. The new owner
    /// would then refuse requests that could run a moment later, which showed as
    /// occasional refusals while entry VMs were replaced.
    fn wait_for_servers(
        &mut self,
        cx: &mut GroupContext<'_>,
        offer: &Offer,
    ) -> Result<Decision, NotRun> {
        let active = self.ownership_state.active_since(cx.now);
        let is_new = active.is_some_and(|since| cx.now < since + ANNOUNCEMENT_WAIT);
        // If a backend server has announced itself but accepts nothing, waiting does not
        // help: it is starting, leaving, or backing off after a refusal.
        let none_announced = self.registry.is_empty();
        let needed = self.times.needed(cx.now, offer.operation);
        let in_time = cx.now + NO_SERVER_WAIT + needed <= offer.deadline;
        let has_room = self.queue.len() < queue_limit(self.settings.limit.max_in_flight);
        if is_new && none_announced && in_time && has_room {
            return Ok(self.enqueue(cx, offer));
        }
        Err(self.refuse(cx, NotRunReason::NoBackendServer, NO_SERVER_WAIT))
    }

    fn enqueue(&mut self, cx: &mut GroupContext<'_>, offer: &Offer) -> Decision {
        self.rate.reserve(1);
        cx.shifts.reserve(shift(cx.manifest, offer));
        self.queue.push(offer.clone());
        Decision::Wait
    }

    /// Dispatches queued requests for which a slot is free and refuses those that can no
    /// longer be answered in time.
    pub fn process_queue(&mut self, cx: &mut GroupContext<'_>) -> Vec<Step> {
        self.ownership_state.tick(cx.now);
        let mut steps = self.refuse_expired(cx);
        if self.ownership_state.active_since(cx.now).is_none() {
            return steps;
        }
        while let Some(step) = self.place_next(cx) {
            steps.push(step);
        }
        steps
    }

    /// Refuses all queued requests, because this session no longer owns the group or has
    /// no lease.
    pub fn refuse_all(&mut self, cx: &mut GroupContext<'_>, reason: NotRunReason) -> Vec<Step> {
        let waiting = self.queue.take_unless(|_| false);
        waiting
            .into_iter()
            .map(|offer| {
                self.unreserve(cx, &offer);
                Step::Refuse(offer.token, self.refuse(cx, reason, UNSETTLED_WAIT))
            })
            .collect()
    }

    /// Removes a queued request; returns whether it was queued.
    pub fn cancel(&mut self, cx: &mut GroupContext<'_>, token: RequestToken) -> bool {
        let Some(offer) = self.queue.remove(token) else {
            return false;
        };
        self.unreserve(cx, &offer);
        true
    }

    /// Records how a dispatch that began at `began` ended.
    pub fn finish(
        &mut self,
        now: Instant,
        offer: &Offer,
        backend: &BackendName,
        began: Instant,
        ending: Ending,
    ) {
        self.registry.finish(now, backend, offer.deadline, ending);
        self.origins.end(now, &offer.origin);
        match ending {
            Ending::Answered { latency } => self.times.add(now, offer.operation, latency),
            Ending::Cancelled => {
                let elapsed = now.saturating_duration_since(began);
                self.times.add_at_least(now, offer.operation, elapsed);
            }
            Ending::NotConnected | Ending::Failed | Ending::ShedByServer => {}
        }
    }

    /// Applies what the head of the answer to a request sent at `sent_at` states about its backend
    /// server. `is_success` means that the request ran without a fault.
    pub fn note_statement(
        &mut self,
        now: Instant,
        backend: &BackendName,
        sent_at: Instant,
        received: &ReceivedStatement,
        is_success: bool,
    ) -> Vec<StatementEvent> {
        self.registry
            .note_statement(now, backend, sent_at, received, is_success)
    }

    /// Removes lapsed entries and returns the backend servers that were removed.
    pub fn forget(&mut self, now: Instant) -> Vec<BackendEndpoint> {
        self.registry.forget(now)
    }

    /// Returns the slots held for requests that may still be running: those of previous
    /// owners, cancelled ones and those whose connection broke.
    pub fn held(&self, now: Instant) -> impl Iterator<Item = &HeldSlot> {
        self.registry.held(now)
    }

    /// Returns all registered backend servers.
    pub fn backends(&self) -> impl Iterator<Item = BackendEndpoint> {
        self.registry.all()
    }

    /// Returns the requests started within the last window, by age.
    pub fn recent(&mut self, now: Instant) -> Vec<RecentUse> {
        self.rate.recent_use(now)
    }

    /// Returns the latest announcement of each backend server with its age.
    #[must_use]
    pub fn announcements(&self, now: Instant) -> Vec<ReleasedBackend> {
        self.registry.announcements(now)
    }

    /// Returns whether this session knows all requests in flight in this group.
    #[must_use]
    pub fn knows_all_in_flight(&self, now: Instant) -> bool {
        self.ownership_state.knows_all_in_flight(now)
    }

    /// Returns whether the session may dispatch to the group.
    #[must_use]
    pub fn is_active(&self, now: Instant) -> bool {
        self.ownership_state.active_since(now).is_some()
    }

    /// Returns the current load and capacity of the group.
    pub fn load(&mut self, now: Instant) -> GroupLoad {
        let open = self.ownership_state.active_since(now).is_some() && !self.place_drained;
        let usable = if open { self.usable(now) } else { 0 };
        let ready_slots = self.registry.ready_slots(now);
        let warm = usable * 100 / ready_slots.max(usable).max(1);
        GroupLoad {
            group: self.group.clone(),
            slots: usable,
            in_flight: self.registry.taken(now),
            queued: to_u32(self.queue.len()),
            arrivals_per_second: round_to_u32(self.arrivals.per_second(now)),
            expected_wait_ms: to_ms(self.expected_wait(now)),
            service_ms: to_ms(self.times.mean()),
            warm_percent: u8::try_from(warm).unwrap_or(100),
            full_origins: Vec::new(),
        }
    }

    fn check_open(&mut self, cx: &mut GroupContext<'_>, offer: &Offer) -> Result<(), NotRun> {
        if cx.now >= offer.deadline {
            return Err(self.refuse(cx, NotRunReason::DeadlineTooShort, Duration::ZERO));
        }
        if self.place_drained {
            return Err(self.refuse(cx, NotRunReason::NoBackendServer, NO_SERVER_WAIT));
        }
        Ok(())
    }

    fn check_budgets(&mut self, cx: &mut GroupContext<'_>, offer: &Offer) -> Result<(), NotRun> {
        if let Err(wait) = cx.shifts.check(cx.now, shift(cx.manifest, offer)) {
            return Err(self.refuse(cx, NotRunReason::ShiftCap, wait));
        }
        let limit = self.rate_share.limit(cx.now);
        if !self.rate.has_room(cx.now, 1, limit) {
            let wait = self.rate.wait(cx.now);
            return Err(self.refuse(cx, NotRunReason::PlaceLimit, wait));
        }
        Ok(())
    }

    fn refuse_expired(&mut self, cx: &mut GroupContext<'_>) -> Vec<Step> {
        let late: Vec<Offer> = {
            let times = &self.times;
            self.queue.take_unless(|offer| {
                cx.now + times.needed(cx.now, offer.operation) <= offer.deadline
            })
        };
        late.into_iter()
            .map(|offer| {
                self.unreserve(cx, &offer);
                let wait = self.expected_wait(cx.now);
                let refusal = self.refuse(cx, NotRunReason::DeadlineTooShort, wait);
                Step::Refuse(offer.token, refusal)
            })
            .collect()
    }

    fn place_next(&mut self, cx: &mut GroupContext<'_>) -> Option<Step> {
        if self.queue.is_empty() || !self.place_has_room(cx.now) {
            return None;
        }
        let rate_limit = self.rate_share.limit(cx.now);
        if !self.rate.may_use_reserved(cx.now, 1, rate_limit) {
            return None;
        }
        let slots = self.usable(cx.now);
        let warm_up = self.settings.warm_up;
        let (registry, origins) = (&mut self.registry, &mut self.origins);
        let mut placed = None;
        let offer = self.queue.take_first(|offer| {
            let admitted = origins.admits(cx.now, &offer.origin, warm_up, slots, false)
                && cx
                    .shifts
                    .may_use_reserved(cx.now, shift(cx.manifest, offer));
            if admitted {
                placed = registry.reserve_slot(cx.now, warm_up, offer.idempotent);
            }
            placed.is_some()
        })?;
        self.unreserve(cx, &offer);
        self.charge(cx, &offer);
        Some(Step::Place(offer, placed?))
    }

    fn try_place(&mut self, cx: &GroupContext<'_>, offer: &Offer) -> Option<BackendEndpoint> {
        if !self.place_has_room(cx.now) {
            return None;
        }
        let slots = self.usable(cx.now);
        let warm_up = self.settings.warm_up;
        let is_new_owner = self.counts_new_as_warm(cx.now);
        self.origins
            .admits(cx.now, &offer.origin, warm_up, slots, is_new_owner)
            .then(|| {
                self.registry
                    .reserve_slot(cx.now, warm_up, offer.idempotent)
            })?
    }

    fn charge(&mut self, cx: &mut GroupContext<'_>, offer: &Offer) {
        self.rate.add(cx.now, 1);
        cx.shifts.charge(cx.now, shift(cx.manifest, offer));
        self.origins.begin(cx.now, &offer.origin);
    }

    fn unreserve(&mut self, cx: &mut GroupContext<'_>, offer: &Offer) {
        self.rate.unreserve(1);
        cx.shifts.unreserve(shift(cx.manifest, offer));
    }

    fn place_has_room(&self, now: Instant) -> bool {
        self.registry.taken(now) < self.settings.limit.max_in_flight
    }

    fn usable(&self, now: Instant) -> u32 {
        self.registry
            .usable(now, self.settings.warm_up)
            .min(self.settings.limit.max_in_flight)
    }

    fn expected_wait(&self, now: Instant) -> Duration {
        let usable = self.usable(now);
        if usable == 0 {
            return NO_SERVER_WAIT;
        }
        let free = usable.saturating_sub(self.registry.taken(now));
        let ahead = (to_u32(self.queue.len()) + 1).saturating_sub(free);
        self.times.mean() * ahead / usable
    }

    fn counts_new_as_warm(&self, now: Instant) -> bool {
        self.ownership_state
            .active_since(now)
            .is_none_or(|since| now < since + LAPSE)
    }

    fn refuse(
        &mut self,
        cx: &mut GroupContext<'_>,
        reason: NotRunReason,
        wait: Duration,
    ) -> NotRun {
        let refused = self.refusals.per_second(cx.now);
        let served = (self.arrivals.per_second(cx.now) - refused).max(0.0);
        NotRun::proved(reason).with_retry_after(cx.advice.after(wait, refused, served))
    }
}

fn shift<'a>(manifest: &'a Manifest, offer: &'a Offer) -> Shift<'a> {
    Shift {
        manifest,
        service: &offer.group.service,
        origin: &offer.origin,
        place: &offer.group.place,
    }
}

fn place_limit(service: &Service, group: &Group) -> PlaceLimit {
    let no_capacity = PlaceLimit {
        max_in_flight: 0,
        max_per_second: 0,
    };
    service
        .limits
        .get(&group.place)
        .copied()
        .unwrap_or(no_capacity)
}

fn longest_deadline(service: &Service) -> Duration {
    let longest = service.operations.iter().map(|op| op.deadline_ms).max();
    Duration::from_millis(u64::from(longest.unwrap_or(0)))
}

fn queue_limit(usable: u32) -> usize {
    usable as usize * QUEUED_PER_SLOT
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates are positive and far below the bound"
)]
fn round_to_u32(rate: f64) -> u32 {
    rate.round() as u32
}
