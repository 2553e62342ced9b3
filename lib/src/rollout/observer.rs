//! Counts how the versions of a service answer while a rollout is in progress.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::affinity::MemberHash;
use crate::affinity::ObjectHash;
use crate::backend_load::InFlight;
use crate::direct_dispatch::Dispatcher;
use crate::dispatch_backend::RolloutPart;
use crate::dispatch_request::BackendKey;
use crate::dispatch_request::SendEnd;
use crate::dispatch_request::SendOutcome;
use crate::id::Revision;
use crate::id::VmName;
use crate::rollout::TrafficShare;
use crate::rollout::evidence::Cell;
use crate::rollout::evidence::Evidence;
use crate::rollout::evidence::Group;
use crate::rollout::evidence::Quality;
use crate::rollout::evidence::RouteHash;
use crate::rollout::evidence::Side;
use crate::rollout::routing;

/// Factor over the run time at which a backend server counts as slow that makes an answer slow for
/// its version.
const SLOW_FACTOR: f64 = 1.25;

/// Shortest time that makes an answer slow for its version. The target version's first requests wait
/// for connections, which services that answer within milliseconds would be judged by.
const MIN_SLOW: Duration = Duration::from_millis(20);

/// Smallest number of backend servers of the target version that take part.
const MIN_ACTIVE: usize = 3;

/// Identifies an entry VM in reports without its name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VmHash(u64);

impl VmHash {
    /// Hashes the name of an entry VM.
    #[must_use]
    pub fn of(vm: &VmName) -> Self {
        Self(ObjectHash::of("vm", vm.as_str()).0)
    }
}

/// What an entry VM has observed of a rollout since its last report, or several entry VMs have.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutReport {
    /// Log position of the order.
    pub rollout: Revision,
    /// Counted answers.
    pub evidence: Evidence,
    /// Entry VMs that send all requests to the target version and have none in progress at others.
    pub idle: Vec<VmHash>,
}

impl RolloutReport {
    /// Creates an empty report.
    #[must_use]
    pub fn new(rollout: Revision) -> Self {
        Self {
            rollout,
            evidence: Evidence::default(),
            idle: Vec::new(),
        }
    }

    /// Adds the report to that on the same rollout among `reports`.
    pub fn merge_into(&self, reports: &mut BTreeMap<Revision, Self>) {
        let known = reports.entry(self.rollout);
        known.or_insert_with(|| Self::new(self.rollout)).merge(self);
    }

    /// Adds another report on the same rollout. It may contain answers that were counted twice,
    /// since a report whose receipt is not confirmed is sent again.
    pub fn merge(&mut self, other: &Self) {
        self.evidence.merge(&other.evidence);
        for vm in &other.idle {
            if !self.idle.contains(vm) {
                self.idle.push(*vm);
            }
        }
    }
}

impl Dispatcher {
    /// Returns what was observed of each rollout in progress since the last call.
    pub fn take_rollout_reports(&mut self, now: Instant) -> Vec<RolloutReport> {
        self.note_overdue(now);
        let own = VmHash::of(&self.cfg.vm);
        let mut reports = Vec::new();
        for service in self.services.values_mut() {
            let Some(rollout) = &mut service.rollout else {
                continue;
            };
            let at_others = service.backends.iter().any(|key| {
                let backend = &self.backends[*key];
                let part = backend.rollout;
                part.is_some_and(|part| part.side == Side::Others) && backend.is_busy()
            });
            let is_idle = rollout.is_finishing() && !at_others;
            reports.push(RolloutReport {
                rollout: rollout.id,
                evidence: std::mem::take(&mut rollout.evidence),
                idle: is_idle.then_some(own).into_iter().collect(),
            });
        }
        reports
    }

    /// Counts requests as slow that are in flight for longer than they should take. A version that
    /// hangs would otherwise be noticed only when they time out.
    fn note_overdue(&mut self, now: Instant) {
        for service in self.services.values_mut() {
            let Some(rollout) = &mut service.rollout else {
                continue;
            };
            for key in &service.backends {
                let backend = &mut self.backends[*key];
                let delay = self.delays.get(&backend.region).copied();
                let Some(part) = backend.rollout else {
                    continue;
                };
                for send in backend.load.in_flight_mut() {
                    let age = now.saturating_duration_since(send.sent_at);
                    let is_overdue = is_slow(send, age.saturating_sub(delay.unwrap_or_default()));
                    if send.overdue || !is_overdue {
                        continue;
                    }
                    send.overdue = true;
                    if let Some(route) = service.latency.route_name(send.expected.latency_key) {
                        let cell = part.cell(RouteHash::of(route));
                        rollout.evidence.note(cell, Quality::Slow);
                    }
                }
            }
        }
    }

    /// Counts the answer to a request at a service with a rollout in progress; `took` is without the
    /// network delay.
    pub(crate) fn note_rollout_answer(&mut self, end: &SendEnd, send: &InFlight, took: Duration) {
        let backend = &self.backends[end.backend];
        let Some(part) = backend.rollout else {
            return;
        };
        let Some(service) = self.services.get_mut(&backend.record.service) else {
            return;
        };
        let Some(quality) = quality(end.outcome, send, took) else {
            return;
        };
        let route = service.latency.route_name(send.expected.latency_key);
        let route = route.map(RouteHash::of);
        if let (Some(route), Some(rollout)) = (route, &mut service.rollout) {
            rollout.evidence.note(part.cell(route), quality);
        }
    }

    /// Records that the body of an answer is being passed on.
    pub fn stream_began(&mut self, key: BackendKey) {
        if let Some(backend) = self.backends.get_mut(key) {
            backend.streams += 1;
        }
    }

    /// Records that the body of an answer is not being passed on any more.
    pub fn stream_ended(&mut self, key: BackendKey) {
        if let Some(backend) = self.backends.get_mut(key) {
            backend.streams = backend.streams.saturating_sub(1);
        }
    }

    /// Assigns backend servers to the versions of the rollouts in progress. In each region as many
    /// of the target version take part as its share needs.
    pub(crate) fn assign_rollout_parts(&mut self) {
        for service in self.services.values() {
            let Some(rollout) = &service.rollout else {
                continue;
            };
            let mut regions: BTreeMap<MemberHash, Vec<(u64, BackendKey)>> = BTreeMap::new();
            for key in &service.backends {
                let backend = &mut self.backends[*key];
                let is_target = backend.record.version == rollout.target;
                backend.rollout = Some(RolloutPart {
                    side: if is_target {
                        Side::Target
                    } else {
                        Side::Others
                    },
                    active_from: TrafficShare::ALL,
                    group: Group::of(&backend.name),
                });
                if is_target && backend.usable {
                    let rank = ObjectHash::of("rollout", rollout.target.as_str());
                    let weight = rank.weight(backend.hash);
                    let region = regions.entry(backend.region_hash).or_default();
                    region.push((weight, *key));
                }
            }
            for (key, active_from) in activations(regions.into_values()) {
                if let Some(part) = &mut self.backends[key].rollout {
                    part.active_from = active_from;
                }
            }
        }
    }
}

/// Returns the share from which on each backend server of the target version takes part. The
/// [`MIN_ACTIVE`] first ones always do: the faults of one of them must not pass for the version's.
fn activations(
    regions: impl Iterator<Item = Vec<(u64, BackendKey)>>,
) -> Vec<(BackendKey, TrafficShare)> {
    let mut activations = Vec::new();
    for mut members in regions {
        members.sort_unstable();
        let count = members.len();
        let ranked = members.into_iter().enumerate();
        activations.extend(ranked.map(|(rank, (_, key))| (key, routing::active_from(rank, count))));
    }
    activations.sort_by_key(|(_, active_from)| *active_from);
    for (_, active_from) in activations.iter_mut().take(MIN_ACTIVE) {
        *active_from = TrafficShare(0);
    }
    activations
}

impl RolloutPart {
    const fn cell(self, route: RouteHash) -> Cell {
        Cell {
            route,
            side: self.side,
            group: self.group,
        }
    }
}

/// Returns what the end of a request shows about the version; `None` if nothing, or if the request
/// was counted already.
fn quality(outcome: SendOutcome, send: &InFlight, took: Duration) -> Option<Quality> {
    match outcome {
        _ if send.overdue => None,
        SendOutcome::Answered if is_slow(send, took) => Some(Quality::Slow),
        SendOutcome::Answered => Some(Quality::Good),
        SendOutcome::Faulty | SendOutcome::Broken => Some(Quality::Failed),
        SendOutcome::Shed
        | SendOutcome::Misdirected
        | SendOutcome::Unreachable
        | SendOutcome::Withdrawn
        | SendOutcome::Abandoned => None,
    }
}

/// Returns whether a request takes longer than it should, apart from queueing.
fn is_slow(send: &InFlight, took: Duration) -> bool {
    let slow_above = send.expected.slow_above.mul_f64(SLOW_FACTOR);
    !send.expected.queued && took > slow_above.max(MIN_SLOW)
}
