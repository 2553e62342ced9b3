//! The tokens of an entry VM for the limits of teams.
//!
//! A request of a limited team takes a token from stock, or waits for one of a control replica.
//! Replicas are asked nearest first; one that has none left, or gives no answer, is left for the
//! next one. Teams that ask often keep a small stock, which also lasts while no replica is in
//! reach.

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

/// Time for which requests are expected to go by the stock.
const STOCK_FOR: Duration = Duration::from_millis(1_500);

/// Tokens of a team that are in stock at most.
const MOST_STOCK: u32 = 64;

/// Time for which a request waits for a token that is yet to gather.
const PATIENCE: Duration = Duration::from_millis(250);

/// Time for which a request waits in all, however often a replica had none.
const LONGEST_WAIT: Duration = Duration::from_millis(250);

/// Time after which a replica that hasn't answered yet seems to be silent; answers from the
/// farthest region take some 0.1 s.
const SLOW_ANSWER: Duration = Duration::from_millis(150);

/// Refusals a second from which on requests don't wait for tokens to gather: others of the team
/// take them first.
const SHORT: f64 = 0.5;

/// Least time between two asks for stock.
const STOCK_EVERY: Duration = Duration::from_millis(200);

/// Time after which a replica that had too few tokens for the stock is asked again.
const STOCK_PAUSE: Duration = Duration::from_secs(2);

/// Time for which a replica isn't asked that gave no answer, doubled with each further time. A
/// request loses some tenths of a second to it each time.
const SILENT_FOR: Duration = Duration::from_secs(1);

/// Longest such time.
const LONGEST_SILENT: Duration = Duration::from_secs(8);

/// Longest time for which used tokens go unreported.
const REPORT_WITHIN: Duration = Duration::from_secs(2);

/// Time after which an unused team is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);

/// When a caller is told to come back if no replica can be asked.
const COME_BACK: Duration = Duration::from_millis(500);

/// Least time after which a replica without a token is asked again.
const LEAST_PAUSE: Duration = Duration::from_millis(20);

/// Says what becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitDecision {
    /// It has its token.
    Run,
    /// The limit is reached.
    OverLimit {
        /// When to come back.
        retry_after: Duration,
    },
    /// No replica could be asked.
    Unconfirmed {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Holds tokens of teams. `W` stands for a request that waits.
#[derive(Debug)]
pub struct TokenCache<W> {
    teams: BTreeMap<TeamName, Purse<W>>,
    /// Replicas that are asked at the moment.
    busy: BTreeSet<SocketAddr>,
    /// Replicas that gave no answer.
    silent: BTreeMap<SocketAddr, Silent>,
    advice: RetryAdvice,
}

#[derive(Debug)]
struct Purse<W> {
    /// The limit that `sharing_replicas` share out; nothing once they may be others.
    limit: Option<TeamLimit>,
    /// The replicas that share the limit out, nearest first.
    sharing_replicas: Vec<SocketAddr>,
    /// When those that had no token may have one again.
    ready_at: BTreeMap<SocketAddr, Instant>,
    /// When stock is asked for again.
    stock_at: Instant,
    /// Requests without a token, and since when they wait.
    waiting: VecDeque<(W, Instant)>,
    /// The replicas that are being asked for waiting requests.
    asked: BTreeMap<SocketAddr, Asked>,
    stock: VecDeque<Stock>,
    used: BTreeMap<SocketAddr, Used>,
    demand: RateMeter,
    served: RateMeter,
    refused: RateMeter,
    last: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    /// Requests that wait for the answer.
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
struct Silent {
    /// How often in a row it gave no answer.
    times: u32,
    /// Until when it isn't asked.
    until: Instant,
}

impl Silent {
    fn next(before: Option<&Self>, now: Instant) -> Self {
        let times = before.map_or(0, |before| before.times);
        let doubled = SILENT_FOR * (1 << times.min(8));
        Self {
            times: times + 1,
            until: now + doubled.min(LONGEST_SILENT),
        }
    }
}

/// Asks a replica for tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenRequest {
    /// The replica.
    pub replica: SocketAddr,
    /// When it is asked.
    pub asked_at: Instant,
    /// What for.
    pub draws: Vec<Draw>,
}

impl<W> TokenCache<W> {
    /// Starts without tokens; `seed` spreads the returns of refused callers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            teams: BTreeMap::new(),
            busy: BTreeSet::new(),
            silent: BTreeMap::new(),
            advice: RetryAdvice::new(seed),
        }
    }

    /// Takes a token for a request of `team`. Where it isn't known who shares its limit out,
    /// `find_sharing_replicas` says so, nearest first. Returns whom to tell what; `waiter` has to wait if
    /// it isn't among them.
    pub fn take(
        &mut self,
        now: Instant,
        team: &TeamName,
        limit: &TeamLimit,
        find_sharing_replicas: impl FnOnce() -> Vec<SocketAddr>,
        waiter: W,
    ) -> Vec<(W, LimitDecision)> {
        let purse = self
            .teams
            .entry(team.clone())
            .or_insert_with(|| Purse::new(now));
        if purse.limit != Some(*limit) {
            purse.limit = Some(*limit);
            purse.follow(find_sharing_replicas());
        }
        purse.last = now;
        purse.demand.note(now);
        if purse.spend(now) {
            return vec![(waiter, LimitDecision::Run)];
        }
        purse.waiting.push_back((waiter, now));
        purse.give_up(now, &self.silent, &mut self.advice)
    }

    /// Forgets who shares limits out: the replicas have changed.
    pub fn forget_sharing_replicas(&mut self) {
        for purse in self.teams.values_mut() {
            purse.limit = None;
        }
    }

    /// Returns what replicas are to be asked now. Each must be answered for.
    pub fn token_requests(&mut self, now: Instant) -> Vec<TokenRequest> {
        let silent = &self.silent;
        self.teams.retain(|_, purse| !purse.is_over(now));
        let mut token_requests: BTreeMap<SocketAddr, Vec<Draw>> = BTreeMap::new();
        for (team, purse) in &mut self.teams {
            purse.lapse(now);
            let asked = purse
                .ready(now, silent)
                .find(|replica| !self.busy.contains(replica));
            if let Some(replica) = asked
                && let Some(draw) = purse.draw(now, team, replica)
            {
                token_requests.entry(replica).or_default().push(draw);
            }
        }
        for (team, purse) in &mut self.teams {
            let due = purse.unreported(now, |replica| token_requests.contains_key(replica));
            for replica in due {
                if !self.busy.contains(&replica) {
                    let draw = purse.report_alone(team, replica);
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

    /// Takes a replica's answer to `token_request`; nothing if none came in time. Returns whom to
    /// tell what.
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
            let silent = Silent::next(self.silent.get(&token_request.replica), now);
            self.silent.insert(token_request.replica, silent);
        }
        let is_fresh = now.saturating_duration_since(token_request.asked_at) <= TOKEN_USE_TIMEOUT;
        let mut told = Vec::new();
        for draw in &token_request.draws {
            let Some(purse) = self.teams.get_mut(&draw.team) else {
                continue;
            };
            purse.asked.remove(&token_request.replica);
            let drawn = answer.and_then(|answer| answer.iter().find(|d| d.team == draw.team));
            if let Some(drawn) = drawn {
                let count = if is_fresh { drawn.waiting } else { 0 };
                told.extend(purse.serve(now, count));
                purse.take_in(now, token_request, draw, drawn);
            } else if answer.is_some() {
                // It doesn't know the team yet.
                let ready_at = now + SILENT_FOR;
                purse.ready_at.insert(token_request.replica, ready_at);
            } else {
                purse.wait_anew(now);
            }
            told.extend(purse.give_up(now, &self.silent, &mut self.advice));
        }
        told
    }

    /// Returns when [`Self::token_requests`] is to be asked again at the latest; nothing while no team
    /// has asked lately.
    #[must_use]
    pub fn next_poll_at(&self, now: Instant) -> Option<Instant> {
        if self.teams.is_empty() {
            return None;
        }
        let waiting = self
            .teams
            .values()
            .filter(|purse| !purse.waiting.is_empty());
        let ready = waiting.flat_map(|purse| purse.ready_at.values());
        let ready = ready.filter(|at| **at > now).min();
        let report = now + REPORT_WITHIN;
        Some(ready.map_or(report, |at| report.min(*at)))
    }
}

impl<W> Purse<W> {
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

    fn follow(&mut self, sharing_replicas: Vec<SocketAddr>) {
        if self.sharing_replicas != sharing_replicas {
            self.sharing_replicas = sharing_replicas;
            self.ready_at.clear();
        }
    }

    /// Uses a token of the stock, if there is one.
    fn spend(&mut self, now: Instant) -> bool {
        self.lapse(now);
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

    /// Drops tokens that were held for too long.
    fn lapse(&mut self, now: Instant) {
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
        silent: &BTreeMap<SocketAddr, Silent>,
    ) -> impl Iterator<Item = SocketAddr> {
        let is_ready = move |replica: &&SocketAddr| {
            let ready_at = self.ready_at.get(*replica);
            is_awake(now, silent, replica) && ready_at.is_none_or(|at| *at <= now)
        };
        self.sharing_replicas.iter().filter(is_ready).copied()
    }

    /// Returns what to ask `replica` for, if anything.
    fn draw(&mut self, now: Instant, team: &TeamName, replica: SocketAddr) -> Option<Draw> {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let asked: u32 = self.asked.values().map(|asked| asked.count).sum();
        let waiting = waiting.saturating_sub(asked);
        let stock = if self.stock_at > now {
            0
        } else {
            self.wanted(now)
        };
        if waiting == 0 && stock == 0 {
            return None;
        }
        if waiting > 0 {
            let asked = Asked {
                count: waiting,
                since: now,
            };
            self.asked.insert(replica, asked);
        }
        self.stock_at = self.stock_at.max(now + STOCK_EVERY);
        Some(Draw {
            team: team.clone(),
            waiting,
            stock,
            used: self.report(replica),
        })
    }

    /// Returns the tokens that the stock lacks.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range of the type"
    )]
    fn wanted(&mut self, now: Instant) -> u32 {
        let expected = self.demand.per_second(now) * STOCK_FOR.as_secs_f64();
        let wanted = expected.clamp(0.0, f64::from(MOST_STOCK)).ceil() as u32;
        let held: u32 = self.stock.iter().map(|stock| stock.count).sum();
        if 2 * held > wanted { 0 } else { wanted - held }
    }

    /// Returns the replicas to tell what was used: those that haven't heard of it for long, and
    /// those that are asked anyway.
    fn unreported(&self, now: Instant, is_asked: impl Fn(&SocketAddr) -> bool) -> Vec<SocketAddr> {
        let is_due = |(replica, used): &(&SocketAddr, &Used)| {
            is_asked(replica) || now.saturating_duration_since(used.since) >= REPORT_WITHIN
        };
        let due = self.used.iter().filter(is_due);
        due.map(|(replica, _)| *replica).collect()
    }

    fn report_alone(&mut self, team: &TeamName, replica: SocketAddr) -> Draw {
        Draw {
            team: team.clone(),
            waiting: 0,
            stock: 0,
            used: self.report(replica),
        }
    }

    fn report(&mut self, replica: SocketAddr) -> u32 {
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

    /// Puts tokens into stock, which may be as old as the question, and notes what lacks.
    fn take_in(&mut self, now: Instant, token_request: &TokenRequest, draw: &Draw, drawn: &Drawn) {
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
            let pause = drawn.retry_after.max(LEAST_PAUSE);
            self.ready_at.insert(token_request.replica, now + pause);
        }
    }

    /// Returns whether a replica takes so long that it seems to be silent.
    fn is_held_up(&self, now: Instant) -> bool {
        let is_slow = |asked: &Asked| now.saturating_duration_since(asked.since) >= SLOW_ANSWER;
        self.asked.values().any(is_slow)
    }

    /// Has requests wait on that a replica kept waiting without an answer.
    fn wait_anew(&mut self, now: Instant) {
        for (_, since) in &mut self.waiting {
            *since = now;
        }
    }

    /// Refuses what waits in vain: all, if no replica can have a token soon, or else those that
    /// have waited for long, and as many as there are more than replicas.
    fn give_up(
        &mut self,
        now: Instant,
        silent: &BTreeMap<SocketAddr, Silent>,
        advice: &mut RetryAdvice,
    ) -> Vec<(W, LimitDecision)> {
        let awake = self.sharing_replicas.iter();
        let awake = awake.filter(|replica| is_awake(now, silent, replica));
        let ready_at = awake.map(|replica| self.ready_at.get(replica).copied().unwrap_or(now));
        let Some(ready_at) = ready_at.min() else {
            let waiting = std::mem::take(&mut self.waiting).into_iter();
            return waiting
                .map(|(waiter, _)| (waiter, self.unconfirmed(now, advice)))
                .collect();
        };
        let wait = ready_at.saturating_duration_since(now);
        let may_wait = if wait.is_zero() {
            usize::MAX
        } else if wait <= PATIENCE && self.refused.per_second(now) < SHORT {
            self.sharing_replicas.len()
        } else {
            0
        };
        let is_held_up = self.is_held_up(now);
        let waited =
            |since: Instant| !is_held_up && now.saturating_duration_since(since) >= LONGEST_WAIT;
        let mut refused = self.waiting.split_off(may_wait.min(self.waiting.len()));
        while let Some((waiter, since)) = self.waiting.pop_front_if(|(_, since)| waited(*since)) {
            refused.push_back((waiter, since));
        }
        let refused = refused.into_iter();
        refused
            .map(|(waiter, _)| (waiter, self.over_limit(now, wait, advice)))
            .collect()
    }

    /// Refuses a request. Those who are refused together are to come back when there are tokens
    /// for them all, and not together.
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
            retry_after: advice.after(COME_BACK, 0.0, 1.0),
        }
    }

    fn is_over(&self, now: Instant) -> bool {
        let unused = now.saturating_duration_since(self.last) >= FORGOTTEN_AFTER;
        unused && self.waiting.is_empty() && self.used.is_empty() && self.stock.is_empty()
    }
}

fn is_awake(now: Instant, silent: &BTreeMap<SocketAddr, Silent>, replica: &SocketAddr) -> bool {
    silent.get(replica).is_none_or(|silent| silent.until <= now)
}
