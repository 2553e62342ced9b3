//! Handles requests that must run at most once (actions).
//!
//! The idempotency key names the primary. The entry VM that receives the request runs it if it
//! is the primary and forwards it there otherwise. If the primary is unreachable or frozen, the
//! backup reports what became of the key, and fences the key if it has no record of it.

use std::sync::Arc;

use heatherring_lib::action_record::ActionEnd;
use heatherring_lib::action_record::ActionKey;
use heatherring_lib::action_record::ActionKeyError;
use heatherring_lib::action_record::ActionQuery;
use heatherring_lib::action_record::ActionRequest;
use heatherring_lib::action_record::Fingerprint;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::SessionId;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::outcome::Unknown;
use heatherring_lib::outcome::UnknownReason;
use heatherring_lib::ticket::TicketSecret;
use heatherring_lib::ticket_issue::TicketRequest;
use heatherring_lib::ticket_issue::choose_backup;
use heatherring_lib::ticket_issue::issue_ticket;
use heatherring_lib::view::EntrySession;
use http::HeaderMap;
use http::Response;

use crate::action_answer;
use crate::action_peer;
use crate::action_run;
use crate::action_run::ActionStart;
use crate::action_task::ActionAdmission;
use crate::answer_body::AnswerBody;
use crate::entry_context::EntryContext;
use crate::entry_state::EntryState;
use crate::forward_client::ForwardHead;
use crate::forward_client::ForwardPurpose;
use crate::header;
use crate::refusal::Refused;
use crate::request_path;
use crate::request_path::MAX_HOPS;
use crate::request_path::ServiceRequest;

/// Runs a caller's request, whether its operation is idempotent or an action.
pub async fn run(cx: &Arc<EntryContext>, req: &ServiceRequest) -> Outcome<Response<AnswerBody>> {
    let idempotent = req.operation().is_some_and(|found| found.idempotent);
    if idempotent {
        return request_path::run(cx, req, Attempt::new()).await;
    }
    let action = match Action::read(cx, req) {
        Ok(action) => action,
        Err(not_run) => return not_run.into(),
    };
    match action.run_here(cx, req).await {
        Some(outcome) => outcome,
        None => action.run_elsewhere(cx, req).await,
    }
}

/// Runs an action that another entry VM has forwarded to its primary. The primary's result is
/// marked, so that the forwarding entry VM can tell it from a refusal on the way.
pub async fn run_forwarded(
    cx: &Arc<EntryContext>,
    req: &ServiceRequest,
) -> Outcome<Response<AnswerBody>> {
    let action = match Action::read(cx, req) {
        Ok(action) => action,
        Err(not_run) => return not_run.into(),
    };
    match action.run_here(cx, req).await {
        Some(outcome) => Outcome::Answer(action_answer::encode_primary_outcome(outcome)),
        None => Attempt::new().refuse(NotRunReason::NotOwner).into(),
    }
}

/// Converts a refusal made before the request was read into one that also holds for its key: an
/// earlier copy of the action may have run, or may still arrive.
pub async fn refuse_unread(
    cx: &EntryContext,
    service: &ServiceName,
    headers: &HeaderMap,
    not_run: NotRun,
) -> Refused {
    let key = match read_key(cx, service, headers) {
        Ok(Some(key)) => key,
        // A request with such a key runs nowhere.
        Ok(None) | Err(KeyFault::Invalid(_)) => return not_run.into(),
        Err(KeyFault::NoCluster) => {
            return Unknown::new(UnknownReason::RecordsUnreachable).into();
        }
    };
    let query = ActionQuery {
        key,
        fingerprint: None,
    };
    match action_peer::resolve(cx, &query).await.outcome() {
        Outcome::NotRun(_) => not_run.into(),
        Outcome::Unknown(unknown) => unknown.into(),
        Outcome::Answer(_) => Unknown::new(UnknownReason::ActionRecorded).into(),
    }
}

/// Issues the ticket of a look-up that names `primary`; `None` if no other process of the region
/// can keep the backup record.
#[must_use]
pub fn ticket(
    cx: &EntryContext,
    state: &EntryState,
    service: &ServiceName,
    primary: &EntrySession,
) -> Option<String> {
    let secret = TicketSecret::derive(state.cluster?);
    let request = TicketRequest {
        service,
        primary,
        nonce: rand::random(),
        now_unix_ms: cx.actions.unix_ms(),
    };
    let ticket = issue_ticket(&state.view, &request, &secret)?;
    Some(ticket.as_str().to_owned())
}

/// Why an idempotency key could not be read.
enum KeyFault {
    /// This process has not yet learned which cluster it belongs to.
    NoCluster,
    /// The key is not valid for this cluster and service.
    Invalid(ActionKeyError),
}

fn read_key(
    cx: &EntryContext,
    service: &ServiceName,
    headers: &HeaderMap,
) -> Result<Option<ActionKey>, KeyFault> {
    let Some(value) = headers.get(header::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let cluster = cx.state.read().cluster.ok_or(KeyFault::NoCluster)?;
    let secret = TicketSecret::derive(cluster);
    let text = value.to_str().unwrap_or_default();
    let key = ActionKey::parse(text, service, &secret).map_err(KeyFault::Invalid)?;
    Ok(Some(key))
}

/// Returns why an action has no key: either its caller sent none, or the caller had no ticket to
/// derive one from because no second process can keep the record.
fn missing_key_reason(cx: &EntryContext) -> NotRunReason {
    let state = cx.state.read();
    let own = state
        .lease
        .session()
        .and_then(|own| state.view.sessions.get(&own));
    match own.and_then(|own| choose_backup(&state.view, own, 0)) {
        Some(_) => NotRunReason::KeyMissing,
        None => NotRunReason::NoBackup,
    }
}

/// An action with a verified key.
struct Action {
    key: ActionKey,
    fingerprint: Fingerprint,
}

impl Action {
    fn read(cx: &EntryContext, req: &ServiceRequest) -> Result<Self, NotRun> {
        let headers = &req.outgoing.headers;
        let key = match read_key(cx, &req.service, headers) {
            Ok(Some(key)) => key,
            Ok(None) => return Err(Attempt::new().refuse(missing_key_reason(cx))),
            Err(KeyFault::Invalid(error)) => {
                log::debug!(event = "action_key_refused", request_id = req.outgoing.request_id.as_str(), error = error.to_string().as_str(); "the idempotency key of an action is not usable");
                return Err(error.not_run());
            }
            // No request is served before the cluster is known.
            Err(KeyFault::NoCluster) => {
                return Err(Attempt::new().refuse(NotRunReason::NoManifest));
            }
        };
        let caller = headers.get(header::CALLER);
        let request = ActionRequest {
            method: req.outgoing.method.as_str(),
            path: &req.outgoing.path,
            body: &req.outgoing.body,
            caller: caller.map_or(&[], |value| value.as_bytes()),
        };
        let fingerprint = Fingerprint::of(&key, &request);
        Ok(Self { key, fingerprint })
    }

    /// Runs the action if this process is its primary.
    async fn run_here(
        &self,
        cx: &Arc<EntryContext>,
        req: &ServiceRequest,
    ) -> Option<Outcome<Response<AnswerBody>>> {
        match cx.actions.admit(self.key.clone(), self.fingerprint).await {
            ActionAdmission::NotPrimary => None,
            ActionAdmission::Start { slot, intent, end } => {
                let start = ActionStart { slot, intent, end };
                Some(action_run::run(cx, req, start).await)
            }
            ActionAdmission::Wait(end) => Some(action_run::wait(cx, req, end).await),
            ActionAdmission::Ended(end) => Some(action_answer::outcome_of(&end)),
        }
    }

    /// Forwards the action to its primary, and queries the backup if that fails.
    async fn run_elsewhere(
        &self,
        cx: &Arc<EntryContext>,
        req: &ServiceRequest,
    ) -> Outcome<Response<AnswerBody>> {
        let primary = self.key.ticket().claims().primary.session;
        if let Some(Outcome::Answer(response)) = forward(cx, req, primary).await {
            return action_answer::decode_primary_outcome(response);
        }
        // The primary returned no result. That this copy did not reach it proves nothing about
        // earlier copies.
        let query = ActionQuery {
            key: self.key.clone(),
            fingerprint: Some(self.fingerprint),
        };
        let end = action_peer::resolve(cx, &query).await;
        log_resolved(req, &end);
        action_answer::outcome_of(&end)
    }
}

async fn forward(
    cx: &Arc<EntryContext>,
    req: &ServiceRequest,
    primary: SessionId,
) -> Option<Outcome<Response<AnswerBody>>> {
    let hops = req.hops + 1;
    if hops > MAX_HOPS {
        return None;
    }
    let to = cx.state.session(primary)?.info;
    let head = ForwardHead {
        service: req.service.clone(),
        operation: req.operation()?.name.clone(),
        origin: req.origin.clone(),
        session: primary,
        hops,
        purpose: ForwardPurpose::Primary,
    };
    let now = cx.now();
    let sending = cx
        .forward
        .send(&to, &head, &req.outgoing, Attempt::new(), now);
    Some(sending.await)
}

fn log_resolved(req: &ServiceRequest, end: &ActionEnd) {
    let told = match end {
        ActionEnd::Answer(_) => "answer",
        ActionEnd::NotRun(refusal) => refusal.reason.as_str(),
        ActionEnd::Unknown(reason) => reason.as_str(),
    };
    log::info!(event = "action_resolved", request_id = req.outgoing.request_id.as_str(), told = told; "the primary of an action did not answer; resolved at its backup");
}
