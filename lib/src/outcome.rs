//! The outcome of a request, with its life cycle expressed in types.
//!
//! A caller gets one of three outcomes: the whole answer, "not run" (proven) or "unknown" (the
//! request may have run and is not run again). [`NotRun`] is the proof. It can be obtained only
//! from an attempt of which no byte can have reached a backend server, from a refusal by that
//! server before it ran anything, from such a refusal by the entry VM that owns the server, or
//! from the record of an action that forbids every later dispatch. A refusal counts only once it
//! is paired with the request that it refuses: an attempt of which bytes were sent ends as unknown
//! until an answer is [paired](Attempt::pair) with it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::answer_pairing::EchoedId;
use crate::answer_pairing::Pairing;
use crate::answer_pairing::SentRequest;
use crate::manifest::Operation;
use crate::route_manifest::Route;

macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$case_doc:meta])* $case:ident $text:literal $status:literal,)* }) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(rename_all = "snake_case")]
        pub enum $name {
            $($(#[$case_doc])* $case,)*
        }

        impl $name {
            /// All reasons, in the order of declaration.
            pub const ALL: &[Self] = &[$(Self::$case,)*];

            /// Returns the reason as it is written in the JSON body of an answer.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$case => $text,)*
                }
            }

            /// Returns the HTTP status of an answer with this reason.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$case => $status,)*
                }
            }

            /// Parses a reason as written in the JSON body of an answer; `None` for other texts.
            #[must_use]
            pub fn parse(text: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|reason| reason.as_str() == text)
            }
        }
    };
}

reasons! {
    /// Why a request was not run.
    NotRunReason {
        /// The request is malformed.
        MalformedRequest "malformed_request" 400,
        /// The body of the request exceeds the limit.
        BodyTooLarge "body_too_large" 413,
        /// No service has this name.
        ServiceUnknown "service_unknown" 404,
        /// The service has no such operation.
        OperationUnknown "operation_unknown" 404,
        /// No route matches the request's host and path.
        RouteUnknown "route_unknown" 404,
        /// No route known to this entry VM matches, but it may not know the newest routes.
        RouteUnconfirmed "route_unconfirmed" 503,
        /// The route needs a key, and the request has none.
        CredentialMissing "credential_missing" 401,
        /// No team has the request's key.
        CredentialUnknown "credential_unknown" 401,
        /// The key was removed from its team while the request waited.
        CredentialWithdrawn "credential_withdrawn" 401,
        /// The key was moved to another team while the request waited.
        CredentialChanged "credential_changed" 503,
        /// No team known to this entry VM has the key, but it may not know the newest teams.
        CredentialUnconfirmed "credential_unconfirmed" 503,
        /// No region is a home region of both the team and the route.
        NoCommonHome "no_common_home" 503,
        /// The team's limit is reached.
        TeamLimit "team_limit" 429,
        /// The team has a limit, and no control replica confirmed that it is not reached.
        LimitUnconfirmed "limit_unconfirmed" 503,
        /// The entry VM has no manifest yet.
        NoManifest "no_manifest" 503,
        /// The entry VM's lease has expired; it cannot know whether its view is current.
        LeaseLapsed "lease_lapsed" 503,
        /// The entry VM is leaving and accepts no new requests.
        Leaving "leaving" 503,
        /// No backend server of the service is ready.
        NoBackendServer "no_backend_server" 503,
        /// All slots are taken and the queue is full.
        Overloaded "overloaded" 503,
        /// The request could not have been answered before its deadline.
        DeadlineTooShort "deadline_too_short" 503,
        /// The place's limit for the service is reached.
        PlaceLimit "place_limit" 503,
        /// A cap on shifted traffic is reached.
        ShiftCap "shift_cap" 503,
        /// The limit of a link between regions is reached.
        LinkLimit "link_limit" 503,
        /// The entry VM's own link is saturated.
        LinkFull "link_full" 503,
        /// The owner of the backend server could not be reached.
        OwnerUnreachable "owner_unreachable" 503,
        /// The entry VM that was asked is not or no longer the owner, or may not dispatch yet.
        NotOwner "not_owner" 503,
        /// The request was forwarded through too many entry VMs.
        TooManyHops "too_many_hops" 503,
        /// No connection to the backend server could be established.
        BackendUnreachable "backend_unreachable" 503,
        /// The backend server refused the request before running it.
        BackendRefused "backend_refused" 503,
        /// Another backend server has the address now.
        BackendMisdirected "backend_misdirected" 503,
        /// The budget of resends is exhausted.
        NoResend "no_resend" 503,
        /// Several backend servers failed, one after the other, while they ran the request.
        Quarantined "quarantined" 503,
        /// The caller disconnected before the request was sent to a backend server.
        Cancelled "cancelled" 503,
        /// An action came without an idempotency key.
        KeyMissing "key_missing" 428,
        /// The idempotency key does not consist of a ticket and a random part.
        KeyMalformed "key_malformed" 400,
        /// The key's ticket was not issued by this deployment.
        TicketInvalid "ticket_invalid" 400,
        /// The key's ticket was issued for another service.
        TicketOfOtherService "ticket_of_other_service" 409,
        /// The key is already in use for another request.
        KeyConflict "key_conflict" 409,
        /// The key was fenced: it never ran and never will.
        KeyFenced "key_fenced" 503,
        /// The action's backup could not be reached, so the action was not dispatched.
        BackupUnreachable "backup_unreachable" 503,
        /// The action's backup refused to record the action, so it was not dispatched.
        BackupRefused "backup_refused" 503,
        /// No second process can record actions, so none are accepted.
        NoBackup "no_backup" 503,
        /// The memory for actions is full of records that must be kept.
        ActionStoreFull "action_store_full" 503,
        /// All backend servers declare rate limits, and these are used up.
        BackendLimit "backend_limit" 503,
        /// All backend servers asked for a time without requests, or are at their limits.
        BackendPaused "backend_paused" 503,
    }
}

reasons! {
    /// Why it is unknown whether a request was run.
    UnknownReason {
        /// The connection was lost after the request may have been sent.
        ConnectionLost "connection_lost" 502,
        /// The deadline passed after the request may have been sent.
        DeadlinePassed "deadline_passed" 504,
        /// The entry VM stopped before the answer arrived.
        EntryStopped "entry_stopped" 502,
        /// The entry VM that the request was forwarded to did not answer.
        OwnerLost "owner_lost" 502,
        /// The action was recorded and may run or have run; its answer is not known here.
        ActionRecorded "action_recorded" 502,
        /// The action ran or may have run; its answer was too large to store.
        AnswerTooLarge "answer_too_large" 502,
        /// The action ran; there was no memory left to store its answer.
        AnswerNotKept "answer_not_kept" 502,
        /// The key's ticket has expired and no record of the key is left.
        TicketExpired "ticket_expired" 502,
        /// The key's ticket expires later than any ticket issued now would.
        TicketAheadOfClock "ticket_ahead_of_clock" 502,
        /// Neither of the processes that record the key answered, or both have ended.
        RecordsUnreachable "records_unreachable" 502,
        /// The memory for actions is full, so that the key could not be fenced.
        ActionStoreFull "action_store_full" 502,
        /// An answer that belongs to another request arrived on the connection.
        AnswerMismatched "answer_mismatched" 502,
        /// The backend server answered with a status that tells callers that the request was not
        /// run, without stating that it was not.
        RefusalUnproved "refusal_unproved" 502,
        /// The backend server's answer contradicts itself or does not tell where it ends.
        AnswerMalformed "answer_malformed" 502,
    }
}

/// Returns whether an answer with the status `status` promises its caller that the request was not
/// run and never will be.
#[must_use]
pub const fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Proof that a request was not run and, for an action, that its key never will be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub struct NotRun {
    reason: NotRunReason,
    retry_after: Option<Duration>,
}

impl NotRun {
    /// Creates the proof without evidence; callers within this crate must have it.
    pub(crate) const fn proved(reason: NotRunReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Returns why the request was not run.
    #[must_use]
    pub const fn reason(&self) -> NotRunReason {
        self.reason
    }

    /// Returns the time after which a retry makes sense; `None` if unknown.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Sets the time after which a retry makes sense.
    pub const fn with_retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }

    /// Begins another attempt at the same request, which is allowed since it was not run.
    pub const fn try_again(self) -> Attempt<Unsent> {
        Attempt { state: Unsent(()) }
    }
}

/// States that a request may have run. It is not run again unless it is idempotent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub struct Unknown {
    reason: UnknownReason,
}

impl Unknown {
    /// Creates the statement, which needs no evidence.
    pub const fn new(reason: UnknownReason) -> Self {
        Self { reason }
    }

    /// Returns why it is unknown whether the request was run.
    #[must_use]
    pub const fn reason(&self) -> UnknownReason {
        self.reason
    }

    /// Begins another attempt at a request that may safely run twice.
    pub const fn try_again(self, permission: Idempotent) -> Attempt<Unsent> {
        permission.another_attempt()
    }
}

/// Permission to send a request again although it may have run.
#[derive(Clone, Copy, Debug)]
pub struct Idempotent(());

impl Idempotent {
    /// Returns the permission if the manifest declares the operation idempotent.
    #[must_use]
    pub const fn of(operation: &Operation) -> Option<Self> {
        if operation.idempotent {
            Some(Self(()))
        } else {
            None
        }
    }

    /// Returns the permission if the manifest declares the route's requests idempotent.
    #[must_use]
    pub const fn of_route(route: &Route) -> Option<Self> {
        if route.idempotent {
            Some(Self(()))
        } else {
            None
        }
    }

    /// Begins another attempt, whatever the result of the previous one.
    pub const fn another_attempt(self) -> Attempt<Unsent> {
        Attempt { state: Unsent(()) }
    }
}

/// The outcome of a request as reported to its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
#[must_use]
pub enum Outcome<A> {
    /// The backend server's answer, whatever its status.
    Answer(A),
    /// The request was not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Unknown),
}

impl<A> Outcome<A> {
    /// Applies a function to the answer, if there is one.
    pub fn map<B>(self, f: impl FnOnce(A) -> B) -> Outcome<B> {
        match self {
            Self::Answer(answer) => Outcome::Answer(f(answer)),
            Self::NotRun(not_run) => Outcome::NotRun(not_run),
            Self::Unknown(unknown) => Outcome::Unknown(unknown),
        }
    }
}

impl<A> From<NotRun> for Outcome<A> {
    fn from(not_run: NotRun) -> Self {
        Self::NotRun(not_run)
    }
}

impl<A> From<Unknown> for Outcome<A> {
    fn from(unknown: Unknown) -> Self {
        Self::Unknown(unknown)
    }
}

/// State of an attempt of which no byte has been passed to a connection.
#[derive(Debug)]
pub struct Unsent(());

/// State of an attempt of which some bytes may have reached the peer.
#[derive(Debug)]
pub struct MayHaveRun(());

/// State of an attempt whose answer is known to be its own.
#[derive(Debug)]
pub struct Identified(());

/// State of an attempt with an answer that belongs to no other request. Whether it was sent in
/// answer to this one isn't proved, so it proves nothing about what was run.
#[derive(Debug)]
pub struct Answered(());

/// State of an attempt with an answer.
pub trait WithAnswer {}

impl WithAnswer for Identified {}

impl WithAnswer for Answered {}

/// An attempt with its answer, by what shows that they belong together.
#[derive(Debug)]
pub enum Paired {
    /// The answer names the request.
    Named(Attempt<Identified>),
    /// The answer arrived where only that to the request is expected.
    Positional(Attempt<Answered>),
}

impl Paired {
    /// Returns the attempt, without the proof that the answer is its own.
    pub fn into_answered(self) -> Attempt<Answered> {
        match self {
            Self::Named(identified) => identified.into_answered(),
            Self::Positional(answered) => answered,
        }
    }
}

/// One attempt to have a request run by a backend server or by the server's owner; `S` is its
/// state.
#[derive(Debug)]
#[must_use]
pub struct Attempt<S> {
    state: S,
}

impl Default for Attempt<Unsent> {
    fn default() -> Self {
        Self::new()
    }
}

impl Attempt<Unsent> {
    /// Begins an attempt, of which nothing has been sent.
    pub const fn new() -> Self {
        Self { state: Unsent(()) }
    }

    /// Abandons the attempt before anything is sent.
    pub const fn refuse(self, reason: NotRunReason) -> NotRun {
        NotRun::proved(reason)
    }

    /// Marks the request as possibly sent. Must be called before the request is passed to a
    /// connection: from then on it cannot be known which bytes arrive.
    pub const fn sending(self) -> Attempt<MayHaveRun> {
        Attempt {
            state: MayHaveRun(()),
        }
    }
}

impl Attempt<MayHaveRun> {
    /// Pairs the attempt with an answer that arrived on the connection of `sent`, the request.
    ///
    /// # Errors
    ///
    /// Returns the attempt, which still waits for its answer, if this one does not belong to it.
    pub fn pair(self, sent: SentRequest<'_>, echoed: EchoedId<'_>) -> Result<Paired, Self> {
        match sent.pairing(echoed) {
            Some(Pairing::Named) => Ok(Paired::Named(self.into_identified())),
            Some(Pairing::Positional) => {
                Ok(Paired::Positional(self.into_identified().into_answered()))
            }
            None => Err(self),
        }
    }

    /// Pairs the attempt with the answer that arrived on its stream. HTTP/2 gives each request a
    /// stream of its own; an HTTP/1.1 connection is none.
    pub const fn answered_on_stream(self) -> Attempt<Identified> {
        self.into_identified()
    }

    const fn into_identified(self) -> Attempt<Identified> {
        let MayHaveRun(()) = self.state;
        Attempt {
            state: Identified(()),
        }
    }

    /// Ends the attempt without an answer.
    pub const fn lost(self, reason: UnknownReason) -> Unknown {
        Unknown::new(reason)
    }

    /// Returns to the unsent state because the connection returned the whole request unwritten,
    /// which `hyper` does if the connection closes before it accepts the request.
    pub const fn returned_unsent<R>(self, _unwritten: &R) -> Attempt<Unsent> {
        let MayHaveRun(()) = self.state;
        Attempt { state: Unsent(()) }
    }
}

impl<S: WithAnswer> Attempt<S> {
    /// Ends the attempt with its answer.
    pub fn answered<A>(self, answer: A) -> Outcome<A> {
        Outcome::Answer(answer)
    }

    /// Ends the attempt with an answer that broke off or cannot be used.
    pub fn lost(self, reason: UnknownReason) -> Unknown {
        Unknown::new(reason)
    }
}

impl Attempt<Identified> {
    /// Ends the attempt with a refusal, which proves that nothing was run.
    pub const fn refused(self, refusal: Refusal) -> NotRun {
        NotRun {
            reason: refusal.reason,
            retry_after: refusal.retry_after,
        }
    }

    const fn into_answered(self) -> Attempt<Answered> {
        let Identified(()) = self.state;
        Attempt {
            state: Answered(()),
        }
    }
}

/// Name of the header with the outcome of a request.
pub const OUTCOME_HEADER: &str = "heatherring-outcome";

/// Value of [`OUTCOME_HEADER`] with a backend server's answer.
pub const OUTCOME_ANSWER: &str = "answer";

/// Value of [`OUTCOME_HEADER`] when the request was not run.
pub const OUTCOME_NOT_RUN: &str = "not_run";

/// Value of [`OUTCOME_HEADER`] when the request may have run.
pub const OUTCOME_UNKNOWN: &str = "unknown";

const STATUS_SERVICE_UNAVAILABLE: u16 = 503;

/// The statement of a backend server or another entry VM that it ran nothing of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    reason: NotRunReason,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// Recognizes a backend server's refusal: status 503 with the outcome header "`not_run`". Any
    /// other answer, including a 503 without the header, may be sent after part of the request
    /// was run.
    #[must_use]
    pub fn of_backend_server(status: u16, outcome_header: Option<&str>) -> Option<Self> {
        let refused =
            status == STATUS_SERVICE_UNAVAILABLE && outcome_header == Some(OUTCOME_NOT_RUN);
        refused.then_some(Self {
            reason: NotRunReason::BackendRefused,
            retry_after: None,
        })
    }

    /// Creates a refusal from a backend server's statement, in the form of its own interface, that
    /// it ran nothing.
    #[must_use]
    pub const fn reported_by_backend_server(reason: NotRunReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Recognizes the refusal of another entry VM by the outcome header; the reason comes from the
    /// body of its answer. Returns `None` if the header has another value.
    #[must_use]
    pub fn of_entry(
        outcome_header: Option<&str>,
        reason: NotRunReason,
        retry_after: Option<Duration>,
    ) -> Option<Self> {
        (outcome_header == Some(OUTCOME_NOT_RUN)).then_some(Self {
            reason,
            retry_after,
        })
    }
}
