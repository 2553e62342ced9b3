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
pub struct SessionDesk {
    tracker: SessionTracker,
    /// Whether `tracker` belongs to the present leadership.
    started: bool,
    longest_wait: Duration,
    held: Vec<HeldSync>,
    /// Set when a held-back answer may have become due.
    news: bool,
}

impl SessionDesk {
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
            | CommandKind::RequestMembership(_) => {}
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
        let Some(id) = held.call.session else {
            let open = CommandKind::OpenSession(held.call.entry.clone());
            return Verdict::Propose(Box::new(open), held);
        };
        let Some(session) = state.view().sessions.get(&id) else {
            held.answer(SyncAnswer::Lost);
            return Verdict::Done;
        };
        let renewal = self
            .tracker
            .renewed(id, held.received_at, held.call.applied);
        if renewal == Renewal::Refused {
            held.answer(SyncAnswer::Lost);
            return Verdict::Done;
        }
        self.news = true;
        if held.call.closing {
            return Verdict::Propose(Box::new(CommandKind::CloseSession(id)), held);
        }
        if held.call.leaving && !session.leaving {
            return Verdict::Propose(Box::new(CommandKind::MarkLeaving(id)), held);
        }
        self.held.push(held);
        Verdict::Done
    }

    /// Renews a relay's batch whose read barrier was passed, and answers it.
    pub fn admit_batch(&mut self, batch: HeldBatch, state: &ControlState) {
        if !self.started {
            batch.not_current(None);
            return;
        }
        let mut lost = BTreeSet::new();
        for renewal in &batch.renewals {
            let renewed = self
                .tracker
                .renewed(renewal.session, batch.received_at, renewal.applied);
            if renewed == Renewal::Refused {
                lost.insert(renewal.session);
            }
        }
        self.news = true;
        let grant = BatchGrant {
            lease: self.tracker.lease(),
            revision: state.view().revision,
            settled: self.tracker.settled_revision(state),
            lost,
        };
        // The relay may have given up and asked another replica.
        let _ = batch.reply.send(BatchAnswer::Granted(grant));
    }

    /// Answers a request whose command was committed and applied.
    pub fn committed(&self, held: HeldSync, response: &Response, state: &ControlState) {
        let session = match response {
            Response::SessionOpened(session) => Some(*session),
            Response::Done => held.call.session,
            Response::Submission(_) | Response::UnknownSession => None,
        };
        match session {
            // A leadership that has ended in between has no account to grant from.
            _ if !self.started => held.not_current(None),
            Some(session) => {
                let settled = self.tracker.settled_revision(state);
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
        let settled = self.tracker.settled_revision(state);
        let newest = state.view().revision;
        for held in std::mem::take(&mut self.held) {
            let new = held.call.applied != newest || held.call.known_settled < settled;
            match held.call.session {
                Some(session) if new || self.due_at(&held) <= now => {
                    grant(held, session, settled, state);
                }
                _ if held.reply.is_closed() => {}
                _ => self.held.push(held),
            }
        }
    }
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
