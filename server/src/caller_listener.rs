//! Handles callers' look-ups and requests.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::ServiceName;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::rendezvous;
use heatherring_lib::start_wait;
use heatherring_lib::view::EntrySession;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use http::header::CACHE_CONTROL;
use http::header::CONTENT_TYPE;
use serde::Serialize;

use crate::action_path;
use crate::answer_body;
use crate::answer_body::AnswerBody;
use crate::decision_recorder;
use crate::dispatcher::OutgoingRequest;
use crate::entry_context::EntryContext;
use crate::entry_metrics;
use crate::entry_metrics::CallKind;
use crate::entry_state::EntryState;
use crate::header;
use crate::http_server::Arrival;
use crate::http_server::Handler;
use crate::refusal;
use crate::refusal::Refused;
use crate::request_body;
use crate::request_body::RequestBody;
use crate::request_path;
use crate::request_path::ServiceRequest;

const LOOK_UP_PREFIX: &str = "/lookup/";
const SERVICE_PREFIX: &str = "/svc/";

/// Time for which a request waits for the first session of an entry VM that has just started.
/// Other entry VMs learn of the session at the same time, and may name this one in look-ups
/// before its own update arrives. Callers that are refused retry a second later.
const FIRST_SESSION_WAIT: Duration = Duration::from_millis(500);

/// Answers callers' look-ups and requests.
#[derive(Clone, Debug)]
pub struct CallerHandler {
    cx: Arc<EntryContext>,
}

impl CallerHandler {
    /// Creates a handler that answers from the state in `cx`.
    #[must_use]
    pub const fn new(cx: Arc<EntryContext>) -> Self {
        Self { cx }
    }
}

impl Handler for CallerHandler {
    async fn handle(&self, arrival: Arrival, req: Request<RequestBody>) -> Response<AnswerBody> {
        let Arrival { peer, at: arrived } = arrival;
        let request_id = self.cx.request_ids.draw();
        let method = req.method().clone();
        let kind = call_kind(req.uri().path());
        let service = named_service(req.uri().path());
        let result = self.answer(peer, &request_id, arrived, req).await;
        let elapsed = self.cx.now().saturating_duration_since(arrived);
        entry_metrics::record_call(&self.cx.metrics, kind, result.as_ref().err(), elapsed);
        let mut response = match result {
            Ok(response) => response,
            Err(refused) => {
                log::debug!(event = "refused", request_id = request_id.as_str(), outcome = refused.outcome(), reason = refused.reason(); "refused a caller's request");
                decision_recorder::refusal(&self.cx, &request_id, &method, service, &refused);
                let entries = self.cx.state.other_entries(&self.cx.info);
                refusal::to_caller(&refused, &request_id, entries)
            }
        };
        if let Ok(value) = HeaderValue::from_str(&request_id) {
            response.headers_mut().insert(header::REQUEST_ID, value);
        }
        response
    }

    fn is_idempotent(&self, req: &Request<RequestBody>) -> bool {
        if req.uri().path().starts_with(LOOK_UP_PREFIX) {
            return true;
        }
        let state = self.cx.state.read();
        let Some(manifest) = state.manifest() else {
            return false;
        };
        let target = Target::find(req.method(), req.uri(), manifest);
        target.is_ok_and(|target| {
            manifest.services[&target.service].operations[target.operation].idempotent
        })
    }
}

impl CallerHandler {
    async fn answer(
        &self,
        peer: SocketAddr,
        request_id: &str,
        arrived: Instant,
        req: Request<RequestBody>,
    ) -> Result<Response<AnswerBody>, Refused> {
        let path = req.uri().path().to_owned();
        if let Some(service) = path.strip_prefix(LOOK_UP_PREFIX) {
            if req.method() != Method::GET {
                return Err(refuse(NotRunReason::OperationUnknown).into());
            }
            let answer = self.look_up(peer.ip(), request_id, service).await;
            return answer.map_err(Into::into);
        }
        let keyed = KeyedRequest::of(&req);
        match self.read(peer.ip(), request_id, arrived, req).await {
            Ok(request) => into_result(action_path::run(&self.cx, &request).await),
            Err(not_run) => Err(self.refuse_unread(keyed, not_run).await),
        }
    }

    /// Makes the refusal of an unread request hold for its idempotency key as well, if it has
    /// one: an earlier copy of the action may have run, or may still arrive.
    async fn refuse_unread(&self, keyed: Option<KeyedRequest>, not_run: NotRun) -> Refused {
        match keyed {
            Some(keyed) => {
                let KeyedRequest { service, headers } = keyed;
                action_path::refuse_unread(&self.cx, &service, &headers, not_run).await
            }
            None => not_run.into(),
        }
    }

    /// Checks the request and reads its body.
    async fn read(
        &self,
        peer: IpAddr,
        request_id: &str,
        arrived: Instant,
        req: Request<RequestBody>,
    ) -> Result<ServiceRequest, NotRun> {
        self.wait_for_session(arrived, req.headers()).await;
        if self.cx.state.live_session().is_none() {
            return Err(refuse(NotRunReason::LeaseLapsed));
        }
        let state = self.cx.state.read();
        let in_force = state
            .view
            .manifest
            .clone()
            .ok_or_else(|| refuse(NotRunReason::NoManifest))?;
        let (parts, body) = req.into_parts();
        let target = Target::find(&parts.method, &parts.uri, &in_force.manifest)?;
        let deadline = arrived + deadline(&parts.headers, target.deadline)?;
        let max_bytes = self.cx.limits.max_body_bytes;
        let body = request_body::read(body, max_bytes, deadline)
            .await
            .map_err(refuse)?;
        let origin = self.origin(&state, peer);
        let mut headers = parts.headers;
        header::remove_hop_by_hop(&mut headers);
        header::remove_own(&mut headers);
        Ok(ServiceRequest {
            service: target.service,
            in_force,
            operation: target.operation,
            origin,
            hops: 0,
            outgoing: OutgoingRequest {
                method: parts.method,
                path: target.path,
                headers,
                body,
                request_id: request_id.to_owned(),
                deadline,
            },
        })
    }

    /// Waits for the first session to be opened. A lost session is not waited for: other entry
    /// VMs have taken over its groups.
    async fn wait_for_session(&self, arrived: Instant, headers: &HeaderMap) {
        let mut state = self.cx.state.clone();
        let opened = async {
            while state.read().view.revision == Revision::default() {
                state.changed().await;
            }
        };
        let caller_timeout = header::number(headers, &header::DEADLINE_MS).flatten();
        let caller_timeout = caller_timeout.map(Duration::from_millis);
        let until = start_wait::wait_until(arrived, FIRST_SESSION_WAIT, caller_timeout);
        // If no session is open by then, the request is refused.
        let _ = tokio::time::timeout_at(until.into(), opened).await;
    }

    async fn look_up(
        &self,
        peer: IpAddr,
        request_id: &str,
        service: &str,
    ) -> Result<Response<AnswerBody>, NotRun> {
        let state = self.cx.state.read();
        if !state.lease.is_valid(self.cx.now()) {
            return Err(refuse(NotRunReason::LeaseLapsed));
        }
        let manifest = state
            .manifest()
            .ok_or_else(|| refuse(NotRunReason::NoManifest))?;
        let service = ServiceName::new(service);
        if !manifest.services.contains_key(&service) {
            return Err(refuse(NotRunReason::ServiceUnknown));
        }
        let origin = self.origin(&state, peer);
        let caller = caller_digest(peer);
        let answer = self
            .cx
            .admission
            .look_up(service.clone(), origin.clone(), caller)
            .await?;
        decision_recorder::look_up(&self.cx, request_id, manifest, &service, &origin, &answer);
        let ticket = action_path::ticket(&self.cx, &state, &service, &answer.entry);
        let ticket_ms = manifest.look_ups.ticket_ms;
        let body = LookUpBody {
            service: &service,
            entry: NamedEntry::of(&answer.entry),
            backups: answer.backups.iter().map(NamedEntry::of).collect(),
            cache_ms: whole_ms(answer.cache),
            ticket_ms: ticket.as_ref().map(|_| ticket_ms),
            ticket,
        };
        Ok(to_response(&body, answer.cache))
    }

    /// Returns the caller's failure domain; an address in no known block counts as being in the
    /// failure domain of this VM.
    fn origin(&self, state: &EntryState, peer: IpAddr) -> PlaceName {
        let found = state.blocks.place_of(peer);
        found.unwrap_or(&self.cx.info.place).clone()
    }
}

/// Holds the parts of a request with an idempotency key that are needed once it is refused.
struct KeyedRequest {
    service: ServiceName,
    headers: HeaderMap,
}

impl KeyedRequest {
    fn of(req: &Request<RequestBody>) -> Option<Self> {
        let headers = req.headers();
        headers.get(header::IDEMPOTENCY_KEY)?;
        Some(Self {
            service: named_service(req.uri().path())?,
            headers: headers.clone(),
        })
    }
}

fn call_kind(path: &str) -> CallKind {
    if path.starts_with(LOOK_UP_PREFIX) {
        CallKind::LookUp
    } else {
        CallKind::Request
    }
}

/// Returns the service that a path names; it need not exist.
fn named_service(path: &str) -> Option<ServiceName> {
    let below = path
        .strip_prefix(LOOK_UP_PREFIX)
        .or_else(|| path.strip_prefix(SERVICE_PREFIX))?;
    let (service, _) = below.split_once('/').unwrap_or((below, ""));
    Some(ServiceName::new(service))
}

fn refuse(reason: NotRunReason) -> NotRun {
    Attempt::new().refuse(reason)
}

/// Returns a number that distributes callers evenly and is the same in all processes.
fn caller_digest(peer: IpAddr) -> u64 {
    let hash = match peer {
        IpAddr::V4(address) => blake3::hash(&address.octets()),
        IpAddr::V6(address) => blake3::hash(&address.octets()),
    };
    rendezvous::leading_number(&hash)
}

/// Converts an outcome into a result.
///
/// # Errors
///
/// Returns the outcomes "not run" and "unknown" as errors.
pub fn into_result(
    outcome: Outcome<Response<AnswerBody>>,
) -> Result<Response<AnswerBody>, Refused> {
    match outcome {
        Outcome::Answer(response) => Ok(response),
        Outcome::NotRun(not_run) => Err(not_run.into()),
        Outcome::Unknown(unknown) => Err(unknown.into()),
    }
}

/// Holds the operation that a request addresses.
struct Target {
    service: ServiceName,
    operation: usize,
    /// Path and query as the backend server sees them.
    path: String,
    deadline: Duration,
}

impl Target {
    fn find(method: &Method, uri: &Uri, manifest: &Manifest) -> Result<Self, NotRun> {
        let below = uri
            .path()
            .strip_prefix(SERVICE_PREFIX)
            .ok_or_else(|| refuse(NotRunReason::ServiceUnknown))?;
        let (service, rest) = below.split_once('/').unwrap_or((below, ""));
        let service = ServiceName::new(service);
        let found = manifest
            .services
            .get(&service)
            .ok_or_else(|| refuse(NotRunReason::ServiceUnknown))?;
        if has_dot_segment(rest) {
            return Err(refuse(NotRunReason::MalformedRequest));
        }
        let mut path = format!("/{rest}");
        let operation = request_path::find_operation(found, method.as_str(), &path)
            .ok_or_else(|| refuse(NotRunReason::OperationUnknown))?;
        if let Some(query) = uri.query() {
            path.push('?');
            path.push_str(query);
        }
        let deadline_ms = found.operations[operation].deadline_ms;
        Ok(Self {
            service,
            operation,
            path,
            deadline: Duration::from_millis(deadline_ms.into()),
        })
    }
}

/// Returns whether a path has `.` or `..` as a segment, plain or percent-encoded.
///
/// A backend server may resolve such segments and run another operation than the one that was
/// matched: an action could run under the name of an idempotent read.
fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| {
        let decoded = segment.replace("%2e", ".").replace("%2E", ".");
        decoded == "." || decoded == ".."
    })
}

/// Returns the time left to the deadline: that of the operation, or the caller's if shorter.
fn deadline(headers: &HeaderMap, longest: Duration) -> Result<Duration, NotRun> {
    match header::number(headers, &header::DEADLINE_MS) {
        None => Ok(longest),
        Some(Some(ms)) => Ok(longest.min(Duration::from_millis(ms))),
        Some(None) => Err(refuse(NotRunReason::MalformedRequest)),
    }
}

#[derive(Serialize)]
struct LookUpBody<'a> {
    service: &'a ServiceName,
    entry: NamedEntry<'a>,
    backups: Vec<NamedEntry<'a>>,
    cache_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket_ms: Option<u32>,
}

#[derive(Serialize)]
struct NamedEntry<'a> {
    vm: &'a str,
    address: SocketAddr,
}

impl<'a> NamedEntry<'a> {
    fn of(session: &'a EntrySession) -> Self {
        Self {
            vm: session.info.vm.as_str(),
            address: session.info.callers,
        }
    }
}

fn to_response(body: &LookUpBody<'_>, cache: Duration) -> Response<AnswerBody> {
    let content = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(answer_body::full(content));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let max_age = format!("max-age={}", cache.as_secs());
    if let Ok(value) = HeaderValue::from_str(&max_age) {
        headers.insert(CACHE_CONTROL, value);
    }
    response
}
