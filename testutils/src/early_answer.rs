//! Answers that are written before any request was read.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::Full;

use crate::answer_fault::EarlyAnswerKind;
use crate::echo;
use crate::echo::AnswerHead;
use crate::echo::answer_body;
use crate::raw_answer;

/// Identifier that no request bears.
const OTHER_NAME: &str = "not-asked-for";

/// Renders an early answer; a successful one has the form of an answer of `backend`.
pub(crate) async fn to_bytes(kind: EarlyAnswerKind, backend: &str, place: &str) -> Bytes {
    let response = match kind {
        EarlyAnswerKind::UnnamedRefusal => refusal(None),
        EarlyAnswerKind::EmptyNameRefusal => refusal(Some("")),
        EarlyAnswerKind::OtherNameRefusal => refusal(Some(OTHER_NAME)),
        EarlyAnswerKind::Misdirected => of_status(StatusCode::MISDIRECTED_REQUEST),
        EarlyAnswerKind::UnnamedAnswer => Response::new(Full::new(
            answer_body(&AnswerHead {
                nonce: OTHER_NAME.to_owned(),
                digest: String::new(),
                backend: backend.to_owned(),
                place: place.to_owned(),
                filler_bytes: 0,
            })
            .into(),
        )),
    };
    raw_answer::whole(&response).await
}

fn of_status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn refusal(name: Option<&'static str>) -> Response<Full<Bytes>> {
    let mut response = of_status(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    let not_run = HeaderValue::from_static(echo::NOT_RUN);
    headers.insert(echo::OUTCOME_HEADER, not_run);
    if let Some(name) = name {
        let name = HeaderValue::from_static(name);
        headers.insert(echo::REQUEST_ID_HEADER, name);
    }
    response
}
