//! Converts answers of actions to and from their stored form.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use heatherring_lib::action_record::ActionEnd;
use heatherring_lib::action_record::MAX_STORED_BODY;
use heatherring_lib::action_record::StoredAnswer;
use heatherring_lib::action_record::StoredHeader;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::OUTCOME_ANSWER;
use heatherring_lib::outcome::OUTCOME_NOT_RUN;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::outcome::Refusal;
use heatherring_lib::outcome::Unknown;
use heatherring_lib::outcome::UnknownReason;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::answer_body;
use crate::answer_body::AnswerBody;
use crate::answer_body::AnswerBodyError;
use crate::header;
use crate::refusal;
use crate::refusal::Refused;

/// Marks the primary's own result of an action; used between entry VMs only. A refusal without
/// this header, such as one for a session that has ended, proves nothing about the key: an
/// earlier copy of the action may have run.
const ACTION_END: HeaderName = HeaderName::from_static("heatherring-action-end");

/// An answer, read up to the size limit for stored answers.
pub enum Collected {
    /// The complete answer.
    Complete(StoredAnswer),
    /// The answer exceeds the limit; the response still yields all of its bytes and can be
    /// passed through.
    TooLarge(Response<AnswerBody>),
    /// The body ended with an error.
    Broken,
}

/// Reads an answer, up to [`MAX_STORED_BODY`] bytes of its body.
pub async fn collect(response: Response<AnswerBody>) -> Collected {
    let (head, mut body) = response.into_parts();
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Collected::Broken;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        content.extend_from_slice(&data);
        if content.len() > MAX_STORED_BODY {
            let read = content.freeze();
            let body = PrefixedBody { read, rest: body }.boxed_unsync();
            return Collected::TooLarge(Response::from_parts(head, body));
        }
    }
    Collected::Complete(store(&head, content.freeze()))
}

/// Body that yields the bytes read so far, then the remainder.
struct PrefixedBody {
    read: Bytes,
    rest: AnswerBody,
}

impl Body for PrefixedBody {
    type Data = Bytes;
    type Error = AnswerBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBodyError>>> {
        let this = self.get_mut();
        if this.read.is_empty() {
            return Pin::new(&mut this.rest).poll_frame(cx);
        }
        let read = std::mem::take(&mut this.read);
        Poll::Ready(Some(Ok(Frame::data(read))))
    }

    fn is_end_stream(&self) -> bool {
        self.read.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let read = self.read.len() as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + read);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + read);
        }
        hint
    }
}

fn store(head: &Parts, body: Bytes) -> StoredAnswer {
    let headers = head.headers.iter().map(|(name, value)| StoredHeader {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    StoredAnswer {
        status: head.status.as_u16(),
        headers: headers.collect(),
        body: body.into(),
    }
}

fn restore(stored: &StoredAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(answer_body::full(stored.body.clone()));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or_default();
    let headers = response.headers_mut();
    for header in &stored.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers.insert(header::OUTCOME, HeaderValue::from_static(OUTCOME_ANSWER));
    response
}

/// Returns the outcome that a caller receives for an action that has ended.
pub fn outcome_of(end: &ActionEnd) -> Outcome<Response<AnswerBody>> {
    end.outcome().map(|stored| restore(&stored))
}

/// Encodes the primary's result so that the forwarding entry VM can tell it from a refusal on
/// the way.
#[must_use]
pub fn encode_primary_outcome(outcome: Outcome<Response<AnswerBody>>) -> Response<AnswerBody> {
    let refused = match outcome {
        Outcome::Answer(response) => return response,
        Outcome::NotRun(not_run) => Refused::from(not_run),
        Outcome::Unknown(unknown) => Refused::from(unknown),
    };
    let mut response = refusal::to_entry(&refused);
    let headers = response.headers_mut();
    headers.insert(ACTION_END, HeaderValue::from_static(refused.outcome()));
    headers.insert(header::OUTCOME, HeaderValue::from_static(OUTCOME_ANSWER));
    response
}

/// Decodes a result that [`encode_primary_outcome`] has written.
pub fn decode_primary_outcome(response: Response<AnswerBody>) -> Outcome<Response<AnswerBody>> {
    let headers = response.headers();
    let Some(end) = header::text(headers, &ACTION_END) else {
        return Outcome::Answer(response);
    };
    let reason = header::text(headers, &header::REASON).unwrap_or_default();
    let retry_after = header::number(headers, &header::RETRY_AFTER_MS)
        .flatten()
        .map(std::time::Duration::from_millis);
    let refusal = NotRunReason::parse(reason)
        .filter(|_| end == OUTCOME_NOT_RUN)
        .and_then(|reason| Refusal::of_entry(Some(OUTCOME_NOT_RUN), reason, retry_after));
    if let Some(refusal) = refusal {
        let answered = Attempt::new().sending().answered_on_stream();
        return answered.refused(refusal).into();
    }
    let reason = UnknownReason::parse(reason).unwrap_or(UnknownReason::OwnerLost);
    Unknown::new(reason).into()
}
