//! Records of actions, as primary and backup store and exchange them.

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

/// Maximum length of the caller's random part of a key, in characters.
pub const MAX_RANDOM_PART: usize = 128;

/// Maximum size of an answer's body that is stored for resends, in bytes. Larger answers are
/// forwarded, and resends are told that the answer was too large to store.
pub const MAX_STORED_BODY: usize = 256 * 1_024;

/// Separator between the ticket and the caller's random part in a key.
pub const KEY_SEPARATOR: char = '.';

/// Header that carries a key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Optional header that identifies a caller among others that share the result of a look-up.
pub const CALLER_HEADER: &str = "heatherring-caller";

/// Reason why a text is not the key of an action.
#[derive(Debug, Snafu)]
pub enum ActionKeyError {
    /// There is no separator.
    #[snafu(display("an idempotency key has the form {{ticket}}.{{random part}}"))]
    NoSeparator,
    /// The random part is empty, too long or contains other characters.
    #[snafu(display(
        "the random part must have 1 to {MAX_RANDOM_PART} characters from A-Z, a-z, 0-9, - and _"
    ))]
    RandomPart,
    /// The ticket is not valid.
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
    /// Returns the refusal. It proves "not run", since every process refuses the same text of the
    /// same request permanently.
    pub const fn not_run(&self) -> NotRun {
        let reason = match self {
            Self::NoSeparator | Self::RandomPart => NotRunReason::KeyMalformed,
            Self::InvalidTicket { .. } => NotRunReason::TicketInvalid,
            Self::OtherService { .. } => NotRunReason::TicketOfOtherService,
        };
        NotRun::proved(reason)
    }
}

/// Identifies an action across all resends of it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ActionKey {
    ticket: Ticket,
    random_part: String,
}

impl ActionKey {
    /// Parses the key of a request to `service`.
    ///
    /// # Errors
    ///
    /// Fails if the text does not consist of a ticket for the service and a random part.
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

    /// Returns when the ticket expires, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn expires_unix_ms(&self) -> u64 {
        self.ticket.claims().expires_unix_ms
    }

    /// Returns the digest that identifies the key.
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

/// Digest of an action's key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ActionId([u8; blake3::OUT_LEN]);

/// The parts of a request that must be equal for two requests to be the same action.
#[derive(Clone, Copy, Debug)]
pub struct ActionRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path relative to the service, including the query.
    pub path: &'a str,
    /// Whole body.
    pub body: &'a [u8],
    /// Value of [`CALLER_HEADER`]; empty if the header is absent.
    pub caller: &'a [u8],
}

/// Digest of a request, used to detect that a key is reused for another request. It covers neither
/// the caller's address nor the entry VMs that the request passed through.
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

/// A header of a stored answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredHeader {
    /// Name, in lower case.
    pub name: String,
    /// The value.
    pub value: Vec<u8>,
}

/// A backend server's complete answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, in the order received.
    pub headers: Vec<StoredHeader>,
    /// Body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Returns the size of the headers and the body in bytes, without allocator overhead.
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

/// Reason why an action never ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedRefusal {
    /// Reason for the refusal.
    pub reason: NotRunReason,
    /// Time after which the caller should retry, under a new key. `None` if unknown.
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

/// How an action ended, as far as a process knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ActionEnd {
    /// It ran and returned this answer.
    Answer(Arc<StoredAnswer>),
    /// It never ran, and its key never will run: a resend gets the same end. To try again, the
    /// caller chooses a new random part.
    NotRun(RecordedRefusal),
    /// It may have run; it will not be run again.
    Unknown(UnknownReason),
}

impl ActionEnd {
    /// Returns the end of an action that never ran, for this reason.
    pub fn not_run(refusal: impl Into<RecordedRefusal>) -> Self {
        Self::NotRun(refusal.into())
    }

    /// Returns the outcome that is reported to the caller.
    pub fn outcome(&self) -> Outcome<Arc<StoredAnswer>> {
        match self {
            Self::Answer(answer) => Outcome::Answer(Arc::clone(answer)),
            Self::NotRun(refusal) => refusal.not_run().into(),
            Self::Unknown(reason) => Unknown::new(*reason).into(),
        }
    }
}

/// State of an action in its record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RecordState {
    /// The primary intends to dispatch it.
    Intent,
    /// It has ended.
    Ended(ActionEnd),
}

/// Record of an action that the primary sends to the backup.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackupRecord {
    /// The action.
    pub key: ActionKey,
    /// Digest of the caller's request.
    pub fingerprint: Fingerprint,
    /// State of the action at the primary.
    pub state: RecordState,
}

/// Reason why the backup did not record an intent. The primary must not dispatch the action then.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
pub enum RecordRefusal {
    /// A caller was told that the key never ran.
    #[snafu(display("the key is fenced"))]
    Fenced,
    /// The store is full of records that must be kept.
    #[snafu(display("the action store is full"))]
    Full,
    /// The ticket has expired by the backup's clock, so a fence for the key may have been dropped.
    #[snafu(display("the ticket has expired"))]
    Expired,
    /// The ticket expires later than any ticket that could be issued now.
    #[snafu(display("the ticket expires too far in the future"))]
    AheadOfClock,
    /// The ticket names another session as backup.
    #[snafu(display("this session is not the backup that the ticket names"))]
    NotBackup,
    /// The key is recorded for a different request.
    #[snafu(display("the key is recorded for a different request"))]
    Conflict,
}

/// Query for the end of an action.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActionQuery {
    /// The action.
    pub key: ActionKey,
    /// Digest of the caller's request; a stored answer is returned to the same request only. `None`
    /// for a request that was refused before it was read completely: it gets no stored answer, but
    /// still needs a fence before "not run" may be reported.
    pub fingerprint: Option<Fingerprint>,
}

/// Returns the end that may be reported for `requested`, given a record that was made for
/// `recorded` and ended with `end`.
pub(crate) fn match_request(
    recorded: &Fingerprint,
    requested: Option<&Fingerprint>,
    end: &ActionEnd,
) -> ActionEnd {
    match (requested, end) {
        // The record prevents any other request from running under this key.
        (Some(requested), _) if requested != recorded => {
            ActionEnd::not_run(NotRunReason::KeyConflict)
        }
        (None, ActionEnd::Answer(_)) => ActionEnd::Unknown(UnknownReason::ActionRecorded),
        _ => end.clone(),
    }
}

/// Answer to an [`ActionQuery`]. If it is "not run", it stays true permanently.
pub type Resolution = ActionEnd;
