//! Simple answers to calls: a status, a text or a JSON value.

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use serde::Serialize;

use crate::answer_body;
use crate::answer_body::AnswerBody;
use crate::fleet_control::FleetError;
use crate::metric;
use crate::service_gate::NOT_STARTED;

/// Seconds after which a call is to be repeated: an election takes about one, as does joining, and the
/// header can state no less.
const RETRY_AFTER_SECS: u16 = 1;

/// Builds an answer with a status and no body.
#[must_use]
pub fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(answer_body::empty());
    *response.status_mut() = status;
    response
}

/// Builds an answer with a status and a human-readable text.
#[must_use]
pub fn text(status: StatusCode, text: String) -> Response<AnswerBody> {
    let mut response = Response::new(answer_body::full(text));
    *response.status_mut() = status;
    response
}

/// Builds the answer to a readiness check.
#[must_use]
pub fn ready(ready: bool) -> Response<AnswerBody> {
    status(if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

/// Builds the answer to an order that control cannot carry out, now or at all. One that is proved not
/// to be run says when to come back.
#[must_use]
pub fn failed(error: &FleetError) -> Response<AnswerBody> {
    match error {
        FleetError::Announcement { .. } => text(StatusCode::BAD_REQUEST, error.to_string()),
        error if error.is_not_run() => come_back(format!("not run: {error}")),
        error => text(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("the outcome is unknown: {error}"),
        ),
    }
}

/// Builds the answer to a call that reads and changes nothing, and that control cannot answer now.
#[must_use]
pub fn unread(error: &FleetError) -> Response<AnswerBody> {
    come_back(error.to_string())
}

fn come_back(reason: String) -> Response<AnswerBody> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, reason);
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECS));
    response
}

/// Builds the answer to a call at a replica that has not joined yet.
#[must_use]
pub fn unstarted() -> Response<AnswerBody> {
    come_back(NOT_STARTED.to_owned())
}

/// Builds the answer to an announcement that cannot be decoded. It does not identify a backend
/// server reliably, so what is known of any stays unchanged.
#[must_use]
pub fn unreadable_announcement(error: &serde_json::Error) -> Response<AnswerBody> {
    metric::announcement_refused();
    log::warn!(event = "announcement_refused", error:% = error; "an announcement could not be decoded");
    text(StatusCode::BAD_REQUEST, error.to_string())
}

/// Builds an answer with a JSON value.
#[must_use]
pub fn json(value: &impl Serialize) -> Response<AnswerBody> {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut response = Response::new(answer_body::full(body));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            log::error!(event = "reply_unencodable", error:% = error; "an answer could not be serialised to JSON");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
