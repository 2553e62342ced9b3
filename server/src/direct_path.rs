//! The way of a caller's request through an entry VM that dispatches directly.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::affinity::ObjectHash;
use heatherring_lib::clock::Clock;
use heatherring_lib::dispatch_ask::BackendKey;
use heatherring_lib::dispatch_ask::COME_BACK_ELSEWHERE;
use heatherring_lib::dispatch_ask::Refused as NoChoice;
use heatherring_lib::dispatch_ask::RefusedReason;
use heatherring_lib::dispatch_ask::SendOutcome;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::home_regions;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VmName;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::Idempotent;
use heatherring_lib::outcome::NotRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::outcome::Unknown;
use heatherring_lib::outcome::Unsent;
use heatherring_lib::quarantine::WATCHED_AT;
use heatherring_lib::request_fingerprint::RequestContent;
use heatherring_lib::request_rank::RequestRank;
use heatherring_lib::route_manifest::Route;
use heatherring_lib::route_manifest::RouteTarget;
use heatherring_lib::start_wait;
use heatherring_lib::team::KeyDigest;
use heatherring_lib::team::TeamLimit;
use heatherring_lib::team_directory::TeamDirectory;
use heatherring_lib::token_purse::Ruling;
use heatherring_lib::weighted_turns::WeightedTurns;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Uri;
use http::header;
use http::uri::PathAndQuery;
use tokio::sync::watch;

use crate::answer_body;
use crate::answer_body::AnswerBody;
use crate::crash_watch::CrashWatch;
use crate::credential;
use crate::direct_send::DirectAnswer;
use crate::direct_send::DirectRequest;
use crate::direct_send::DirectSender;
use crate::dispatch_task::DispatchAsk;
use crate::dispatch_task::DispatchHandle;
use crate::header::remove_hop_by_hop;
use crate::http_server::Arrival;
use crate::http_server::Handler;
use crate::interface::EntryInterface;
use crate::known_asker::KnownAsker;
use crate::metric;
use crate::refusal::Refused;
use crate::request_body;
use crate::request_body::RequestBody;
use crate::request_trace::Decided;
use crate::request_trace::RequestTrace;
use crate::stop_watch::StopState;
use crate::stop_watch::StopWatch;
use crate::token_task::TokenHandle;

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

/// When a caller is told to come back after a backend server turned its request away.
const SHED_RETRY: Duration = Duration::from_millis(300);

/// Backend servers that can't be reached and are tried for one request at most. No request
/// arrives there, so they don't count as attempts.
const MAX_UNREACHABLE: usize = 4;

/// Holds what the handling of a request needs.
#[derive(Debug)]
pub struct DirectContext {
    /// The entry VM.
    pub vm: VmName,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The interface.
    pub interface: Arc<dyn EntryInterface>,
    /// The view of the fleet.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// When control was last in reach.
    pub heard: watch::Receiver<Instant>,
    /// Picks backend servers.
    pub dispatch: DispatchHandle,
    /// Has tokens for the limits of teams.
    pub tokens: TokenHandle,
    /// Knows which requests end backend servers.
    pub crashes: CrashWatch,
    /// Sends to them.
    pub sender: DirectSender,
    /// Whose turn it is in each split.
    pub turns: Mutex<HashMap<RouteName, WeightedTurns>>,
    /// Whether the entry VM stops.
    pub stopping: StopWatch,
    /// Time for which a request waits for the first view at most.
    pub first_view_wait: Duration,
}

/// Answers callers.
#[derive(Clone, Debug)]
pub struct DirectHandler {
    cx: Arc<DirectContext>,
}

impl DirectHandler {
    /// Answers with what `cx` holds.
    #[must_use]
    pub const fn new(cx: Arc<DirectContext>) -> Self {
        Self { cx }
    }
}

impl Handler for DirectHandler {
    async fn handle(&self, arrival: Arrival, req: Request<RequestBody>) -> Response<AnswerBody> {
        let arrived = arrival.at;
        let mut handling = Handling::new(&self.cx, arrived);
        let trace = &mut handling.trace;
        let response = match self.cx.answer(&arrival, req, trace).await {
            Ok(answer) => {
                trace.tell_answered(&self.cx.decided(arrived), answer.head.status.as_u16());
                Response::from_parts(answer.head, answer.body)
            }
            Err(refused) => {
                trace.tell_refused(&self.cx.decided(arrived), &refused);
                refusal(&refused)
            }
        };
        handling.told = true;
        response
    }

    fn is_idempotent(&self, req: &Request<RequestBody>) -> bool {
        let view = self.cx.view.borrow();
        let route =
            host_of(req.uri(), req.headers()).and_then(|host| view.route(&host, req.uri().path()));
        route.is_some_and(|(_, route)| Idempotent::of_route(route).is_some())
    }
}

/// Follows a request until it is told how it ended. Dropped before that, its caller has left,
/// or the process ends.
struct Handling<'a> {
    cx: &'a DirectContext,
    arrived: Instant,
    trace: RequestTrace,
    told: bool,
}

impl<'a> Handling<'a> {
    fn new(cx: &'a DirectContext, arrived: Instant) -> Self {
        Self {
            cx,
            arrived,
            trace: RequestTrace::default(),
            told: false,
        }
    }
}

impl Drop for Handling<'_> {
    fn drop(&mut self) {
        if self.told {
            return;
        }
        let decided = self.cx.decided(self.arrived);
        match self.cx.stopping.state() {
            StopState::Ended(stop) => {
                let stopped_for = stop.since_asked(self.arrived);
                self.trace.tell_cut_off(&decided, stopped_for);
            }
            StopState::Running | StopState::Stopping(_) => self.trace.tell_left(&decided),
        }
    }
}

/// Holds a request together with what was found out about it.
struct Admitted {
    req: DirectRequest,
    route: Arc<Route>,
    rank: RequestRank,
    /// The limit of its team.
    limit: Option<TeamLimit>,
    homes: Vec<RegionName>,
    service: ServiceName,
    object: Option<ObjectHash>,
    /// When the answer should be there.
    objective: Instant,
}

/// Holds what became of a request so far.
struct Progress {
    tried: Vec<BackendKey>,
    arrivals: u32,
    /// Backend servers whose connection broke with the request on it.
    broken: usize,
    unreachable: usize,
    /// Set once a backend server may have run the request.
    unknown: Option<Unknown>,
    /// An answer that tells of a fault, kept in case nothing better comes.
    faulty: Option<DirectAnswer>,
}

impl DirectContext {
    async fn answer(
        &self,
        arrival: &Arrival,
        req: Request<RequestBody>,
        trace: &mut RequestTrace,
    ) -> Result<DirectAnswer, Refused> {
        if self.stopping.is_over_for(arrival.at) {
            return Err(leaving().into());
        }
        let admitted = tokio::select! {
            biased;
            admitted = self.admit(arrival, req, trace) => admitted?,
            () = self.stopping.last_answers() => return Err(leaving().into()),
        };
        self.run(&admitted, trace).await
    }

    /// Reads a request whole and finds its route and service.
    async fn admit(
        &self,
        arrival: &Arrival,
        req: Request<RequestBody>,
        trace: &mut RequestTrace,
    ) -> Result<Admitted, NotRun> {
        let arrived = arrival.at;
        let (head, body) = req.into_parts();
        let marks = self.interface.read_request(&head.headers);
        let marks = marks.map_err(|_| refuse(NotRunReason::MalformedRequest))?;
        trace.request_id.clone_from(&marks.request_id);
        let view = self.first_view(arrived, marks.patience).await?;
        trace.version = view.version.0;
        let host = host_of(&head.uri, &head.headers)
            .ok_or_else(|| refuse(NotRunReason::MalformedRequest))?;
        let (name, route) = view
            .route(&host, head.uri.path())
            .ok_or_else(|| refuse(NotRunReason::RouteUnknown))?;
        trace.route = Some(name.clone());
        let mut headers = head.headers;
        let key = credential::read(&headers);
        let (asker, teams) = self.asker(arrived, marks.patience, name, key).await?;
        if teams.is_keyed() {
            credential::remove(&mut headers);
        }
        trace.team.clone_from(&asker.team);
        let team = asker.team_in(&teams);
        let own_homes = team.map_or(&[][..], |team| &team.home_regions);
        let homes = home_regions::common(own_homes, &route.home_regions)
            .ok_or_else(|| refuse(NotRunReason::NoCommonHome))?;
        let rank = RequestRank {
            team: team.and_then(|team| team.priority),
            route: route.priority,
        };
        let patience = marks.patience.unwrap_or(route.timeout);
        let patience = patience.saturating_sub(WAY_BACK).max(patience / 2);
        trace.patience = patience.min(route.timeout);
        let deadline = arrived + trace.patience;
        let work_until = (deadline + WORK_GRACE).min(arrived + patience);
        let give_up = (deadline + ANSWER_GRACE).min(arrived + patience);
        let max_bytes = u32::try_from(view.limits.max_body_bytes).unwrap_or(u32::MAX);
        let body = request_body::read(body, max_bytes, deadline)
            .await
            .map_err(refuse)?;
        let service = self
            .service_of(name, route)
            .ok_or_else(|| refuse(NotRunReason::NoBackendServer))?;
        trace.service = Some(service.clone());
        let object = marks.object.filter(|_| route.affinity);
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
            request_id: marks.request_id,
            asker,
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

    /// Returns the view in force; waits a little for the first one.
    async fn first_view(
        &self,
        arrived: Instant,
        patience: Option<Duration>,
    ) -> Result<Arc<FleetView>, NotRun> {
        let until = start_wait::wait_until(arrived, self.first_view_wait, patience);
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
    async fn asker(
        &self,
        arrived: Instant,
        patience: Option<Duration>,
        route: &RouteName,
        key: Option<KeyDigest>,
    ) -> Result<(KnownAsker, Arc<TeamDirectory>), NotRun> {
        let known = || {
            let teams = Arc::clone(&self.view.borrow().teams);
            KnownAsker::find(&teams, route, key).map(|asker| (asker, teams))
        };
        if let Ok(known) = known() {
            return Ok(known);
        }
        let until = start_wait::wait_until(arrived, CONFIRM_WITHIN, patience);
        let mut heard = self.heard.clone();
        let confirmed = heard.wait_for(|heard| *heard > arrived);
        let confirmed = tokio::time::timeout_at(until.into(), confirmed).await;
        known().map_err(|reason| {
            if matches!(confirmed, Ok(Ok(_))) {
                return refuse(reason);
            }
            let unconfirmed = refuse(NotRunReason::CredentialUnconfirmed);
            unconfirmed.with_retry_after(COME_BACK_ELSEWHERE)
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

    /// Sends a request until it is answered or nothing more may be tried.
    async fn run(
        &self,
        admitted: &Admitted,
        trace: &mut RequestTrace,
    ) -> Result<DirectAnswer, Refused> {
        let mut progress = Progress {
            tried: Vec::new(),
            arrivals: 0,
            broken: 0,
            unreachable: 0,
            unknown: None,
            faulty: None,
        };
        // One token for all tries.
        let mut attempt = self.take_token(admitted, Attempt::new()).await?;
        loop {
            // Asked before each send: the verdict may come while the request is tried.
            let tag = &admitted.req.tag;
            attempt = match self.crashes.admit(tag, attempt) {
                Ok(attempt) => attempt,
                Err(not_run) => return progress.end(not_run.into()),
            };
            let ask = DispatchAsk {
                service: admitted.service.clone(),
                route_name: admitted.req.asker.route.clone(),
                route: Arc::clone(&admitted.route),
                object: admitted.object,
                rank: admitted.rank,
                homes: admitted.homes.clone(),
                deadline: admitted.req.deadline,
                objective: admitted.objective,
                answers_until: self.stopping.answers_until(),
                tried: progress.tried.clone(),
                resend: progress.arrivals > 0,
            };
            let (choice, guard) = match self.dispatch.choose(ask).await {
                Ok(choice) => choice,
                Err(no_choice) => {
                    trace.note_no_choice(no_choice);
                    return progress.end(no_choice_refusal(attempt, no_choice));
                }
            };
            let begun = self.clock.now();
            trace.note_sending(&choice);
            let sent = self.sender.send(&choice, &admitted.req, attempt).await;
            let took = self.clock.now().saturating_duration_since(begun);
            trace.note_send(&choice, took, &sent);
            guard.ended(sent.verdict, sent.load);
            progress.note(choice.backend, sent.verdict);
            let suspected = self.crashes.treatment(tag).is_some();
            let retry = progress.next(sent.outcome, sent.verdict, &admitted.route, suspected)?;
            match retry {
                Next::Answer(answer) => return Ok(*answer),
                Next::Again(unsent) => attempt = unsent,
            }
        }
    }

    /// Takes a token for the limit of a request's team.
    ///
    /// # Errors
    ///
    /// Refuses the request if there is none.
    async fn take_token(
        &self,
        admitted: &Admitted,
        attempt: Attempt<Unsent>,
    ) -> Result<Attempt<Unsent>, NotRun> {
        let (Some(team), Some(limit)) = (&admitted.req.asker.team, admitted.limit) else {
            return Ok(attempt);
        };
        let ruling = self.tokens.take(team, limit).await;
        metric::limit(ruling);
        match ruling {
            Ruling::Run => Ok(attempt),
            Ruling::OverLimit { come_back } => Err(attempt
                .refuse(NotRunReason::TeamLimit)
                .with_retry_after(come_back)),
            Ruling::Unconfirmed { come_back } => Err(attempt
                .refuse(NotRunReason::LimitUnconfirmed)
                .with_retry_after(come_back)),
        }
    }

    /// Says where and when a request that came at `arrived` is decided.
    fn decided(&self, arrived: Instant) -> Decided<'_> {
        let now = self.clock.now();
        Decided {
            vm: &self.vm,
            held: now.saturating_duration_since(arrived),
            control_age: now.saturating_duration_since(*self.heard.borrow()),
        }
    }
}

/// Says how a request goes on.
enum Next {
    Answer(Box<DirectAnswer>),
    Again(Attempt<Unsent>),
}

impl Progress {
    fn note(&mut self, backend: BackendKey, verdict: SendOutcome) {
        self.tried.push(backend);
        if matches!(verdict, SendOutcome::Unreachable | SendOutcome::Withdrawn) {
            self.unreachable += 1;
        } else {
            self.arrivals += 1;
        }
        if verdict == SendOutcome::Broken {
            self.broken += 1;
        }
    }

    /// Decides whether the request is sent again. Only what surely wasn't run is, and what
    /// does no harm when it runs twice. One that is `suspected` of ending backend servers, and
    /// breaks, ends the next one too, with whatever else stands there; its caller repeats it
    /// anyway.
    fn next(
        &mut self,
        outcome: Outcome<DirectAnswer>,
        verdict: SendOutcome,
        route: &Route,
        suspected: bool,
    ) -> Result<Next, Refused> {
        let may_send = self.arrivals < route.max_attempts && self.unreachable < MAX_UNREACHABLE;
        let idempotent = Idempotent::of_route(route);
        match outcome {
            Outcome::Answer(answer) => match idempotent {
                Some(permission) if verdict == SendOutcome::Faulty && may_send => {
                    self.faulty = Some(answer);
                    Ok(Next::Again(permission.another_attempt()))
                }
                _ => Ok(Next::Answer(Box::new(answer))),
            },
            Outcome::NotRun(not_run) if ends_at_once(not_run.reason()) => {
                self.end_now(not_run.into())
            }
            Outcome::NotRun(not_run) if may_send => Ok(Next::Again(not_run.try_again())),
            Outcome::NotRun(not_run) => {
                let not_run = not_run.with_retry_after(SHED_RETRY);
                self.end_now(not_run.into())
            }
            Outcome::Unknown(unknown) => {
                self.unknown = Some(unknown);
                let broke = verdict == SendOutcome::Broken;
                let is_harmless = !suspected && self.broken < WATCHED_AT;
                match idempotent {
                    Some(permission) if may_send && broke && is_harmless => {
                        Ok(Next::Again(unknown.try_again(permission)))
                    }
                    _ => self.end_now(unknown.into()),
                }
            }
        }
    }

    fn end_now(&mut self, refused: Refused) -> Result<Next, Refused> {
        self.end(refused)
            .map(|answer| Next::Answer(Box::new(answer)))
    }

    /// Ends a request that nothing more is tried for. That it wasn't run is said only if
    /// no backend server may have run it.
    fn end(&mut self, refused: Refused) -> Result<DirectAnswer, Refused> {
        if let Some(faulty) = self.faulty.take() {
            return Ok(faulty);
        }
        Err(self.unknown.map_or(refused, Refused::Unknown))
    }
}

/// Returns whether no backend server may be sent a request that was refused for `reason`.
const fn ends_at_once(reason: NotRunReason) -> bool {
    matches!(
        reason,
        NotRunReason::CredentialWithdrawn | NotRunReason::CredentialChanged
    )
}

fn refuse(reason: NotRunReason) -> NotRun {
    Attempt::new().refuse(reason)
}

/// Refuses what the entry VM can't finish before it ends.
fn leaving() -> NotRun {
    refuse(NotRunReason::Leaving).with_retry_after(COME_BACK_ELSEWHERE)
}

fn no_choice_refusal(attempt: Attempt<Unsent>, no_choice: NoChoice) -> Refused {
    let reason = match no_choice.reason {
        RefusedReason::NoBackend => NotRunReason::NoBackendServer,
        RefusedReason::NoRoom => NotRunReason::Overloaded,
        RefusedReason::Leaving => NotRunReason::Leaving,
        RefusedReason::LinkFull => NotRunReason::LinkFull,
        RefusedReason::NoResend => {
            metric::resend(false);
            NotRunReason::NoResend
        }
    };
    let not_run = attempt.refuse(reason);
    not_run.with_retry_after(no_choice.come_back).into()
}

/// Returns the host that a request names, in lower case and without a port.
fn host_of(uri: &Uri, headers: &HeaderMap) -> Option<String> {
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

/// Builds the answer to a request that got none of a backend server. It is sent at once,
/// whatever is left of the caller's time.
fn refusal(refused: &Refused) -> Response<AnswerBody> {
    let mut response = Response::new(answer_body::full(refused.reason()));
    *response.status_mut() = refused.status();
    if let Some(after) = refused.retry_after() {
        let text = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
