//! Admission control of the owner of backend servers.
//!
//! One [`Admission`] manages all groups that a session owns. Its driver passes in each
//! event with the current time and executes the returned [`Effect`]s.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use slotmap::SlotMap;
use snafu::ensure;

use crate::admission_event::DEADLINE_GRACE;
pub use crate::admission_event::Dispatch;
pub use crate::admission_event::DispatchKey;
pub use crate::admission_event::Effect;
pub use crate::admission_event::Ending;
pub use crate::admission_event::Offer;
pub use crate::admission_event::RequestToken;
pub use crate::admission_event::Verdict;
pub use crate::admission_event::ViewStep;
use crate::announcement::Announcement;
use crate::announcement::AnnouncementError;
use crate::announcement::OvertakenSnafu;
use crate::backend_registry::Announced;
use crate::backend_registry::BackendEndpoint;
use crate::backend_registry::HeldSlot;
use crate::backend_statement::ReceivedStatement;
use crate::backend_statement::StatementEvent;
use crate::drain;
use crate::drain::DrainDecision;
use crate::drain::DrainInputs;
use crate::group_admission::Decision;
use crate::group_admission::GroupAdmission;
use crate::group_admission::GroupContext;
use crate::group_admission::Step;
use crate::handover::Handover;
use crate::handover::ReleasedGroup;
use crate::id::BackendName;
use crate::id::Revision;
use crate::id::SessionId;
use crate::load_digest::GroupLoad;
use crate::manifest::Drain;
use crate::outcome::NotRun;
use crate::outcome::NotRunReason;
use crate::ownership;
use crate::ownership::Group;
use crate::ownership::OwnerTable;
use crate::ownership::Release;
use crate::ownership_state::Acquisition;
use crate::retry_advice::RetryAdvice;
use crate::shift_budget::Sharing;
use crate::shift_budget::ShiftBudgets;
use crate::view::ControlView;

/// Interval between calls of [`Admission::tick`] while requests are queued. A tick uses
/// slots that become free without a call of [`Admission::finish`] (expired held slots,
/// warm-up, end of a back-off) and refuses requests that can no longer be answered in
/// time.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between calls of [`Admission::tick`] while no request is queued.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Retry time advised when the session's lease has expired.
const LEASE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Admission control for all groups that one session owns.
#[derive(Debug)]
pub struct Admission {
    session: SessionId,
    lease_until: Option<Instant>,
    last_tick: Option<Instant>,
    view: Arc<ControlView>,
    has_view: bool,
    settled: Revision,
    groups: BTreeMap<Group, GroupAdmission>,
    dispatches: SlotMap<DispatchKey, Dispatched>,
    waiting: HashMap<RequestToken, Group>,
    handover: Handover,
    shifts: ShiftBudgets,
    advice: RetryAdvice,
    /// Planned drains that are carried out, that is, not held back.
    drains: Vec<Drain>,
}

/// A dispatch that has not finished.
#[derive(Debug)]
struct Dispatched {
    offer: Offer,
    backend: BackendName,
    began: Instant,
    /// Revision at which the session acquired the group. If the session loses the group
    /// and acquires it again, the later ownership learns of this dispatch from the
    /// release of the owner in between, or waits until the dispatch must have ended.
    acquired: Revision,
}

impl Admission {
    /// Creates the admission of a session without any group; `seed` drives the jitter in
    /// the retry times of refused callers.
    #[must_use]
    pub fn new(session: SessionId, seed: u64) -> Self {
        Self {
            session,
            lease_until: None,
            last_tick: None,
            view: Arc::default(),
            has_view: false,
            settled: Revision::default(),
            groups: BTreeMap::new(),
            dispatches: SlotMap::with_key(),
            waiting: HashMap::new(),
            handover: Handover::new(session),
            shifts: ShiftBudgets::new(session, Sharing::Owners),
            advice: RetryAdvice::new(seed),
            drains: Vec::new(),
        }
    }

    /// Extends the session's lease to `until`. Without a lease nothing is dispatched: a
    /// process that resumes after a freeze may have been replaced as owner.
    pub fn extend_lease(&mut self, until: Instant) {
        self.lease_until = self.lease_until.max(Some(until));
    }

    /// Applies a view. Must be called once for every single change, with
    /// [`ViewStep::OneChange`], and with [`ViewStep::Whole`] after a complete view.
    pub fn apply_view(
        &mut self,
        now: Instant,
        view: &Arc<ControlView>,
        step: ViewStep,
    ) -> Vec<Effect> {
        self.last_tick.get_or_insert(now);
        let before = std::mem::replace(&mut self.view, Arc::clone(view));
        let owners = OwnerTable::of(view);
        let owned: BTreeSet<Group> = owners.groups_of(self.session).collect();
        let mut effects = self.release_groups_except(now, &owned);
        self.shifts.apply_view(view, &owners, step);
        // As long as no manifest was in force, no session can have dispatched anything.
        let first_manifest =
            self.has_view && step == ViewStep::OneChange && before.manifest.is_none();
        let seen_until = if self.has_view {
            before.revision
        } else {
            Revision(self.session.0.saturating_sub(1))
        };
        self.has_view = true;
        for group in owned {
            self.acquire_group(now, group, seen_until, first_manifest);
        }
        self.handover.forget_early(view.revision);
        self.drop_unplanned_drains();
        effects.extend(self.settle(now, self.settled));
        effects
    }

    /// Records that `revision` is settled, as reported by control.
    pub fn settle(&mut self, now: Instant, revision: Revision) -> Vec<Effect> {
        self.settled = self.settled.max(revision);
        let settled = self.settled.min(self.view.revision);
        self.shifts.settle(now, settled);
        for group in self.groups.values_mut() {
            group.settle(now, settled);
        }
        self.process_all_queues(now)
    }

    /// Applies the release of a previous owner.
    pub fn take_release(&mut self, now: Instant, release: &Release) -> Vec<Effect> {
        if !release.complete || release.from == self.session {
            return Vec::new();
        }
        let received_at = now;
        if let Some(owned) = self.groups.get_mut(&release.group) {
            // A release from before this ownership does not cover the owners since then.
            if release.revision > owned.seen_until() {
                owned.take_release(now, received_at, release);
                self.apply_released_announcements(received_at, release);
            }
        } else {
            self.handover.keep_early(received_at, release);
        }
        self.process_all_queues(now)
    }

    /// Applies the announcement of a backend server that this session owns; an
    /// announcement for another owner is only validated.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement does not match the manifest in force.
    pub fn announce(
        &mut self,
        now: Instant,
        announcement: &Announcement,
    ) -> Result<Vec<Effect>, AnnouncementError> {
        let mut effects = self.take_announcement(now, announcement)?;
        let name = Group::new(announcement.service.clone(), announcement.place.clone());
        effects.extend(self.process_group(now, &name));
        Ok(effects)
    }

    /// Decides which planned drains are carried out, from the loads that other owners
    /// report (`others`) and the loads of this session's groups. Must be called with each
    /// digest.
    ///
    /// A drain that is carried out stays so as long as it is planned, even if it would be
    /// held back now: a drain that starts and stops repeatedly is worse than a late one.
    pub fn decide_drains(&mut self, now: Instant, others: Vec<GroupLoad>) -> Vec<DrainDecision> {
        let view = Arc::clone(&self.view);
        let Some(in_force) = &view.manifest else {
            return Vec::new();
        };
        if in_force.manifest.drains.is_empty() {
            return Vec::new();
        }
        let own = self.groups.values_mut().map(|group| group.load(now));
        let loads: BTreeMap<Group, GroupLoad> = others
            .into_iter()
            .chain(own)
            .map(|load| (load.group.clone(), load))
            .collect();
        let backends: BTreeMap<BackendName, Group> = self
            .groups
            .iter()
            .flat_map(|(name, group)| group.backends().map(|b| (b.backend, name.clone())))
            .collect();
        let decisions = drain::decide(DrainInputs {
            manifest: &in_force.manifest,
            loads: &loads,
            backends: &backends,
            carried_out: &self.drains,
        });
        self.drains = decisions
            .iter()
            .filter(|decision| decision.held_back.is_none())
            .map(|decision| decision.drain.clone())
            .collect();
        self.mark_drained();
        decisions
    }

    /// Decides whether a request is dispatched, queued or refused.
    pub fn offer(&mut self, now: Instant, offer: Offer) -> Verdict {
        match self.decide(now, &offer) {
            Ok(Decision::Place(placed)) => Verdict::Dispatch(self.dispatch(now, offer, placed)),
            Ok(Decision::Wait) => {
                self.waiting.insert(offer.token, offer.group);
                Verdict::Queued
            }
            Err(not_run) => Verdict::Refused(not_run),
        }
    }

    /// Records how a dispatch ended and returns the effects that the freed slot allows.
    pub fn finish(&mut self, now: Instant, key: DispatchKey, ending: Ending) -> Vec<Effect> {
        let Some(done) = self.dispatches.remove(key) else {
            return Vec::new();
        };
        let name = done.offer.group.clone();
        let Some(group) = self.groups.get_mut(&name) else {
            return self.finish_released(now, &done, ending);
        };
        if group.acquired() == done.acquired {
            group.finish(now, &done.offer, &done.backend, done.began, ending);
        }
        self.process_group(now, &name)
    }

    /// Applies what the head of the answer to a dispatch states about its backend server. Returns what
    /// has to be logged of it. `is_success` means that the request ran without a fault.
    pub fn note_statement(
        &mut self,
        now: Instant,
        key: DispatchKey,
        received: &ReceivedStatement,
        is_success: bool,
    ) -> Vec<StatementEvent> {
        let Some(dispatched) = self.dispatches.get(key) else {
            return Vec::new();
        };
        let group = self.groups.get_mut(&dispatched.offer.group);
        let group = group.filter(|group| group.acquired() == dispatched.acquired);
        group.map_or_else(Vec::new, |group| {
            let Dispatched { backend, began, .. } = dispatched;
            group.note_statement(now, backend, *began, received, is_success)
        })
    }

    /// Removes a queued request whose caller is gone. Returns whether it was queued.
    pub fn cancel(&mut self, now: Instant, token: RequestToken) -> bool {
        let Some(name) = self.waiting.remove(&token) else {
            return false;
        };
        self.with_group(now, &name, |group, cx| group.cancel(cx, token))
            .unwrap_or(false)
    }

    /// Processes expiries and warm-up. Must be called at [`Self::next_tick`].
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        self.last_tick = Some(now);
        let mut effects = Vec::new();
        for group in self.groups.values_mut() {
            effects.extend(group.forget(now).into_iter().map(disconnect));
        }
        effects.extend(self.process_all_queues(now));
        effects
    }

    /// Returns the time at which [`Self::tick`] is due, or `None` while no group is
    /// owned.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        if self.groups.is_empty() {
            return None;
        }
        let interval = if self.waiting.is_empty() {
            IDLE_TICK_INTERVAL
        } else {
            TICK_INTERVAL
        };
        self.last_tick.map(|last| last + interval)
    }

    /// Returns the load and capacity of every owned group.
    pub fn loads(&mut self, now: Instant) -> Vec<GroupLoad> {
        let view = Arc::clone(&self.view);
        let Some(in_force) = &view.manifest else {
            return Vec::new();
        };
        let manifest = &in_force.manifest;
        let mut loads: Vec<_> = self.groups.values_mut().map(|g| g.load(now)).collect();
        for load in &mut loads {
            load.full_origins = self.shifts.full_origins(now, manifest, &load.group);
        }
        loads
    }

    /// Returns the loads for a digest: those of owned groups that this session may
    /// dispatch to.
    ///
    /// A group whose change of owner is not complete has no slots yet. If a digest
    /// reported that, other entry VMs would refuse its requests at once for lack of
    /// slots, whereas this session queues them; every planned stop of an entry VM would
    /// then cause refusals.
    pub fn digest_loads(&mut self, now: Instant) -> Vec<GroupLoad> {
        let mut loads = self.loads(now);
        let groups = &self.groups;
        loads.retain(|load| {
            let group = groups.get(&load.group);
            group.is_some_and(|group| group.is_active(now))
        });
        loads
    }

    /// Returns whether no request is dispatched or queued, so that a leaving entry VM may
    /// end.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.dispatches.is_empty() && self.waiting.is_empty()
    }

    fn take_announcement(
        &mut self,
        announced_at: Instant,
        announcement: &Announcement,
    ) -> Result<Vec<Effect>, AnnouncementError> {
        let view = Arc::clone(&self.view);
        let Some(in_force) = &view.manifest else {
            return Ok(Vec::new());
        };
        let service = announcement.check(&in_force.manifest)?;
        let name = Group::new(announcement.service.clone(), announcement.place.clone());
        let Some(group) = self.groups.get_mut(&name) else {
            return Ok(Vec::new());
        };
        let slots = announcement.effective_slots(service);
        let announced = group.announce(announced_at, announcement, slots);
        ensure!(announced != Announced::Overtaken, OvertakenSnafu);
        self.mark_drained();
        let stopped = announced == Announced::Stopped;
        let disconnect_effect = stopped.then(|| Effect::Disconnect {
            backend: announcement.backend.clone(),
            address: announcement.address,
        });
        Ok(disconnect_effect.into_iter().collect())
    }

    fn decide(&mut self, now: Instant, offer: &Offer) -> Result<Decision, NotRun> {
        if !self.has_lease(now) {
            return Err(refused(NotRunReason::LeaseLapsed, LEASE_RETRY_AFTER));
        }
        if self.view.manifest.is_none() {
            return Err(refused(NotRunReason::NoManifest, LEASE_RETRY_AFTER));
        }
        self.with_group(now, &offer.group, |group, cx| group.offer(cx, offer))
            .unwrap_or_else(|| Err(refused(NotRunReason::NotOwner, TICK_INTERVAL)))
    }

    fn dispatch(&mut self, now: Instant, offer: Offer, placed: BackendEndpoint) -> Dispatch {
        let deadline = offer.deadline;
        let acquired = self
            .groups
            .get(&offer.group)
            .map_or_else(Revision::default, GroupAdmission::acquired);
        let key = self.dispatches.insert(Dispatched {
            offer,
            backend: placed.backend.clone(),
            began: now,
            acquired,
        });
        Dispatch {
            key,
            backend: placed.backend,
            address: placed.address,
            deadline,
        }
    }

    fn process_all_queues(&mut self, now: Instant) -> Vec<Effect> {
        let names: Vec<Group> = self.groups.keys().cloned().collect();
        names
            .iter()
            .flat_map(|name| self.process_group(now, name))
            .collect()
    }

    fn process_group(&mut self, now: Instant, name: &Group) -> Vec<Effect> {
        let has_lease = self.has_lease(now);
        let steps = self.with_group(now, name, |group, cx| {
            if has_lease {
                group.process_queue(cx)
            } else {
                group.refuse_all(cx, NotRunReason::LeaseLapsed)
            }
        });
        self.carry_out(now, steps.unwrap_or_default())
    }

    fn carry_out(&mut self, now: Instant, steps: Vec<Step>) -> Vec<Effect> {
        steps
            .into_iter()
            .map(|step| match step {
                Step::Place(offer, placed) => {
                    let token = offer.token;
                    self.waiting.remove(&token);
                    Effect::Dispatch {
                        token,
                        dispatch: self.dispatch(now, offer, placed),
                    }
                }
                Step::Refuse(token, refusal) => {
                    self.waiting.remove(&token);
                    Effect::Refuse { token, refusal }
                }
            })
            .collect()
    }

    fn with_group<T>(
        &mut self,
        now: Instant,
        name: &Group,
        act: impl FnOnce(&mut GroupAdmission, &mut GroupContext<'_>) -> T,
    ) -> Option<T> {
        let group = self.groups.get_mut(name)?;
        let in_force = self.view.manifest.as_ref()?;
        let mut cx = GroupContext {
            now,
            manifest: &in_force.manifest,
            shifts: &mut self.shifts,
            advice: &mut self.advice,
        };
        Some(act(group, &mut cx))
    }

    fn acquire_group(
        &mut self,
        now: Instant,
        name: Group,
        seen_until: Revision,
        first_manifest: bool,
    ) {
        let view = Arc::clone(&self.view);
        let Some(service) = view
            .manifest
            .as_ref()
            .and_then(|in_force| in_force.manifest.services.get(&name.service))
        else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&name) {
            group.apply_settings(service, view.revision);
            return;
        }
        let acquired = Acquisition {
            revision: view.revision,
            seen_until,
            no_earlier_work: first_manifest,
        };
        let mut group = GroupAdmission::new(name.clone(), service, acquired);
        self.handover.regain(&name);
        let early = self.handover.take_early(&name, seen_until);
        if let Some(early) = &early {
            group.take_release(now, early.received_at, &early.release);
        }
        self.groups.insert(name, group);
        if let Some(early) = &early {
            self.apply_released_announcements(early.received_at, &early.release);
        }
    }

    fn apply_released_announcements(&mut self, received_at: Instant, release: &Release) {
        for backend in &release.backends {
            let age = Duration::from_millis(u64::from(backend.age_ms));
            let announced_at = received_at.checked_sub(age).unwrap_or(received_at);
            // An announcement that does not match the manifest in force is dropped; the
            // backend server repeats it.
            let _ = self.take_announcement(announced_at, &backend.announcement);
        }
    }

    fn release_groups_except(&mut self, now: Instant, owned: &BTreeSet<Group>) -> Vec<Effect> {
        let lost: Vec<Group> = self
            .groups
            .keys()
            .filter(|name| !owned.contains(*name))
            .cloned()
            .collect();
        lost.iter()
            .flat_map(|name| self.release_group(now, name))
            .collect()
    }

    fn release_group(&mut self, now: Instant, name: &Group) -> Vec<Effect> {
        let steps = self.with_group(now, name, |group, cx| {
            group.refuse_all(cx, NotRunReason::NotOwner)
        });
        let Some(mut group) = self.groups.remove(name) else {
            return Vec::new();
        };
        let mut effects = self.carry_out(now, steps.unwrap_or_default());
        effects.extend(group.backends().map(disconnect));
        let owner = ownership::owner(&self.view, &name.service, &name.place);
        let Some(to) = owner.map(|owner| owner.id).filter(|id| *id != self.session) else {
            return effects;
        };
        let released_group = ReleasedGroup {
            to,
            revision: self.view.revision,
            complete: group.knows_all_in_flight(now),
            held: group.held(now).cloned().collect(),
        };
        let running = self
            .dispatches
            .values()
            .filter(|dispatched| dispatched.offer.group == *name)
            .map(|dispatched| {
                let until = dispatched.offer.deadline + DEADLINE_GRACE;
                (dispatched.backend.clone(), until)
            });
        let mut release = self
            .handover
            .release_group(now, name, released_group, running);
        release.backends = group.announcements(now);
        release.recent = group.recent(now);
        effects.push(Effect::Release { to, release });
        effects
    }

    /// Records the end of a dispatch in a group that was released. After the last one the
    /// new owner is sent a second release.
    fn finish_released(&mut self, now: Instant, done: &Dispatched, ending: Ending) -> Vec<Effect> {
        let name = &done.offer.group;
        if let Some(until) = ending.may_run_until(now, done.offer.deadline) {
            let held = HeldSlot {
                backend: done.backend.clone(),
                until,
                from: None,
            };
            self.handover.hold(name, held);
        }
        if self.dispatches.values().any(|d| d.offer.group == *name) {
            return Vec::new();
        }
        let release = self.handover.finish(now, name);
        let to_effect = |(to, release)| Effect::Release { to, release };
        release.map(to_effect).into_iter().collect()
    }

    fn drop_unplanned_drains(&mut self) {
        let view = Arc::clone(&self.view);
        let planned: &[Drain] = view
            .manifest
            .as_ref()
            .map_or(&[], |in_force| &in_force.manifest.drains);
        self.drains.retain(|drain| planned.contains(drain));
        self.mark_drained();
    }

    fn mark_drained(&mut self) {
        for (name, group) in &mut self.groups {
            group.set_drained(&name.place, &self.drains);
        }
    }

    fn has_lease(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }
}

fn refused(reason: NotRunReason, retry_after: Duration) -> NotRun {
    NotRun::proved(reason).with_retry_after(retry_after)
}

fn disconnect(endpoint: BackendEndpoint) -> Effect {
    Effect::Disconnect {
        backend: endpoint.backend,
        address: endpoint.address,
    }
}
