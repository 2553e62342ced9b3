//! Division of a team's limit among the control replicas.
//!
//! Each replica issues tokens for a fixed share of the limit, based on its own count only, so the
//! sum stays within the limit even if replicas or entry VMs are partitioned, killed or frozen. This
//! needs no agreement and no writes. An entry VM whose replica has no token left asks the next one,
//! so demand can move between entry VMs and regions without any share being moved.
//!
//! The number of a team's requests that run in any window of length `window` stays below
//! `(rate * window + burst) * (1 + over) + slack`:
//! - a token is used within its lease, which is measured from before it is issued, so that all
//!   tokens used in a window are issued in a period of one window and one lease;
//! - what all replicas may issue in such a period stays below that number;
//! - a replica starts without tokens.
//!
//! The tolerance goes into the lease first, and what the longest lease leaves of it goes into rate
//! and burst: small teams send bursts that their limit alone barely covers.

use std::net::SocketAddr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::duration_text::DurationText;
use crate::id::TeamName;
use crate::rendezvous;
use crate::team::TeamLimit;

/// Minimum lease of a token. It has to cover a round trip to a replica.
pub const MIN_LEASE: Duration = Duration::from_millis(500);

/// Maximum lease of a token. A lower limit is in force once the leases of earlier tokens have
/// ended.
pub const MAX_LEASE: Duration = Duration::from_millis(2_500);

/// Minimum burst of a share. A share with a burst below one could never issue a token.
const MIN_SHARE_BURST: f64 = 2.0;

/// What a lease is shortened by, so that rounding never lengthens it.
const ROUNDING: Duration = Duration::from_micros(1);

/// Fraction of the tolerance left by the longest lease that is added to the rate; the rest is added
/// to the burst.
const SPARE_RATE_FRACTION: f64 = 0.7;

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
    /// Time from the request for a token within which it must be used.
    pub lease: Duration,
}

impl LimitShare {
    /// Returns the share of each replica if `shares` replicas divide a limit.
    #[must_use]
    pub fn of(limit: &TeamLimit, tolerance: &LimitTolerance, shares: usize) -> Self {
        let shares = u32::try_from(shares.max(1)).map_or(f64::MAX, f64::from);
        let window = tolerance.window.0.as_secs_f64();
        let allowed = limit.rate * window + limit.burst;
        let allowed = allowed * (1.0 + tolerance.over) + tolerance.slack;
        // A share with a burst below one could never issue a token.
        let burst = limit.burst.max(shares);
        let for_rate = (allowed - burst).max(0.0);
        let rate = limit
            .rate
            .min(for_rate / (window + MIN_LEASE.as_secs_f64()));
        let lease = (for_rate / rate - window).min(MAX_LEASE.as_secs_f64());
        let lease = Duration::from_secs_f64(lease.max(0.0));
        let lease = lease.saturating_sub(ROUNDING).max(MIN_LEASE);
        let counted = window + lease.as_secs_f64();
        let spare = (for_rate - rate * counted).max(0.0);
        let rate = rate + SPARE_RATE_FRACTION * spare / counted;
        let burst = burst + (1.0 - SPARE_RATE_FRACTION) * spare;
        Self {
            rate: rate / shares,
            burst: burst / shares,
            lease,
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
