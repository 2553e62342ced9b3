//! How a team's limit is shared out among the control replicas.
//!
//! Each replica hands out tokens for a fixed share of the limit by its own count alone, so that
//! the shares hold in sum whatever is cut off, killed or frozen. Nothing is agreed on for it and
//! nothing is written. An entry VM whose replica has none left asks the next one: so demand
//! moves between entry VMs and regions without any share being moved.
//!
//! What runs of a team in any window of `window` stays below
//! `(rate * window + burst) * (1 + over) + slack`:
//! - tokens that are handed out to waiting requests are used within [`TOKEN_USE_TIMEOUT`] or not at
//!   all, and the rate at which they are handed out leaves room for that;
//! - tokens that entry VMs hold in stock never exceed [`LimitShare::stock`] in sum, and lapse;
//! - a replica that starts has no token yet.
//!
//! What the tolerance leaves is shared out among the three: small teams ask in bursts that their
//! own limit hardly covers.

use std::net::SocketAddr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::duration_text::DurationText;
use crate::id::TeamName;
use crate::rendezvous;
use crate::team::TeamLimit;

/// Time within which a token for a waiting request is used: the way of the reply, and until the
/// request reaches its backend server.
pub const TOKEN_USE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a token may be held in stock.
pub const STOCK_TTL: Duration = Duration::from_secs(5);

/// Tokens that a share holds at least. A share that holds less than one can't ever give one.
const LEAST_TOKENS: f64 = 2.0;

/// Shares of what the tolerance leaves that go into the rate and the burst; the rest may be held
/// in stock.
const SPARE_IN_RATE: f64 = 0.5;
const SPARE_IN_BURST: f64 = 0.25;

/// Says how far the limits of teams may be exceeded.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitTolerance {
    /// Length of the windows in which requests are counted.
    pub window: DurationText,
    /// Share of what a limit allows in a window that may run besides.
    pub over: f64,
    /// Requests that may run besides, in any window.
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

/// Holds one replica's share of a team's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitShare {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens that gather while none is asked for.
    pub burst: f64,
    /// Tokens that entry VMs may hold in stock, all together.
    pub stock: f64,
}

impl LimitShare {
    /// Returns the share of each of `shares` replicas that share a limit out.
    #[must_use]
    pub fn of(limit: &TeamLimit, tolerance: &LimitTolerance, shares: usize) -> Self {
        let shares = u32::try_from(shares.max(1)).map_or(f64::MAX, f64::from);
        let window = tolerance.window.0.as_secs_f64();
        let counted = window + TOKEN_USE_TIMEOUT.as_secs_f64();
        let allowed = limit.rate * window + limit.burst;
        let allowed = allowed * (1.0 + tolerance.over) + tolerance.slack;
        let rate = limit.rate.min((allowed - limit.burst).max(0.0) / counted);
        let spare = allowed - rate * counted - limit.burst;
        let burst = ((limit.burst + SPARE_IN_BURST * spare) / shares).max(1.0);
        let rate = rate + SPARE_IN_RATE * spare / counted;
        let stock = allowed - rate * counted - burst * shares;
        Self {
            rate: rate / shares,
            burst,
            stock: stock.max(0.0) / shares,
        }
    }
}

/// Returns the replicas that share the limit of a team out: as many as leave each of them
/// tokens enough, by rendezvous hashing.
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

/// Returns among how many of `most` replicas a limit is shared out.
fn shares(limit: &TeamLimit, most: usize) -> usize {
    let enough = |count: &usize| {
        let count = u32::try_from(*count).map_or(f64::MAX, f64::from);
        limit.burst >= LEAST_TOKENS * count
    };
    (2..=most).rev().find(enough).unwrap_or(1)
}
