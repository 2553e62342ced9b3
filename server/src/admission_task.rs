//! Task that owns the admission and steering decisions of an entry VM.
//!
//! It holds the state machines of the current session, passes them every event with its
//! time, and applies the effects they return. Other tasks reach it through
//! [`AdmissionHandle`].
use std::collections::HashMap;
use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::Instant;

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
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::SessionId;
use heatherring_lib::load_digest::DIGEST_INTERVAL;
use heatherring_lib::outcome::NotRun;
use heatherring_lib::steering::Candidate;
use heatherring_lib::steering::SteeringRequest;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::admission_handle::AdmissionHandle;
use crate::admission_handle::AdmissionStatus;
use crate::admission_handle::CandidateFailure;
use crate::admission_handle::DispatchGuard;
use crate::admission_handle::Message;
use crate::admission_handle::SlotRequest;
use crate::admission_handle::no_session;
use crate::backend_pool::BackendPool;
use crate::control_session::ControlEvent;
use crate::link_task::LinkHandle;
use crate::peer_client::PeerClients;
use crate::session_core::SessionCore;
use crate::statement_log;

/// Holds the task's state; [`AdmissionTask::run`] drives it.
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
    /// Creates the task and its handle; `seed` drives random choices among near-equal candidates.
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

    /// Runs until all handles are dropped.
    pub async fn run(mut self) {
        let mut digest_due = tokio::time::interval(DIGEST_INTERVAL);
        loop {
            let next_tick = self
                .core
                .as_ref()
                .and_then(|core| core.admission.next_tick());
            tokio::select! {
                biased;
                Some(event) = self.events.recv() => self.handle_event(event),
                () = sleep_until(next_tick) => self.tick(),
                _ = digest_due.tick() => self.send_digest(),
                message = self.rx.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
            }
        }
    }

    fn handle_event(&mut self, event: ControlEvent) {
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
                self.drop_session();
                return;
            }
        };
        self.carry_out(effects);
        self.report_changed_slots(now);
    }

    /// Drops all state of the session and refuses the waiting requests. Dispatched requests run
    /// to completion; the next owner counts the slots they occupy.
    fn drop_session(&mut self) {
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
        let core = self.core.as_mut();
        if let Some(digest) = core.and_then(|core| core.digest(now)) {
            self.peers.send_digest(&digest);
        }
    }

    fn handle_message(&mut self, message: Message) {
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
            Message::Statement {
                session,
                key,
                received,
                is_success,
            } => {
                if let Some(core) = self.core.as_mut().filter(|core| core.id == session) {
                    let admission = &mut core.admission;
                    for event in admission.note_statement(now, key, &received, is_success) {
                        statement_log::log(&event);
                    }
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
            Message::TakeRetry(reply) => {
                let core = self.core.as_mut();
                let granted = core.is_some_and(|core| core.retries.try_take(now));
                let _ = reply.send(granted);
            }
            Message::Release(release) => {
                if let Some(core) = &mut self.core {
                    let effects = core.admission.take_release(now, &release);
                    self.carry_out(effects);
                    self.report_changed_slots(now);
                }
            }
            note => self.handle_note(now, note),
        }
    }

    /// Handles messages that concern only steering.
    fn handle_note(&mut self, now: Instant, note: Message) {
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
        // If the requester has gone, dropping the guard frees the slot.
        let _ = reply.send(Ok(guard));
    }

    fn finish(&mut self, now: Instant, session: SessionId, key: DispatchKey, ending: Ending) {
        let Some(core) = &mut self.core else {
            return;
        };
        // A key of an earlier session may equal one of this session.
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
        self.report_changed_slots(now);
    }

    /// Sends a digest ahead of schedule if the number of slots has changed. Until they receive
    /// it, other entry VMs send no requests to new slots and too many to removed ones.
    fn report_changed_slots(&mut self, now: Instant) {
        let core = self.core.as_mut();
        if core.is_some_and(|core| core.has_unreported_slots(now)) {
            self.send_digest();
        }
    }

    fn status(&mut self, now: Instant) -> AdmissionStatus {
        let waiting = self.waiting.len();
        match &mut self.core {
            Some(core) => AdmissionStatus {
                waiting,
                ..core.status(now)
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
                        None => self.free_slot(now, dispatch.key),
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

    /// Frees a slot whose requester has gone.
    fn free_slot(&mut self, now: Instant, key: DispatchKey) {
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
