//! The tokens that one control replica issues for the limits of teams.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::TeamName;
use crate::id::VmName;
use crate::team_share::LimitShare;
use crate::team_share::STOCK_TTL;

/// Time after which an increased share is used in full. Until then, other replicas may still issue
/// tokens for their earlier, larger shares.
const INCREASE_DELAY: Duration = Duration::from_secs(3);

/// Fraction of the burst that is reserved for waiting requests; stocks are filled from the rest.
const RESERVED_FOR_WAITING: f64 = 0.5;

/// Time after which an unused team is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time after which an entry VM is told to ask again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Identifies one incarnation of an entry VM's process. Tokens that it held are lost with it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Holder {
    /// The entry VM.
    pub vm: VmName,
    /// Number of its incarnation.
    pub life: u64,
}

/// A request for tokens of one team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Draw {
    /// The team.
    pub team: TeamName,
    /// Number of tokens requested for waiting requests.
    pub waiting: u32,
    /// Number of tokens requested for the stock, in addition.
    pub stock: u32,
    /// Number of tokens from the stock that were used or expired since the last request.
    pub used: u32,
}

/// The reply to a [`Draw`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drawn {
    /// The team.
    pub team: TeamName,
    /// Number of tokens issued for waiting requests.
    pub waiting: u32,
    /// Number of tokens issued for the stock.
    pub stock: u32,
    /// Time until a token may be available, if a waiting request got none.
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
    held: BTreeMap<Holder, Held>,
}

/// Tokens that an entry VM has in stock.
#[derive(Clone, Copy, Debug)]
struct Held {
    count: u32,
    until: Instant,
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

    /// Issues tokens to `holder` for a team of which this replica has `share`.
    pub fn draw(
        &mut self,
        now: Instant,
        holder: &Holder,
        share: &LimitShare,
        draw: &Draw,
    ) -> Drawn {
        self.sweep(now);
        let tokens = self
            .teams
            .entry(draw.team.clone())
            .or_insert_with(|| TokenBucket::new(self.began, *share));
        tokens.refill(now);
        tokens.apply_share(now, share);
        tokens.return_used(holder, draw.used);
        let waiting = tokens.take(draw.waiting, 0.0);
        let stock = if waiting == draw.waiting {
            tokens.stock(now, holder, draw.stock)
        } else {
            0
        };
        Drawn {
            team: draw.team.clone(),
            waiting,
            stock,
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
            held: BTreeMap::new(),
        }
    }

    /// Returns whether there was no recent request and the bucket is full again.
    fn is_unused(&self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.at);
        let gathered = self.left + passed.as_secs_f64() * self.share.rate;
        passed >= IDLE_TIMEOUT && gathered >= self.share.burst
    }

    /// Adds the tokens that have accrued up to `now` and drops expired stocks.
    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.left = (self.left + passed * self.share.rate).min(self.share.burst);
        self.held.retain(|_, held| held.until > now);
    }

    /// Applies a new share: a reduction immediately, an increase after [`INCREASE_DELAY`].
    fn apply_share(&mut self, now: Instant, share: &LimitShare) {
        let lower = LimitShare {
            rate: share.rate.min(self.share.rate),
            burst: share.burst.min(self.share.burst),
            stock: share.stock.min(self.share.stock),
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

    fn return_used(&mut self, holder: &Holder, used: u32) {
        if let Some(held) = self.held.get_mut(holder) {
            held.count = held.count.saturating_sub(used);
        }
    }

    /// Takes up to `wanted` tokens, leaving `reserved` of them.
    fn take(&mut self, wanted: u32, reserved: f64) -> u32 {
        let free = whole_tokens(self.left - reserved);
        let taken = wanted.min(free);
        self.left -= f64::from(taken);
        taken
    }

    fn stock(&mut self, now: Instant, holder: &Holder, wanted: u32) -> u32 {
        let held: u32 = self.held.values().map(|held| held.count).sum();
        let room = whole_tokens(self.share.stock).saturating_sub(held);
        let taken = self.take(wanted.min(room), RESERVED_FOR_WAITING * self.share.burst);
        if taken > 0 {
            let until = now + STOCK_TTL;
            let held = self.held.entry(holder.clone());
            let held = held.or_insert(Held { count: 0, until });
            held.count += taken;
            held.until = until;
        }
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
