//! Answers to requests that were refused or have an unknown outcome.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::Identified;
use heatherring_lib::outcome::NotRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::OUTCOME_ANSWER;
use heatherring_lib::outcome::OUTCOME_NOT_RUN;
use heatherring_lib::outcome::OUTCOME_UNKNOWN;
use heatherring_lib::outcome::Refusal as EntryRefusal;
use heatherring_lib::outcome::Unknown;
use heatherring_lib::outcome::UnknownReason;
use http::HeaderMap;
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

/// Retry delay after a refusal whose cause does not define one.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// The request was not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Unknown),
}

impl From<NotRun> for Refused {
    fn from(not_run: NotRun) -> Self {
        Self::NotRun(not_run)
    }
}

impl From<Unknown> for Refused {
    fn from(unknown: Unknown) -> Self {
        Self::Unknown(unknown)
    }
}

impl Refused {
    /// Returns the value of the outcome header.
    #[must_use]
    pub const fn outcome(&self) -> &'static str {
        match self {
            Self::NotRun(_) => OUTCOME_NOT_RUN,
            Self::Unknown(_) => OUTCOME_UNKNOWN,
        }
    }

    /// Returns the reason code, as written in the JSON body.
    #[must_use]
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::NotRun(not_run) => not_run.reason().as_str(),
            Self::Unknown(unknown) => unknown.reason().as_str(),
        }
    }

    /// Returns the HTTP status of the answer.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        let status = match self {
            Self::NotRun(not_run) => not_run.reason().status(),
            Self::Unknown(unknown) => unknown.reason().status(),
        };
        StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Returns the delay after which the caller may retry; `None` where the request itself is at
    /// fault or may have run, so that a retry is of no use.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun(not_run)
                if matches!(
                    self.status(),
                    StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
                ) =>
            {
                Some(not_run.retry_after().unwrap_or(DEFAULT_RETRY_AFTER))
            }
            _ => None,
        }
    }
}

/// JSON body of a refusal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RefusalBody {
    /// `not_run` or `unknown`.
    pub outcome: String,
    /// The reason code, in snake case.
    pub reason: String,
    /// The reason, as human-readable text.
    pub message: String,
    /// Delay after which the caller may retry, in milliseconds; 0 where a retry is of no use.
    pub retry_after_ms: u64,
    /// Addresses of other entry VMs that may serve the request.
    pub entries: Vec<SocketAddr>,
    /// Identifies the request in the logs of all VMs that handled it.
    pub request_id: String,
}

/// Builds the answer to a caller. It is sent at once, whatever time is left until the deadline.
///
/// # Panics
///
/// Panics if the refusal cannot be serialised to JSON, which its type rules out.
#[must_use]
pub fn to_caller(
    refused: &Refused,
    request_id: &str,
    entries: Vec<SocketAddr>,
) -> Response<AnswerBody> {
    let retry_after = refused.retry_after();
    let body = RefusalBody {
        outcome: refused.outcome().to_owned(),
        reason: refused.reason().to_owned(),
        message: message(refused),
        retry_after_ms: retry_after.map_or(0, whole_ms),
        entries,
        request_id: request_id.to_owned(),
    };
    let content = serde_json::to_vec(&body).expect("a refusal contains only strings and numbers");
    let mut response = Response::new(answer_body::full(Bytes::from(content)));
    *response.status_mut() = refused.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(header::OUTCOME, HeaderValue::from_static(refused.outcome()));
    if let Some(retry_after) = retry_after {
        // The header's unit is seconds; rounding down would make the caller retry too early, and
        // at once if rounded to 0.
        let seconds = whole_ms(retry_after).div_ceil(1_000).max(1);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Ok(request_id) = HeaderValue::from_str(request_id) {
        headers.insert(header::REQUEST_ID, request_id);
    }
    response
}

fn message(refused: &Refused) -> String {
    let reason = refused.reason().replace('_', " ");
    match refused {
        Refused::NotRun(_) => format!("the request was not run: {reason}"),
        Refused::Unknown(_) => {
            format!("the request may have run and will not be run again: {reason}")
        }
    }
}

/// Builds the answer to another entry VM, which reads it with [`from_entry`].
#[must_use]
pub fn to_entry(refused: &Refused) -> Response<AnswerBody> {
    let mut response = Response::new(answer_body::empty());
    *response.status_mut() = refused.status();
    let headers = response.headers_mut();
    headers.insert(header::OUTCOME, HeaderValue::from_static(refused.outcome()));
    headers.insert(header::REASON, HeaderValue::from_static(refused.reason()));
    if let Some(retry_after) = refused.retry_after() {
        let millis = HeaderValue::from(whole_ms(retry_after));
        headers.insert(header::RETRY_AFTER_MS, millis);
    }
    response
}

/// Ends an attempt with the refusal that another entry VM sent, if `headers` belong to one.
///
/// A refusal with an unknown reason counts as "unknown": "not run" must be proved.
///
/// # Errors
///
/// Returns the attempt if the headers belong to an answer.
pub fn from_entry(
    headers: &HeaderMap,
    attempt: Attempt<Identified>,
) -> Result<Refused, Attempt<Identified>> {
    let outcome = header::text(headers, header::OUTCOME);
    if outcome == Some(OUTCOME_ANSWER) {
        return Err(attempt);
    }
    let reason = header::text(headers, header::REASON).unwrap_or_default();
    let retry_after = header::number(headers, &header::RETRY_AFTER_MS)
        .flatten()
        .map(Duration::from_millis);
    let refusal = NotRunReason::parse(reason)
        .and_then(|reason| EntryRefusal::of_entry(outcome, reason, retry_after));
    if let Some(refusal) = refusal {
        return Ok(attempt.refused(refusal).into());
    }
    let reason = UnknownReason::parse(reason).unwrap_or(UnknownReason::OwnerLost);
    Ok(attempt.lost(reason).into())
}
