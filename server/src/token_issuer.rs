//! Issues a control replica's tokens for the rate limits of teams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use heatherring_lib::clock::Clock;
use heatherring_lib::id::TeamName;
use heatherring_lib::team::TeamLimit;
use heatherring_lib::team_share;
use heatherring_lib::team_share::LimitShare;
use heatherring_lib::team_share::LimitTolerance;
use heatherring_lib::token_shard::Draw;
use heatherring_lib::token_shard::Drawn;
use heatherring_lib::token_shard::TokenShard;

use crate::metric;
use crate::published_state::StateReader;

/// Issues tokens.
#[derive(Clone, Debug)]
pub struct TokenIssuer {
    clock: Arc<dyn Clock>,
    /// Address at which this replica receives messages.
    own: SocketAddr,
    tolerance: LimitTolerance,
    published: StateReader,
    tokens: Arc<Mutex<TokenShard>>,
}

impl TokenIssuer {
    /// Creates the issuer of the replica at `own`.
    #[must_use]
    pub fn new(
        clock: Arc<dyn Clock>,
        own: SocketAddr,
        tolerance: LimitTolerance,
        published: StateReader,
    ) -> Self {
        let tokens = TokenShard::new(clock.now());
        Self {
            clock,
            own,
            tolerance,
            published,
            tokens: Arc::new(Mutex::new(tokens)),
        }
    }

    /// Issues tokens for `draws`. Teams that have no limit, or are unknown here, are left out.
    ///
    /// The replica need not be proven current: its share of a limit is valid whatever the other
    /// replicas issue.
    #[must_use]
    pub fn draw(&self, draws: &[Draw]) -> Vec<Drawn> {
        let published = self.published.read();
        let replicas: Vec<SocketAddr> =
            published.replicas.iter().map(|info| info.address).collect();
        let teams = published.fleet.teams();
        let now = self.clock.now();
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        let mut answers = Vec::with_capacity(draws.len());
        for draw in draws {
            let team = teams.and_then(|teams| teams.teams.get(&draw.team));
            let Some(limit) = team.and_then(|team| team.limit()) else {
                continue;
            };
            let share = self.share(&draw.team, &limit, &replicas);
            let answer = tokens.draw(now, &share, draw);
            metric::tokens(draw, &answer);
            answers.push(answer);
        }
        answers
    }

    fn share(&self, team: &TeamName, limit: &TeamLimit, replicas: &[SocketAddr]) -> LimitShare {
        let sharing_replicas = team_share::sharing_replicas(team, limit, replicas);
        if sharing_replicas.contains(&self.own) {
            LimitShare::of(limit, &self.tolerance, sharing_replicas.len())
        } else {
            LimitShare::default()
        }
    }
}
