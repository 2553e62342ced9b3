//! What the two processes that record an action keep and tell each other.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::id::ServiceName;
use crate::outcome::NotRun;
use crate::outcome::NotRunReason;
use crate::outcome::Outcome;
use crate::outcome::Unknown;
use crate::outcome::UnknownReason;
use crate::ticket::Ticket;
use crate::ticket::TicketError;
use crate::ticket::TicketSecret;

/// Bound on the caller's random part of a key, in characters.
pub const MAX_RANDOM_PART: usize = 128;

/// Bound on the body of an answer that is kept for resends, in bytes. Larger answers
/// are passed through, and resends are told that the answer was too large to keep.
pub const MAX_STORED_BODY: usize = 256 * 1_024;

/// Separates the ticket from the caller's random part.
pub const KEY_SEPARATOR: char = '.';

/// Names the header that carries a key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Names the optional header by which a caller tells itself apart from others that
/// share its look-up.
pub const CALLER_HEADER: &str = "heatherring-caller";

/// Tells why a text is no key of an action.
#[derive(Debug, Snafu)]
pub enum ActionKeyError {
    /// There is no separator.
    #[snafu(display("an idempotency key has the form {{ticket}}.{{random part}}"))]
    NoSeparator,
    /// The random part is empty, too long or has other characters.
    #[snafu(display(
        "the random part has 1 to {MAX_RANDOM_PART} characters out of A-Z, a-z, 0-9, - and _"
    ))]
    RandomPart,
    /// The ticket isn't valid.
    #[snafu(display("{source}"))]
    InvalidTicket {
        /// What is wrong with it.
        source: TicketError,
    },
    /// The ticket belongs to another service.
    #[snafu(display("the ticket was issued for the service {issued_for}"))]
    OtherService {
        /// The service that it was issued for.
        issued_for: ServiceName,
    },
}

impl ActionKeyError {
    /// Returns the refusal. It proves "not run" because every process refuses the
    /// same text of the same request for good.
    pub const fn not_run(&self) -> NotRun {
        let reason = match self {
            Self::NoSeparator | Self::RandomPart => NotRunReason::KeyMalformed,
            Self::InvalidTicket { .. } => NotRunReason::TicketInvalid,
            Self::OtherService { .. } => NotRunReason::TicketOfOtherService,
        };
        NotRun::proved(reason)
    }
}

/// Identifies an action, over all resends of it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ActionKey {
    ticket: Ticket,
    random_part: String,
}

impl ActionKey {
    /// Reads the key of a request to `service`.
    ///
    /// # Errors
    ///
    /// Fails if the text isn't a ticket for the service and a random part.
    pub fn parse(
        text: &str,
        service: &ServiceName,
        secret: &TicketSecret,
    ) -> Result<Self, ActionKeyError> {
        let (ticket, random_part) = text.split_once(KEY_SEPARATOR).context(NoSeparatorSnafu)?;
        ensure!(is_random_part(random_part), RandomPartSnafu);
        let ticket = Ticket::parse(ticket, secret).context(InvalidTicketSnafu)?;
        let issued_for = &ticket.claims().service;
        ensure!(
            issued_for == service,
            OtherServiceSnafu {
                issued_for: issued_for.clone()
            }
        );
        let random_part = random_part.to_owned();
        Ok(Self {
            ticket,
            random_part,
        })
    }

    /// Returns the ticket.
    #[must_use]
    pub const fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    /// Returns when the ticket ends, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn expires_unix_ms(&self) -> u64 {
        self.ticket.claims().expires_unix_ms
    }

    /// Returns a digest that stands for the key.
    #[must_use]
    pub fn id(&self) -> ActionId {
        let mut hasher = blake3::Hasher::new();
        hash_part(&mut hasher, self.ticket.as_str().as_bytes());
        hash_part(&mut hasher, self.random_part.as_bytes());
        ActionId(*hasher.finalize().as_bytes())
    }
}

impl fmt::Display for ActionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ticket = self.ticket.as_str();
        let random_part = &self.random_part;
        write!(f, "{ticket}{KEY_SEPARATOR}{random_part}")
    }
}

fn is_random_part(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=MAX_RANDOM_PART).contains(&text.len()) && text.bytes().all(allowed)
}

fn hash_part(hasher: &mut blake3::Hasher, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

/// Holds the digest of an action's key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ActionId([u8; blake3::OUT_LEN]);

/// Holds what makes two requests the same action.
#[derive(Clone, Copy, Debug)]
pub struct ActionRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path below the service, with the query.
    pub path: &'a str,
    /// Whole body.
    pub body: &'a [u8],
    /// Value of [`CALLER_HEADER`]; empty without it.
    pub caller: &'a [u8],
}

/// Holds the digest of a request, by which a key that was used for another request
/// is noticed. Neither the caller's address nor the path through entry VMs is in it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Fingerprint([u8; blake3::OUT_LEN]);

impl Fingerprint {
    /// Computes the fingerprint of a request that carries `key`.
    #[must_use]
    pub fn of(key: &ActionKey, request: &ActionRequest<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        let nonce = key.ticket.claims().nonce.to_le_bytes();
        hash_part(&mut hasher, &nonce);
        hash_part(&mut hasher, request.method.as_bytes());
        hash_part(&mut hasher, request.path.as_bytes());
        hash_part(&mut hasher, request.body);
        hash_part(&mut hasher, request.caller);
        Self(*hasher.finalize().as_bytes())
    }
}

/// Holds one header of a stored answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredHeader {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: Vec<u8>,
}

/// Holds a backend server's whole answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers in order.
    pub headers: Vec<StoredHeader>,
    /// Body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Returns the bytes that the answer occupies, without the allocator's share.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        headers + self.body.len()
    }
}

/// Holds why an action never ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedRefusal {
    /// Why.
    pub reason: NotRunReason,
    /// When it makes sense to try again, under a new key.
    pub retry_after: Option<Duration>,
}

impl From<NotRunReason> for RecordedRefusal {
    fn from(reason: NotRunReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

impl From<NotRun> for RecordedRefusal {
    fn from(not_run: NotRun) -> Self {
        Self {
            reason: not_run.reason(),
            retry_after: not_run.retry_after(),
        }
    }
}

impl RecordedRefusal {
    fn not_run(self) -> NotRun {
        let not_run = NotRun::proved(self.reason);
        match self.retry_after {
            Some(retry_after) => not_run.with_retry_after(retry_after),
            None => not_run,
        }
    }
}

/// Tells how an action ended, as far as a process knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ActionEnd {
    /// It ran, and this is the answer.
    Answer(Arc<StoredAnswer>),
    /// It never ran, and its key never will: a resend gets the same end, and the
    /// caller takes a new random part to try again.
    NotRun(RecordedRefusal),
    /// It may have run; it won't be run again.
    Unknown(UnknownReason),
}

impl ActionEnd {
    /// Returns the end of an action that never ran.
    pub fn not_run(refusal: impl Into<RecordedRefusal>) -> Self {
        Self::NotRun(refusal.into())
    }

    /// Returns what the caller is told.
    pub fn outcome(&self) -> Outcome<Arc<StoredAnswer>> {
        match self {
            Self::Answer(answer) => Outcome::Answer(Arc::clone(answer)),
            Self::NotRun(refusal) => refusal.not_run().into(),
            Self::Unknown(reason) => Unknown::new(*reason).into(),
        }
    }
}

/// Tells how far an action has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RecordState {
    /// The primary wants to dispatch it.
    Intent,
    /// It has ended.
    Ended(ActionEnd),
}

/// Carries the record of an action from the primary to the backup.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackupRecord {
    /// The action.
    pub key: ActionKey,
    /// What the caller asked for.
    pub fingerprint: Fingerprint,
    /// How far it has come.
    pub state: RecordState,
}

/// Tells why the backup didn't record an intent. The primary must not dispatch then.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
pub enum RecordRefusal {
    /// Somebody was told that the key never ran.
    #[snafu(display("the key is fenced"))]
    Fenced,
    /// The memory is full of records that must be kept.
    #[snafu(display("the store of actions is full"))]
    Full,
    /// The ticket is over by the backup's clock, so that a fence may be gone already.
    #[snafu(display("the ticket has expired"))]
    Expired,
    /// The ticket expires later than any that is issued now.
    #[snafu(display("the ticket expires too far in the future"))]
    AheadOfClock,
    /// The ticket names another session as backup.
    #[snafu(display("this session isn't the backup that the ticket names"))]
    NotBackup,
    /// The key stands for another request.
    #[snafu(display("the key stands for another request"))]
    Conflict,
}

/// Asks what became of an action.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActionQuery {
    /// The action.
    pub key: ActionKey,
    /// What the caller asked for; an answer is given to the same request only. `None`
    /// stands for a request that was refused before it was read as a whole: it gets no
    /// answer, but needs the fence as much before "not run" may be told.
    pub fingerprint: Option<Fingerprint>,
}

/// Returns what may be told to someone who asks for `asked_for`, of a record that was
/// made for `recorded` and ends with `end`.
pub(crate) fn match_request(
    recorded: &Fingerprint,
    asked_for: Option<&Fingerprint>,
    end: &ActionEnd,
) -> ActionEnd {
    match (asked_for, end) {
        // The record keeps another request from ever running under the key.
        (Some(asked_for), _) if asked_for != recorded => {
            ActionEnd::not_run(NotRunReason::KeyConflict)
        }
        (None, ActionEnd::Answer(_)) => ActionEnd::Unknown(UnknownReason::ActionRecorded),
        _ => end.clone(),
    }
}

/// Answers an [`ActionQuery`]. "Not run" in it stays true for good.
pub type Resolution = ActionEnd;
