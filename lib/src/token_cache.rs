//! An entry VM's tokens for the limits of teams.
//!
//! A request of a limited team takes a token from stock, or waits for one from a control replica.
//! Replicas are asked in order of distance, nearest first; if one has no token left or does not
//! reply, the next one is asked. For teams with frequent requests a small stock is kept, which also
//! bridges times when no replica is reachable.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::id::TeamName;
use crate::rate_meter::RateMeter;
use crate::retry_advice::RetryAdvice;
use crate::team::TeamLimit;
use crate::team_share::STOCK_TTL;
use crate::team_share::TOKEN_USE_TIMEOUT;
use crate::token_shard::Draw;
use crate::token_shard::Drawn;

/// Time for which the stock is to cover the expected requests.
const STOCK_COVERAGE: Duration = Duration::from_millis(1_500);

/// Maximum number of tokens in stock per team.
const MAX_STOCK: u32 = 64;

/// Maximum time until a token is expected for which a request is made to wait.
const MAX_ACCRUAL_WAIT: Duration = Duration::from_millis(250);

/// Maximum total time that a request waits, however many replicas had no token.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Time after which a replica that has not replied yet is treated as slow; replies from the
/// farthest region take some 0.1 s.
const SLOW_REPLY_AFTER: Duration = Duration::from_millis(150);

/// Rate of refusals per second from which on requests do not wait for tokens to accrue: other
/// requests of the team would take them first.
const SCARCITY_REFUSALS_PER_S: f64 = 0.5;

/// Minimum time between two requests for stock.
const STOCK_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Time until stock is requested again after a replica had too few tokens for it.
const STOCK_PAUSE: Duration = Duration::from_secs(2);

/// Time for which a replica that did not reply is skipped, doubled with each further failure. Each
/// failure delays a request by some tenths of a second.
const SILENT_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum time for which such a replica is skipped.
const MAX_SILENT_BACKOFF: Duration = Duration::from_secs(8);

/// Maximum time for which used tokens are not reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which an unused team is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a caller is told to retry if no replica can be asked.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Minimum time after which a replica without a token is asked again.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Decision on a request of a limited team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitDecision {
    /// The request has a token and may run.
    Run,
    /// The team's limit is reached.
    OverLimit {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// No replica could be asked.
    Unconfirmed {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// Caches tokens of teams. `W` identifies a waiting request.
#[derive(Debug)]
pub struct TokenCache<W> {
    teams: BTreeMap<TeamName, TeamTokens<W>>,
    /// Replicas with a token request in progress.
    busy: BTreeSet<SocketAddr>,
    /// Replicas that did not reply.
    silent: BTreeMap<SocketAddr, SilentReplica>,
    advice: RetryAdvice,
}

#[derive(Debug)]
struct TeamTokens<W> {
    /// The limit that `sharing_replicas` share; `None` once these may have changed.
    limit: Option<TeamLimit>,
    /// Replicas that share the limit, nearest first.
    sharing_replicas: Vec<SocketAddr>,
    /// When replicas that had no token may have one again.
    ready_at: BTreeMap<SocketAddr, Instant>,
    /// Earliest time of the next request for stock.
    stock_at: Instant,
    /// Requests without a token, and the time since which they wait.
    waiting: VecDeque<(W, Instant)>,
    /// Replicas that were asked for tokens for waiting requests and have not replied yet.
    asked: BTreeMap<SocketAddr, PendingDraw>,
    stock: VecDeque<Stock>,
    used: BTreeMap<SocketAddr, Used>,
    demand: RateMeter,
    served: RateMeter,
    refused: RateMeter,
    last: Instant,
}

#[derive(Clone, Copy, Debug)]
struct PendingDraw {
    /// Number of requests that wait for the reply.
    count: u32,
    since: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Stock {
    replica: SocketAddr,
    count: u32,
    until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Used {
    count: u32,
    since: Instant,
}

#[derive(Clone, Copy, Debug)]
struct SilentReplica {
    /// Number of consecutive missing replies.
    failures: u32,
    /// Time until which it is not asked.
    until: Instant,
}

impl SilentReplica {
    fn next(before: Option<&Self>, now: Instant) -> Self {
        let failures = before.map_or(0, |before| before.failures);
        let doubled = SILENT_BACKOFF * (1 << failures.min(8));
        Self {
            failures: failures + 1,
            until: now + doubled.min(MAX_SILENT_BACKOFF),
        }
    }
}

/// A request to a replica for tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenRequest {
    /// The replica.
    pub replica: SocketAddr,
    /// Time of the request.
    pub asked_at: Instant,
    /// Tokens requested, by team.
    pub draws: Vec<Draw>,
}

impl<W> TokenCache<W> {
    /// Creates a cache without tokens; `seed` randomizes the retry times of refused callers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            teams: BTreeMap::new(),
            busy: BTreeSet::new(),
            silent: BTreeMap::new(),
            advice: RetryAdvice::new(seed),
        }
    }

    /// Takes a token for a request of `team`. `find_sharing_replicas` returns the replicas that
    /// share the team's limit, nearest first; it is called if they are not known. Returns the
    /// decisions that result for this and other waiting requests; if `waiter` is not among them, it
    /// has to wait.
    pub fn take(
        &mut self,
        now: Instant,
        team: &TeamName,
        limit: &TeamLimit,
        find_sharing_replicas: impl FnOnce() -> Vec<SocketAddr>,
        waiter: W,
    ) -> Vec<(W, LimitDecision)> {
        let tokens = self
            .teams
            .entry(team.clone())
            .or_insert_with(|| TeamTokens::new(now));
        if tokens.limit != Some(*limit) {
            tokens.limit = Some(*limit);
            tokens.set_replicas(find_sharing_replicas());
        }
        tokens.last = now;
        tokens.demand.note(now);
        if tokens.take_from_stock(now) {
            return vec![(waiter, LimitDecision::Run)];
        }
        tokens.waiting.push_back((waiter, now));
        tokens.refuse_hopeless(now, &self.silent, &mut self.advice)
    }

    /// Discards which replicas share limits, because the replicas have changed.
    pub fn forget_sharing_replicas(&mut self) {
        for tokens in self.teams.values_mut() {
            tokens.limit = None;
        }
    }

    /// Returns the token requests that are due. The outcome of each must be passed to
    /// [`Self::answered`].
    pub fn token_requests(&mut self, now: Instant) -> Vec<TokenRequest> {
        let silent = &self.silent;
        self.teams.retain(|_, tokens| !tokens.is_idle(now));
        let mut token_requests: BTreeMap<SocketAddr, Vec<Draw>> = BTreeMap::new();
        for (team, tokens) in &mut self.teams {
            tokens.drop_expired(now);
            let asked = tokens
                .ready(now, silent)
                .find(|replica| !self.busy.contains(replica));
            if let Some(replica) = asked
                && let Some(draw) = tokens.draw(now, team, replica)
            {
                token_requests.entry(replica).or_default().push(draw);
            }
        }
        for (team, tokens) in &mut self.teams {
            let due = tokens.unreported(now, |replica| token_requests.contains_key(replica));
            for replica in due {
                if !self.busy.contains(&replica) {
                    let draw = tokens.report_only(team, replica);
                    token_requests.entry(replica).or_default().push(draw);
                }
            }
        }
        self.busy.extend(token_requests.keys());
        let token_requests = token_requests.into_iter();
        token_requests
            .map(|(replica, draws)| TokenRequest {
                replica,
                asked_at: now,
                draws,
            })
            .collect()
    }

    /// Applies a replica's reply to `token_request`, or `None` if there was none in time. Returns
    /// decisions on waiting requests.
    pub fn answered(
        &mut self,
        now: Instant,
        token_request: &TokenRequest,
        answer: Option<&[Drawn]>,
    ) -> Vec<(W, LimitDecision)> {
        self.busy.remove(&token_request.replica);
        if answer.is_some() {
            self.silent.remove(&token_request.replica);
        } else {
            let silent = SilentReplica::next(self.silent.get(&token_request.replica), now);
            self.silent.insert(token_request.replica, silent);
        }
        let is_fresh = now.saturating_duration_since(token_request.asked_at) <= TOKEN_USE_TIMEOUT;
        let mut decisions = Vec::new();
        for draw in &token_request.draws {
            let Some(tokens) = self.teams.get_mut(&draw.team) else {
                continue;
            };
            tokens.asked.remove(&token_request.replica);
            let drawn = answer.and_then(|answer| answer.iter().find(|d| d.team == draw.team));
            if let Some(drawn) = drawn {
                let count = if is_fresh { drawn.waiting } else { 0 };
                decisions.extend(tokens.serve(now, count));
                tokens.apply_drawn(now, token_request, draw, drawn);
            } else if answer.is_some() {
                // The replica does not know the team yet.
                let ready_at = now + SILENT_BACKOFF;
                tokens.ready_at.insert(token_request.replica, ready_at);
            } else {
                tokens.restart_waits(now);
            }
            decisions.extend(tokens.refuse_hopeless(now, &self.silent, &mut self.advice));
        }
        decisions
    }

    /// Returns the latest time at which [`Self::token_requests`] must be called again; `None` while
    /// there is no team in the cache.
    #[must_use]
    pub fn next_poll_at(&self, now: Instant) -> Option<Instant> {
        if self.teams.is_empty() {
            return None;
        }
        let waiting = self
            .teams
            .values()
            .filter(|tokens| !tokens.waiting.is_empty());
        let ready = waiting.flat_map(|tokens| tokens.ready_at.values());
        let ready = ready.filter(|at| **at > now).min();
        let report_at = now + REPORT_INTERVAL;
        Some(ready.map_or(report_at, |at| report_at.min(*at)))
    }
}

impl<W> TeamTokens<W> {
    fn new(now: Instant) -> Self {
        Self {
            limit: None,
            sharing_replicas: Vec::new(),
            ready_at: BTreeMap::new(),
            stock_at: now,
            waiting: VecDeque::new(),
            asked: BTreeMap::new(),
            stock: VecDeque::new(),
            used: BTreeMap::new(),
            demand: RateMeter::default(),
            served: RateMeter::default(),
            refused: RateMeter::default(),
            last: now,
        }
    }

    fn set_replicas(&mut self, sharing_replicas: Vec<SocketAddr>) {
        if self.sharing_replicas != sharing_replicas {
            self.sharing_replicas = sharing_replicas;
            self.ready_at.clear();
        }
    }

    /// Takes a token from stock, if there is one.
    fn take_from_stock(&mut self, now: Instant) -> bool {
        self.drop_expired(now);
        let Some(stock) = self.stock.front_mut() else {
            return false;
        };
        stock.count -= 1;
        let replica = stock.replica;
        if stock.count == 0 {
            self.stock.pop_front();
        }
        self.note_used(now, replica, 1);
        self.served.note(now);
        true
    }

    fn note_used(&mut self, now: Instant, replica: SocketAddr, count: u32) {
        let used = self.used.entry(replica);
        let used = used.or_insert(Used {
            count: 0,
            since: now,
        });
        used.count += count;
    }

    /// Drops tokens that were in stock for longer than [`STOCK_TTL`].
    fn drop_expired(&mut self, now: Instant) {
        while let Some(stock) = self.stock.front().copied()
            && stock.until <= now
        {
            self.stock.pop_front();
            self.note_used(now, stock.replica, stock.count);
        }
    }

    /// Returns the replicas that may have tokens, nearest first.
    fn ready(
        &self,
        now: Instant,
        silent: &BTreeMap<SocketAddr, SilentReplica>,
    ) -> impl Iterator<Item = SocketAddr> {
        let is_ready = move |replica: &&SocketAddr| {
            let ready_at = self.ready_at.get(*replica);
            is_available(now, silent, replica) && ready_at.is_none_or(|at| *at <= now)
        };
        self.sharing_replicas.iter().filter(is_ready).copied()
    }

    /// Returns the tokens to request from `replica`, or `None` if none are needed.
    fn draw(&mut self, now: Instant, team: &TeamName, replica: SocketAddr) -> Option<Draw> {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let asked: u32 = self.asked.values().map(|asked| asked.count).sum();
        let waiting = waiting.saturating_sub(asked);
        let stock = if self.stock_at > now {
            0
        } else {
            self.missing_stock(now)
        };
        if waiting == 0 && stock == 0 {
            return None;
        }
        if waiting > 0 {
            let asked = PendingDraw {
                count: waiting,
                since: now,
            };
            self.asked.insert(replica, asked);
        }
        self.stock_at = self.stock_at.max(now + STOCK_REQUEST_INTERVAL);
        Some(Draw {
            team: team.clone(),
            waiting,
            stock,
            used: self.take_report(replica),
        })
    }

    /// Returns the number of tokens that the stock lacks.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range of the type"
    )]
    fn missing_stock(&mut self, now: Instant) -> u32 {
        let expected = self.demand.per_second(now) * STOCK_COVERAGE.as_secs_f64();
        let wanted = expected.clamp(0.0, f64::from(MAX_STOCK)).ceil() as u32;
        let held: u32 = self.stock.iter().map(|stock| stock.count).sum();
        if 2 * held > wanted { 0 } else { wanted - held }
    }

    /// Returns the replicas to which used tokens must be reported: those with tokens unreported for
    /// [`REPORT_INTERVAL`], and those that are asked for tokens anyway.
    fn unreported(&self, now: Instant, is_asked: impl Fn(&SocketAddr) -> bool) -> Vec<SocketAddr> {
        let is_due = |(replica, used): &(&SocketAddr, &Used)| {
            is_asked(replica) || now.saturating_duration_since(used.since) >= REPORT_INTERVAL
        };
        let due = self.used.iter().filter(is_due);
        due.map(|(replica, _)| *replica).collect()
    }

    fn report_only(&mut self, team: &TeamName, replica: SocketAddr) -> Draw {
        Draw {
            team: team.clone(),
            waiting: 0,
            stock: 0,
            used: self.take_report(replica),
        }
    }

    fn take_report(&mut self, replica: SocketAddr) -> u32 {
        self.used.remove(&replica).map_or(0, |used| used.count)
    }

    fn serve(&mut self, now: Instant, count: u32) -> Vec<(W, LimitDecision)> {
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        let count = count.min(self.waiting.len());
        for _ in 0..count {
            self.served.note(now);
        }
        let served = self.waiting.drain(..count);
        served
            .map(|(waiter, _)| (waiter, LimitDecision::Run))
            .collect()
    }

    /// Adds tokens to the stock, whose age counts from the request, and delays the next requests if
    /// the replica had too few.
    fn apply_drawn(
        &mut self,
        now: Instant,
        token_request: &TokenRequest,
        draw: &Draw,
        drawn: &Drawn,
    ) {
        if drawn.stock > 0 {
            self.stock.push_back(Stock {
                replica: token_request.replica,
                count: drawn.stock,
                until: token_request.asked_at + STOCK_TTL,
            });
        }
        if drawn.stock < draw.stock {
            self.stock_at = now + STOCK_PAUSE;
        }
        if drawn.waiting < draw.waiting {
            let pause = drawn.retry_after.max(MIN_PAUSE);
            self.ready_at.insert(token_request.replica, now + pause);
        }
    }

    /// Returns whether the reply of a replica is overdue.
    fn has_slow_reply(&self, now: Instant) -> bool {
        let is_slow =
            |asked: &PendingDraw| now.saturating_duration_since(asked.since) >= SLOW_REPLY_AFTER;
        self.asked.values().any(is_slow)
    }

    /// Restarts the waiting time of all waiting requests, because a replica that did not reply
    /// delayed them.
    fn restart_waits(&mut self, now: Instant) {
        for (_, since) in &mut self.waiting {
            *since = now;
        }
    }

    /// Refuses waiting requests that cannot expect a token: all if no replica can have a token
    /// soon, otherwise those that have waited too long and those in excess of the number of
    /// replicas.
    fn refuse_hopeless(
        &mut self,
        now: Instant,
        silent: &BTreeMap<SocketAddr, SilentReplica>,
        advice: &mut RetryAdvice,
    ) -> Vec<(W, LimitDecision)> {
        let available = self.sharing_replicas.iter();
        let available = available.filter(|replica| is_available(now, silent, replica));
        let ready_at = available.map(|replica| self.ready_at.get(replica).copied().unwrap_or(now));
        let Some(ready_at) = ready_at.min() else {
            let waiting = std::mem::take(&mut self.waiting).into_iter();
            return waiting
                .map(|(waiter, _)| (waiter, self.unconfirmed(now, advice)))
                .collect();
        };
        let wait = ready_at.saturating_duration_since(now);
        let may_wait = if wait.is_zero() {
            usize::MAX
        } else if wait <= MAX_ACCRUAL_WAIT && self.refused.per_second(now) < SCARCITY_REFUSALS_PER_S
        {
            self.sharing_replicas.len()
        } else {
            0
        };
        let has_slow_reply = self.has_slow_reply(now);
        let waited =
            |since: Instant| !has_slow_reply && now.saturating_duration_since(since) >= MAX_WAIT;
        let mut refused = self.waiting.split_off(may_wait.min(self.waiting.len()));
        while let Some((waiter, since)) = self.waiting.pop_front_if(|(_, since)| waited(*since)) {
            refused.push_back((waiter, since));
        }
        let refused = refused.into_iter();
        refused
            .map(|(waiter, _)| (waiter, self.over_limit(now, wait, advice)))
            .collect()
    }

    /// Refuses a request. The retry times are chosen so that there are tokens for all the refused
    /// requests, and so that these do not return at the same time.
    fn over_limit(
        &mut self,
        now: Instant,
        wait: Duration,
        advice: &mut RetryAdvice,
    ) -> LimitDecision {
        self.refused.note(now);
        let refused = self.refused.per_second(now);
        let served = self.served.per_second(now);
        LimitDecision::OverLimit {
            retry_after: advice.after(wait, refused, served),
        }
    }

    fn unconfirmed(&mut self, now: Instant, advice: &mut RetryAdvice) -> LimitDecision {
        self.refused.note(now);
        LimitDecision::Unconfirmed {
            retry_after: advice.after(UNCONFIRMED_RETRY_AFTER, 0.0, 1.0),
        }
    }

    fn is_idle(&self, now: Instant) -> bool {
        let unused = now.saturating_duration_since(self.last) >= IDLE_TIMEOUT;
        unused && self.waiting.is_empty() && self.used.is_empty() && self.stock.is_empty()
    }
}

fn is_available(
    now: Instant,
    silent: &BTreeMap<SocketAddr, SilentReplica>,
    replica: &SocketAddr,
) -> bool {
    silent.get(replica).is_none_or(|silent| silent.until <= now)
}
