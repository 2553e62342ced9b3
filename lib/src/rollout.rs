//! Rollouts: the traffic of a service moves to backend servers of another version in stages, and
//! back if that version turns out to be worse.
//!
//! The state is replicated. The leader decides on each stage (`plan`), and entry VMs send
//! requests accordingly (`routing`).

pub mod evidence;
mod group_odds;
pub mod observer;
pub mod plan;
pub mod routing;
pub mod verdict;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Revision;
use crate::id::RouteName;
use crate::id::ServiceName;
use crate::id::VersionName;

/// Time after an order in which an equal one counts as a resend of it.
const RESEND_WINDOW_MS: u64 = 60_000;

/// An operator's order to move the traffic of a service to another version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutOrder {
    /// Service whose traffic is to move.
    pub service: ServiceName,
    /// Version of the backend servers that are to serve it.
    pub target: VersionName,
    /// Time by which the rollout has to be over.
    pub duration: Duration,
    /// Wall-clock time of the order, in milliseconds since the Unix epoch.
    pub ordered_ms: u64,
}

/// Response to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RolloutAnswer {
    /// The rollout has begun, now or with an earlier copy of the order.
    Accepted,
    /// Another rollout of the service is not over yet.
    InProgress {
        /// Version that it moves to.
        target: VersionName,
    },
    /// The manifest has no such service.
    UnknownService,
}

/// Share of a service's requests, in thousandths.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TrafficShare(pub u16);

impl TrafficShare {
    /// All requests.
    pub const ALL: Self = Self(1_000);

    /// Returns the share as a fraction, 0 to 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::ALL.0)
    }

    /// Returns whether a hash value that is uniform over all `u64` lies within the share.
    #[must_use]
    pub fn contains(self, hash: u64) -> bool {
        u128::from(hash) * u128::from(Self::ALL.0) < u128::from(self.0) << u64::BITS
    }
}

/// Stage of a rollout.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RolloutPhase {
    /// The target version serves a part of the requests.
    Partial(TrafficShare),
    /// The target version serves all new requests; other versions finish theirs.
    Finishing,
    /// The target version alone serves the service.
    Completed,
    /// The target version serves nothing.
    RolledBack(RollbackReason),
}

impl RolloutPhase {
    /// Returns whether the rollout is over.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack(_))
    }

    /// Returns the share of requests that the target version serves.
    #[must_use]
    pub const fn share(&self) -> TrafficShare {
        match self {
            Self::Partial(share) => *share,
            Self::Finishing | Self::Completed => TrafficShare::ALL,
            Self::RolledBack(_) => TrafficShare(0),
        }
    }

    /// Returns why the rollout was rolled back; `None` if it was not.
    #[must_use]
    pub const fn rollback_reason(&self) -> Option<&RollbackReason> {
        match self {
            Self::RolledBack(reason) => Some(reason),
            Self::Partial(_) | Self::Finishing | Self::Completed => None,
        }
    }

    /// Returns whether a rollout in this phase may proceed to `next`.
    fn may_become(&self, next: &Self) -> bool {
        match (self, next) {
            (Self::Partial(share), Self::Partial(larger)) => share < larger,
            (Self::Partial(_), Self::Finishing | Self::RolledBack(_))
            | (Self::Finishing, Self::Completed | Self::RolledBack(_)) => true,
            _ => false,
        }
    }

    /// Returns the name of the phase in logs, metrics and reports.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Partial(_) => "partial",
            Self::Finishing => "finishing",
            Self::Completed => "completed",
            Self::RolledBack(_) => "rolled_back",
        }
    }
}

/// Why a rollout was rolled back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RollbackReason {
    /// Requests of a route fail or take too long more often at the target version.
    Worse {
        /// The route; `None` if its name is not known to the replica that decided.
        route: Option<RouteName>,
        /// Share of bad answers at the target version, in thousandths.
        target_bad: u16,
        /// Share of bad answers at the other versions over the same time, in thousandths.
        others_bad: u16,
    },
    /// No backend server of the target version became usable in time.
    NoBackends,
    /// Too few requests were answered by the target version to judge it in time.
    TooFewAnswers {
        /// Number of answers.
        answers: u32,
    },
    /// The target version could not take over all traffic in time.
    OutOfTime,
}

impl RollbackReason {
    /// Returns the route on which the target version was worse.
    #[must_use]
    pub const fn route(&self) -> Option<&RouteName> {
        match self {
            Self::Worse { route, .. } => route.as_ref(),
            Self::NoBackends | Self::TooFewAnswers { .. } | Self::OutOfTime => None,
        }
    }

    /// Returns the name of the reason in logs and reports.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Worse { .. } => "worse",
            Self::NoBackends => "no_backends",
            Self::TooFewAnswers { .. } => "too_few_answers",
            Self::OutOfTime => "out_of_time",
        }
    }
}

/// State of a service's latest rollout.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rollout {
    /// Log position of the order, which identifies the rollout.
    pub id: Revision,
    /// The order.
    pub order: RolloutOrder,
    /// Stage that it has reached.
    pub phase: RolloutPhase,
    /// Time from the order to the beginning of the stage.
    pub elapsed: Duration,
    /// Versions that a completed rollout has replaced.
    pub replaced: Vec<VersionName>,
}

/// A change of a rollout's stage, decided by the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutStep {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Identifies the rollout.
    pub id: Revision,
    /// The next stage.
    pub phase: RolloutPhase,
    /// Time from the order to the decision.
    pub elapsed: Duration,
}

/// Latest rollouts of all services.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutState {
    rollouts: BTreeMap<ServiceName, StampedRollout>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct StampedRollout {
    /// Log position of the last change.
    revision: Revision,
    rollout: Rollout,
}

impl RolloutState {
    /// Starts a rollout at log position `index`. Changes the state only if the answer is
    /// [`RolloutAnswer::Accepted`] and the order is not a resend.
    pub fn order(&mut self, index: Revision, order: &RolloutOrder) -> RolloutAnswer {
        if let Some(known) = self.get(&order.service) {
            if known.is_order(order) {
                return RolloutAnswer::Accepted;
            }
            if !known.phase.is_over() {
                return RolloutAnswer::InProgress {
                    target: known.order.target.clone(),
                };
            }
        }
        let rollout = Rollout {
            id: index,
            order: order.clone(),
            phase: RolloutPhase::Partial(TrafficShare(0)),
            elapsed: Duration::ZERO,
            replaced: Vec::new(),
        };
        let stamped = StampedRollout {
            revision: index,
            rollout,
        };
        self.rollouts.insert(order.service.clone(), stamped);
        RolloutAnswer::Accepted
    }

    /// Applies a decision of the leader; returns whether it changed anything. A decision of an
    /// earlier leader that a later one has overtaken changes nothing. `versions` are those of all
    /// backend servers of the service.
    pub fn step<'a>(
        &mut self,
        index: Revision,
        step: &RolloutStep,
        versions: impl Iterator<Item = &'a VersionName>,
    ) -> bool {
        let Some(known) = self.rollouts.get_mut(&step.service) else {
            return false;
        };
        let rollout = &mut known.rollout;
        if rollout.id != step.id || !rollout.phase.may_become(&step.phase) {
            return false;
        }
        rollout.phase = step.phase.clone();
        rollout.elapsed = rollout.elapsed.max(step.elapsed);
        if rollout.phase == RolloutPhase::Completed {
            let others: BTreeSet<&VersionName> = versions
                .filter(|version| **version != rollout.order.target)
                .collect();
            rollout.replaced = others.into_iter().cloned().collect();
        }
        known.revision = index;
        true
    }

    /// Drops the rollouts of services that no longer exist; returns whether there were any.
    pub fn retain(&mut self, exists: impl Fn(&ServiceName) -> bool) -> bool {
        let before = self.rollouts.len();
        self.rollouts.retain(|service, _| exists(service));
        self.rollouts.len() != before
    }

    /// Returns whether [`Self::retain`] would drop a rollout.
    #[must_use]
    pub fn lacks(&self, exists: impl Fn(&ServiceName) -> bool) -> bool {
        !self.rollouts.keys().all(exists)
    }

    /// Returns the latest rollout of a service.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<&Rollout> {
        self.rollouts.get(service).map(|stamped| &stamped.rollout)
    }

    /// Iterates over the latest rollouts by service.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &Rollout)> {
        self.rollouts
            .iter()
            .map(|(service, stamped)| (service, &stamped.rollout))
    }

    /// Returns the rollouts that changed after log position `since`.
    #[must_use]
    pub fn changed_since(&self, since: Revision) -> Vec<(ServiceName, Rollout)> {
        self.rollouts
            .iter()
            .filter(|(_, stamped)| stamped.revision > since)
            .map(|(service, stamped)| (service.clone(), stamped.rollout.clone()))
            .collect()
    }
}

impl Rollout {
    /// Returns whether backend servers of a version may be sent requests at all.
    #[must_use]
    pub fn permits(&self, version: &VersionName) -> bool {
        match &self.phase {
            RolloutPhase::Partial(_) | RolloutPhase::Finishing => true,
            RolloutPhase::Completed => !self.replaced.contains(version),
            RolloutPhase::RolledBack(_) => *version != self.order.target,
        }
    }

    /// Returns whether `order` is the one that began this rollout, sent again. Senders repeat an
    /// order unchanged when its answer is lost, also to replicas whose clocks differ.
    fn is_order(&self, order: &RolloutOrder) -> bool {
        let known = &self.order;
        let age_ms = known.ordered_ms.abs_diff(order.ordered_ms);
        known.target == order.target
            && known.duration == order.duration
            && (!self.phase.is_over() || age_ms <= RESEND_WINDOW_MS)
    }
}
