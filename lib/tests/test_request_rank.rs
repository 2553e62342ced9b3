//! Tests that requests are prioritized by rank and that no rank starves.

use std::time::Duration;
use std::time::Instant;

use heatherring_lib::request_rank::RankFairness;
use heatherring_lib::request_rank::RequestRank;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const TEAMS: u32 = 88;
/// Number of teams that send ten times as many requests as the others.
const LARGE: u32 = 4;

fn rank(team: Option<u32>, route: u32) -> RequestRank {
    RequestRank { team, route }
}

/// A team's priority takes precedence over the priority of the route.
#[test]
fn test_request_rank_team_goes_before_route() {
    let teams = (0..3).flat_map(|team| (0..3).map(move |route| rank(Some(team), route)));
    let shares: Vec<f64> = teams.map(RequestRank::wait_share).collect();
    assert!(
        shares.is_sorted_by(|left, right| left >= right),
        "{shares:?}"
    );
    assert!((shares[0] - 1.0).abs() < 1e-9);
    assert!(shares[2] > shares[3]);
    assert!(shares.iter().all(|share| *share >= 0.59), "{shares:?}");
}

/// Guards against starvation of a low-ranked team while capacity is short: for a minute
/// 88 teams, a few of them large, request several times the capacity. The teams that may
/// wait least would find the wait always too long.
#[rstest]
#[case::large_ones_first(0, 2.0)]
#[case::large_ones_last(2, 2.0)]
#[case::large_ones_first_far_too_many(0, 5.0)]
fn test_request_rank_no_team_starves(#[case] large_rank: u32, #[case] load: f64) {
    const LENGTH: f64 = 60.0;
    /// Requests served per second.
    const CAPACITY: f64 = 200.0;
    /// Maximum wait of a request, in seconds.
    const MAX_WAIT: f64 = 1.0;
    let origin = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(20_261_203);
    let mut fairness = RankFairness::default();
    let mut requested = vec![0_u32; TEAMS as usize];
    let mut served = vec![0_u32; TEAMS as usize];
    let (mut at, mut wait) = (0.0, 0.0_f64);
    while at < LENGTH {
        let gap = -rng.random::<f64>().max(1e-9).ln() / (CAPACITY * load);
        at += gap;
        wait = (wait - gap).max(0.0);
        let drawn = rng.random_range(0..TEAMS - LARGE + 10 * LARGE);
        let team = if drawn < TEAMS - LARGE {
            drawn + LARGE
        } else {
            drawn % LARGE
        };
        let priority = if team < LARGE { large_rank } else { team % 3 };
        let rank = rank(Some(priority), 1);
        let now = origin + Duration::from_secs_f64(at);
        let is_served = wait <= fairness.wait_share(now, rank) * MAX_WAIT;
        fairness.note(now, rank, is_served);
        requested[team as usize] += 1;
        if is_served {
            served[team as usize] += 1;
            wait += 1.0 / CAPACITY;
        }
    }
    let share = |served: u32, requested: u32| f64::from(served) / f64::from(requested);
    let all = share(served.iter().sum(), requested.iter().sum());
    let teams = served.iter().zip(&requested);
    let worst = teams.map(|(served, requested)| share(*served, *requested));
    let worst = worst.fold(f64::INFINITY, f64::min);
    assert!(worst >= 0.25 * all, "worst team {worst}, overall {all}");
}
