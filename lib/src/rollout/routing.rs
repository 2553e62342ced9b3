//! Which versions of a service a request may be sent to while a rollout is in progress.
//!
//! The share of the target version is a share of the objects rather than of the requests, so that
//! its backend servers load the data of these objects only, and the others keep the rest. As many
//! of them take part as the share needs: each gets about as many requests as a backend server of
//! the other versions does, so that a fault that shows only under load is seen early.

use crate::affinity::MemberHash;
use crate::affinity::ObjectHash;
use crate::id::Revision;
use crate::id::VersionName;
use crate::rollout::Rollout;
use crate::rollout::TrafficShare;
use crate::rollout::evidence::Evidence;

/// Golden ratio less one, as a fraction of all `u64`: multiples of it are spread evenly.
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

/// Backend servers that a request may be sent to, by their version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionFilter {
    /// Any version.
    Any,
    /// The target version.
    Target,
    /// All other versions.
    Others,
}

/// When a request is sent to a version other than its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fallback {
    /// Its own version cannot serve it in time.
    Refused(VersionFilter),
    /// Its own version has no usable backend server, or only such that are at their limits.
    Unavailable(VersionFilter),
    /// Never.
    Never,
}

/// Versions for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionChoice {
    /// Version that it belongs to.
    pub filter: VersionFilter,
    /// When it may be sent to another one.
    pub fallback: Fallback,
}

impl VersionChoice {
    /// Any version.
    pub const ANY: Self = Self {
        filter: VersionFilter::Any,
        fallback: Fallback::Never,
    };
}

/// A rollout in progress, as one entry VM carries it out.
#[derive(Debug)]
pub struct RolloutRouting {
    /// Identifies the rollout.
    pub id: Revision,
    /// Version that the traffic moves to.
    pub target: VersionName,
    /// Share of the requests that it serves.
    pub share: TrafficShare,
    /// Answers counted since the last report.
    pub evidence: Evidence,
    /// Number of requests without an object.
    turn: u64,
}

impl RolloutRouting {
    /// Returns the routing of a rollout; `None` if it is over.
    #[must_use]
    pub fn new(rollout: &Rollout) -> Option<Self> {
        (!rollout.phase.is_over()).then(|| Self {
            id: rollout.id,
            target: rollout.order.target.clone(),
            share: rollout.phase.share(),
            evidence: Evidence::default(),
            turn: 0,
        })
    }

    /// Returns the versions for a request.
    ///
    /// A `cautious` request avoids the target version while that is being judged: one that has
    /// failed before or could not be sent elsewhere if it failed, or any while control is out of
    /// reach and may have rolled back meanwhile.
    pub fn choose(&mut self, object: Option<ObjectHash>, cautious: bool) -> VersionChoice {
        if self.share == TrafficShare::ALL {
            return VersionChoice {
                filter: VersionFilter::Target,
                fallback: Fallback::Unavailable(VersionFilter::Others),
            };
        }
        let hash = if let Some(object) = object {
            object.weight(MemberHash::of(self.target.as_str()))
        } else {
            self.turn = self.turn.wrapping_add(1);
            self.turn.wrapping_mul(GOLDEN)
        };
        if !cautious && self.share.contains(hash) {
            VersionChoice {
                filter: VersionFilter::Target,
                fallback: Fallback::Refused(VersionFilter::Others),
            }
        } else {
            VersionChoice {
                filter: VersionFilter::Others,
                fallback: Fallback::Unavailable(VersionFilter::Target),
            }
        }
    }

    /// Returns the share of a service's objects that a version serves, as a fraction.
    #[must_use]
    pub fn part(&self, filter: VersionFilter) -> f64 {
        match filter {
            VersionFilter::Any => 1.0,
            VersionFilter::Target => self.share.fraction(),
            VersionFilter::Others => 1.0 - self.share.fraction(),
        }
    }

    /// Returns whether this entry VM still has to finish requests at other versions only.
    #[must_use]
    pub fn is_finishing(&self) -> bool {
        self.share == TrafficShare::ALL
    }
}

/// Returns the share from which on the backend server at position `rank` of `count` ones of the
/// target version in a region takes part. The first one always does.
#[must_use]
pub fn active_from(rank: usize, count: usize) -> TrafficShare {
    if rank == 0 {
        return TrafficShare(0);
    }
    let from = (2 * rank + 1) * usize::from(TrafficShare::ALL.0) / (2 * count.max(1));
    TrafficShare(u16::try_from(from).unwrap_or(u16::MAX))
}
