//! One control replica's tokens for the limits of teams.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::TeamName;
use crate::id::VmName;
use crate::team_share::LimitShare;
use crate::team_share::STOCK_TTL;

/// Time after which a share that has grown is used in full. Until then others may go by what
/// they were entitled to before.
const GROWN_AFTER: Duration = Duration::from_secs(3);

/// Share of the tokens that is kept for waiting requests; stocks are filled from the rest.
const KEPT_FOR_WAITING: f64 = 0.5;

/// Time after which an unused team is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);

/// Longest time after which an entry VM is told to ask again.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Names one life of an entry VM. What it held is lost with it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Holder {
    /// The entry VM.
    pub vm: VmName,
    /// Its life.
    pub life: u64,
}

/// Asks for tokens of one team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Draw {
    /// The team.
    pub team: TeamName,
    /// Tokens for requests that wait.
    pub waiting: u32,
    /// Tokens to hold in stock besides.
    pub stock: u32,
    /// Tokens of the stock that were used or have lapsed since the last time.
    pub used: u32,
}

/// Answers it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drawn {
    /// The team.
    pub team: TeamName,
    /// Tokens for requests that wait.
    pub waiting: u32,
    /// Tokens to hold in stock.
    pub stock: u32,
    /// When there may be a token again, if a waiting request got none.
    pub retry_after: Duration,
}

/// Holds the tokens that a replica hands out.
#[derive(Debug)]
pub struct TokenShard {
    teams: BTreeMap<TeamName, Tokens>,
    /// When the replica started, without any token.
    began: Instant,
    swept: Instant,
}

#[derive(Debug)]
struct Tokens {
    share: LimitShare,
    /// A larger share, and when it came about.
    grown: Option<(LimitShare, Instant)>,
    left: f64,
    at: Instant,
    held: BTreeMap<Holder, Held>,
}

/// Counts what an entry VM has in stock.
#[derive(Clone, Copy, Debug)]
struct Held {
    count: u32,
    until: Instant,
}

impl TokenShard {
    /// Starts without any token: what was handed out before is unknown.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            teams: BTreeMap::new(),
            began: now,
            swept: now,
        }
    }

    /// Hands tokens out to `holder` for a team of which this replica has `share`.
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
            .or_insert_with(|| Tokens::new(self.began, *share));
        tokens.turn(now);
        tokens.follow(now, share);
        tokens.take_back(holder, draw.used);
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

    /// Forgets teams that nobody asked for lately.
    fn sweep(&mut self, now: Instant) {
        if now.saturating_duration_since(self.swept) < FORGOTTEN_AFTER {
            return;
        }
        self.swept = now;
        self.teams.retain(|_, tokens| !tokens.is_unused(now));
    }
}

impl Tokens {
    /// Starts without any token in the moment `began`.
    const fn new(began: Instant, share: LimitShare) -> Self {
        Self {
            share,
            grown: None,
            left: 0.0,
            at: began,
            held: BTreeMap::new(),
        }
    }

    /// Returns whether nothing was asked for lately and all tokens have gathered again.
    fn is_unused(&self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.at);
        let gathered = self.left + passed.as_secs_f64() * self.share.rate;
        passed >= FORGOTTEN_AFTER && gathered >= self.share.burst
    }

    /// Moves on to `now`.
    fn turn(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.left = (self.left + passed * self.share.rate).min(self.share.burst);
        self.held.retain(|_, held| held.until > now);
    }

    /// Takes over a share that was lowered, at once, or raised, after a while.
    fn follow(&mut self, now: Instant, share: &LimitShare) {
        let lower = LimitShare {
            rate: share.rate.min(self.share.rate),
            burst: share.burst.min(self.share.burst),
            stock: share.stock.min(self.share.stock),
        };
        if lower == *share {
            self.grown = None;
        } else {
            let since = match self.grown {
                Some((grown, since)) if grown == *share => since,
                _ => now,
            };
            self.grown = Some((*share, since));
            if now.saturating_duration_since(since) >= GROWN_AFTER {
                self.share = *share;
                self.grown = None;
                return;
            }
        }
        self.share = lower;
        self.left = self.left.min(lower.burst);
    }

    fn take_back(&mut self, holder: &Holder, used: u32) {
        if let Some(held) = self.held.get_mut(holder) {
            held.count = held.count.saturating_sub(used);
        }
    }

    /// Takes up to `wanted` tokens, but for `kept` of them.
    fn take(&mut self, wanted: u32, kept: f64) -> u32 {
        let free = whole(self.left - kept);
        let taken = wanted.min(free);
        self.left -= f64::from(taken);
        taken
    }

    fn stock(&mut self, now: Instant, holder: &Holder, wanted: u32) -> u32 {
        let held: u32 = self.held.values().map(|held| held.count).sum();
        let room = whole(self.share.stock).saturating_sub(held);
        let taken = self.take(wanted.min(room), KEPT_FOR_WAITING * self.share.burst);
        if taken > 0 {
            let until = now + STOCK_TTL;
            let held = self.held.entry(holder.clone());
            let held = held.or_insert(Held { count: 0, until });
            held.count += taken;
            held.until = until;
        }
        taken
    }

    /// Returns the time until there is a whole token.
    fn next_token(&self) -> Duration {
        let lacking = (1.0 - self.left).max(0.0);
        let seconds = lacking / self.share.rate;
        Duration::try_from_secs_f64(seconds).map_or(LONGEST_WAIT, |wait| wait.min(LONGEST_WAIT))
    }
}

/// Returns the whole number below a count of tokens.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of the type"
)]
const fn whole(tokens: f64) -> u32 {
    tokens.clamp(0.0, u32::MAX as f64) as u32
}
