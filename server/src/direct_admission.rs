//! Checks a caller's request before it is dispatched: who sends it, which route it takes, and
//! whether the limit of its team permits one more.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::affinity::ObjectHash;
use heatherring_lib::dispatch_request::RETRY_ELSEWHERE_AFTER;
use heatherring_lib::home_regions;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Unsent;
use heatherring_lib::request_fingerprint::RequestContent;
use heatherring_lib::request_rank::RequestRank;
use heatherring_lib::route_manifest::Route;
use heatherring_lib::route_manifest::RouteTarget;
use heatherring_lib::start_wait;
use heatherring_lib::team::KeyDigest;
use heatherring_lib::team::TeamLimit;
use heatherring_lib::team_directory::TeamDirectory;
use heatherring_lib::token_cache;
use heatherring_lib::token_cache::LimitDecision;
use http::HeaderMap;
use http::Request;
use http::Uri;
use http::header;
use http::uri::PathAndQuery;

use crate::credential;
use crate::direct_context::DirectContext;
use crate::direct_send::DirectRequest;
use crate::header::remove_hop_by_hop;
use crate::http_server::Arrival;
use crate::metric;
use crate::proved_view::ProvedView;
use crate::request_body;
use crate::request_body::RequestBody;
use crate::request_trace::RequestTrace;
use crate::verified_caller::VerifiedCaller;

/// Time beyond a route's time-out that a backend server is given, as far as the caller waits.
/// Requests whose data are not cached take about as long as some time-outs; one that is ended
/// shortly before it completes has run for nothing, and the caller of an action cannot repeat
/// it.
const WORK_GRACE: Duration = Duration::from_millis(100);

/// Time beyond a route's time-out for which an answer in transit is awaited. A backend server
/// that stops at the deadline it was given sends its answer then.
const ANSWER_GRACE: Duration = Duration::from_millis(200);

/// Time before the caller's own deadline at which it is told that there is no answer. It covers
/// the network delay back to the caller, 8 to 24 ms, and a short overload. A caller without an
/// answer at its deadline closes the connection, and with it every request pipelined behind.
const RETURN_MARGIN: Duration = Duration::from_millis(40);

/// Time for which a request waits for the first view of an entry VM that has just started. After
/// a loss of power everywhere, entry VMs listen half a second to a second before there is a
/// leader and then a view. Callers that are refused retry once, a second later and all at the
/// same time.
pub const FIRST_VIEW_WAIT: Duration = Duration::from_millis(800);

/// Retry delay given to a caller if there is still no manifest.
const NO_MANIFEST_RETRY: Duration = Duration::from_millis(700);

/// Time for which a request with an unknown key waits for control to confirm that no team has
/// that key. Each answer of the followed replica confirms this, about a second apart if there
/// are no updates.
const KEY_CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A request together with what its admission has determined.
pub(crate) struct Admitted {
    pub req: DirectRequest,
    pub route: Arc<Route>,
    pub rank: RequestRank,
    /// The rate limit of its team.
    pub limit: Option<TeamLimit>,
    pub homes: Vec<RegionName>,
    pub service: ServiceName,
    pub object: Option<ObjectHash>,
}

impl DirectContext {
    /// Reads a request including its body and finds its route and service.
    pub(crate) async fn admit(
        &self,
        arrival: &Arrival,
        req: Request<RequestBody>,
        trace: &mut RequestTrace,
    ) -> Result<Admitted, NotRun> {
        let arrived = arrival.at;
        let (head, body) = req.into_parts();
        let metadata = self.interface.read_request(&head.headers);
        let metadata = metadata.map_err(|_| refuse(NotRunReason::MalformedRequest))?;
        trace.request_id.clone_from(&metadata.request_id);
        let ProvedView { view, proved_at } =
            self.first_view(arrived, metadata.caller_timeout).await?;
        trace.version = view.version.0;
        trace.proof_age = self.clock.now().saturating_duration_since(proved_at);
        let host = host_of(&head.uri, &head.headers)
            .ok_or_else(|| refuse(NotRunReason::MalformedRequest))?;
        let (name, route) = view
            .route(&host, head.uri.path())
            .ok_or_else(|| self.no_route(trace.proof_age))?;
        trace.route = Some(name.clone());
        let mut headers = head.headers;
        let key = credential::read(&headers);
        let (caller, teams) = self
            .caller(arrived, metadata.caller_timeout, name, key)
            .await?;
        if teams.requires_keys() {
            credential::remove(&mut headers);
        }
        trace.team.clone_from(&caller.team);
        let team = caller.team_in(&teams);
        let own_homes = team.map_or(&[][..], |team| &team.home_regions);
        let homes = home_regions::intersection(own_homes, &route.home_regions)
            .ok_or_else(|| refuse(NotRunReason::NoCommonHome))?;
        let rank = RequestRank {
            team: team.and_then(|team| team.priority),
            route: route.priority,
        };
        let caller_timeout = metadata.caller_timeout.unwrap_or(route.timeout);
        let stream_until = arrived + caller_timeout;
        let caller_timeout = caller_timeout
            .saturating_sub(RETURN_MARGIN)
            .max(caller_timeout / 2);
        trace.caller_timeout = caller_timeout.min(route.timeout);
        let deadline = arrived + trace.caller_timeout;
        let work_until = (deadline + WORK_GRACE).min(arrived + caller_timeout);
        let give_up_at = (deadline + ANSWER_GRACE).min(arrived + caller_timeout);
        let max_bytes = u32::try_from(view.limits.max_body_bytes).unwrap_or(u32::MAX);
        let body = request_body::read(body, max_bytes, deadline)
            .await
            .map_err(refuse)?;
        let service = self
            .service_of(name, route)
            .ok_or_else(|| refuse(NotRunReason::NoBackendServer))?;
        trace.service = Some(service.clone());
        let object = metadata.object.filter(|_| route.affinity);
        let object = object.map(|object| ObjectHash::of(name.as_str(), &object));
        let uri = origin_form(&head.uri).ok_or_else(|| refuse(NotRunReason::MalformedRequest))?;
        let content = RequestContent {
            method: head.method.as_str(),
            host: &host,
            path: uri.path_and_query().map_or("", PathAndQuery::as_str),
            body: &body,
        };
        let tag = self.crashes.tag(&content, arrival.peer.ip());
        trace.fingerprint = Some(tag.content);
        remove_hop_by_hop(&mut headers);
        let req = DirectRequest {
            method: head.method,
            uri,
            headers,
            body,
            request_id: metadata.request_id,
            caller,
            tag,
            objective: arrived + route.latency_objective,
            deadline,
            work_until,
            give_up_at,
            stream_until,
        };
        Ok(Admitted {
            req,
            rank,
            limit: team.and_then(|team| team.limit),
            homes: homes.into_owned(),
            route: Arc::clone(route),
            service,
            object,
        })
    }

    /// Refuses a request without a route. The refusal is final only if this entry VM would already
    /// know every manifest that is to be in force.
    fn no_route(&self, proof_age: Duration) -> NotRun {
        if proof_age < self.in_force_within {
            return refuse(NotRunReason::RouteUnknown);
        }
        refuse(NotRunReason::RouteUnconfirmed).with_retry_after(RETRY_ELSEWHERE_AFTER)
    }

    /// Returns the view in force; waits up to `first_view_wait` for the first one.
    async fn first_view(
        &self,
        arrived: Instant,
        caller_timeout: Option<Duration>,
    ) -> Result<ProvedView, NotRun> {
        let until = start_wait::wait_until(arrived, self.first_view_wait, caller_timeout);
        match tokio::time::timeout_at(until.into(), self.proved_view.first()).await {
            Ok(Some(proved_view)) => Ok(proved_view),
            _ => Err(refuse(NotRunReason::NoManifest).with_retry_after(NO_MANIFEST_RETRY)),
        }
    }

    /// Identifies the sender of a request on `route` with `key`, and returns the teams by which
    /// it was identified.
    ///
    /// A key that no team has may have been added a moment ago. It is certainly unknown only if
    /// control was in contact after the request arrived; otherwise the refusal says that the key
    /// is unconfirmed.
    async fn caller(
        &self,
        arrived: Instant,
        caller_timeout: Option<Duration>,
        route: &RouteName,
        key: Option<KeyDigest>,
    ) -> Result<(VerifiedCaller, Arc<TeamDirectory>), NotRun> {
        let known = || {
            let teams = Arc::clone(&self.view.borrow().teams);
            VerifiedCaller::find(&teams, route, key).map(|caller| (caller, teams))
        };
        if let Ok(known) = known() {
            return Ok(known);
        }
        let until = start_wait::wait_until(arrived, KEY_CONFIRM_TIMEOUT, caller_timeout);
        let mut last_contact = self.last_contact.clone();
        let confirmed = last_contact.wait_for(|last_contact| *last_contact > arrived);
        let confirmed = tokio::time::timeout_at(until.into(), confirmed).await;
        known().map_err(|reason| {
            if matches!(confirmed, Ok(Ok(_))) {
                return refuse(reason);
            }
            let unconfirmed = refuse(NotRunReason::CredentialUnconfirmed);
            unconfirmed.with_retry_after(RETRY_ELSEWHERE_AFTER)
        })
    }

    /// Returns the route's service, or the next one of its traffic split.
    fn service_of(&self, name: &RouteName, route: &Route) -> Option<ServiceName> {
        let parts = match &route.target {
            RouteTarget::Service(service) => return Some(service.clone()),
            RouteTarget::Split(parts) => parts,
        };
        let weights: Vec<f64> = parts.iter().map(|part| part.weight).collect();
        let mut split_rotations = self
            .split_rotations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let index = split_rotations
            .entry(name.clone())
            .or_default()
            .next(&weights)?;
        parts.get(index).map(|part| part.service.clone())
    }

    /// Takes a token for the limit of a request's team.
    ///
    /// # Errors
    ///
    /// Refuses the request if no token is granted.
    pub(crate) async fn take_token(
        &self,
        admitted: &Admitted,
        attempt: Attempt<Unsent>,
    ) -> Result<Attempt<Unsent>, NotRun> {
        let (Some(team), Some(limit)) = (&admitted.req.caller.team, admitted.limit) else {
            return Ok(attempt);
        };
        let until = token_cache::wait_until(self.clock.now(), admitted.req.deadline);
        let decision = self.tokens.take(team, limit, until).await;
        metric::limit(decision);
        match decision {
            LimitDecision::Run => Ok(attempt),
            LimitDecision::OverLimit { retry_after } => Err(attempt
                .refuse(NotRunReason::TeamLimit)
                .with_retry_after(retry_after)),
            LimitDecision::Unconfirmed { retry_after } => Err(attempt
                .refuse(NotRunReason::LimitUnconfirmed)
                .with_retry_after(retry_after)),
        }
    }
}

pub(crate) fn refuse(reason: NotRunReason) -> NotRun {
    Attempt::new().refuse(reason)
}

/// Returns the host of a request, in lower case and without the port.
pub(crate) fn host_of(uri: &Uri, headers: &HeaderMap) -> Option<String> {
    let host = match uri.host() {
        Some(host) => host,
        None => headers.get(header::HOST)?.to_str().ok()?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

fn origin_form(uri: &Uri) -> Option<Uri> {
    let path = uri.path_and_query()?.as_str();
    path.parse().ok()
}
