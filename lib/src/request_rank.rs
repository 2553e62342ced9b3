//! Whose requests go first when room is short.
//!
//! A less urgent request gives way by waiting less: it is refused while there still is room
//! for an urgent one. A team's priority goes before that of the route. Since whoever waits
//! least can be left without any room for as long as room is short, [`RankFairness`] lets a rank
//! that is served much less often than the others wait as long as the first one.

use std::time::Duration;
use std::time::Instant;

/// Share of the time left that a request without a team may wait, by its route's priority.
const ROUTE_WAIT_SHARES: [f64; RANKS] = [1.0, 0.8, 0.6];

/// What each rank of a team takes off that share. A whole span of routes lies within it.
const TEAM_STEP: f64 = 0.15;

/// What each rank of a route takes off within a team.
const ROUTE_STEP: f64 = 0.05;

/// Ranks that are told apart; those behind the last count as the last.
const RANKS: usize = 3;

/// Time in which what was seen of a rank loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Requests of a rank that must have been seen before it can count as starved.
const MIN_REQUESTS: f64 = 4.0;

/// Share of how often all are served below which a rank is starved. No rank may be served less
/// than a quarter as often as all.
const STARVATION_RATIO: f64 = 0.5;

/// Says which requests one comes after.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestRank {
    /// Priority of the team; 0 goes first. Nothing where it has none.
    pub team: Option<u32>,
    /// Priority of the route; 0 goes first.
    pub route: u32,
}

impl RequestRank {
    /// Returns the share of the time left that the request may wait.
    #[must_use]
    pub fn wait_share(self) -> f64 {
        let route = rank(self.route);
        match self.team {
            None => ROUTE_WAIT_SHARES[route],
            Some(team) => 1.0 - TEAM_STEP * to_f64(rank(team)) - ROUTE_STEP * to_f64(route),
        }
    }

    /// Returns the rank of the team, by which requests are told apart.
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

/// Follows how often the teams of each rank are served.
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
    /// Notes that a request was given a backend server, or was refused for want of room.
    pub fn note(&mut self, now: Instant, rank: RequestRank, served: bool) {
        self.decay(now);
        let counts = &mut self.counts[rank.class()];
        counts.requested += 1.0;
        if served {
            counts.served += 1.0;
        }
    }

    /// Returns the share of the time left that a request may wait.
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
