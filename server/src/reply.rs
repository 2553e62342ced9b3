//! Plain answers to calls: a status, a text, a value in JSON.

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Serialize;

use crate::answer_body;
use crate::answer_body::AnswerBody;
use crate::fleet_control::FleetError;
use crate::metric;

/// Answers with a status alone.
#[must_use]
pub fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(answer_body::empty());
    *response.status_mut() = status;
    response
}

/// Answers with a status and a text for people.
#[must_use]
pub fn text(status: StatusCode, text: String) -> Response<AnswerBody> {
    let mut response = Response::new(answer_body::full(text));
    *response.status_mut() = status;
    response
}

/// Answers whether a process takes requests.
#[must_use]
pub fn ready(ready: bool) -> Response<AnswerBody> {
    status(if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

/// Answers that control can't do now what it was asked, or won't ever.
#[must_use]
pub fn failed(error: &FleetError) -> Response<AnswerBody> {
    let code = match error {
        FleetError::Announcement { .. } => StatusCode::BAD_REQUEST,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    text(code, error.to_string())
}

/// Answers a backend server whose announcement can't be read. It names none to use; what is
/// known stays as it is.
#[must_use]
pub fn unreadable_announcement(error: &serde_json::Error) -> Response<AnswerBody> {
    metric::announcement_refused();
    log::warn!(event = "announcement_refused", error:% = error; "what was announced can't be read");
    text(StatusCode::BAD_REQUEST, error.to_string())
}

/// Answers with a value in JSON.
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
            log::error!(event = "reply_unencodable", error:% = error; "an answer can't be written as JSON");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
