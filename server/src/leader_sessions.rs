//! The leader's handling of the sessions of entry VMs: lease grants, long polls and
//! expired leases.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::command::CommandKind;
use heatherring_lib::control_state::Applied;
use heatherring_lib::control_state::ControlState;
use heatherring_lib::control_state::Response;
use heatherring_lib::control_state::ViewUpdate;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::id::VmName;
use heatherring_lib::session_relay::Acknowledgement;
use heatherring_lib::session_relay::BatchGrant;
use heatherring_lib::session_tracker::Renewal;
use heatherring_lib::session_tracker::SessionTracker;
use heatherring_lib::settings::ControlTiming;
use tokio::sync::oneshot;

use crate::node_request::BatchAnswer;
use crate::node_request::LeaderLink;
use crate::node_request::SyncAnswer;
use crate::node_request::SyncCall;
use crate::node_request::SyncSubject;

/// Divisor of the lease that gives the longest time for which an answer may be held back
/// (long poll). The rest of the lease when the answer arrives must be longer than the next
/// request takes.
const LONGEST_WAIT_DIVISOR: u32 = 3;

/// Request of an entry VM that has not been answered yet.
#[derive(Debug)]
pub struct HeldSync {
    call: Box<SyncCall>,
    reply: oneshot::Sender<SyncAnswer>,
    received_at: Instant,
}

impl HeldSync {
    /// Creates the record of a request; its answer goes to `reply`.
    #[must_use]
    pub const fn new(
        call: Box<SyncCall>,
        reply: oneshot::Sender<SyncAnswer>,
        received_at: Instant,
    ) -> Self {
        Self {
            call,
            reply,
            received_at,
        }
    }

    /// Returns the entry VM for which a session is to be opened; `None` in renewals.
    #[must_use]
    pub const fn opens_for(&self) -> Option<&VmName> {
        match &self.call.subject {
            SyncSubject::Open(opening) => Some(&opening.entry.vm),
            SyncSubject::Renew(_) => None,
        }
    }

    /// Answers that this replica can't prove that it is current.
    pub fn not_current(self, leader: Option<Box<LeaderLink>>) {
        self.answer(SyncAnswer::NotCurrent { leader });
    }

    fn answer(self, answer: SyncAnswer) {
        // Fails if the entry VM has given up, for example to ask another replica.
        let _ = self.reply.send(answer);
    }
}

/// Batch of renewals from a relaying entry VM that has not been answered yet.
#[derive(Debug)]
pub struct HeldBatch {
    renewals: Vec<Acknowledgement>,
    reply: oneshot::Sender<BatchAnswer>,
    received_at: Instant,
}

impl HeldBatch {
    /// Creates the record of a batch; its answer goes to `reply`.
    #[must_use]
    pub const fn new(
        renewals: Vec<Acknowledgement>,
        reply: oneshot::Sender<BatchAnswer>,
        received_at: Instant,
    ) -> Self {
        Self {
            renewals,
            reply,
            received_at,
        }
    }

    /// Answers that this replica can't prove that it is current.
    pub fn not_current(self, leader: Option<Box<LeaderLink>>) {
        // Fails if the relay has given up, for example to ask another replica.
        let _ = self.reply.send(BatchAnswer::NotCurrent { leader });
    }
}

/// What remains to be done for a request that has passed its read barrier.
#[derive(Debug)]
#[must_use]
pub enum Verdict {
    /// Nothing: the request was answered, or its answer is held back.
    Done,
    /// The command must be proposed; the request is answered once it is committed.
    Propose(Box<CommandKind>, HeldSync),
}

/// Handles the sessions of entry VMs while this replica is the leader.
#[derive(Debug)]
pub struct LeaderSessions {
    tracker: SessionTracker,
    /// Whether this replica leads and `tracker` was reset for this leadership.
    started: bool,
    longest_wait: Duration,
    held: Vec<HeldSync>,
    /// Whether a change since the last check may require held-back answers to be sent.
    recheck_held: bool,
    /// Cached settled revision; `None` after a change that may affect it. Computing it visits
    /// all sessions, so computing it at each renewal would be quadratic in their number.
    settled: Option<Revision>,
}

impl LeaderSessions {
    /// Creates the state of a replica that is not the leader.
    #[must_use]
    pub fn new(timing: &ControlTiming) -> Self {
        let lease = timing.session_lease();
        Self {
            tracker: SessionTracker::new(lease, timing.session_margin()),
            started: false,
            longest_wait: lease / LONGEST_WAIT_DIVISOR,
            held: Vec::new(),
            recheck_held: false,
            settled: None,
        }
    }

    /// Starts a leadership: each session gets a new lease from `now`. Has no effect if it has
    /// been started already.
    pub fn start(&mut self, now: Instant, state: &ControlState) {
        if self.started {
            return;
        }
        self.started = true;
        let sessions = state.view().sessions.keys().copied();
        self.tracker.reset(now, sessions);
        self.settled = None;
    }

    /// Ends a leadership. Requests whose answers are held back are referred to `leader`.
    pub fn stop(&mut self, leader: Option<&LeaderLink>) {
        self.started = false;
        for held in self.held.drain(..) {
            held.not_current(leader.cloned().map(Box::new));
        }
    }

    /// Returns the leases and acknowledgements of the sessions; `None` if this replica is
    /// not the leader.
    #[must_use]
    pub fn tracker(&self) -> Option<&SessionTracker> {
        self.started.then_some(&self.tracker)
    }

    /// Updates the sessions after a command was applied.
    pub fn applied(&mut self, now: Instant, command: &CommandKind, applied: &Applied) {
        self.recheck_held = true;
        self.settled = None;
        if !self.started {
            return;
        }
        match command {
            CommandKind::OpenSession(_) => {
                if let Response::SessionOpened(session) = applied.response {
                    self.tracker.opened(session, now);
                }
            }
            CommandKind::LapseSession(session) | CommandKind::CloseSession(session) => {
                self.tracker.removed(*session);
            }
            CommandKind::SubmitManifest(_)
            | CommandKind::MarkLeaving(_)
            | CommandKind::RequestMembership(_)
            | CommandKind::Fleet(_) => {}
        }
    }

    /// Returns the sessions whose lease has expired and whose removal is to be proposed now.
    pub fn lapsed(&mut self, now: Instant) -> Vec<SessionId> {
        if !self.started {
            return Vec::new();
        }
        self.tracker.lapsed(now)
    }

    /// Returns the earliest time at which a lease may expire or a held-back answer is due;
    /// `None` if there is neither.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let lapse = self.tracker().and_then(SessionTracker::next_wake);
        let held = self.held.iter().map(|held| self.due_at(held)).min();
        lapse.into_iter().chain(held).min()
    }

    fn due_at(&self, held: &HeldSync) -> Instant {
        held.received_at + held.call.wait.min(self.longest_wait)
    }

    /// Handles a request that has passed its read barrier: renews the session, and holds back
    /// the answer unless a command must be proposed or the session is lost.
    pub fn admit(&mut self, held: HeldSync, state: &ControlState) -> Verdict {
        if !self.started {
            held.not_current(None);
            return Verdict::Done;
        }
        let id = match &held.call.subject {
            SyncSubject::Open(opening) if opening.is_overtaken(state.view()) => {
                let revision = state.revision();
                held.answer(SyncAnswer::OpenedSince { revision });
                return Verdict::Done;
            }
            SyncSubject::Open(opening) => {
                let open = CommandKind::OpenSession(opening.entry.clone());
                return Verdict::Propose(Box::new(open), held);
            }
            SyncSubject::Renew(session) => *session,
        };
        let Some(session) = state.view().sessions.get(&id) else {
            held.answer(SyncAnswer::Lost);
            return Verdict::Done;
        };
        let renewal = self.renew(id, held.received_at, held.call.applied);
        if renewal == Renewal::Refused {
            held.answer(SyncAnswer::Lost);
            return Verdict::Done;
        }
        if held.call.closing {
            return Verdict::Propose(Box::new(CommandKind::CloseSession(id)), held);
        }
        if held.call.leaving && !session.leaving {
            return Verdict::Propose(Box::new(CommandKind::MarkLeaving(id)), held);
        }
        self.recheck_held |= has_changes(&held, state.view().revision, self.settled(state));
        self.held.push(held);
        Verdict::Done
    }

    /// Renews a session. If the renewal acknowledges a newer revision, the settled revision
    /// is computed again.
    fn renew(&mut self, session: SessionId, received_at: Instant, applied: Revision) -> Renewal {
        let before = self.tracker.acknowledged(session);
        let renewal = self.tracker.renewed(session, received_at, applied);
        if self.tracker.acknowledged(session) != before {
            self.recheck_held = true;
            self.settled = None;
        }
        renewal
    }

    fn settled(&mut self, state: &ControlState) -> Revision {
        let tracker = &self.tracker;
        *self
            .settled
            .get_or_insert_with(|| tracker.settled_revision(state))
    }

    /// Returns whether a request should get its read barrier at once instead of waiting for
    /// further requests to share it.
    #[must_use]
    pub fn is_urgent(&self, held: &HeldSync) -> bool {
        let call = &held.call;
        let is_immediate = call.wait.is_zero() || call.leaving || call.closing;
        let session = call.session();
        is_immediate || session.is_none_or(|session| self.is_newer(session, call.applied))
    }

    /// Returns whether a relay's batch should get its read barrier at once: a renewal in it
    /// acknowledges a newer revision.
    #[must_use]
    pub fn is_urgent_batch(&self, batch: &HeldBatch) -> bool {
        let mut renewals = batch.renewals.iter();
        renewals.any(|renewal| self.is_newer(renewal.session, renewal.applied))
    }

    fn is_newer(&self, session: SessionId, applied: Revision) -> bool {
        let acknowledged = self.tracker.acknowledged(session);
        acknowledged.is_some_and(|acknowledged| acknowledged < applied)
    }

    /// Renews the sessions of a relay's batch that has passed its read barrier, and answers
    /// it.
    pub fn admit_batch(&mut self, batch: HeldBatch, state: &ControlState) {
        if !self.started {
            batch.not_current(None);
            return;
        }
        let mut lost = BTreeSet::new();
        for renewal in &batch.renewals {
            let renewed = self.renew(renewal.session, batch.received_at, renewal.applied);
            if renewed == Renewal::Refused {
                lost.insert(renewal.session);
            }
        }
        let grant = BatchGrant {
            lease: self.tracker.lease(),
            revision: state.view().revision,
            settled: self.settled(state),
            lost,
        };
        // Fails if the relay has given up, for example to ask another replica.
        let _ = batch.reply.send(BatchAnswer::Granted(grant));
    }

    /// Answers a request whose command was committed and applied.
    pub fn committed(&mut self, held: HeldSync, response: &Response, state: &ControlState) {
        let session = match response {
            Response::SessionOpened(session) => Some(*session),
            Response::Done => held.call.session(),
            Response::Submission(_)
            | Response::Routes(_)
            | Response::Rollout(_)
            | Response::Overtaken
            | Response::StartedAgain(_)
            | Response::UnknownSession => None,
        };
        match session {
            // The leadership has ended in the meantime, so no lease can be granted.
            _ if !self.started => held.not_current(None),
            Some(session) => {
                let settled = self.settled(state);
                grant(held, session, settled, state);
            }
            None => held.answer(SyncAnswer::Lost),
        }
    }

    /// Answers the held-back requests whose entry VM lacks a change or whose waiting time has
    /// passed, and drops those that the entry VM has given up.
    pub fn answer_held(&mut self, now: Instant, state: &ControlState) {
        let due = self.held.iter().any(|held| self.due_at(held) <= now);
        if self.held.is_empty() || !(due || self.recheck_held) {
            return;
        }
        self.recheck_held = false;
        let settled = self.settled(state);
        let newest = state.view().revision;
        for held in std::mem::take(&mut self.held) {
            match held.call.session() {
                Some(session)
                    if has_changes(&held, newest, settled) || self.due_at(&held) <= now =>
                {
                    grant(held, session, settled, state);
                }
                _ if held.reply.is_closed() => {}
                _ => self.held.push(held),
            }
        }
    }
}

/// Returns whether the entry VM has another revision of the view than the newest, or knows
/// only an earlier settled revision.
fn has_changes(held: &HeldSync, newest: Revision, settled: Revision) -> bool {
    held.call.applied != newest || held.call.known_settled < settled
}

fn grant(held: HeldSync, session: SessionId, settled: Revision, state: &ControlState) {
    let answer = match state.update_from(held.call.applied) {
        ViewUpdate::ReplicaBehind => SyncAnswer::NotCurrent { leader: None },
        update => SyncAnswer::Granted {
            session,
            settled,
            update,
        },
    };
    held.answer(answer);
}
