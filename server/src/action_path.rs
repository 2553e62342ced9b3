//! The way of a request that must run at most once, beside that of the others.

use std::sync::Arc;

use heatherring_lib::id::ServiceName;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::view::EntrySession;
use http::Response;

use crate::answer_body::AnswerBody;
use crate::entry_context::EntryContext;
use crate::entry_state::EntryState;
use crate::header;
use crate::request_path;
use crate::request_path::ServiceRequest;

/// Runs a caller's request, whichever kind its operation is of.
pub async fn run(cx: &Arc<EntryContext>, req: &ServiceRequest) -> Outcome<Response<AnswerBody>> {
    let idempotent = req.operation().is_some_and(|found| found.idempotent);
    if idempotent {
        return request_path::run(cx, req, Attempt::new()).await;
    }
    let has_key = req.outgoing.headers.contains_key(header::IDEMPOTENCY_KEY);
    let reason = if has_key {
        NotRunReason::NoBackup
    } else {
        NotRunReason::KeyMissing
    };
    Attempt::new().refuse(reason).into()
}

/// Issues the ticket of a look-up that names `primary`.
#[must_use]
pub const fn ticket(
    _cx: &Arc<EntryContext>,
    _state: &EntryState,
    _service: &ServiceName,
    _primary: &EntrySession,
) -> Option<String> {
    None
}
