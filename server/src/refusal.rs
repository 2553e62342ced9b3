//! Final answers to requests that weren't served, in their typed form.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use serde::Deserialize;
use serde::Serialize;

use crate::answer_body;
use crate::answer_body::AnswerBody;
use crate::header;

/// Tells whether a request that got no answer may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalOutcome {
    /// It is proved that the request didn't run and won't.
    NotRun,
    /// The request may have run; it won't be run again.
    Unknown,
}

impl RefusalOutcome {
    /// Returns the outcome as it stands in the header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Names the reasons for which a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The path is neither a look-up nor a request to a service.
    NotFound,
    /// The manifest has no such service.
    UnknownService,
    /// The service has no operation for this method and path.
    UnknownOperation,
    /// The method isn't allowed here.
    MethodNotAllowed,
    /// A header of the request can't be read.
    BadHeader,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body broke off or didn't arrive in time.
    BodyIncomplete,
    /// An action came without a key.
    KeyRequired,
    /// The key can't be read, or its ticket has a wrong form.
    BadKey,
    /// The key was used before with another content.
    KeyConflict,
    /// The ticket has expired; what became of its actions isn't known any more.
    TicketExpired,
    /// The entry VM has no lease or no manifest: it serves nothing.
    NoLease,
    /// The entry VM is stopping.
    Stopping,
    /// No backend server of the service can be reached.
    NoBackendServer,
    /// Everything that could answer in time is busy.
    Overloaded,
    /// A cap on shifts, or a limit of a link, allows no more just now.
    ShiftCap,
    /// What was to serve it is being drained.
    Draining,
    /// The deadline passed before the request could be dispatched.
    DeadlinePassed,
    /// The backend server refused before running the request.
    RefusedByBackendServer,
    /// The backend server, or the entry VM in between, broke off.
    BrokenOff,
    /// No answer came within the deadline.
    DeadlineExceeded,
    /// The record of the action couldn't be made or read.
    RecordUnavailable,
}

impl RefusalReason {
    fn status(self, outcome: RefusalOutcome) -> StatusCode {
        match (self, outcome) {
            (Self::DeadlineExceeded, RefusalOutcome::Unknown) => StatusCode::GATEWAY_TIMEOUT,
            (_, RefusalOutcome::Unknown) => StatusCode::BAD_GATEWAY,
            (Self::NotFound | Self::UnknownService | Self::UnknownOperation, _) => {
                StatusCode::NOT_FOUND
            }
            (Self::MethodNotAllowed, _) => StatusCode::METHOD_NOT_ALLOWED,
            (Self::BadHeader | Self::BadKey | Self::BodyIncomplete, _) => StatusCode::BAD_REQUEST,
            (Self::BodyTooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
            (Self::KeyRequired, _) => StatusCode::PRECONDITION_REQUIRED,
            (Self::KeyConflict, _) => StatusCode::CONFLICT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Holds a refusal as it is written into the body of the answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: RefusalOutcome,
    /// Why it is refused.
    pub reason: RefusalReason,
    /// The reason, for people.
    pub message: String,
    /// When to come back, in milliseconds; 0 where coming back is of no use.
    pub retry_after_ms: u64,
    /// Addresses of other entry VMs that may serve the request.
    pub entries: Vec<String>,
    /// Identifies the request in the logs of all VMs that saw it.
    pub request_id: String,
}

impl Refusal {
    /// Refuses a request that is proved not to have run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, message: impl Into<String>, retry: Duration) -> Self {
        Self::new(RefusalOutcome::NotRun, reason, message, retry)
    }

    /// Reports a request that may have run.
    #[must_use]
    pub fn unknown(reason: RefusalReason, message: impl Into<String>, retry: Duration) -> Self {
        Self::new(RefusalOutcome::Unknown, reason, message, retry)
    }

    fn new(
        outcome: RefusalOutcome,
        reason: RefusalReason,
        message: impl Into<String>,
        retry: Duration,
    ) -> Self {
        Self {
            outcome,
            reason,
            message: message.into(),
            retry_after_ms: u64::try_from(retry.as_millis()).unwrap_or(u64::MAX),
            entries: Vec::new(),
            request_id: String::new(),
        }
    }

    /// Returns the status of the answer.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.reason.status(self.outcome)
    }

    /// Builds the answer. It is made at once, whatever is left of the deadline.
    ///
    /// # Panics
    ///
    /// Panics if the refusal can't be written as JSON, which its type rules out.
    #[must_use]
    pub fn into_response(self) -> Response<AnswerBody> {
        let content = serde_json::to_vec(&self).expect("a refusal has only text and numbers");
        let mut response = Response::new(answer_body::full(Bytes::from(content)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(
            header::OUTCOME,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        if self.retry_after_ms > 0 {
            // Seconds are the header's unit; rounding down would bring the caller
            // back too early.
            let seconds = self.retry_after_ms.div_ceil(1_000);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Ok(request_id) = HeaderValue::from_str(&self.request_id) {
            headers.insert(header::REQUEST_ID, request_id);
        }
        response
    }
}
