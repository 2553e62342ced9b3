//! How other tasks talk to the one that owns the decisions.

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

/// Asks the task, or tells it.
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
    pub(crate) dispatch: Dispatch,
    pub(crate) session: SessionId,
    pub(crate) begun: Instant,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) tx: mpsc::UnboundedSender<Message>,
    pub(crate) ending: Ending,
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
    pub(crate) tx: mpsc::UnboundedSender<Message>,
    pub(crate) next_token: Arc<AtomicU64>,
}

/// Refuses because the process has no session, or ends.
pub(crate) fn no_session() -> NotRun {
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
