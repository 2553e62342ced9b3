//! The tokens that one control replica issues for the limits of teams.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::TeamName;
use crate::team_share::LimitShare;

/// Time after which an increased share is used in full. Until then, other replicas may still issue
/// tokens for their earlier, larger shares.
const INCREASE_DELAY: Duration = Duration::from_secs(3);

/// Fraction of the burst that is reserved for waiting requests; tokens are drawn ahead of demand
/// from the rest only.
const RESERVED_FOR_WAITING: f64 = 0.5;

/// Time after which an unused team is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time after which an entry VM is told to ask again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A request for tokens of one team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Draw {
    /// The team.
    pub team: TeamName,
    /// Number of tokens requested for waiting requests.
    pub waiting: u32,
    /// Number of tokens requested ahead of demand, in addition.
    pub ahead: u32,
}

/// The reply to a [`Draw`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drawn {
    /// The team.
    pub team: TeamName,
    /// Number of tokens issued.
    pub count: u32,
    /// Time from the request for the tokens within which they must be used.
    pub lease: Duration,
    /// Time until a token may be available, if fewer were issued than requests wait.
    pub retry_after: Duration,
}

/// The tokens that a replica issues.
#[derive(Debug)]
pub struct TokenShard {
    teams: BTreeMap<TeamName, TokenBucket>,
    /// Start of the replica. It has no tokens at this time.
    began: Instant,
    swept: Instant,
}

#[derive(Debug)]
struct TokenBucket {
    share: LimitShare,
    /// An increased share, and when it was first seen.
    increase: Option<(LimitShare, Instant)>,
    left: f64,
    at: Instant,
}

impl TokenShard {
    /// Creates a shard without tokens, since it is unknown what was issued before.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            teams: BTreeMap::new(),
            began: now,
            swept: now,
        }
    }

    /// Issues tokens for a team of which this replica has `share`.
    pub fn draw(&mut self, now: Instant, share: &LimitShare, draw: &Draw) -> Drawn {
        self.sweep(now);
        let tokens = self
            .teams
            .entry(draw.team.clone())
            .or_insert_with(|| TokenBucket::new(self.began, *share));
        tokens.refill(now);
        tokens.apply_share(now, share);
        let mut count = tokens.take(draw.waiting, 0.0);
        if count == draw.waiting {
            count += tokens.take(draw.ahead, RESERVED_FOR_WAITING * tokens.share.burst);
        }
        Drawn {
            team: draw.team.clone(),
            count,
            lease: tokens.share.lease,
            retry_after: tokens.next_token(),
        }
    }

    /// Drops teams whose tokens were not requested recently.
    fn sweep(&mut self, now: Instant) {
        if now.saturating_duration_since(self.swept) < IDLE_TIMEOUT {
            return;
        }
        self.swept = now;
        self.teams.retain(|_, tokens| !tokens.is_unused(now));
    }
}

impl TokenBucket {
    /// Creates an empty bucket that fills from `began` on.
    const fn new(began: Instant, share: LimitShare) -> Self {
        Self {
            share,
            increase: None,
            left: 0.0,
            at: began,
        }
    }

    /// Returns whether there was no recent request and the bucket is full again.
    fn is_unused(&self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.at);
        let gathered = self.left + passed.as_secs_f64() * self.share.rate;
        passed >= IDLE_TIMEOUT && gathered >= self.share.burst
    }

    /// Adds the tokens that have accrued up to `now`.
    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.left = (self.left + passed * self.share.rate).min(self.share.burst);
    }

    /// Applies a new share: a reduction immediately, an increase after [`INCREASE_DELAY`].
    fn apply_share(&mut self, now: Instant, share: &LimitShare) {
        let lower = LimitShare {
            rate: share.rate.min(self.share.rate),
            burst: share.burst.min(self.share.burst),
            lease: share.lease.min(self.share.lease),
        };
        if lower == *share {
            self.increase = None;
        } else {
            let since = match self.increase {
                Some((increase, since)) if increase == *share => since,
                _ => now,
            };
            self.increase = Some((*share, since));
            if now.saturating_duration_since(since) >= INCREASE_DELAY {
                self.share = *share;
                self.increase = None;
                return;
            }
        }
        self.share = lower;
        self.left = self.left.min(lower.burst);
    }

    /// Takes up to `wanted` tokens, leaving `reserved` of them.
    fn take(&mut self, wanted: u32, reserved: f64) -> u32 {
        let free = whole_tokens(self.left - reserved);
        let taken = wanted.min(free);
        self.left -= f64::from(taken);
        taken
    }

    /// Returns the time until a whole token is available.
    fn next_token(&self) -> Duration {
        let lacking = (1.0 - self.left).max(0.0);
        let seconds = lacking / self.share.rate;
        Duration::try_from_secs_f64(seconds)
            .map_or(MAX_RETRY_AFTER, |wait| wait.min(MAX_RETRY_AFTER))
    }
}

/// Returns the whole number of tokens, rounded down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of the type"
)]
const fn whole_tokens(tokens: f64) -> u32 {
    tokens.clamp(0.0, u32::MAX as f64) as u32
}
