//! Serves requests that other entry VMs forward.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::SessionId;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::outcome::Unknown;
use heatherring_lib::outcome::UnknownReason;
use heatherring_lib::ownership::Group;
use http::HeaderMap;
use http::Request;
use http::Response;

use crate::action_path;
use crate::answer_body::AnswerBody;
use crate::caller_listener::into_result;
use crate::dispatcher::OutgoingRequest;
use crate::entry_context::EntryContext;
use crate::forward_client::ForwardHead;
use crate::forward_client::ForwardPurpose;
use crate::header;
use crate::http_server::Arrival;
use crate::http_server::Handler;
use crate::link_task;
use crate::owner_path;
use crate::owner_path::SteeredRequest;
use crate::refusal;
use crate::refusal::Refused;
use crate::request_body;
use crate::request_body::RequestBody;
use crate::request_path::MAX_HOPS;
use crate::request_path::ServiceRequest;
use crate::request_path::VIEW_LAG;

/// Handler of forwarded requests.
#[derive(Clone, Debug)]
pub struct ForwardHandler {
    cx: Arc<EntryContext>,
}

impl ForwardHandler {
    /// Creates a handler over the shared state `cx`.
    #[must_use]
    pub const fn new(cx: Arc<EntryContext>) -> Self {
        Self { cx }
    }
}

impl Handler for ForwardHandler {
    async fn handle(&self, _arrival: Arrival, req: Request<RequestBody>) -> Response<AnswerBody> {
        let arrived = self.cx.now();
        match self.answer(arrived, req).await {
            Ok(response) => response,
            Err(refused) => refusal::to_entry(&refused),
        }
    }
}

impl ForwardHandler {
    async fn answer(
        &self,
        arrived: Instant,
        req: Request<RequestBody>,
    ) -> Result<Response<AnswerBody>, Refused> {
        let (parts, body) = req.into_parts();
        let head = parse(&parts.headers).ok_or_else(|| refuse(NotRunReason::MalformedRequest))?;
        let deadline = arrived + left(&parts.headers);
        let from = header::text(&parts.headers, &header::FROM_REGION)
            .map(RegionName::new)
            .ok_or_else(|| refuse(NotRunReason::MalformedRequest))?;
        // A request addressed to an earlier incarnation of this VM must not be run by this one.
        if self.cx.state.live_session() != Some(head.session) {
            return Err(not_owner().into());
        }
        if head.hops > MAX_HOPS {
            return Err(refuse(NotRunReason::TooManyHops).into());
        }
        let max_bytes = self.cx.limits.max_body_bytes;
        let body = request_body::read(body, max_bytes, deadline)
            .await
            .map_err(refuse)?;
        let request_id = header::text(&parts.headers, &header::REQUEST_ID)
            .unwrap_or_default()
            .to_owned();
        let path = parts
            .uri
            .path_and_query()
            .map_or_else(|| "/".to_owned(), ToString::to_string);
        let mut headers = parts.headers;
        header::remove_hop_by_hop(&mut headers);
        header::remove_own(&mut headers);
        let outgoing = OutgoingRequest {
            method: parts.method,
            path,
            headers,
            body,
            request_id,
            deadline,
        };
        let response = into_result(self.run(head, outgoing).await)?;
        self.pace(response, from, deadline).await
    }

    /// Paces an answer to another region within the limit of the link there.
    async fn pace(
        &self,
        response: Response<AnswerBody>,
        to: RegionName,
        deadline: Instant,
    ) -> Result<Response<AnswerBody>, Refused> {
        let links = &self.cx.links;
        if to == *links.own_region() {
            return Ok(response);
        }
        let head = link_task::head_bytes(response.headers());
        let permission = links.clone().send(to.clone(), head);
        let permitted = tokio::time::timeout_at(deadline.into(), permission).await;
        if permitted.is_err() {
            return Err(Unknown::new(UnknownReason::DeadlinePassed).into());
        }
        Ok(response.map(|body| link_task::pace(body, links.clone(), to, deadline)))
    }

    async fn run(
        &self,
        head: ForwardHead,
        outgoing: OutgoingRequest,
    ) -> Outcome<Response<AnswerBody>> {
        // Views of entry VMs differ briefly after a manifest change; the sender may know a newer
        // manifest.
        let Some(req) = self.to_service_request(&head, outgoing) else {
            return not_owner().into();
        };
        match head.purpose {
            ForwardPurpose::Owned { place } => {
                let steered = SteeredRequest {
                    group: Group::new(req.service.clone(), place),
                    origin: req.origin.clone(),
                    operation: req.operation,
                    idempotent: req.operation().is_some_and(|found| found.idempotent),
                };
                owner_path::run(&self.cx, &steered, &req.outgoing, Attempt::new()).await
            }
            ForwardPurpose::Primary => action_path::run_forwarded(&self.cx, &req).await,
        }
    }

    fn to_service_request(
        &self,
        head: &ForwardHead,
        outgoing: OutgoingRequest,
    ) -> Option<ServiceRequest> {
        let in_force = self.cx.state.read().view.manifest.clone()?;
        let service = in_force.manifest.services.get(&head.service)?;
        let operation = service
            .operations
            .iter()
            .position(|operation| operation.name == head.operation)?;
        Some(ServiceRequest {
            service: head.service.clone(),
            in_force,
            operation,
            origin: head.origin.clone(),
            hops: head.hops,
            outgoing,
        })
    }
}

fn refuse(reason: NotRunReason) -> NotRun {
    Attempt::new().refuse(reason)
}

fn not_owner() -> NotRun {
    refuse(NotRunReason::NotOwner).with_retry_after(VIEW_LAG)
}

fn parse(headers: &HeaderMap) -> Option<ForwardHead> {
    let purpose = match header::text(headers, &header::TARGET_PLACE) {
        Some(place) => ForwardPurpose::Owned {
            place: PlaceName::new(place),
        },
        None => ForwardPurpose::Primary,
    };
    let hops = header::number(headers, &header::HOPS)??;
    Some(ForwardHead {
        service: ServiceName::new(header::text(headers, &header::SERVICE)?),
        operation: header::text(headers, &header::OPERATION)?.to_owned(),
        origin: PlaceName::new(header::text(headers, &header::ORIGIN_PLACE)?),
        session: SessionId(header::number(headers, &header::SESSION)??),
        hops: u32::try_from(hops).ok()?,
        purpose,
    })
}

/// Returns the time left until the deadline; zero if the header is missing.
fn left(headers: &HeaderMap) -> Duration {
    let ms = header::number(headers, &header::DEADLINE_MS).flatten();
    Duration::from_millis(ms.unwrap_or(0))
}
