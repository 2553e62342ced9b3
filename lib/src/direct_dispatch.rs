//! Direct dispatch: each entry VM selects a backend server for each request on its own.
//!
//! Rendezvous hashing gives every entry VM the same ranking of backend servers for an object.
//! An object is assigned to the first few servers of each region, so that requests for it find
//! its data cached. `dispatch_view` follows the fleet, `dispatch_assess` estimates the cost of each
//! candidate, [`dispatch_pick`] selects one, and this module tracks the requests in flight and
//! their outcomes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use imbl::OrdMap;
use slotmap::SlotMap;

use crate::affinity::MemberHash;
use crate::affinity::ObjectHash;
use crate::backend_limit::Sender;
use crate::backend_load::Expectation;
use crate::backend_statement::StatementEvent;
use crate::cold_tracker::ColdTracker;
use crate::dispatch_assess::Candidates;
use crate::dispatch_backend::Backend;
use crate::dispatch_pick;
use crate::dispatch_pick::Candidate;
use crate::dispatch_pick::PickLimits;
use crate::dispatch_policy::DispatchPolicy;
use crate::dispatch_request::BackendKey;
use crate::dispatch_request::Choice;
use crate::dispatch_request::DispatchRequest;
use crate::dispatch_request::PassedOver;
use crate::dispatch_request::RETRY_ELSEWHERE_AFTER;
use crate::dispatch_request::Refused;
use crate::dispatch_request::RefusedReason;
use crate::dispatch_request::SendEnd;
use crate::dispatch_request::SendOutcome;
use crate::dispatch_service::Service;
use crate::fleet_record::BackendRecord;
use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::RouteName;
use crate::id::ServiceName;
use crate::id::VmName;
use crate::link_admission::AnswerTime;
use crate::link_admission::ExpectedAnswer;
use crate::link_admission::LinkAdmission;
use crate::link_congestion::LinkCongestion;
use crate::link_load::LinkLoad;
use crate::rate_limit::LimitObservation;
use crate::region_moves::RegionMoves;
use crate::request_rank::RankFairness;
use crate::resend_budget::ResendLimit;
use crate::retry_advice::RetryAdvice;
use crate::rollout::evidence::Side;
use crate::rollout::routing::Fallback;
use crate::rollout::routing::VersionChoice;
use crate::rollout::routing::VersionFilter;
use crate::sender_share;
use crate::service_latency::RouteLatencyKey;

/// Bounds of the retry delay given to a refused caller. Queues at busy backend servers last a
/// few hundred milliseconds; a caller that returns earlier is refused again, and callers retry
/// only once.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(1));

/// Relative width of the spread of retry delays, so that callers refused together do not return
/// together.
const RETRY_SPREAD: f64 = 0.5;

/// Fraction of the rate limit of a cold backend server that senders use. The rest covers senders
/// that the others do not know yet, and requests that network delays bunch together.
const COLD_USED_SHARE: f64 = 0.9;

/// Time in which each sender with a share of that rate limit may send one request, if not all have
/// one.
const COLD_TURN: Duration = Duration::from_secs(1);

/// Round-trip time to another region assumed before the first measurement.
const UNKNOWN_ROUND_TRIP: Duration = Duration::from_millis(100);

/// Configuration of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// Name of this entry VM.
    pub vm: VmName,
    /// Region of this entry VM.
    pub region: RegionName,
    /// Regions of all places.
    pub places: BTreeMap<PlaceName, RegionName>,
    /// Interval at which backend servers send heartbeats to control.
    pub heartbeat: Duration,
    /// Limit on the resends of all entry VMs together, for each service.
    pub resends: ResendLimit,
    /// Enabled mechanisms.
    pub policy: DispatchPolicy,
    /// Bytes per second that this entry VM's link carries in each direction; `None` if not known.
    pub link_rate: Option<f64>,
}

/// Selects backend servers for requests and tracks the requests in flight.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) cfg: DispatchConfig,
    pub(crate) own: Sender,
    pub(crate) senders: Vec<Sender>,
    pub(crate) backends: SlotMap<BackendKey, Backend>,
    pub(crate) by_name: BTreeMap<BackendName, BackendKey>,
    /// Backend servers whose records are unusable. A record written by a different release may refer
    /// to a place that is unknown here.
    pub(crate) invalid: BTreeSet<BackendKey>,
    /// Backend servers of the view that was applied last.
    pub(crate) followed_backends: OrdMap<BackendName, Arc<BackendRecord>>,
    pub(crate) services: BTreeMap<ServiceName, Service>,
    /// Detects cold backend servers while control is unreachable.
    pub(crate) cold_tracker: ColdTracker,
    /// Round-robin position for cold queries among the backend servers of a place.
    pub(crate) query_turn: usize,
    /// Shortest round-trip time measured to each region.
    pub(crate) delays: BTreeMap<RegionName, Duration>,
    /// Congestion of this entry VM's own network link, while it is not scheduled.
    link: LinkCongestion,
    /// Account of the bytes on the link; `None` if its rate is not known.
    pub(crate) link_admission: Option<LinkAdmission>,
    /// Number of requests that were sent and have not ended.
    in_flight: usize,
    pub(crate) silent: BTreeSet<BackendName>,
    pub(crate) evacuated: BTreeSet<PlaceName>,
    pub(crate) started_at: Instant,
    moves: RegionMoves,
    rank_fairness: RankFairness,
    /// Position of the next retry delay within its spread, 0 to 1.
    spread_phase: f64,
    /// What backend servers stated, as far as it has to be logged and has not been taken yet.
    pub(crate) statement_events: Vec<StatementEvent>,
    /// Whether the backend servers that must not be sent requests have changed.
    pub(crate) holds_changed: bool,
    /// Processes of backend servers that are leaving, as control passed on last.
    pub(crate) shared_leaving: BTreeMap<BackendName, u64>,
    /// Limits that control passed on last.
    pub(crate) shared_limits: BTreeMap<BackendName, LimitObservation>,
    /// Whether control has to be told a limit, or that a backend server is leaving.
    pub(crate) reports_due: bool,
    /// Retry delays of requests that are refused because all backend servers are closed to them.
    pub(crate) advice: RetryAdvice,
}

impl Dispatcher {
    /// Creates a dispatcher without any backend server.
    #[must_use]
    pub fn new(cfg: DispatchConfig, now: Instant) -> Self {
        let own = Sender {
            vm: MemberHash::of(cfg.vm.as_str()),
            region: MemberHash::of(cfg.region.as_str()),
        };
        let advice = RetryAdvice::new(ObjectHash::of("retry", cfg.vm.as_str()).0);
        let link_admission = cfg.link_rate.map(LinkAdmission::new);
        // All entry VMs may lose control at once, and must not query the same backend servers.
        let query_turn = ObjectHash::of("cold query", cfg.vm.as_str()).0 % u64::from(u32::MAX);
        let query_turn = usize::try_from(query_turn).unwrap_or_default();
        Self {
            cfg,
            own,
            senders: vec![own],
            backends: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            invalid: BTreeSet::new(),
            followed_backends: OrdMap::new(),
            services: BTreeMap::new(),
            cold_tracker: ColdTracker::new(now),
            query_turn,
            delays: BTreeMap::new(),
            link: LinkCongestion::default(),
            link_admission,
            in_flight: 0,
            silent: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            started_at: now,
            moves: RegionMoves::default(),
            rank_fairness: RankFairness::default(),
            spread_phase: 0.0,
            statement_events: Vec::new(),
            holds_changed: false,
            shared_leaving: BTreeMap::new(),
            shared_limits: BTreeMap::new(),
            reports_due: false,
            advice,
        }
    }

    /// Records how long it took to establish a connection to a backend server, which is one
    /// round trip.
    pub fn note_connected(&mut self, key: BackendKey, took: Duration) {
        let Some(backend) = self.backends.get(key) else {
            return;
        };
        let known = self.delays.entry(backend.region.clone()).or_insert(took);
        *known = took.min(*known);
        self.link.note(took.saturating_sub(*known));
    }

    /// Applies the load of this entry VM's link.
    pub const fn note_link_load(&mut self, load: LinkLoad) {
        if let Some(admission) = &mut self.link_admission {
            admission.note_load(load);
        }
    }

    /// Records the time from the head to the end of a streamed response.
    pub fn note_streamed(&mut self, key: BackendKey, latency_key: RouteLatencyKey, took: Duration) {
        let service = self
            .backends
            .get(key)
            .map(|backend| &backend.record.service);
        if let Some(service) = service.and_then(|name| self.services.get_mut(name)) {
            service.latency.observe_body(latency_key, took);
        }
    }

    /// Selects a backend server and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`] with the reason if no backend server was selected.
    pub fn choose(
        &mut self,
        now: Instant,
        request: &DispatchRequest<'_>,
    ) -> Result<Choice, Refused> {
        let VersionChoice { filter, fallback } = self.version_choice(now, request);
        let refused = match self.choose_among(now, request, filter) {
            Ok(choice) => return Ok(choice),
            Err(refused) => refused,
        };
        match fallback {
            Fallback::Refused(other) => self.choose_among(now, request, other),
            Fallback::Unavailable(other)
                if matches!(
                    refused.reason,
                    RefusedReason::NoBackend | RefusedReason::Limited | RefusedReason::Paused
                ) =>
            {
                self.choose_among(now, request, other)
            }
            Fallback::Unavailable(_) | Fallback::Never => Err(refused),
        }
    }

    fn version_choice(&mut self, now: Instant, request: &DispatchRequest<'_>) -> VersionChoice {
        let cautious = !request.tried.is_empty() || self.cold_tracker.is_control_lost(now);
        let Some(service) = self.services.get_mut(request.service) else {
            return VersionChoice::ANY;
        };
        let Some(rollout) = &mut service.rollout else {
            return VersionChoice::ANY;
        };
        // A version that is being judged may fail each of its requests.
        let at_target = service.backends.iter().map(|key| &self.backends[*key]);
        let at_target = at_target.filter(|backend| backend.is_target());
        let at_target: usize = at_target.map(|backend| backend.load.own_requests()).sum();
        let needed = u32::try_from(at_target + 1).unwrap_or(u32::MAX);
        let can_resend = !self.cfg.policy.resends || service.budget.affords(now, needed);
        rollout.choose(request.object, cautious || !can_resend)
    }

    fn choose_among(
        &mut self,
        now: Instant,
        request: &DispatchRequest<'_>,
        filter: VersionFilter,
    ) -> Result<Choice, Refused> {
        let Some(service) = self.services.get_mut(request.service) else {
            return Err(refuse(RefusedReason::NoBackend));
        };
        let policy = self.cfg.policy;
        let shared = RouteName::new("");
        let route = if policy.routes_apart {
            request.route
        } else {
            &shared
        };
        let latency_key = service.latency.route(route, request.latency_objective);
        let may_move = self.moves.may_move(now);
        let wait_share = if policy.shares_by_priority {
            self.rank_fairness.wait_share(now, request.rank)
        } else {
            1.0
        };
        let time = AnswerTime::left(now, request, wait_share);
        let time_left = time.deadline;
        let expected_answer = self.expect_answer(request.route);
        if !self.link_has_room(now, expected_answer, time) {
            return Err(self.refuse_retry_elsewhere(RefusedReason::LinkFull));
        }
        let service = &self.services[request.service];
        let Candidates {
            list: candidates,
            limited,
            paused,
        } = self.candidates(now, service, latency_key, request, filter);
        let passed_over = PassedOver {
            limited,
            paused: paused.len(),
        };
        let preferred = dispatch_pick::preferred_region(&candidates);
        let limits = PickLimits {
            time_left,
            objective: time.objective,
            wait_share,
            mean: service.latency.mean(),
            may_copy: service.may_copy(request.object, policy.bounded_copies),
            pinned_region: preferred.filter(|_| !may_move),
            policy,
        };
        let max_connections = service.definition.max_connections;
        let best = dispatch_pick::pick(&candidates, &limits);
        let time_to_last_byte = service.latency.time_to_last_byte(latency_key);
        let best = best.filter(|best| {
            request.answers_until.is_none() || best.wait + time_to_last_byte <= time_left
        });
        for key in paused {
            self.backends[key].pushback.note_passed_over();
        }
        if !candidates.is_empty() {
            self.rank_fairness.note(now, request.rank, best.is_some());
        }
        let Some(best) = best else {
            return Err(self.refuse_unfit(now, request, &candidates, limits));
        };
        if let Some(service) = self.services.get_mut(request.service) {
            if !request.resend {
                service.budget.note_request(now);
            } else if !policy.resends || !service.budget.try_take(now) {
                return Err(refuse(RefusedReason::NoResend));
            }
            if let Some(object) = request.object {
                service.note_object(now, object, best.warm);
            }
        }
        let moved = preferred.is_some_and(|region| region != best.region);
        self.moves.note(now, moved);
        let choice = self.begin(now, &best, latency_key, max_connections, passed_over);
        if let (Some(admission), Some(expected)) = (&mut self.link_admission, &expected_answer) {
            admission.begin(expected);
        }
        Ok(Choice {
            expected_answer,
            ..choice
        })
    }

    fn expect_answer(&mut self, route: &RouteName) -> Option<ExpectedAnswer> {
        self.link_admission
            .as_mut()
            .and_then(|admission| admission.expect(route))
    }

    /// Returns whether this entry VM's link can carry one more answer in time.
    fn link_has_room(
        &mut self,
        now: Instant,
        expected: Option<ExpectedAnswer>,
        time: AnswerTime,
    ) -> bool {
        match (&self.link_admission, expected) {
            (Some(admission), Some(expected)) => admission.has_room(&expected, time),
            _ => self.link.has_room(now, self.in_flight, time.wait_share),
        }
    }

    /// Refuses a request for which no candidate fits.
    fn refuse_unfit(
        &mut self,
        now: Instant,
        request: &DispatchRequest<'_>,
        candidates: &[Candidate],
        limits: PickLimits,
    ) -> Refused {
        if candidates.is_empty() {
            self.refuse_closed(now, request)
                .unwrap_or_else(|| refuse(RefusedReason::NoBackend))
        } else if fits_without_stop(now, request, candidates, limits) {
            self.refuse_retry_elsewhere(RefusedReason::Leaving)
        } else {
            self.refuse_no_room(candidates)
        }
    }

    /// Refuses a request that another entry VM can serve immediately.
    fn refuse_retry_elsewhere(&mut self, reason: RefusedReason) -> Refused {
        Refused {
            reason,
            retry_after: self.spread(RETRY_ELSEWHERE_AFTER),
            considered: 0,
            shortest_wait: None,
        }
    }

    fn refuse_no_room(&mut self, candidates: &[Candidate]) -> Refused {
        let wait = shortest_wait(candidates.iter());
        let with_data: Vec<&Candidate> = candidates.iter().filter(|c| c.warm).collect();
        Refused {
            reason: RefusedReason::NoRoom,
            considered: with_data.len(),
            shortest_wait: shortest_wait(with_data.into_iter()),
            retry_after: self.spread(
                wait.unwrap_or(RETRY_AFTER.0)
                    .clamp(RETRY_AFTER.0, RETRY_AFTER.1),
            ),
        }
    }

    /// Spreads the retry delays of consecutive refusals evenly, using the golden ratio.
    fn spread(&mut self, time: Duration) -> Duration {
        const GOLDEN: f64 = 0.618_033_988_75;
        if !self.cfg.policy.spread_returns {
            return time;
        }
        self.spread_phase = (self.spread_phase + GOLDEN).fract();
        time.mul_f64(1.0 + RETRY_SPREAD * (self.spread_phase - 0.5))
    }

    fn begin(
        &mut self,
        now: Instant,
        best: &Candidate,
        latency_key: RouteLatencyKey,
        max_connections: u32,
        passed_over: PassedOver,
    ) -> Choice {
        let interval = self.limit_interval(now, &self.backends[best.backend]);
        let receive_buffer = self.receive_buffer(&self.backends[best.backend].region);
        let backend = &mut self.backends[best.backend];
        backend.gate.note_sent(now, interval.unwrap_or_default());
        let report_age = backend.load.report_age(now);
        let expectation = Expectation {
            latency_key,
            warm: best.warm,
            queued: best.wait > 0.0,
            slow_above: seconds(best.slow_above),
        };
        let trial = backend.pushback.note_sent();
        let send = backend.load.begin(now, expectation, trial);
        self.in_flight += 1;
        Choice {
            backend: best.backend,
            latency_key,
            send,
            name: backend.name.clone(),
            born: backend.record.born,
            address: backend.record.address,
            max_connections,
            warm: best.warm,
            expected: seconds(best.time()),
            wait: seconds(best.wait),
            report_age,
            limit: backend.limit.rate(),
            passed_over,
            expected_answer: None,
            receive_buffer,
        }
    }

    /// Returns the size of the receive buffer for connections to a region, if the link is
    /// scheduled.
    fn receive_buffer(&self, region: &RegionName) -> Option<u32> {
        let admission = self.link_admission.as_ref()?;
        let round_trip = if *region == self.cfg.region {
            Duration::ZERO
        } else {
            let measured = self.delays.get(region).copied();
            measured.unwrap_or(UNKNOWN_ROUND_TRIP)
        };
        admission.receive_buffer(round_trip)
    }

    /// Returns whether a backend server is cold or has to be treated as cold.
    pub(crate) fn is_cold(&self, now: Instant, backend: &Backend) -> bool {
        backend.is_cold(now)
            || self
                .cold_tracker
                .must_assume_cold(now, &backend.record.place)
    }

    pub(crate) fn cold_interval(&self, backend: &Backend, rate: f64) -> Option<Duration> {
        let object = ObjectHash::of("cold", backend.name.as_str());
        let senders = self.senders.iter().map(|sender| sender.vm);
        let rate = rate * COLD_USED_SHARE;
        sender_share::interval(object, self.own.vm, senders, rate, COLD_TURN)
    }

    /// Records the end of a request.
    pub fn ended(&mut self, now: Instant, end: &SendEnd) {
        // Each choice ends exactly once, even if its backend server has been removed by then.
        self.in_flight = self.in_flight.saturating_sub(1);
        if let (Some(admission), Some(expected)) = (&mut self.link_admission, &end.expected_answer)
        {
            admission.end(expected, end.answer_bytes);
        }
        let Some(backend) = self.backends.get_mut(end.backend) else {
            return;
        };
        let Some(send) = backend.load.end(end.send) else {
            return;
        };
        let delay = self.delays.get(&backend.region).copied();
        let took = now
            .saturating_duration_since(send.sent_at)
            .saturating_sub(delay.unwrap_or_default());
        self.note_rollout_answer(end, &send, took);
        self.note_limit(now, end, send.sent_at);
        self.note_trial_ended(now, end, &send);
        let Some(backend) = self.backends.get_mut(end.backend) else {
            return;
        };
        let statement = end.statement.map(|received| received.statement);
        let load = statement.and_then(|statement| statement.load);
        let asks_for_pause = statement.is_some_and(|statement| statement.pushback.is_pause());
        let mut average_others = 0.0;
        if let Some(service) = self.services.get_mut(&backend.record.service) {
            let others = backend.load.reported_others(load);
            if let Some(others) = others.filter(|_| self.cfg.policy.usual_loads) {
                service.note_others(others);
            }
            average_others = service.average_others;
            if let Some(object) = end.object
                && !send.expected.warm
            {
                service.warming.remove(&object);
            }
        }
        match end.outcome {
            SendOutcome::Answered => {
                backend.load.note_answer(now, load, average_others);
                backend.pushback.note_run();
                backend.note_warm(now, end.object);
                if send.expected.queued {
                    return;
                }
                backend
                    .health
                    .note_answer(now, took, send.expected.slow_above);
                // The times of a version that is being judged must not become the expected ones.
                let is_judged = backend
                    .rollout
                    .is_some_and(|part| part.side == Side::Target);
                if let Some(service) = self.services.get_mut(&backend.record.service)
                    && !is_judged
                {
                    service.latency.observe(send.expected.latency_key, took);
                }
            }
            SendOutcome::Faulty => {
                backend.load.note_answer(now, load, average_others);
                backend.pushback.note_run();
                backend.health.note_failure(now);
            }
            SendOutcome::Shed => {
                backend.load.note_answer(now, load, average_others);
                if asks_for_pause {
                    backend.health.note_reached();
                } else {
                    backend.health.note_shed(now);
                    self.note_refusal(now, end.backend, &send, load);
                }
            }
            SendOutcome::Misdirected => backend.usable = false,
            SendOutcome::Unreachable => {
                backend.health.note_unreachable(now);
                self.link.note(took);
            }
            SendOutcome::Broken => backend.health.note_failure(now),
            SendOutcome::Withdrawn | SendOutcome::Abandoned => {}
        }
    }
}

fn refuse(reason: RefusedReason) -> Refused {
    Refused {
        reason,
        retry_after: RETRY_AFTER.0,
        considered: 0,
        shortest_wait: None,
    }
}

/// Returns whether a backend server would have been selected if this entry VM were not
/// stopping.
fn fits_without_stop(
    now: Instant,
    request: &DispatchRequest<'_>,
    candidates: &[Candidate],
    limits: PickLimits,
) -> bool {
    let time_left = request
        .deadline
        .saturating_duration_since(now)
        .as_secs_f64();
    let without_stop = PickLimits {
        time_left,
        ..limits
    };
    time_left > limits.time_left && dispatch_pick::pick(candidates, &without_stop).is_some()
}

fn shortest_wait<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<Duration> {
    let waits = candidates.map(|candidate| candidate.wait);
    waits.min_by(f64::total_cmp).map(seconds)
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
