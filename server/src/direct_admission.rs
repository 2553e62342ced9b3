//! What is found out about a caller's request before it is sent on: who sends it, by which route,
//! and whether its team may run one more.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::affinity::ObjectHash;
use heatherring_lib::dispatch_request::RETRY_ELSEWHERE_AFTER;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::follow_lag::MAX_IN_FORCE_DELAY;
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
use crate::request_body;
use crate::request_body::RequestBody;
use crate::request_trace::RequestTrace;
use crate::verified_caller::VerifiedCaller;

/// Time beyond a route's timeout that a backend server is given, as far as the caller waits.
/// Requests without their data at hand take about as long as some timeouts; one that is ended
/// right before it is done has run for nothing, and an action's caller can't ask again.
const WORK_GRACE: Duration = Duration::from_millis(100);

/// Time beyond a route's timeout for which an answer that is on its way is waited for. A
/// backend server that ends at the deadline that it was told sends its answer then.
const ANSWER_GRACE: Duration = Duration::from_millis(200);

/// Time before a caller's own deadline at which it is told that there is no answer: the way
/// back, 8 to 24 ms, and a busy moment. A caller that hears nothing until its deadline closes
/// the connection, and with it every request that it sent behind.
const WAY_BACK: Duration = Duration::from_millis(40);

/// Time for which a request waits for the first view of an entry VM that has just started.
/// When all power was lost, entry VMs listen half a second to a second before there is a
/// leader and then a view. Callers who are refused come back once, a second later and all
/// together.
pub const FIRST_VIEW_WAIT: Duration = Duration::from_millis(800);

/// When a caller is told to come back if there still is none.
const NO_MANIFEST_RETRY: Duration = Duration::from_millis(700);

/// Time for which a request waits for word of control that no team has its key. Such word comes
/// with each answer of the replica that is followed, about a second apart if there is no news.
const CONFIRM_WITHIN: Duration = Duration::from_millis(1_500);

/// Holds a request together with what was found out about it.
pub(crate) struct Admitted {
    pub req: DirectRequest,
    pub route: Arc<Route>,
    pub rank: RequestRank,
    /// The limit of its team.
    pub limit: Option<TeamLimit>,
    pub homes: Vec<RegionName>,
    pub service: ServiceName,
    pub object: Option<ObjectHash>,
    /// When the answer should be there.
    pub objective: Instant,
}

impl DirectContext {
    /// Reads a request whole and finds its route and service.
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
        let view = self.first_view(arrived, metadata.caller_timeout).await?;
        trace.version = view.version.0;
        trace.proof_age = self.proof_age();
        let host = host_of(&head.uri, &head.headers)
            .ok_or_else(|| refuse(NotRunReason::MalformedRequest))?;
        let (name, route) = view
            .route(&host, head.uri.path())
            .ok_or_else(|| no_route(trace.proof_age))?;
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
        let caller_timeout = caller_timeout
            .saturating_sub(WAY_BACK)
            .max(caller_timeout / 2);
        trace.caller_timeout = caller_timeout.min(route.timeout);
        let deadline = arrived + trace.caller_timeout;
        let work_until = (deadline + WORK_GRACE).min(arrived + caller_timeout);
        let give_up = (deadline + ANSWER_GRACE).min(arrived + caller_timeout);
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
            deadline,
            work_until,
            give_up,
        };
        Ok(Admitted {
            req,
            rank,
            limit: team.and_then(|team| team.limit),
            homes: homes.into_owned(),
            route: Arc::clone(route),
            service,
            object,
            objective: arrived + route.latency_objective,
        })
    }

    fn proof_age(&self) -> Duration {
        let now = self.clock.now();
        now.saturating_duration_since(*self.proved.borrow())
    }

    /// Returns the view in force; waits a little for the first one.
    async fn first_view(
        &self,
        arrived: Instant,
        caller_timeout: Option<Duration>,
    ) -> Result<Arc<FleetView>, NotRun> {
        let until = start_wait::wait_until(arrived, self.first_view_wait, caller_timeout);
        let mut view = self.view.clone();
        let waiting = view.wait_for(|view| view.has_manifest());
        match tokio::time::timeout_at(until.into(), waiting).await {
            Ok(Ok(view)) => Ok(Arc::clone(&view)),
            _ => Err(refuse(NotRunReason::NoManifest).with_retry_after(NO_MANIFEST_RETRY)),
        }
    }

    /// Says who sends a request on `route` with `key`, with the teams among which it was found.
    ///
    /// A key that no team has may have been added a moment ago. It is unknown for certain once
    /// control was heard of after the request came; without that word nothing is certain.
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
        let until = start_wait::wait_until(arrived, CONFIRM_WITHIN, caller_timeout);
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

    /// Returns the service whose turn it is.
    fn service_of(&self, name: &RouteName, route: &Route) -> Option<ServiceName> {
        let parts = match &route.target {
            RouteTarget::Service(service) => return Some(service.clone()),
            RouteTarget::Split(parts) => parts,
        };
        let weights: Vec<f64> = parts.iter().map(|part| part.weight).collect();
        let mut turns = self.turns.lock().unwrap_or_else(PoisonError::into_inner);
        let turn = turns.entry(name.clone()).or_default().next(&weights)?;
        parts.get(turn).map(|part| part.service.clone())
    }

    /// Takes a token for the limit of a request's team.
    ///
    /// # Errors
    ///
    /// Refuses the request if there is none.
    pub(crate) async fn take_token(
        &self,
        admitted: &Admitted,
        attempt: Attempt<Unsent>,
    ) -> Result<Attempt<Unsent>, NotRun> {
        let (Some(team), Some(limit)) = (&admitted.req.caller.team, admitted.limit) else {
            return Ok(attempt);
        };
        let ruling = self.tokens.take(team, limit).await;
        metric::limit(ruling);
        match ruling {
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

/// Refuses a request without a route: for good only if a newer manifest would be known here.
fn no_route(proof_age: Duration) -> NotRun {
    if proof_age < MAX_IN_FORCE_DELAY {
        return refuse(NotRunReason::RouteUnknown);
    }
    refuse(NotRunReason::RouteUnconfirmed).with_retry_after(RETRY_ELSEWHERE_AFTER)
}

/// Returns the host that a request names, in lower case and without a port.
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
