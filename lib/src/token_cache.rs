//! An entry VM's tokens for the limits of teams.
//!
//! A request of a limited team takes a held token, or waits for one from a control replica.
//! Replicas are asked in order of distance, nearest first. If one has no token left, or its reply
//! is late, the next one is asked, while the late reply is still used when it arrives: a token can
//! be used until its lease ends, whichever request it was drawn for. Tokens are also drawn ahead of
//! demand.
//!
//! A request waits no longer than its caller allows. It is refused at once if all replicas that
//! reply have no token for longer than a request may wait.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::decayed_rate::DecayedRate;
use crate::held_tokens::HeldTokens;
use crate::id::TeamName;
use crate::rate_meter::RateMeter;
use crate::retry_advice::RetryAdvice;
use crate::team::TeamLimit;
use crate::team_share::MAX_LEASE;
use crate::team_share::MIN_LEASE;
use crate::token_replicas::ReplicaHealth;
use crate::token_replicas::TokenReplicas;
use crate::token_shard::Draw;
use crate::token_shard::Drawn;

/// Time after which no reply to a token request is awaited any longer: all leases have ended.
pub const REPLY_TIMEOUT: Duration = MAX_LEASE;

/// Fraction of the requests expected within a lease for which tokens are drawn ahead. Requests
/// arrive irregularly, so that some of the tokens for all of them would lapse.
const AHEAD_FRACTION: f64 = 0.8;

/// Maximum number of tokens per team that are drawn ahead.
const MAX_AHEAD: f64 = 64.0;

/// Minimum time between two requests for tokens ahead of demand, except along with others.
const AHEAD_INTERVAL: Duration = Duration::from_millis(100);

/// Time until tokens are drawn ahead again after a replica issued too few.
const AHEAD_PAUSE: Duration = Duration::from_secs(1);

/// Maximum time that a request waits for tokens to accrue; where replies take longer than this, as
/// long as they may take.
const MAX_ACCRUAL_WAIT: Duration = Duration::from_millis(250);

/// Rate of refusals per second from which on requests do not wait for tokens to accrue: other
/// requests of the team would take them first.
const SCARCITY_REFUSALS_PER_S: f64 = 1.5;

/// Number of requests that wait for a reply while tokens are scarce, in addition to those that are
/// served in [`SCARCE_COVERAGE_S`].
const MIN_SCARCE_WAITING: usize = 2;
const SCARCE_COVERAGE_S: f64 = 0.5;

/// Number of replies without a token for it after which a request is refused while tokens are
/// scarce; otherwise each replica may have none once more.
const MAX_SCARCE_DENIALS: usize = 2;

/// Maximum time that a request waits after a replica had no token for it where replies are slow, in
/// times after which a reply is late.
const MAX_DENIED_WAIT: f64 = 4.0;

/// Time after which a team that a replica does not know is asked for there again.
const UNKNOWN_TEAM_PAUSE: Duration = Duration::from_secs(1);

/// Minimum time after which a replica without a token is asked again.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Time without any reply after which control counts as out of reach, and how long a request waits
/// then.
const OUT_OF_REACH_AFTER: Duration = Duration::from_secs(3);
const OUT_OF_REACH_WAIT: Duration = Duration::from_millis(250);

/// Time after which an unused team is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a caller is told to retry if no replica replied.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Maximum time until the cache is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum time until the cache is polled again.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Fraction of its remaining time that a request waits for a token, and the longest such wait.
const WAIT_FRACTION: f64 = 0.4;
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Returns until when a request that has to be answered by `deadline` waits for a token.
#[must_use]
pub fn wait_until(now: Instant, deadline: Instant) -> Instant {
    let left = deadline.saturating_duration_since(now);
    now + left.mul_f64(WAIT_FRACTION).min(MAX_WAIT)
}

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
    /// No replica replied while the request waited.
    Unconfirmed {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// Events since they were last read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenCounts {
    /// Token requests that were repeated because a reply was late.
    pub hedged: u64,
    /// Token requests without a reply.
    pub lost: u64,
    /// Tokens whose lease ended unused.
    pub lapsed: u64,
}

/// Caches tokens of teams. `W` identifies a waiting request.
#[derive(Debug)]
pub struct TokenCache<W> {
    teams: BTreeMap<TeamName, TeamTokens<W>>,
    replicas: TokenReplicas,
    /// Number of the last token request.
    last_number: u64,
    counts: TokenCounts,
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
    /// When replicas that have issued their last token may have one again.
    low_until: BTreeMap<SocketAddr, Instant>,
    /// Requests without a token.
    waiting: VecDeque<Waiter<W>>,
    /// Draws without a reply.
    pending: Vec<PendingDraw>,
    held: HeldTokens,
    /// Lease of the team's tokens, as the last reply stated it.
    lease: Duration,
    /// Earliest time at which tokens are drawn ahead again.
    ahead_at: Instant,
    /// Time of the last reply.
    answered_at: Option<Instant>,
    /// Time since which no replica that replies has a token; `None` if one may have one.
    accruing_since: Option<Instant>,
    /// Sum of all earlier such times.
    accrued: Duration,
    demand: DecayedRate,
    served: RateMeter,
    refused: RateMeter,
    last: Instant,
}

#[derive(Debug)]
struct Waiter<W> {
    id: W,
    since: Instant,
    until: Instant,
    /// Value of [`TeamTokens::accrued`] when it came.
    accrued: Duration,
    /// Number of replies that had no token for it, and the time of the first.
    denials: usize,
    denied_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct PendingDraw {
    /// Number of the token request.
    number: u64,
    replica: SocketAddr,
    asked_at: Instant,
    /// Number of tokens that are expected from it until it is late.
    count: u32,
    /// Time from which on the reply is late.
    late_at: Instant,
}

/// A request to a replica for tokens. One without draws only probes whether the replica replies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenRequest {
    /// Identifies the request.
    pub number: u64,
    /// The replica.
    pub replica: SocketAddr,
    /// Time of the request.
    pub asked_at: Instant,
    /// Tokens requested, by team.
    pub draws: Vec<Draw>,
}

/// A waiting request and the decision on it.
type Decided<W> = (W, LimitDecision);

impl<W> TokenCache<W> {
    /// Creates a cache without tokens; `seed` randomizes the retry times of refused callers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            teams: BTreeMap::new(),
            replicas: TokenReplicas::default(),
            last_number: 0,
            counts: TokenCounts::default(),
            advice: RetryAdvice::new(seed),
        }
    }

    /// Takes a token for a request of `team` that waits until `until` at most.
    /// `find_sharing_replicas` returns the replicas that share the team's limit, nearest first; it
    /// is called if they are not known. Returns the decisions that result for this and other
    /// waiting requests; if `waiter` is not among them, it has to wait.
    pub fn take(
        &mut self,
        now: Instant,
        team: &TeamName,
        limit: &TeamLimit,
        until: Instant,
        find_sharing_replicas: impl FnOnce() -> Vec<SocketAddr>,
        waiter: W,
    ) -> Vec<Decided<W>> {
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
        self.counts.lapsed += u64::from(tokens.held.drop_lapsed(now));
        if tokens.held.take() {
            tokens.served.note(now);
            return vec![(waiter, LimitDecision::Run)];
        }
        let out_of_reach = self
            .replicas
            .out_of_reach_for(now, &tokens.sharing_replicas)
            .is_some_and(|silence| silence >= OUT_OF_REACH_AFTER);
        let until = if out_of_reach {
            until.min(now + OUT_OF_REACH_WAIT)
        } else {
            until
        };
        if tokens.waiting.is_empty() {
            tokens.accruing_since = None;
        }
        tokens.waiting.push_back(Waiter {
            id: waiter,
            since: now,
            until,
            accrued: tokens.accrued,
            denials: 0,
            denied_at: None,
        });
        tokens.refuse(now, &self.replicas, &mut self.advice)
    }

    /// Discards which replicas share limits, because the replicas are now `replicas`.
    pub fn set_replicas(&mut self, replicas: &[SocketAddr]) {
        self.replicas.retain(replicas);
        for tokens in self.teams.values_mut() {
            tokens.limit = None;
        }
    }

    /// Returns the token requests that are due. The outcome of each must be passed to
    /// [`Self::answered`] within [`REPLY_TIMEOUT`].
    pub fn token_requests(&mut self, now: Instant) -> Vec<TokenRequest> {
        self.teams.retain(|_, tokens| !tokens.is_idle(now));
        let mut draws: BTreeMap<SocketAddr, Vec<Draw>> = BTreeMap::new();
        let mut numbers: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for (team, tokens) in &mut self.teams {
            self.counts.lapsed += u64::from(tokens.held.drop_lapsed(now));
            let Some(planned) = tokens.plan(now, &self.replicas) else {
                continue;
            };
            let last_number = &mut self.last_number;
            let number = *numbers.entry(planned.replica).or_insert_with(|| {
                *last_number += 1;
                *last_number
            });
            self.counts.hedged += u64::from(planned.is_hedge);
            tokens.note_draw(now, number, &planned, &self.replicas);
            draws.entry(planned.replica).or_default().push(Draw {
                team: team.clone(),
                waiting: planned.waiting,
                ahead: planned.ahead,
            });
        }
        if !self.teams.is_empty() {
            for replica in self.replicas.due_probes(now) {
                draws.entry(replica).or_default();
            }
        }
        let mut token_requests = Vec::with_capacity(draws.len());
        for (replica, draws) in draws {
            self.replicas.asked(now, replica, draws.is_empty());
            let number = numbers.get(&replica).copied().unwrap_or_else(|| {
                self.last_number += 1;
                self.last_number
            });
            token_requests.push(TokenRequest {
                number,
                replica,
                asked_at: now,
                draws,
            });
        }
        token_requests
    }

    /// Applies a replica's reply to `token_request`, or `None` if there was none within
    /// [`REPLY_TIMEOUT`]. Returns decisions on waiting requests.
    pub fn answered(
        &mut self,
        now: Instant,
        token_request: &TokenRequest,
        answer: Option<&[Drawn]>,
    ) -> Vec<Decided<W>> {
        let TokenRequest {
            replica, asked_at, ..
        } = *token_request;
        if answer.is_some() {
            self.replicas.replied(now, replica, asked_at);
        } else {
            self.replicas.failed(replica, asked_at);
            self.counts.lost += 1;
        }
        let mut decisions = Vec::new();
        for draw in &token_request.draws {
            let Some(tokens) = self.teams.get_mut(&draw.team) else {
                continue;
            };
            let number = token_request.number;
            tokens.pending.retain(|pending| pending.number != number);
            if let Some(answer) = answer {
                tokens.answered_at = Some(now);
                let drawn = answer.iter().find(|drawn| drawn.team == draw.team);
                if let Some(drawn) = drawn {
                    let lapsed = tokens.apply_drawn(now, token_request, draw, drawn);
                    self.counts.lapsed += u64::from(lapsed);
                } else {
                    let ready_at = now + UNKNOWN_TEAM_PAUSE;
                    tokens.ready_at.insert(replica, ready_at);
                }
            }
            decisions.extend(tokens.serve(now));
            tokens.note_denials(now, asked_at);
            decisions.extend(tokens.refuse(now, &self.replicas, &mut self.advice));
        }
        decisions
    }

    /// Returns decisions on requests that have waited for as long as they may.
    pub fn expired(&mut self, now: Instant) -> Vec<Decided<W>> {
        let mut decisions = Vec::new();
        for tokens in self.teams.values_mut() {
            if !tokens.waiting.is_empty() {
                decisions.extend(tokens.refuse(now, &self.replicas, &mut self.advice));
            }
        }
        decisions
    }

    /// Returns the replicas that have become silent, or have replied again after that, since the
    /// last call, and whether each is silent.
    pub fn silence_changes(&mut self, now: Instant) -> Vec<(SocketAddr, bool)> {
        self.replicas.changes(now)
    }

    /// Returns the events since the last call.
    pub fn take_counts(&mut self) -> TokenCounts {
        std::mem::take(&mut self.counts)
    }

    /// Returns the latest time at which [`Self::expired`] and [`Self::token_requests`] must be
    /// called again; `None` while there is no team in the cache.
    #[must_use]
    pub fn next_poll_at(&self, now: Instant) -> Option<Instant> {
        if self.teams.is_empty() {
            return None;
        }
        let waiting = self.teams.values();
        let waiting = waiting.filter(|tokens| !tokens.waiting.is_empty());
        let due = waiting.filter_map(|tokens| tokens.next_poll_at(now, &self.replicas));
        let due = due.chain(self.replicas.next_probe_at()).min();
        let poll_at = now + POLL_INTERVAL;
        let poll_at = due.map_or(poll_at, |due| due.min(poll_at));
        Some(poll_at.max(now + MIN_POLL_INTERVAL))
    }
}

/// A draw that is due.
struct PlannedDraw {
    replica: SocketAddr,
    waiting: u32,
    ahead: u32,
    /// Whether it repeats a draw whose reply is late.
    is_hedge: bool,
}

impl<W> TeamTokens<W> {
    fn new(now: Instant) -> Self {
        Self {
            limit: None,
            sharing_replicas: Vec::new(),
            ready_at: BTreeMap::new(),
            low_until: BTreeMap::new(),
            waiting: VecDeque::new(),
            pending: Vec::new(),
            held: HeldTokens::default(),
            lease: MIN_LEASE,
            ahead_at: now,
            answered_at: None,
            accruing_since: None,
            accrued: Duration::ZERO,
            demand: DecayedRate::default(),
            served: RateMeter::default(),
            refused: RateMeter::default(),
            last: now,
        }
    }

    fn set_replicas(&mut self, sharing_replicas: Vec<SocketAddr>) {
        if self.sharing_replicas != sharing_replicas {
            self.sharing_replicas = sharing_replicas;
            self.ready_at.clear();
            self.low_until.clear();
        }
    }

    /// Returns the replicas that a draw may go to, best first. Silent ones are left out unless all
    /// are.
    fn candidates(&self, now: Instant, replicas: &TokenReplicas) -> Vec<SocketAddr> {
        let is_ready = |replica: &&SocketAddr| {
            let ready_at = self.ready_at.get(*replica);
            ready_at.is_none_or(|at| *at <= now)
        };
        let owes_reply = |replica: &SocketAddr| {
            let late = self.pending.iter().filter(|pending| pending.late_at <= now);
            let mut late = late.filter(|pending| pending.replica == *replica);
            late.any(|pending| !replicas.has_replied_since(replica, pending.asked_at))
        };
        let health = |replica: &SocketAddr| replicas.health(now, replica);
        let all_silent = self
            .sharing_replicas
            .iter()
            .all(|replica| health(replica) == ReplicaHealth::Silent);
        let usable = |replica: &&SocketAddr| {
            all_silent || health(replica) != ReplicaHealth::Silent && is_ready(replica)
        };
        let candidates = self.sharing_replicas.iter().filter(usable).copied();
        let mut candidates: Vec<SocketAddr> = candidates.collect();
        let is_low = |replica: &SocketAddr| self.low_until.get(replica).is_some_and(|at| *at > now);
        let rank = |replica: &SocketAddr| (owes_reply(replica), health(replica), is_low(replica));
        candidates.sort_by_key(rank);
        candidates
    }

    /// Returns the number of tokens that replies which are not late yet are expected to bring.
    fn expected(&self, now: Instant) -> u32 {
        let in_time = self.pending.iter().filter(|pending| pending.late_at > now);
        in_time.map(|pending| pending.count).sum()
    }

    /// Returns whether a reply is late that a request waits for.
    fn awaits_late_reply(&self, now: Instant) -> bool {
        let since = self.waiting.front().map(|waiter| waiter.since);
        let is_awaited = |pending: &PendingDraw| {
            pending.late_at <= now && since.is_some_and(|since| since <= pending.asked_at)
        };
        self.pending.iter().any(is_awaited)
    }

    fn waiting_count(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Returns the draw that is due, if any.
    fn plan(&self, now: Instant, replicas: &TokenReplicas) -> Option<PlannedDraw> {
        let expected = self.expected(now);
        let waiting = self.waiting_count().saturating_sub(expected);
        let surplus = (self.held.count() + expected).saturating_sub(self.waiting_count());
        let ahead = if self.ahead_at <= now {
            self.ahead_target(now).saturating_sub(surplus)
        } else {
            0
        };
        if waiting == 0 && ahead == 0 {
            return None;
        }
        let replica = *self.candidates(now, replicas).first()?;
        if replicas.free_at(now, &replica) > now {
            return None;
        }
        Some(PlannedDraw {
            replica,
            waiting,
            ahead,
            is_hedge: waiting > 0 && self.awaits_late_reply(now),
        })
    }

    fn note_draw(
        &mut self,
        now: Instant,
        number: u64,
        planned: &PlannedDraw,
        replicas: &TokenReplicas,
    ) {
        let late_after = replicas.late_after(&planned.replica);
        let patience = if planned.is_hedge {
            late_after / 2
        } else {
            late_after
        };
        self.pending.push(PendingDraw {
            number,
            replica: planned.replica,
            asked_at: now,
            count: planned.waiting + planned.ahead,
            late_at: now + patience,
        });
        self.ahead_at = self.ahead_at.max(now + AHEAD_INTERVAL);
    }

    /// Returns the number of tokens to hold ahead of demand.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range of the type"
    )]
    fn ahead_target(&self, now: Instant) -> u32 {
        let lease = self.lease.as_secs_f64();
        let expected = self.demand.per_second(now) * lease * AHEAD_FRACTION;
        expected.clamp(0.0, MAX_AHEAD).round() as u32
    }

    /// Adds the tokens of a reply to those held, and delays further draws if there were too few.
    /// Returns the number of tokens whose lease has already ended.
    fn apply_drawn(
        &mut self,
        now: Instant,
        token_request: &TokenRequest,
        draw: &Draw,
        drawn: &Drawn,
    ) -> u32 {
        self.lease = drawn.lease;
        let low_until = now + drawn.retry_after;
        self.low_until.insert(token_request.replica, low_until);
        if drawn.count < draw.waiting {
            let pause = drawn.retry_after.max(MIN_PAUSE);
            self.ready_at.insert(token_request.replica, now + pause);
        }
        if drawn.count < draw.waiting + draw.ahead {
            self.ahead_at = now + AHEAD_PAUSE;
        }
        let until = token_request.asked_at + drawn.lease;
        if until <= now {
            return drawn.count;
        }
        self.held.add(until, drawn.count);
        0
    }

    /// Counts a reply that left requests without a token that waited when it was asked for.
    fn note_denials(&mut self, now: Instant, asked_at: Instant) {
        for waiter in &mut self.waiting {
            if waiter.since <= asked_at {
                waiter.denials += 1;
                waiter.denied_at.get_or_insert(now);
            }
        }
    }

    /// Adds up the time for which no replica that replies has had a token.
    fn note_accrual(&mut self, now: Instant, wait: Duration) {
        if let Some(since) = self.accruing_since.take() {
            self.accrued += now.saturating_duration_since(since);
        }
        if !wait.is_zero() {
            self.accruing_since = Some(now);
        }
    }

    /// Gives held tokens to waiting requests.
    fn serve(&mut self, now: Instant) -> Vec<Decided<W>> {
        let mut served = Vec::new();
        while !self.waiting.is_empty() && self.held.take() {
            if let Some(Waiter { id, .. }) = self.waiting.pop_front() {
                self.served.note(now);
                served.push((id, LimitDecision::Run));
            }
        }
        served
    }

    /// Returns the time until one of the replicas may have a token: zero if one may have it now,
    /// or if there is none that replies.
    fn time_to_token(&self, now: Instant, replicas: &TokenReplicas) -> Duration {
        let replies =
            |replica: &&SocketAddr| replicas.health(now, replica) != ReplicaHealth::Silent;
        let replying = self.sharing_replicas.iter().filter(replies);
        let ready_at = replying.map(|replica| self.ready_at.get(replica).copied().unwrap_or(now));
        let ready_at = ready_at.min().unwrap_or(now);
        ready_at.saturating_duration_since(now)
    }

    fn is_scarce(&mut self, now: Instant) -> bool {
        self.refused.per_second(now) >= SCARCITY_REFUSALS_PER_S
    }

    fn max_accrual_wait(&self, replicas: &TokenReplicas) -> Duration {
        let late_after = replicas.longest_late_after(&self.sharing_replicas);
        MAX_ACCRUAL_WAIT.max(late_after)
    }

    /// Returns for how long a request waits once a replica had no token for it: long enough to ask
    /// others.
    fn max_denied_wait(&self, now: Instant, replicas: &TokenReplicas) -> Duration {
        let late_after = replicas.longest_late_after(&self.sharing_replicas);
        let responsive =
            |replica: &SocketAddr| replicas.health(now, replica) == ReplicaHealth::Responsive;
        if late_after <= MAX_ACCRUAL_WAIT && self.sharing_replicas.iter().all(responsive) {
            return MAX_ACCRUAL_WAIT;
        }
        let late_after = late_after.max(MAX_ACCRUAL_WAIT);
        late_after.mul_f64(MAX_DENIED_WAIT)
    }

    /// Returns how many requests may wait if a token may be available after `wait`.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rate of requests is small and not negative"
    )]
    fn may_wait(&mut self, now: Instant, wait: Duration, max_accrual_wait: Duration) -> usize {
        let is_scarce = self.is_scarce(now);
        if wait.is_zero() && !is_scarce {
            usize::MAX
        } else if wait.is_zero() {
            let served = self.served.per_second(now) * SCARCE_COVERAGE_S;
            MIN_SCARCE_WAITING + served.ceil() as usize
        } else if wait <= max_accrual_wait && !is_scarce {
            self.sharing_replicas.len()
        } else {
            0
        }
    }

    /// Refuses waiting requests that cannot expect a token in time.
    fn refuse(
        &mut self,
        now: Instant,
        replicas: &TokenReplicas,
        advice: &mut RetryAdvice,
    ) -> Vec<Decided<W>> {
        let wait = self.time_to_token(now, replicas);
        self.note_accrual(now, wait);
        let max_accrual_wait = self.max_accrual_wait(replicas);
        let may_wait = self.may_wait(now, wait, max_accrual_wait);
        let may_wait = may_wait.min(self.waiting.len());
        let mut refused: Vec<Decided<W>> = Vec::new();
        for waiter in self.waiting.split_off(may_wait) {
            refused.push((waiter.id, self.over_limit(now, wait, advice)));
        }
        let is_scarce = self.is_scarce(now);
        let max_denials = if is_scarce {
            MAX_SCARCE_DENIALS
        } else {
            self.sharing_replicas.len() + MAX_SCARCE_DENIALS
        };
        let max_denied_wait = self.max_denied_wait(now, replicas);
        let mut kept = VecDeque::with_capacity(self.waiting.len());
        for waiter in std::mem::take(&mut self.waiting) {
            let accrued = self.accrued.saturating_sub(waiter.accrued);
            let denied_for = waiter.denied_at.map(|at| now.saturating_duration_since(at));
            let is_denied = accrued >= max_accrual_wait
                || waiter.denials >= max_denials
                || denied_for.is_some_and(|time| time >= max_denied_wait);
            let is_answered = self.answered_at.is_some_and(|at| at >= waiter.since);
            if is_denied || waiter.until <= now && is_answered {
                refused.push((waiter.id, self.over_limit(now, wait, advice)));
            } else if waiter.until <= now {
                refused.push((waiter.id, self.unconfirmed(now, advice)));
            } else {
                kept.push_back(waiter);
            }
        }
        self.waiting = kept;
        refused
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

    /// Returns when a waiting request may be refused or another replica asked.
    fn next_poll_at(&self, now: Instant, replicas: &TokenReplicas) -> Option<Instant> {
        let until = self.waiting.iter().map(|waiter| waiter.until);
        let max_accrual_wait = self.max_accrual_wait(replicas);
        let accrued = self.accruing_since.into_iter().flat_map(|since| {
            let waiting = self.waiting.iter();
            waiting.map(move |waiter| {
                let accrued = self.accrued.saturating_sub(waiter.accrued);
                since + max_accrual_wait.saturating_sub(accrued)
            })
        });
        let denied_at = self.waiting.iter().filter_map(|waiter| waiter.denied_at);
        let denied_until = denied_at.map(|at| at + self.max_denied_wait(now, replicas));
        let late_at = self.pending.iter().map(|pending| pending.late_at);
        let ready_at = self.ready_at.values().copied();
        let free_at = self.sharing_replicas.iter();
        let free_at = free_at.map(|replica| replicas.free_at(now, replica));
        let later = accrued
            .chain(denied_until)
            .chain(late_at)
            .chain(ready_at)
            .chain(free_at);
        until.chain(later.filter(|at| *at > now)).min()
    }

    fn is_idle(&self, now: Instant) -> bool {
        let unused = now.saturating_duration_since(self.last) >= IDLE_TIMEOUT;
        unused && self.waiting.is_empty() && self.pending.is_empty()
    }
}
