//! Division of a team's limit among the control replicas.
//!
//! Each replica issues tokens for a fixed share of the limit, based on its own count only, so the
//! sum stays within the limit even if replicas or entry VMs are partitioned, killed or frozen. This
//! needs no agreement and no writes. An entry VM whose replica has no token left asks the next one,
//! so demand can move between entry VMs and regions without any share being moved.
//!
//! The number of a team's requests that run in any window of length `window` stays below
//! `(rate * window + burst) * (1 + over) + slack`:
//! - tokens that are issued to waiting requests are used within [`TOKEN_USE_TIMEOUT`] or not at
//!   all, and the rate at which they are issued leaves room for that;
//! - tokens that entry VMs hold in stock never exceed [`LimitShare::stock`] in sum, and expire;
//! - a replica starts without tokens.
//!
//! The tolerance is divided among rate, burst and stock: small teams send bursts that their limit
//! alone barely covers.

use std::net::SocketAddr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::duration_text::DurationText;
use crate::id::TeamName;
use crate::rendezvous;
use crate::team::TeamLimit;

/// Time within which a token for a waiting request is used: the network delay of the reply plus the
/// time until the request reaches its backend server.
pub const TOKEN_USE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a token may be held in stock.
pub const STOCK_TTL: Duration = Duration::from_secs(5);

/// Minimum burst of a share. A share with a burst below one could never issue a token.
const MIN_SHARE_BURST: f64 = 2.0;

/// Fractions of the unused tolerance that are added to the rate and to the burst; the rest may be
/// held in stock.
const SPARE_RATE_FRACTION: f64 = 0.5;
const SPARE_BURST_FRACTION: f64 = 0.25;

/// Tolerance by which the limits of teams may be exceeded.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitTolerance {
    /// Length of the windows in which requests are counted.
    pub window: DurationText,
    /// Fraction of a limit's requests in a window that may run in addition.
    pub over: f64,
    /// Number of requests that may run in addition in any window.
    pub slack: f64,
}

impl Default for LimitTolerance {
    fn default() -> Self {
        Self {
            window: DurationText(Duration::from_secs(5)),
            over: 0.1,
            slack: 20.0,
        }
    }
}

/// One replica's share of a team's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitShare {
    /// Rate at which tokens accrue, per second.
    pub rate: f64,
    /// Maximum number of tokens that accumulate while none is drawn.
    pub burst: f64,
    /// Maximum number of tokens that all entry VMs together may hold in stock.
    pub stock: f64,
}

impl LimitShare {
    /// Returns the share of each replica if `shares` replicas divide a limit.
    #[must_use]
    pub fn of(limit: &TeamLimit, tolerance: &LimitTolerance, shares: usize) -> Self {
        let shares = u32::try_from(shares.max(1)).map_or(f64::MAX, f64::from);
        let window = tolerance.window.0.as_secs_f64();
        let counted = window + TOKEN_USE_TIMEOUT.as_secs_f64();
        let allowed = limit.rate * window + limit.burst;
        let allowed = allowed * (1.0 + tolerance.over) + tolerance.slack;
        let rate = limit.rate.min((allowed - limit.burst).max(0.0) / counted);
        let spare = allowed - rate * counted - limit.burst;
        let burst = ((limit.burst + SPARE_BURST_FRACTION * spare) / shares).max(1.0);
        let rate = rate + SPARE_RATE_FRACTION * spare / counted;
        let stock = allowed - rate * counted - burst * shares;
        Self {
            rate: rate / shares,
            burst,
            stock: stock.max(0.0) / shares,
        }
    }
}

/// Returns the replicas that share a team's limit, selected by rendezvous hashing: as many as
/// possible without any share's burst becoming too small.
#[must_use]
pub fn sharing_replicas(
    team: &TeamName,
    limit: &TeamLimit,
    replicas: &[SocketAddr],
) -> Vec<SocketAddr> {
    let mut ranked: Vec<(u64, SocketAddr)> = replicas
        .iter()
        .map(|replica| {
            let score = rendezvous::score(&[team.as_str()], &replica.to_string());
            (score, *replica)
        })
        .collect();
    ranked.sort_unstable();
    ranked.dedup();
    let most = ranked.len();
    ranked
        .into_iter()
        .map(|(_, replica)| replica)
        .take(shares(limit, most))
        .collect()
}

/// Returns the number of replicas, `most` at most, among which a limit is divided.
fn shares(limit: &TeamLimit, most: usize) -> usize {
    let enough = |count: &usize| {
        let count = u32::try_from(*count).map_or(f64::MAX, f64::from);
        limit.burst >= MIN_SHARE_BURST * count
    };
    (2..=most).rev().find(enough).unwrap_or(1)
}
