//! What became of a request, as a life cycle in types.
//!
//! A caller is told one of three things: the whole answer, "not run" (proved) or
//! "unknown" (it may have run and won't be run again). [`NotRun`] is the proof. It
//! comes only from an attempt of which no byte can have reached a backend server,
//! from a refusal by that server before it ran anything, from the same refusals
//! made by the entry VM that owns the server, or from an action's record that forbids
//! every later dispatch.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

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
            /// All reasons.
            pub const ALL: &[Self] = &[$(Self::$case,)*];

            /// Returns the reason as it stands in an answer's JSON body.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$case => $text,)*
                }
            }

            /// Returns the HTTP status that goes with the reason.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$case => $status,)*
                }
            }

            /// Reads a reason from an answer's JSON body; `None` for other texts.
            #[must_use]
            pub fn parse(text: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|reason| reason.as_str() == text)
            }
        }
    };
}

reasons! {
    /// Tells why a request wasn't run.
    NotRunReason {
        /// The request itself can't be understood.
        MalformedRequest "malformed_request" 400,
        /// The request's body is above the bound.
        BodyTooLarge "body_too_large" 413,
        /// No service has this name.
        ServiceUnknown "service_unknown" 404,
        /// The service has no such operation.
        OperationUnknown "operation_unknown" 404,
        /// No route matches the request's host and path.
        RouteUnknown "route_unknown" 404,
        /// No route that this entry VM knows matches, but it can't know of new ones.
        RouteUnconfirmed "route_unconfirmed" 503,
        /// The route needs a key, and the request has none.
        CredentialMissing "credential_missing" 401,
        /// No team has the request's key.
        CredentialUnknown "credential_unknown" 401,
        /// The key was taken from its team while the request waited.
        CredentialWithdrawn "credential_withdrawn" 401,
        /// The key went to another team while the request waited.
        CredentialChanged "credential_changed" 503,
        /// No team that this entry VM knows has the key, but it can't know of new ones.
        CredentialUnconfirmed "credential_unconfirmed" 503,
        /// No region is home to both the team and the route.
        NoCommonHome "no_common_home" 503,
        /// The team's limit is reached.
        TeamLimit "team_limit" 429,
        /// No control replica said whether the team's limit is reached.
        LimitUnconfirmed "limit_unconfirmed" 503,
        /// The entry VM has no manifest yet.
        NoManifest "no_manifest" 503,
        /// The entry VM's lease is over; it can't know whether its view is current.
        LeaseLapsed "lease_lapsed" 503,
        /// The entry VM leaves and takes no new work.
        Leaving "leaving" 503,
        /// No backend server of the service is ready.
        NoBackendServer "no_backend_server" 503,
        /// All slots are taken and the queue is full.
        Overloaded "overloaded" 503,
        /// The request couldn't be answered before its deadline.
        DeadlineTooShort "deadline_too_short" 503,
        /// The place's limit for the service is reached.
        PlaceLimit "place_limit" 503,
        /// A cap on shifted traffic is reached.
        ShiftCap "shift_cap" 503,
        /// The limit of a link between regions is reached.
        LinkLimit "link_limit" 503,
        /// The entry VM's own link carries no more.
        LinkFull "link_full" 503,
        /// The owner of the backend server couldn't be reached.
        OwnerUnreachable "owner_unreachable" 503,
        /// The entry VM asked isn't the owner (any more), or may not dispatch yet.
        NotOwner "not_owner" 503,
        /// The request went through too many entry VMs.
        TooManyHops "too_many_hops" 503,
        /// No connection to the backend server could be had.
        BackendUnreachable "backend_unreachable" 503,
        /// The backend server refused before running.
        BackendRefused "backend_refused" 503,
        /// Another backend server has the address now.
        BackendMisdirected "backend_misdirected" 503,
        /// The budget of resends is used up.
        NoResend "no_resend" 503,
        /// Backend servers have ended under the request, one after the other.
        Quarantined "quarantined" 503,
        /// The caller went away before the request was sent on.
        Cancelled "cancelled" 503,
        /// An action came without an idempotency key.
        KeyMissing "key_missing" 428,
        /// The idempotency key has not the form of ticket and random part.
        KeyMalformed "key_malformed" 400,
        /// The key's ticket wasn't issued by this deployment.
        TicketInvalid "ticket_invalid" 400,
        /// The key's ticket was issued for another service.
        TicketOfOtherService "ticket_of_other_service" 409,
        /// The key stands for another request already.
        KeyConflict "key_conflict" 409,
        /// The key was fenced: it never ran and never will.
        KeyFenced "key_fenced" 503,
        /// The action's backup couldn't be reached, so it wasn't dispatched.
        BackupUnreachable "backup_unreachable" 503,
        /// The action's backup refused to record it, so it wasn't dispatched.
        BackupRefused "backup_refused" 503,
        /// No second process can record actions, so none are taken.
        NoBackup "no_backup" 503,
        /// The memory for actions is full of records that must be kept.
        ActionStoreFull "action_store_full" 503,
    }
}

reasons! {
    /// Tells why nobody knows whether a request ran.
    UnknownReason {
        /// The connection broke off after the request may have been sent.
        ConnectionLost "connection_lost" 502,
        /// The deadline passed after the request may have been sent.
        DeadlinePassed "deadline_passed" 504,
        /// The entry VM ended before the answer came.
        EntryStopped "entry_stopped" 502,
        /// The entry VM that the request was forwarded to gave no answer.
        OwnerLost "owner_lost" 502,
        /// The action was recorded and may run or have run; its answer isn't known here.
        ActionRecorded "action_recorded" 502,
        /// The action ran or may have run; its answer was too large to keep.
        AnswerTooLarge "answer_too_large" 502,
        /// The action ran; there was no memory left to keep its answer.
        AnswerNotKept "answer_not_kept" 502,
        /// The key's ticket has expired and no record of the key is left.
        TicketExpired "ticket_expired" 502,
        /// The key's ticket expires later than any ticket issued now would.
        TicketAheadOfClock "ticket_ahead_of_clock" 502,
        /// Neither process that records the key answered, or they have ended.
        RecordsUnreachable "records_unreachable" 502,
        /// The memory for actions is full, so that the key couldn't be fenced.
        ActionStoreFull "action_store_full" 502,
    }
}

/// Proves that a request wasn't run, and for an action that its key never will be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub struct NotRun {
    reason: NotRunReason,
    retry_after: Option<Duration>,
}

impl NotRun {
    /// States the proof. Within the core, callers hold the evidence.
    pub(crate) const fn proved(reason: NotRunReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Returns why the request wasn't run.
    #[must_use]
    pub const fn reason(&self) -> NotRunReason {
        self.reason
    }

    /// Returns when it makes sense to come back, if that is known.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Adds when it makes sense to come back.
    pub const fn with_retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }

    /// Begins another attempt at the same request; it is still unsent.
    pub const fn try_again(self) -> Attempt<Unsent> {
        Attempt { state: Unsent(()) }
    }
}

/// States that a request may have run. It won't be run again unless it is idempotent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub struct Unknown {
    reason: UnknownReason,
}

impl Unknown {
    /// States that nobody knows. That needs no evidence.
    pub const fn new(reason: UnknownReason) -> Self {
        Self { reason }
    }

    /// Returns why nobody knows.
    #[must_use]
    pub const fn reason(&self) -> UnknownReason {
        self.reason
    }

    /// Begins another attempt at a request that may run twice without harm.
    pub const fn try_again(self, permission: Idempotent) -> Attempt<Unsent> {
        permission.another_attempt()
    }
}

/// Permits sending a request again after it may have run.
#[derive(Clone, Copy, Debug)]
pub struct Idempotent(());

impl Idempotent {
    /// Returns the permission if the manifest calls the operation idempotent.
    #[must_use]
    pub const fn of(operation: &Operation) -> Option<Self> {
        if operation.idempotent {
            Some(Self(()))
        } else {
            None
        }
    }

    /// Returns the permission if the route's requests are idempotent.
    #[must_use]
    pub const fn of_route(route: &Route) -> Option<Self> {
        if route.idempotent {
            Some(Self(()))
        } else {
            None
        }
    }

    /// Begins another attempt, whatever became of the one before.
    pub const fn another_attempt(self) -> Attempt<Unsent> {
        Attempt { state: Unsent(()) }
    }
}

/// Holds what a caller is told.
#[derive(Clone, Debug, Eq, PartialEq)]
#[must_use]
pub enum Outcome<A> {
    /// The backend server's answer, whatever its status.
    Answer(A),
    /// The request wasn't run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Unknown),
}

impl<A> Outcome<A> {
    /// Converts the answer, if there is one.
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

/// Marks an attempt of which no byte has been handed to a connection.
#[derive(Debug)]
pub struct Unsent(());

/// Marks an attempt of which a byte may have reached the other side.
#[derive(Debug)]
pub struct MayHaveRun(());

/// Follows one attempt to have a request run, by a backend server or by its owner.
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
    /// Begins an attempt.
    pub const fn new() -> Self {
        Self { state: Unsent(()) }
    }

    /// Gives the attempt up before anything was sent.
    pub const fn refuse(self, reason: NotRunReason) -> NotRun {
        NotRun::proved(reason)
    }

    /// Crosses the line. Call it before the request is handed to a connection: from
    /// then on nobody can tell which bytes arrived.
    pub const fn sending(self) -> Attempt<MayHaveRun> {
        Attempt {
            state: MayHaveRun(()),
        }
    }
}

impl Attempt<MayHaveRun> {
    /// Ends the attempt with the answer.
    pub fn answered<A>(self, answer: A) -> Outcome<A> {
        Outcome::Answer(answer)
    }

    /// Ends the attempt with a refusal that proves that nothing ran.
    pub const fn refused(self, refusal: Refusal) -> NotRun {
        NotRun {
            reason: refusal.reason,
            retry_after: refusal.retry_after,
        }
    }

    /// Ends the attempt without an answer.
    pub const fn lost(self, reason: UnknownReason) -> Unknown {
        Unknown::new(reason)
    }

    /// Steps back because the connection returned the whole request unwritten, which
    /// `hyper` does when it closed before taking it.
    pub const fn returned_unsent<R>(self, _unwritten: &R) -> Attempt<Unsent> {
        let MayHaveRun(()) = self.state;
        Attempt { state: Unsent(()) }
    }
}

/// Header that says what became of a request.
pub const OUTCOME_HEADER: &str = "heatherring-outcome";

/// Value of [`OUTCOME_HEADER`] with a backend server's answer.
pub const OUTCOME_ANSWER: &str = "answer";

/// Value of [`OUTCOME_HEADER`] when the request wasn't run.
pub const OUTCOME_NOT_RUN: &str = "not_run";

/// Value of [`OUTCOME_HEADER`] when the request may have run.
pub const OUTCOME_UNKNOWN: &str = "unknown";

const STATUS_SERVICE_UNAVAILABLE: u16 = 503;

/// Holds the other side's own word that it ran nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    reason: NotRunReason,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// Reads a backend server's refusal: status 503 and the outcome header "`not_run`".
    /// Any other answer, also a bare 503, may come after a part was run.
    #[must_use]
    pub fn of_backend_server(status: u16, outcome_header: Option<&str>) -> Option<Self> {
        let refused =
            status == STATUS_SERVICE_UNAVAILABLE && outcome_header == Some(OUTCOME_NOT_RUN);
        refused.then_some(Self {
            reason: NotRunReason::BackendRefused,
            retry_after: None,
        })
    }

    /// Takes a backend server's word that it ran nothing, as its interface words it.
    #[must_use]
    pub const fn reported_by_backend_server(reason: NotRunReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Reads the refusal of another entry VM, from the outcome header and the reason
    /// in its body.
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
