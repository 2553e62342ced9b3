//! Handle through which other tasks send messages to the [admission task](crate::admission_task).

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::admission::Dispatch;
use heatherring_lib::admission::DispatchKey;
use heatherring_lib::admission::Ending;
use heatherring_lib::admission::RequestToken;
use heatherring_lib::announcement::Announcement;
use heatherring_lib::announcement::AnnouncementError;
use heatherring_lib::backend_statement::ReceivedStatement;
use heatherring_lib::clock::Clock;
use heatherring_lib::drain::DrainDecision;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::SessionId;
use heatherring_lib::load_digest::GroupLoad;
use heatherring_lib::load_digest::LoadDigest;
use heatherring_lib::lookup::LookupAnswer;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::ownership::Group;
use heatherring_lib::ownership::Release;
use heatherring_lib::steering::Candidate;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::dispatcher::StatementObserver;

/// Describes a request for a slot, sent to the owner of its group.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// The group that steering chose.
    pub group: Group,
    /// Index of the operation in the service's list.
    pub operation: usize,
    /// The caller's failure domain.
    pub origin: PlaceName,
    /// Time after which an answer is of no use to the caller.
    pub deadline: Instant,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
}

/// Tells why a candidate did not accept a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CandidateFailure {
    /// It refused the request for the given reason.
    Refused(NotRunReason),
    /// No connection to it could be established.
    Unreachable,
}

/// Holds the part of the entry VM's status that concerns admission.
#[derive(Clone, Debug, Default)]
pub struct AdmissionStatus {
    /// The session that the decisions are made under; the default value without a session.
    pub session: SessionId,
    /// Load and capacity of each group that this entry VM owns.
    pub loads: Vec<GroupLoad>,
    /// Latest load received from the owners of all groups.
    pub known: Vec<GroupLoad>,
    /// Decision on each planned drain.
    pub drains: Vec<DrainDecision>,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Whether no request is dispatched or waiting.
    pub idle: bool,
}

/// Is a message to the admission task: a request with a reply channel, or a notification.
#[derive(Debug)]
pub(crate) enum Message {
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
    Statement {
        session: SessionId,
        key: DispatchKey,
        received: ReceivedStatement,
        /// Whether the request ran without a fault.
        is_success: bool,
    },
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
    TakeRetry(oneshot::Sender<bool>),
    Status(oneshot::Sender<AdmissionStatus>),
}

/// Holds a slot until the outcome of the dispatch is reported. Dropping it without an outcome
/// reports the dispatch as cancelled.
///
/// Without this, a caller that disconnects between two steps would leak its slot, until the
/// backend server had no free slots left.
#[derive(Debug)]
pub struct DispatchGuard {
    pub(crate) dispatch: Dispatch,
    pub(crate) session: SessionId,
    pub(crate) begun: Instant,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) tx: mpsc::UnboundedSender<Message>,
    pub(crate) ending: Ending,
}

impl DispatchGuard {
    /// Returns the backend server and slot that the request was given.
    #[must_use]
    pub const fn dispatch(&self) -> &Dispatch {
        &self.dispatch
    }

    /// Returns the session under whose lease the slot was granted.
    #[must_use]
    pub const fn session(&self) -> SessionId {
        self.session
    }

    /// Frees the slot after the last byte of the answer was read.
    pub fn answered(mut self) {
        let latency = self.clock.now().saturating_duration_since(self.begun);
        self.ending = Ending::Answered { latency };
    }

    /// Frees the slot after any other outcome.
    pub fn ended(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl StatementObserver for DispatchGuard {
    fn stated(&self, received: ReceivedStatement, is_success: bool) {
        // A failed send means that the task has ended, and what it knew with it.
        let _ = self.tx.send(Message::Statement {
            session: self.session,
            key: self.dispatch.key,
            received,
            is_success,
        });
    }
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        // A failed send means that the task has ended, and its slot counts with it.
        let _ = self.tx.send(Message::Finish {
            session: self.session,
            key: self.dispatch.key,
            ending: self.ending,
        });
    }
}

/// Cancels a waiting request when the future that waits for its slot is dropped.
struct WaitGuard<'a> {
    handle: &'a AdmissionHandle,
    token: RequestToken,
    done: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.handle.send(Message::Cancel(self.token));
        }
    }
}

/// Sends messages to the admission task.
#[derive(Clone, Debug)]
pub struct AdmissionHandle {
    pub(crate) tx: mpsc::UnboundedSender<Message>,
    pub(crate) next_token: Arc<AtomicU64>,
}

/// Returns the refusal for a process that has no session or is stopping.
pub(crate) fn no_session() -> NotRun {
    Attempt::new().refuse(NotRunReason::LeaseLapsed)
}

impl AdmissionHandle {
    /// Returns the entry VM that a caller at `origin` should use.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no entry VM can be named now.
    pub async fn look_up(
        &self,
        service: ServiceName,
        origin: PlaceName,
        caller: u64,
    ) -> Result<LookupAnswer, NotRun> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::LookUp {
            service,
            origin,
            caller,
            reply,
        });
        answer.await.unwrap_or_else(|_| Err(no_session()))
    }

    /// Returns the owners to try, best first; empty without a session.
    pub async fn steer(
        &self,
        service: ServiceName,
        origin: PlaceName,
        left: Duration,
    ) -> Vec<Candidate> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Steer {
            service,
            origin,
            left,
            reply,
        });
        answer.await.unwrap_or_default()
    }

    /// Requests a slot and waits for it. Dropping the future cancels the request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request was not granted a slot; it has not run then.
    pub async fn offer(&self, request: SlotRequest) -> Result<DispatchGuard, NotRun> {
        let token = RequestToken(self.next_token.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = oneshot::channel();
        let mut guard = WaitGuard {
            handle: self,
            token,
            done: false,
        };
        self.send(Message::Offer {
            token,
            request,
            reply,
        });
        let result = answer.await;
        guard.done = true;
        result.unwrap_or_else(|_| Err(no_session()))
    }

    /// Applies an announcement of a backend server. Returns `None` without a session.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement does not fit the manifest.
    pub async fn announce(
        &self,
        announcement: Announcement,
    ) -> Option<Result<(), AnnouncementError>> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Announce {
            announcement: Box::new(announcement),
            reply,
        });
        answer.await.ok()
    }

    /// Applies the load digest of another entry VM.
    pub fn take_digest(&self, digest: LoadDigest) {
        self.send(Message::Digest { digest });
    }

    /// Applies a release sent by a group's previous owner.
    pub fn take_release(&self, release: Release) {
        self.send(Message::Release(release));
    }

    /// Records that a request was sent to `candidate`.
    pub fn note_sent(&self, candidate: Candidate) {
        self.send(Message::Sent(candidate));
    }

    /// Records that `candidate` did not accept a request.
    pub fn note_failed(&self, candidate: Candidate, failure: CandidateFailure) {
        self.send(Message::Failed(candidate, failure));
    }

    /// Records a measured round trip to the entry VM of another session.
    pub fn note_round_trip(&self, session: SessionId, round_trip: Duration) {
        self.send(Message::RoundTrip(session, round_trip));
    }

    /// Takes one retry from the retry budget. Returns `false` if the budget is exhausted.
    pub async fn try_again(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send(Message::TakeRetry(reply));
        answer.await.unwrap_or(false)
    }

    /// Returns the admission status; the default value once the task has ended.
    pub async fn status(&self) -> AdmissionStatus {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Status(reply));
        answer.await.unwrap_or_default()
    }

    fn send(&self, message: Message) {
        // Once the task has ended the reply channel closes, which the requester notices.
        let _ = self.tx.send(message);
    }
}
