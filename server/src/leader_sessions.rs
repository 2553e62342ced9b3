//! The leader's dealings with entry VMs: grants, held-back answers and lapses.

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

/// Share of the lease for which an answer may be held back. What is left of the lease
/// when the answer arrives must outlast the next request.
const LONGEST_WAIT_DIVISOR: u32 = 3;

/// Holds a request of an entry VM until it is answered.
#[derive(Debug)]
pub struct HeldSync {
    call: Box<SyncCall>,
    reply: oneshot::Sender<SyncAnswer>,
    received_at: Instant,
}

impl HeldSync {
    /// Takes in a request.
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

    /// Answers that this replica can't prove that it is current.
    pub fn not_current(self, leader: Option<Box<LeaderLink>>) {
        self.answer(SyncAnswer::NotCurrent { leader });
    }

    fn answer(self, answer: SyncAnswer) {
        // The entry may have given up and asked another replica.
        let _ = self.reply.send(answer);
    }
}

/// Holds a relay's batch of renewals until it is answered.
#[derive(Debug)]
pub struct HeldBatch {
    renewals: Vec<Acknowledgement>,
    reply: oneshot::Sender<BatchAnswer>,
    received_at: Instant,
}

impl HeldBatch {
    /// Takes in a batch.
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
        // The relay may have given up and asked another replica.
        let _ = self.reply.send(BatchAnswer::NotCurrent { leader });
    }
}

/// Tells what is to be done with a request that passed its read barrier.
#[derive(Debug)]
#[must_use]
pub enum Verdict {
    /// It was answered or is held back.
    Done,
    /// It is answered once this command is committed.
    Propose(Box<CommandKind>, HeldSync),
}

/// Deals with entry VMs while this replica leads.
#[derive(Debug)]
pub struct LeaderSessions {
    tracker: SessionTracker,
    /// Whether `tracker` belongs to the present leadership.
    started: bool,
    longest_wait: Duration,
    held: Vec<HeldSync>,
    /// Set when a held-back answer may have become due.
    news: bool,
    /// The settled revision, until something moves it. Computing it takes a look at
    /// every session, which for each of their renewals would be quadratic.
    settled: Option<Revision>,
}

impl LeaderSessions {
    /// Creates the state of a replica that doesn't lead.
    #[must_use]
    pub fn new(timing: &ControlTiming) -> Self {
        let lease = timing.session_lease();
        Self {
            tracker: SessionTracker::new(lease, timing.session_margin()),
            started: false,
            longest_wait: lease / LONGEST_WAIT_DIVISOR,
            held: Vec::new(),
            news: false,
            settled: None,
        }
    }

    /// Begins a leadership; repeated calls change nothing.
    pub fn start(&mut self, now: Instant, state: &ControlState) {
        if self.started {
            return;
        }
        self.started = true;
        let sessions = state.view().sessions.keys().copied();
        self.tracker.reset(now, sessions);
        self.settled = None;
    }

    /// Ends a leadership: whoever waits is sent to the next leader.
    pub fn stop(&mut self, leader: Option<&LeaderLink>) {
        self.started = false;
        for held in self.held.drain(..) {
            held.not_current(leader.cloned().map(Box::new));
        }
    }

    /// Returns the account of sessions, if this replica leads.
    #[must_use]
    pub fn tracker(&self) -> Option<&SessionTracker> {
        self.started.then_some(&self.tracker)
    }

    /// Follows an applied command.
    pub fn applied(&mut self, now: Instant, command: &CommandKind, applied: &Applied) {
        self.news = true;
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

    /// Returns the sessions whose lapse is to be proposed now.
    pub fn lapsed(&mut self, now: Instant) -> Vec<SessionId> {
        if !self.started {
            return Vec::new();
        }
        self.tracker.lapsed(now)
    }

    /// Returns when something is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let lapse = self.tracker().and_then(SessionTracker::next_wake);
        let held = self.held.iter().map(|held| self.due_at(held)).min();
        lapse.into_iter().chain(held).min()
    }

    fn due_at(&self, held: &HeldSync) -> Instant {
        held.received_at + held.call.wait.min(self.longest_wait)
    }

    /// Decides on a request whose read barrier was passed.
    pub fn admit(&mut self, held: HeldSync, state: &ControlState) -> Verdict {
        if !self.started {
            held.not_current(None);
            return Verdict::Done;
        }
        let id = match &held.call.subject {
            SyncSubject::Open(entry) => {
                let open = CommandKind::OpenSession(entry.clone());
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
        self.news |= has_news(&held, state.view().revision, self.settled(state));
        self.held.push(held);
        Verdict::Done
    }

    /// Renews a session; an acknowledgement of a newer revision may settle it.
    fn renew(&mut self, session: SessionId, received_at: Instant, applied: Revision) -> Renewal {
        let before = self.tracker.acknowledged(session);
        let renewal = self.tracker.renewed(session, received_at, applied);
        if self.tracker.acknowledged(session) != before {
            self.news = true;
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

    /// Returns whether a request should not wait for others to share its read barrier.
    #[must_use]
    pub fn is_urgent(&self, held: &HeldSync) -> bool {
        let call = &held.call;
        let hurry = call.wait.is_zero() || call.leaving || call.closing;
        let session = call.session();
        hurry || session.is_none_or(|session| self.is_newer(session, call.applied))
    }

    /// Returns whether a relay's batch should not wait for others.
    #[must_use]
    pub fn is_urgent_batch(&self, batch: &HeldBatch) -> bool {
        let mut renewals = batch.renewals.iter();
        renewals.any(|renewal| self.is_newer(renewal.session, renewal.applied))
    }

    fn is_newer(&self, session: SessionId, applied: Revision) -> bool {
        let acknowledged = self.tracker.acknowledged(session);
        acknowledged.is_some_and(|acknowledged| acknowledged < applied)
    }

    /// Renews a relay's batch whose read barrier was passed, and answers it.
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
        // The relay may have given up and asked another replica.
        let _ = batch.reply.send(BatchAnswer::Granted(grant));
    }

    /// Answers a request whose command was committed and applied.
    pub fn committed(&mut self, held: HeldSync, response: &Response, state: &ControlState) {
        let session = match response {
            Response::SessionOpened(session) => Some(*session),
            Response::Done => held.call.session(),
            Response::Submission(_) | Response::Routes(_) | Response::UnknownSession => None,
        };
        match session {
            // A leadership that has ended in between has no account to grant from.
            _ if !self.started => held.not_current(None),
            Some(session) => {
                let settled = self.settled(state);
                grant(held, session, settled, state);
            }
            None => held.answer(SyncAnswer::Lost),
        }
    }

    /// Answers the held-back requests for which there is something new, or whose time
    /// is up.
    pub fn answer_held(&mut self, now: Instant, state: &ControlState) {
        let due = self.held.iter().any(|held| self.due_at(held) <= now);
        if self.held.is_empty() || !(due || self.news) {
            return;
        }
        self.news = false;
        let settled = self.settled(state);
        let newest = state.view().revision;
        for held in std::mem::take(&mut self.held) {
            match held.call.session() {
                Some(session) if has_news(&held, newest, settled) || self.due_at(&held) <= now => {
                    grant(held, session, settled, state);
                }
                _ if held.reply.is_closed() => {}
                _ => self.held.push(held),
            }
        }
    }
}

/// Returns whether the entry VM lacks something of the view or the settled revision.
fn has_news(held: &HeldSync, newest: Revision, settled: Revision) -> bool {
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
