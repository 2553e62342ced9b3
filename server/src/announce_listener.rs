//! Handles announcements of backend servers and forwards them to the owner of their group.

use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::announcement::Announcement;
use heatherring_lib::announcement::AnnouncementBody;
use heatherring_lib::announcement::AnnouncementReply;
use heatherring_lib::announcement::BackendState;
use heatherring_lib::announcement::OwnerAddress;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::ownership;
use heatherring_lib::view::EntrySession;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Serialize;

use crate::answer_body;
use crate::answer_body::AnswerBody;
use crate::entry_context::EntryContext;
use crate::entry_status;
use crate::explain_query;
use crate::explain_report::ExplainReport;
use crate::http_server::Arrival;
use crate::http_server::Handler;
use crate::proto::AnnounceRequest;
use crate::proto::peer_client::PeerClient;
use crate::refusal;
use crate::request_body;
use crate::request_body::RequestBody;

const ANNOUNCE_PATH: &str = "/announce";
const STATUS_PATH: &str = "/status";
const EXPLAIN_PATH: &str = "/explain";

/// Largest size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: u32 = 4_096;

/// Time within which the whole announcement must arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of the owner's answer to a forwarded announcement.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers backend servers' announcements, and operators' status and explain requests.
#[derive(Clone, Debug)]
pub struct AnnounceHandler {
    cx: Arc<EntryContext>,
}

impl AnnounceHandler {
    /// Creates a handler that answers from the state in `cx`.
    #[must_use]
    pub const fn new(cx: Arc<EntryContext>) -> Self {
        Self { cx }
    }
}

impl Handler for AnnounceHandler {
    async fn handle(&self, _arrival: Arrival, req: Request<RequestBody>) -> Response<AnswerBody> {
        match (req.method(), req.uri().path()) {
            (&Method::POST, ANNOUNCE_PATH) => self.announce(req).await,
            (&Method::GET, STATUS_PATH) => {
                json(StatusCode::OK, &entry_status::collect(&self.cx).await)
            }
            (&Method::GET, EXPLAIN_PATH) => self.explain(&req).await,
            _ => json(StatusCode::NOT_FOUND, &Problem::new("no such path")),
        }
    }
}

#[derive(Serialize)]
struct Problem {
    message: String,
}

impl Problem {
    fn new(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
        }
    }
}

impl AnnounceHandler {
    async fn explain(&self, req: &Request<RequestBody>) -> Response<AnswerBody> {
        let query = req.uri().query().unwrap_or_default();
        match explain_query::parse(query) {
            Ok(filter) => {
                let report = ExplainReport::collect(&self.cx, filter).await;
                json(StatusCode::OK, &report)
            }
            Err(error) => json(StatusCode::BAD_REQUEST, &Problem::new(error.to_string())),
        }
    }

    async fn announce(&self, req: Request<RequestBody>) -> Response<AnswerBody> {
        let by = self.cx.now() + READ_TIMEOUT;
        let body = match request_body::read(req.into_body(), MAX_ANNOUNCEMENT_BYTES, by).await {
            Ok(body) => body,
            Err(reason) => return self.refuse(reason),
        };
        let announcement = match serde_json::from_slice::<AnnouncementBody>(&body) {
            Ok(body) => Announcement::from(body),
            Err(error) => {
                return json(StatusCode::BAD_REQUEST, &Problem::new(error.to_string()));
            }
        };
        let state = self.cx.state.read();
        if self.cx.state.live_session().is_none() {
            return self.refuse(NotRunReason::LeaseLapsed);
        }
        let Some(manifest) = state.manifest() else {
            return self.refuse(NotRunReason::NoManifest);
        };
        if let Err(error) = announcement.check(manifest) {
            return json(StatusCode::BAD_REQUEST, &Problem::new(error.to_string()));
        }
        let owner = ownership::owner(&state.view, &announcement.service, &announcement.place);
        let Some(owner) = owner else {
            return json(StatusCode::OK, &AnnouncementReply::new(None));
        };
        let leaves = announcement.state == BackendState::Leaving;
        let is_taken = if state.lease.session() == Some(owner.id) {
            let taken = self.cx.admission.announce(announcement).await;
            matches!(taken, Some(Ok(())))
        } else {
            self.forward(owner, &announcement).await
        };
        // The confirmation promises that requests cease.
        if leaves && !is_taken {
            return self.refuse(NotRunReason::OwnerUnreachable);
        }
        let address = OwnerAddress {
            vm: owner.info.vm.clone(),
            address: owner.info.backend_servers,
        };
        json(StatusCode::OK, &AnnouncementReply::new(Some(address)))
    }

    /// Forwards the announcement to its owner; returns whether that took it. A failure is reported
    /// only if the backend server is leaving: otherwise it sends its next announcement to the owner
    /// directly, and to others when that fails.
    async fn forward(&self, owner: &EntrySession, announcement: &Announcement) -> bool {
        let Some(channel) = self.cx.peers.channel(owner.id).await else {
            return false;
        };
        let Ok(announcement_encoded) = announcement.encode() else {
            return false;
        };
        let mut client = PeerClient::new(channel);
        let call = client.announce(AnnounceRequest {
            announcement_encoded,
        });
        let reply = tokio::time::timeout(FORWARD_TIMEOUT, call).await;
        let Ok(Ok(reply)) = reply else {
            log::warn!(event = "announcement_not_passed_on", backend = announcement.backend.as_str(), owner = owner.info.vm.as_str(); "cannot forward an announcement: its owner did not answer in time");
            return false;
        };
        reply.into_inner().taken
    }

    fn refuse(&self, reason: NotRunReason) -> Response<AnswerBody> {
        let not_run = Attempt::new().refuse(reason);
        let entries = self.cx.state.other_entries(&self.cx.info);
        refusal::to_caller(&not_run.into(), "", entries)
    }
}

fn json(status: StatusCode, body: &impl Serialize) -> Response<AnswerBody> {
    let content = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(answer_body::full(content));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
