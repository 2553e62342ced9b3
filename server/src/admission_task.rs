//! The task that owns an entry VM's decisions.
//!
//! It holds the core's state machines for the present session, feeds them every event
//! with the time, and carries their effects out. Other tasks talk to it through
//! [`AdmissionHandle`].

use std::collections::HashMap;
use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::admission::Admission;
use heatherring_lib::admission::Dispatch;
use heatherring_lib::admission::DispatchKey;
use heatherring_lib::admission::Effect;
use heatherring_lib::admission::Ending;
use heatherring_lib::admission::Offer;
use heatherring_lib::admission::RequestToken;
use heatherring_lib::admission::Verdict;
use heatherring_lib::admission::ViewStep;
use heatherring_lib::announcement::Announcement;
use heatherring_lib::announcement::AnnouncementError;
use heatherring_lib::clock::Clock;
use heatherring_lib::drain::DrainDecision;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::SessionId;
use heatherring_lib::load_digest::DIGEST_INTERVAL;
use heatherring_lib::load_digest::GroupLoad;
use heatherring_lib::load_digest::LoadDigest;
use heatherring_lib::lookup::LookupAnswer;
use heatherring_lib::lookup::Lookups;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::ownership::Group;
use heatherring_lib::ownership::Release;
use heatherring_lib::retry_budget::RetryBudget;
use heatherring_lib::steering::Candidate;
use heatherring_lib::steering::Steering;
use heatherring_lib::steering::SteeringRequest;
use heatherring_lib::view::ControlView;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::backend_pool::BackendPool;
use crate::control_session::ControlEvent;
use crate::link_task::LinkHandle;
use crate::peer_client::PeerClients;

/// Describes a request that asks its group's owner for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// The group that it was steered to.
    pub group: Group,
    /// Position of its operation in the service's list.
    pub operation: usize,
    /// The place of its caller.
    pub origin: PlaceName,
    /// Time until which an answer is of use.
    pub deadline: Instant,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
}

/// Tells how a candidate failed to take a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CandidateFailure {
    /// It refused.
    Refused(NotRunReason),
    /// It couldn't be reached.
    Unreachable,
}

/// Holds what operators are shown of the decisions.
#[derive(Clone, Debug, Default)]
pub struct AdmissionStatus {
    /// The session.
    pub session: SessionId,
    /// What each owned group can take.
    pub loads: Vec<GroupLoad>,
    /// What the owners of all groups have told lately.
    pub known: Vec<GroupLoad>,
    /// What becomes of each planned drain.
    pub drains: Vec<DrainDecision>,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Whether nothing is dispatched and nothing waits.
    pub idle: bool,
}

#[derive(Debug)]
enum Message {
    LookUp {
        service: ServiceName,
        origin: PlaceName,
        caller: u64,
        reply: oneshot::Sender<Result<LookupAnswer, NotRun>>,
    },
    Steer {
        service: ServiceName,
        origin: PlaceName,
        left: Duration,
        reply: oneshot::Sender<Vec<Candidate>>,
    },
    Offer {
        token: RequestToken,
        request: SlotRequest,
        reply: oneshot::Sender<Result<DispatchGuard, NotRun>>,
    },
    Cancel(RequestToken),
    Finish {
        session: SessionId,
        key: DispatchKey,
        ending: Ending,
    },
    Announce {
        announcement: Box<Announcement>,
        reply: oneshot::Sender<Result<(), AnnouncementError>>,
    },
    Digest {
        digest: LoadDigest,
    },
    Release(Release),
    Sent(Candidate),
    Failed(Candidate, CandidateFailure),
    RoundTrip(SessionId, Duration),
    TryAgain(oneshot::Sender<bool>),
    Status(oneshot::Sender<AdmissionStatus>),
}

/// Holds a taken slot until it is told how the dispatch ended; dropping it means that
/// the dispatch was cancelled.
///
/// Without this, a caller that leaves between two steps would leave its slot taken for
/// ever: one would see the backend server's slots vanish one by one.
#[derive(Debug)]
pub struct DispatchGuard {
    dispatch: Dispatch,
    session: SessionId,
    begun: Instant,
    clock: Arc<dyn Clock>,
    tx: mpsc::UnboundedSender<Message>,
    ending: Ending,
}

impl DispatchGuard {
    /// Returns where to send the request.
    #[must_use]
    pub const fn dispatch(&self) -> &Dispatch {
        &self.dispatch
    }

    /// Returns the session under whose lease the slot was given.
    #[must_use]
    pub const fn session(&self) -> SessionId {
        self.session
    }

    /// Gives the slot back after the last byte of the answer.
    pub fn answered(mut self) {
        let latency = self.clock.now().saturating_duration_since(self.begun);
        self.ending = Ending::Answered { latency };
    }

    /// Gives the slot back after another ending.
    pub fn ended(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        // Nobody counts slots any more once the task is gone.
        let _ = self.tx.send(Message::Finish {
            session: self.session,
            key: self.dispatch.key,
            ending: self.ending,
        });
    }
}

/// Withdraws a waiting request whose caller goes away.
struct WaitGuard<'a> {
    handle: &'a AdmissionHandle,
    token: RequestToken,
    settled: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.handle.tell(Message::Cancel(self.token));
        }
    }
}

/// Reaches the task.
#[derive(Clone, Debug)]
pub struct AdmissionHandle {
    tx: mpsc::UnboundedSender<Message>,
    next_token: Arc<AtomicU64>,
}

/// Refuses because the process has no session, or ends.
fn no_session() -> NotRun {
    Attempt::new().refuse(NotRunReason::LeaseLapsed)
}

impl AdmissionHandle {
    /// Names the entry for a caller at `origin`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no entry may be named now.
    pub async fn look_up(
        &self,
        service: ServiceName,
        origin: PlaceName,
        caller: u64,
    ) -> Result<LookupAnswer, NotRun> {
        let (reply, answer) = oneshot::channel();
        self.tell(Message::LookUp {
            service,
            origin,
            caller,
            reply,
        });
        answer.await.unwrap_or_else(|_| Err(no_session()))
    }

    /// Returns the owners to try, best first.
    pub async fn steer(
        &self,
        service: ServiceName,
        origin: PlaceName,
        left: Duration,
    ) -> Vec<Candidate> {
        let (reply, answer) = oneshot::channel();
        self.tell(Message::Steer {
            service,
            origin,
            left,
            reply,
        });
        answer.await.unwrap_or_default()
    }

    /// Asks for a slot and waits for it. Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request isn't run.
    pub async fn offer(&self, request: SlotRequest) -> Result<DispatchGuard, NotRun> {
        let token = RequestToken(self.next_token.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = oneshot::channel();
        let mut guard = WaitGuard {
            handle: self,
            token,
            settled: false,
        };
        self.tell(Message::Offer {
            token,
            request,
            reply,
        });
        let result = answer.await;
        guard.settled = true;
        result.unwrap_or_else(|_| Err(no_session()))
    }

    /// Takes an announcement of a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if it doesn't fit the manifest. `None` means that there is no
    /// session.
    pub async fn announce(
        &self,
        announcement: Announcement,
    ) -> Option<Result<(), AnnouncementError>> {
        let (reply, answer) = oneshot::channel();
        self.tell(Message::Announce {
            announcement: Box::new(announcement),
            reply,
        });
        answer.await.ok()
    }

    /// Takes another entry VM's digest.
    pub fn take_digest(&self, digest: LoadDigest) {
        self.tell(Message::Digest { digest });
    }

    /// Takes an old owner's release.
    pub fn take_release(&self, release: Release) {
        self.tell(Message::Release(release));
    }

    /// Notes that a request is sent to `candidate`.
    pub fn note_sent(&self, candidate: Candidate) {
        self.tell(Message::Sent(candidate));
    }

    /// Notes that `candidate` didn't take a request.
    pub fn note_failed(&self, candidate: Candidate, failure: CandidateFailure) {
        self.tell(Message::Failed(candidate, failure));
    }

    /// Notes a measured round trip to another session's entry VM.
    pub fn note_round_trip(&self, session: SessionId, round_trip: Duration) {
        self.tell(Message::RoundTrip(session, round_trip));
    }

    /// Takes one further try out of the retry budget, if there is one.
    pub async fn try_again(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        self.tell(Message::TryAgain(reply));
        answer.await.unwrap_or(false)
    }

    /// Returns what operators are shown.
    pub async fn status(&self) -> AdmissionStatus {
        let (reply, answer) = oneshot::channel();
        self.tell(Message::Status(reply));
        answer.await.unwrap_or_default()
    }

    fn tell(&self, message: Message) {
        // After the task's end the reply's channel closes, which the asker sees.
        let _ = self.tx.send(message);
    }
}

/// Holds the state machines of one session.
struct SessionCore {
    id: SessionId,
    admission: Admission,
    steering: Steering,
    lookups: Lookups,
    retries: RetryBudget,
    digest_serial: u64,
    drains: Vec<DrainDecision>,
    /// Slots of all owned groups by the last digest.
    told_slots: u64,
}

fn total_slots(loads: &[GroupLoad]) -> u64 {
    loads.iter().map(|load| u64::from(load.slots)).sum()
}

impl SessionCore {
    fn new(id: SessionId, seed: u64) -> Self {
        Self {
            id,
            admission: Admission::new(id, seed),
            steering: Steering::new(id, seed),
            lookups: Lookups::new(id),
            retries: RetryBudget::default(),
            digest_serial: 0,
            drains: Vec::new(),
            told_slots: 0,
        }
    }

    fn apply_view(&mut self, now: Instant, view: &Arc<ControlView>, step: ViewStep) -> Vec<Effect> {
        self.steering.apply_view(view);
        self.lookups.apply_view(view, step);
        self.admission.apply_view(now, view, step)
    }

    fn settle(&mut self, now: Instant, revision: Revision) -> Vec<Effect> {
        self.lookups.settle(now, revision);
        self.admission.settle(now, revision)
    }

    fn slots(&mut self, now: Instant) -> u64 {
        total_slots(&self.admission.digest_loads(now))
    }

    fn digest(&mut self, now: Instant) -> LoadDigest {
        self.digest_serial += 1;
        let digest = LoadDigest {
            session: self.id,
            serial: self.digest_serial,
            loads: self.admission.digest_loads(now),
        };
        self.steering.take_digest(now, &digest);
        let known = self.steering.known_loads(now);
        self.admission.decide_drains(now, known);
        digest
    }
}

/// The state of the task.
pub struct AdmissionTask {
    clock: Arc<dyn Clock>,
    tx: mpsc::WeakUnboundedSender<Message>,
    rx: mpsc::UnboundedReceiver<Message>,
    events: mpsc::UnboundedReceiver<ControlEvent>,
    core: Option<SessionCore>,
    waiting: HashMap<RequestToken, oneshot::Sender<Result<DispatchGuard, NotRun>>>,
    pool: BackendPool,
    peers: PeerClients,
    links: LinkHandle,
    seed: u64,
}

impl AdmissionTask {
    /// Prepares the task; `seed` drives the core's choices among near-equals.
    #[must_use]
    pub fn new(
        clock: Arc<dyn Clock>,
        events: mpsc::UnboundedReceiver<ControlEvent>,
        pool: BackendPool,
        peers: PeerClients,
        links: LinkHandle,
        seed: u64,
    ) -> (Self, AdmissionHandle) {
        let (tx, rx) = mpsc::unbounded_channel();
        let task = Self {
            clock,
            tx: tx.downgrade(),
            rx,
            events,
            core: None,
            waiting: HashMap::new(),
            pool,
            peers,
            links,
            seed,
        };
        let next_token = Arc::new(AtomicU64::new(1));
        (task, AdmissionHandle { tx, next_token })
    }

    /// Runs until all handles are gone.
    pub async fn run(mut self) {
        let mut digest_due = tokio::time::interval(DIGEST_INTERVAL);
        loop {
            let next_tick = self
                .core
                .as_ref()
                .and_then(|core| core.admission.next_tick());
            tokio::select! {
                biased;
                Some(event) = self.events.recv() => self.take_event(event),
                () = sleep_until(next_tick) => self.tick(),
                _ = digest_due.tick() => self.send_digest(),
                message = self.rx.recv() => match message {
                    Some(message) => self.take_message(message),
                    None => return,
                },
            }
        }
    }

    fn take_event(&mut self, event: ControlEvent) {
        let now = self.clock.now();
        if let ControlEvent::Opened { session, view } = event {
            let mut core = SessionCore::new(session, self.seed);
            let effects = core.apply_view(now, &view, ViewStep::Whole);
            self.core = Some(core);
            self.links
                .apply_view(session, Arc::clone(&view), ViewStep::Whole);
            self.peers.apply_view(session, view);
            self.carry_out(effects);
            return;
        }
        let Some(core) = &mut self.core else {
            return;
        };
        let effects = match event {
            ControlEvent::Opened { .. } => return,
            ControlEvent::Changed(view) => {
                let effects = core.apply_view(now, &view, ViewStep::OneChange);
                let step = ViewStep::OneChange;
                self.links.apply_view(core.id, Arc::clone(&view), step);
                self.peers.apply_view(core.id, view);
                effects
            }
            ControlEvent::Replaced(view) => {
                let effects = core.apply_view(now, &view, ViewStep::Whole);
                let step = ViewStep::Whole;
                self.links.apply_view(core.id, Arc::clone(&view), step);
                self.peers.apply_view(core.id, view);
                effects
            }
            ControlEvent::Settled(revision) => {
                self.links.settle(revision);
                core.settle(now, revision)
            }
            ControlEvent::Extended(until) => {
                core.admission.extend_lease(until);
                return;
            }
            ControlEvent::Lost => {
                self.lose();
                return;
            }
        };
        self.carry_out(effects);
        self.tell_changed_slots(now);
    }

    /// Drops all that the session owned. What is dispatched runs to its end; its slots
    /// are counted by the next owner.
    fn lose(&mut self) {
        self.core = None;
        for (_, reply) in self.waiting.drain() {
            let _ = reply.send(Err(no_session()));
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let Some(core) = &mut self.core else {
            return;
        };
        let effects = core.admission.tick(now);
        self.carry_out(effects);
    }

    fn send_digest(&mut self) {
        let now = self.clock.now();
        if let Some(core) = &mut self.core {
            let digest = core.digest(now);
            self.peers.send_digest(&digest);
        }
    }

    fn take_message(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::LookUp {
                service,
                origin,
                caller,
                reply,
            } => {
                let answer = match &mut self.core {
                    Some(core) => core.lookups.look_up(now, &service, &origin, caller),
                    None => Err(no_session()),
                };
                let _ = reply.send(answer);
            }
            Message::Steer {
                service,
                origin,
                left,
                reply,
            } => {
                let _ = reply.send(self.steer(now, &service, &origin, left));
            }
            Message::Offer {
                token,
                request,
                reply,
            } => self.offer(now, token, request, reply),
            Message::Cancel(token) => {
                self.waiting.remove(&token);
                if let Some(core) = &mut self.core {
                    core.admission.cancel(now, token);
                }
            }
            Message::Finish {
                session,
                key,
                ending,
            } => self.finish(now, session, key, ending),
            Message::Announce {
                announcement,
                reply,
            } => self.announce(now, &announcement, reply),
            Message::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
            Message::TryAgain(reply) => {
                let core = self.core.as_mut();
                let granted = core.is_some_and(|core| core.retries.try_take(now));
                let _ = reply.send(granted);
            }
            Message::Release(release) => {
                if let Some(core) = &mut self.core {
                    let effects = core.admission.take_release(now, &release);
                    self.carry_out(effects);
                    self.tell_changed_slots(now);
                }
            }
            note => self.take_note(now, note),
        }
    }

    /// Takes what only steering wants to know.
    fn take_note(&mut self, now: Instant, note: Message) {
        let Some(core) = &mut self.core else {
            return;
        };
        let steering = &mut core.steering;
        match note {
            Message::Digest { digest } => steering.take_digest(now, &digest),
            Message::Sent(candidate) => steering.note_sent(now, &candidate),
            Message::Failed(candidate, CandidateFailure::Refused(reason)) => {
                steering.note_refused(now, &candidate, reason);
            }
            Message::Failed(candidate, CandidateFailure::Unreachable) => {
                steering.note_unreachable(now, &candidate);
            }
            Message::RoundTrip(session, round_trip) => {
                steering.note_round_trip(session, round_trip);
            }
            _ => {}
        }
    }

    fn steer(
        &mut self,
        now: Instant,
        service: &ServiceName,
        origin: &PlaceName,
        left: Duration,
    ) -> Vec<Candidate> {
        let Some(core) = &mut self.core else {
            return Vec::new();
        };
        core.retries.note_request(now);
        let req = SteeringRequest {
            service,
            origin,
            left,
        };
        core.steering.candidates(now, req)
    }

    fn offer(
        &mut self,
        now: Instant,
        token: RequestToken,
        request: SlotRequest,
        reply: oneshot::Sender<Result<DispatchGuard, NotRun>>,
    ) {
        let Some(core) = &mut self.core else {
            let _ = reply.send(Err(no_session()));
            return;
        };
        let offer = Offer {
            token,
            group: request.group,
            operation: request.operation,
            origin: request.origin,
            deadline: request.deadline,
            idempotent: request.idempotent,
        };
        match core.admission.offer(now, offer) {
            Verdict::Dispatch(dispatch) => self.grant(now, dispatch, reply),
            Verdict::Queued => {
                self.waiting.insert(token, reply);
            }
            Verdict::Refused(not_run) => {
                let _ = reply.send(Err(not_run));
            }
        }
    }

    fn grant(
        &mut self,
        now: Instant,
        dispatch: Dispatch,
        reply: oneshot::Sender<Result<DispatchGuard, NotRun>>,
    ) {
        let Some(core) = &self.core else {
            return;
        };
        let Some(tx) = self.tx.upgrade() else {
            return;
        };
        let guard = DispatchGuard {
            dispatch,
            session: core.id,
            begun: now,
            clock: Arc::clone(&self.clock),
            tx,
            ending: Ending::Cancelled,
        };
        // If the asker has gone, dropping the guard gives the slot back.
        let _ = reply.send(Ok(guard));
    }

    fn finish(&mut self, now: Instant, session: SessionId, key: DispatchKey, ending: Ending) {
        let Some(core) = &mut self.core else {
            return;
        };
        // A key of an earlier session may look like one of this session.
        if core.id != session {
            return;
        }
        let effects = core.admission.finish(now, key, ending);
        self.carry_out(effects);
    }

    fn announce(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        reply: oneshot::Sender<Result<(), AnnouncementError>>,
    ) {
        let Some(core) = &mut self.core else {
            return;
        };
        match core.admission.announce(now, announcement) {
            Ok(effects) => {
                let _ = reply.send(Ok(()));
                self.carry_out(effects);
            }
            Err(error) => {
                let _ = reply.send(Err(error));
            }
        }
        self.tell_changed_slots(now);
    }

    /// Sends a digest ahead of its time if the slots have changed. Others would send
    /// nothing to slots that are new, and too much to slots that are gone, until then.
    fn tell_changed_slots(&mut self, now: Instant) {
        let core = self.core.as_mut();
        if core.is_some_and(|core| core.told_slots != core.slots(now)) {
            self.send_digest();
        }
    }

    fn status(&mut self, now: Instant) -> AdmissionStatus {
        let waiting = self.waiting.len();
        match &mut self.core {
            Some(core) => AdmissionStatus {
                session: core.id,
                loads: core.admission.loads(now),
                known: core.steering.known_loads(now),
                drains: core.drains.clone(),
                waiting,
                idle: core.admission.is_idle(),
            },
            None => AdmissionStatus {
                idle: true,
                ..AdmissionStatus::default()
            },
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Dispatch { token, dispatch } => {
                    let now = self.clock.now();
                    match self.waiting.remove(&token) {
                        Some(reply) => self.grant(now, dispatch, reply),
                        None => self.give_back(now, dispatch.key),
                    }
                }
                Effect::Refuse { token, refusal } => {
                    if let Some(reply) = self.waiting.remove(&token) {
                        let _ = reply.send(Err(refusal));
                    }
                }
                Effect::Release { to, release } => self.peers.send_release(to, release),
                Effect::Disconnect { address, .. } => self.pool.disconnect(address),
            }
        }
    }

    /// Gives a slot back that nobody waits for any more.
    fn give_back(&mut self, now: Instant, key: DispatchKey) {
        if let Some(core) = &mut self.core {
            let effects = core.admission.finish(now, key, Ending::Cancelled);
            self.carry_out(effects);
        }
    }
}

async fn sleep_until(when: Option<Instant>) {
    match when {
        Some(when) => tokio::time::sleep_until(when.into()).await,
        None => pending().await,
    }
}
