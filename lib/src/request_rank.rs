//! Priority of requests when capacity is short.
//!
//! A less urgent request may wait for less time, so it is refused while there is still
//! room for an urgent one. A team's priority takes precedence over the priority of the
//! route. A request that may wait least could be starved for as long as capacity is
//! short; [`RankFairness`] therefore lets a rank that is served much less often than the
//! others wait as long as the first rank.

use std::time::Duration;
use std::time::Instant;

/// Fraction of the remaining time that a request without a team may wait, by the priority
/// of its route.
const ROUTE_WAIT_SHARES: [f64; RANKS] = [1.0, 0.8, 0.6];

/// Reduction of that fraction per rank of the team. It exceeds the total reduction by
/// route, so that the team takes precedence.
const TEAM_STEP: f64 = 0.15;

/// Reduction of that fraction per rank of the route within a team.
const ROUTE_STEP: f64 = 0.05;

/// Number of ranks that are distinguished; lower priorities count as the last rank.
const RANKS: usize = 3;

/// Half-life of the request counts of a rank.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Minimum number of recent requests of a rank before it can count as starved.
const MIN_REQUESTS: f64 = 4.0;

/// A rank is starved if it is served less often than this fraction of the overall rate.
/// No rank may be served less than a quarter as often as all.
const STARVATION_RATIO: f64 = 0.5;

/// Priority of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestRank {
    /// Priority of the team, 0 being the highest; `None` without a team.
    pub team: Option<u32>,
    /// Priority of the route, 0 being the highest.
    pub route: u32,
}

impl RequestRank {
    /// Returns the fraction of the remaining time that the request may wait.
    #[must_use]
    pub fn wait_share(self) -> f64 {
        let route = rank(self.route);
        match self.team {
            None => ROUTE_WAIT_SHARES[route],
            Some(team) => 1.0 - TEAM_STEP * to_f64(rank(team)) - ROUTE_STEP * to_f64(route),
        }
    }

    /// Returns the rank of the team, by which service rates are compared.
    fn class(self) -> usize {
        rank(self.team.unwrap_or(0))
    }
}

fn rank(priority: u32) -> usize {
    usize::try_from(priority).map_or(RANKS - 1, |rank| rank.min(RANKS - 1))
}

fn to_f64(rank: usize) -> f64 {
    u32::try_from(rank).map_or(f64::MAX, f64::from)
}

/// Tracks the rate at which the teams of each rank are served.
#[derive(Debug, Default)]
pub struct RankFairness {
    counts: [RankCounts; RANKS],
    at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RankCounts {
    requested: f64,
    served: f64,
}

impl RankCounts {
    fn share(self) -> f64 {
        self.served / self.requested.max(1.0)
    }
}

impl RankFairness {
    /// Records that a request was assigned to a backend server, or refused for lack of
    /// capacity.
    pub fn note(&mut self, now: Instant, rank: RequestRank, served: bool) {
        self.decay(now);
        let counts = &mut self.counts[rank.class()];
        counts.requested += 1.0;
        if served {
            counts.served += 1.0;
        }
    }

    /// Returns the fraction of the remaining time that a request may wait; a starved rank
    /// may wait as long as the first one.
    pub fn wait_share(&mut self, now: Instant, rank: RequestRank) -> f64 {
        self.decay(now);
        if self.is_starved(rank) {
            1.0
        } else {
            rank.wait_share()
        }
    }

    fn is_starved(&self, rank: RequestRank) -> bool {
        let own = self.counts[rank.class()];
        let all = self
            .counts
            .iter()
            .fold(RankCounts::default(), |all, counts| RankCounts {
                requested: all.requested + counts.requested,
                served: all.served + counts.served,
            });
        own.requested >= MIN_REQUESTS && own.share() < STARVATION_RATIO * all.share()
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(*self.at.get_or_insert(now));
        self.at = Some(now);
        let remaining = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for counts in &mut self.counts {
            counts.requested *= remaining;
            counts.served *= remaining;
        }
    }
}
