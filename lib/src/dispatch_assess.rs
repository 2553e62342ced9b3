//! Estimates the cost of sending a request to each backend server.
//!
//! The cost consists of the network delay, the wait in the queue, the run time and a penalty
//! for likely failures. It is computed for the servers that an object is assigned to, or for
//! all servers if none of those is usable.

use std::time::Duration;
use std::time::Instant;

use crate::affinity::ObjectHash;
use crate::direct_dispatch::Dispatcher;
use crate::dispatch_pick::Candidate;
use crate::dispatch_request::BackendKey;
use crate::dispatch_request::DispatchRequest;
use crate::dispatch_service::Service;
use crate::id::RegionName;
use crate::object_copies::MAX_COPIES;
use crate::object_rank;
use crate::object_rank::Member;
use crate::rollout::routing::VersionFilter;
use crate::service_latency::RouteLatencyKey;

/// Round-trip time to another region that is assumed until one has been measured; close to the
/// round-trip times between the users' regions, 70 and 110 ms.
const UNKNOWN_DELAY: Duration = Duration::from_millis(80);

/// Rank of backend servers that an object is not assigned to.
const FALLBACK_RANK: usize = 3 * MAX_COPIES;

/// Factor over the expected run time above which a backend server counts as slow. Run times of
/// individual requests vary by about 15%.
const SLOW_MARGIN: f64 = 1.4;

/// Factor by which requests take longer at a cold backend server.
const COLD_FACTOR: f64 = 2.0;

/// Backend servers that a request may be sent to.
#[derive(Debug)]
pub(crate) struct Candidates {
    /// The candidates, with the estimated cost of each.
    pub list: Vec<Candidate>,
    /// Number of backend servers that the object is assigned to, but whose limits are used up.
    pub limited: usize,
    /// Backend servers that the object is assigned to, but that asked for a time without requests.
    pub paused: Vec<BackendKey>,
}

impl Candidates {
    const fn of(list: Vec<Candidate>) -> Self {
        Self {
            list,
            limited: 0,
            paused: Vec::new(),
        }
    }
}

impl Dispatcher {
    /// Returns the backend servers that a request may be sent to, with the estimated cost of
    /// each.
    ///
    /// An object is assigned to few backend servers, so that requests for it find its data
    /// cached. Other servers are considered only if none of these can be used. A request takes
    /// several times as long there, so spilling over under load would multiply the load and
    /// sustain the overload.
    pub(crate) fn candidates(
        &self,
        now: Instant,
        service: &Service,
        latency_key: RouteLatencyKey,
        request: &DispatchRequest<'_>,
        filter: VersionFilter,
    ) -> Candidates {
        let share = service.target_share();
        let of_version = |key: &BackendKey| self.backends[*key].matches(filter, share);
        let stable: Vec<BackendKey> = service
            .backends
            .iter()
            .filter(|key| of_version(key) && self.is_stable(now, **key, request))
            .copied()
            .collect();
        let is_avoided = |key: &BackendKey| self.backends[*key].pushback.is_avoided(now);
        let assess = |ranked: &[(BackendKey, usize)]| {
            self.assess(now, ranked.iter().copied(), service, latency_key, request)
        };
        let Some(object) = request.object.filter(|_| self.cfg.policy.homes) else {
            let open: Vec<BackendKey> = stable
                .iter()
                .filter(|key| !is_avoided(key))
                .copied()
                .collect();
            return Candidates::of(first_usable(assess, &alike(&open, 0), (&stable, 0)));
        };
        let objects = service.objects_of(filter);
        let ranked = self.ranked(&stable, object, objects);
        let is_closed =
            |key: &BackendKey| is_avoided(key) || self.is_closed(now, &self.backends[*key]);
        let ranked_keys = ranked.iter().map(|(key, _)| *key);
        let closed: Vec<BackendKey> = ranked_keys.filter(is_closed).collect();
        let mut list = if closed.is_empty() {
            Vec::new()
        } else {
            // Only this request takes part in the changed ranking, so that other objects stay
            // where they are.
            let open: Vec<BackendKey> = stable
                .iter()
                .filter(|key| !is_closed(key))
                .copied()
                .collect();
            let ranked = self.ranked(&open, object, objects);
            first_usable(assess, &ranked, (&open, FALLBACK_RANK))
        };
        if list.is_empty() {
            list = first_usable(assess, &ranked, (&stable, FALLBACK_RANK));
        }
        let count = closed.len();
        let is_paused =
            |key: &BackendKey| is_avoided(key) || !self.backends[*key].pushback.admits(now);
        let paused: Vec<BackendKey> = closed.into_iter().filter(is_paused).collect();
        let limited = count - paused.len();
        if list.is_empty() {
            list = self.assess_cold(now, service, latency_key, request, of_version);
        }
        Candidates {
            list,
            limited,
            paused,
        }
    }

    fn assess_cold(
        &self,
        now: Instant,
        service: &Service,
        latency_key: RouteLatencyKey,
        request: &DispatchRequest<'_>,
        of_version: impl Fn(&BackendKey) -> bool,
    ) -> Vec<Candidate> {
        let cold = service.backends.iter().filter(|key| {
            let backend = &self.backends[**key];
            backend.usable && of_version(key) && self.is_cold(now, backend)
        });
        let cold = cold.map(|key| (*key, FALLBACK_RANK));
        self.assess(now, cold, service, latency_key, request)
    }

    fn assess(
        &self,
        now: Instant,
        ranked: impl Iterator<Item = (BackendKey, usize)>,
        service: &Service,
        latency_key: RouteLatencyKey,
        request: &DispatchRequest<'_>,
    ) -> Vec<Candidate> {
        ranked
            .filter(|(key, _)| self.is_allowed(now, *key, request))
            .filter_map(|(key, rank)| self.candidate(now, key, rank, service, latency_key, request))
            .collect()
    }

    /// Returns whether a backend server takes part in the ranking. State that changes from one
    /// request to the next is not considered, or objects would keep moving between servers.
    fn is_stable(&self, now: Instant, key: BackendKey, request: &DispatchRequest<'_>) -> bool {
        let backend = &self.backends[key];
        backend.usable
            && !backend.silent
            && request.allows(&backend.region)
            && !self.is_cold(now, backend)
    }

    fn is_allowed(&self, now: Instant, key: BackendKey, request: &DispatchRequest<'_>) -> bool {
        let backend = &self.backends[key];
        request.allows(&backend.region)
            && backend.health.is_reachable(now)
            && !request.tried.contains(&key)
            && !self.is_closed(now, backend)
    }

    /// Ranks the backend servers that an object is assigned to.
    fn ranked(
        &self,
        stable: &[BackendKey],
        object: ObjectHash,
        objects: usize,
    ) -> Vec<(BackendKey, usize)> {
        let members = stable.iter().map(|key| {
            let backend = &self.backends[*key];
            Member {
                backend: *key,
                weight: object.weight(backend.hash),
                region: &backend.region,
            }
        });
        object_rank::rank(members, object, objects, &self.cfg.region)
    }

    fn candidate(
        &self,
        now: Instant,
        key: BackendKey,
        rank: usize,
        service: &Service,
        latency_key: RouteLatencyKey,
        request: &DispatchRequest<'_>,
    ) -> Option<Candidate> {
        let backend = &self.backends[key];
        let is_cold = self.is_cold(now, backend);
        if is_cold {
            let interval = self.cold_interval(backend, service.definition.cold_rate)?;
            if now < backend.cold_opens || !backend.gate.is_open(now, interval, Duration::ZERO) {
                return None;
            }
        }
        let slots = f64::from(backend.record.slots.max(1));
        let load = backend.load.estimate(now, service.average_others) + 1.0;
        let queued = (load - slots).max(0.0);
        let known_warm = request.object.is_some_and(|o| backend.has_warm(now, o));
        let warm = rank == 0 || known_warm;
        let factor = if is_cold { COLD_FACTOR } else { 1.0 };
        let policy = &self.cfg.policy;
        let slowness = if policy.slow_marks {
            backend.health.slowness(now)
        } else {
            1.0
        };
        let service_time = service.latency.expected(latency_key, warm) * factor * slowness;
        let objective = request.latency_objective.as_secs_f64();
        let wait = queued * service.latency.mean() * factor * slowness / slots;
        let (fault_penalty, risk_penalty) = if policy.fault_marks {
            let cold = service.latency.expected(latency_key, false);
            let fault_penalty = backend.fault_penalty(now, wait, cold, objective);
            (fault_penalty, backend.risk_penalty(now, objective))
        } else {
            (0.0, 0.0)
        };
        Some(Candidate {
            backend: key,
            base: self.delay(&backend.region) + service_time,
            wait,
            fault_penalty,
            risk_penalty: risk_penalty + tie_break(rank),
            load: load / slots,
            slow_above: service.latency.expected(latency_key, known_warm) * factor * SLOW_MARGIN,
            warm,
            is_local: backend.region == self.cfg.region,
            region: backend.region_hash,
        })
    }

    fn delay(&self, region: &RegionName) -> f64 {
        if let Some(delay) = self.delays.get(region) {
            return delay.as_secs_f64();
        }
        if *region == self.cfg.region {
            0.0
        } else {
            UNKNOWN_DELAY.as_secs_f64()
        }
    }
}

/// Gives all backend servers the same rank.
fn alike(keys: &[BackendKey], rank: usize) -> Vec<(BackendKey, usize)> {
    keys.iter().map(|key| (*key, rank)).collect()
}

/// Returns the candidates among `preferred`, or those among others, all of one rank, if there are none.
fn first_usable(
    assess: impl Fn(&[(BackendKey, usize)]) -> Vec<Candidate>,
    preferred: &[(BackendKey, usize)],
    (others, rank): (&[BackendKey], usize),
) -> Vec<Candidate> {
    let list = assess(preferred);
    if list.is_empty() {
        assess(&alike(others, rank))
    } else {
        list
    }
}

/// Orders otherwise equal backend servers by rank, in steps of 5 ms, which is well below the
/// cost of waiting or of a round trip to another region.
fn tie_break(rank: usize) -> f64 {
    const STEP: f64 = 0.005;
    let rank = u32::try_from(rank.min(FALLBACK_RANK)).unwrap_or(u32::MAX);
    STEP * f64::from(rank)
}
