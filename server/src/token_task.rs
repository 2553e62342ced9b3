//! Task that owns an entry VM's tokens for the rate limits of teams.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::TeamName;
use heatherring_lib::id::VmName;
use heatherring_lib::replica_choice;
use heatherring_lib::replica_choice::ReplicaSite;
use heatherring_lib::team::TeamLimit;
use heatherring_lib::team_share;
use heatherring_lib::token_cache::LimitDecision;
use heatherring_lib::token_cache::REPLY_TIMEOUT;
use heatherring_lib::token_cache::TokenCache;
use heatherring_lib::token_cache::TokenRequest;
use heatherring_lib::token_shard::Drawn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tonic::Request;
use tonic::transport::Channel;

use crate::metric;
use crate::peer_channel::PeerChannels;
use crate::proto::DrawTokensRequest;
use crate::proto::fleet_client::FleetClient;

/// Time after the end of its wait at which a request is refused if the task has not decided on it.
const DECISION_GRACE: Duration = Duration::from_millis(250);

/// Retry delay given to the caller of such a request.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Configuration of the task.
#[derive(Debug)]
pub struct TokenSetup {
    /// The entry VM.
    pub vm: VmName,
    /// The place of the entry VM.
    pub place: PlaceName,
    /// The regions of all places.
    pub places: BTreeMap<PlaceName, RegionName>,
    /// The control replicas and their places.
    pub sites: watch::Receiver<Vec<ReplicaSite>>,
    /// Opens connections to control replicas.
    pub channels: PeerChannels,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
}

impl TokenSetup {
    /// Returns the replicas among which a limit is divided, nearest first.
    fn sharing_replicas(&self, team: &TeamName, limit: &TeamLimit) -> Vec<SocketAddr> {
        let sites = self.sites.borrow();
        let replicas: Vec<SocketAddr> = sites.iter().map(|site| site.address).collect();
        let sharing_replicas = team_share::sharing_replicas(team, limit, &replicas);
        replica_choice::nearest_first(
            &self.vm,
            &self.place,
            &self.places,
            &sites,
            &sharing_replicas,
        )
    }
}

#[derive(Debug)]
struct TokenDemand {
    team: TeamName,
    limit: TeamLimit,
    until: Instant,
    reply: oneshot::Sender<LimitDecision>,
}

/// Handle to the task.
#[derive(Clone, Debug)]
pub struct TokenHandle {
    tx: mpsc::UnboundedSender<TokenDemand>,
}

impl TokenHandle {
    /// Starts the task.
    #[must_use]
    pub fn spawn(setup: TokenSetup) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let (answers, answered) = mpsc::unbounded_channel();
        let task = TokenTask {
            cache: TokenCache::new(rand::random()),
            clients: HashMap::new(),
            answers,
            setup,
        };
        tokio::spawn(task.run(rx, answered));
        Self { tx }
    }

    /// Takes a token for a request of `team`, and waits for one until `until` if necessary.
    pub async fn take(&self, team: &TeamName, limit: TeamLimit, until: Instant) -> LimitDecision {
        let (reply, decision) = oneshot::channel();
        let demand = TokenDemand {
            team: team.clone(),
            limit,
            until,
            reply,
        };
        // The send fails only when the task has ended with its process.
        let _ = self.tx.send(demand);
        let decision = tokio::time::timeout_at((until + DECISION_GRACE).into(), decision);
        match decision.await {
            Ok(Ok(decision)) => decision,
            _ => LimitDecision::Unconfirmed {
                retry_after: RETRY_AFTER,
            },
        }
    }
}

type Answer = (TokenRequest, Option<Vec<Drawn>>);

struct TokenTask {
    setup: TokenSetup,
    cache: TokenCache<oneshot::Sender<LimitDecision>>,
    clients: HashMap<SocketAddr, FleetClient<Channel>>,
    answers: mpsc::UnboundedSender<Answer>,
}

impl TokenTask {
    async fn run(
        mut self,
        mut rx: mpsc::UnboundedReceiver<TokenDemand>,
        mut answered: mpsc::UnboundedReceiver<Answer>,
    ) {
        loop {
            let now = self.setup.clock.now();
            let next_poll_at = self.cache.next_poll_at(now);
            tokio::select! {
                demand = rx.recv() => match demand {
                    Some(demand) => self.take(demand),
                    None => return,
                },
                Some((token_request, answer)) = answered.recv() => {
                    let now = self.setup.clock.now();
                    let decisions = self.cache.answered(now, &token_request, answer.as_deref());
                    notify_waiters(decisions);
                }
                Ok(()) = self.setup.sites.changed() => self.follow_sites(),
                () = until(next_poll_at) => {}
            }
            let now = self.setup.clock.now();
            notify_waiters(self.cache.expired(now));
            self.send_token_requests(now);
            self.report(now);
        }
    }

    fn report(&mut self, now: Instant) {
        metric::token_counts(self.cache.take_counts());
        for (replica, is_silent) in self.cache.silence_changes(now) {
            if is_silent {
                log::warn!(event = "token_replica_silent", replica:% = replica; "a replica does not reply to requests for tokens; it is only probed until it does");
            } else {
                log::info!(event = "token_replica_replies", replica:% = replica; "a replica replies to requests for tokens again");
            }
        }
    }

    fn follow_sites(&mut self) {
        let sites = self.setup.sites.borrow_and_update();
        let replicas: Vec<SocketAddr> = sites.iter().map(|site| site.address).collect();
        self.cache.set_replicas(&replicas);
        self.clients.retain(|address, _| replicas.contains(address));
    }

    fn take(&mut self, demand: TokenDemand) {
        let TokenDemand {
            team,
            limit,
            until,
            reply,
        } = demand;
        let now = self.setup.clock.now();
        let find_sharing_replicas = || self.setup.sharing_replicas(&team, &limit);
        notify_waiters(
            self.cache
                .take(now, &team, &limit, until, find_sharing_replicas, reply),
        );
    }

    /// Sends the token requests that are due.
    fn send_token_requests(&mut self, now: Instant) {
        for token_request in self.cache.token_requests(now) {
            let answers = self.answers.clone();
            let client = self.client(token_request.replica);
            tokio::spawn(async move {
                let drawn = match client {
                    Some(client) => draw(client, &token_request).await,
                    None => None,
                };
                // The send fails only when the task has ended with its process.
                let _ = answers.send((token_request, drawn));
            });
        }
    }

    fn client(&mut self, replica: SocketAddr) -> Option<FleetClient<Channel>> {
        if let Some(client) = self.clients.get(&replica) {
            return Some(client.clone());
        }
        match self.setup.channels.lazy(replica) {
            Ok(channel) => {
                let client = FleetClient::new(channel);
                self.clients.insert(replica, client.clone());
                Some(client)
            }
            Err(error) => {
                log::warn!(event = "tokens_unreachable", replica:% = replica, error:% = error; "cannot open a channel to a replica to request tokens");
                None
            }
        }
    }
}

/// Waits until `time`, or for ever if it is `None`.
async fn until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time.into()).await,
        None => std::future::pending().await,
    }
}

fn notify_waiters(
    decisions: impl IntoIterator<Item = (oneshot::Sender<LimitDecision>, LimitDecision)>,
) {
    for (waiter, decision) in decisions {
        // The send fails if the caller has disconnected.
        let _ = waiter.send(decision);
    }
}

/// Requests tokens from a replica; returns `None` if no usable answer arrives in time.
async fn draw(
    mut client: FleetClient<Channel>,
    token_request: &TokenRequest,
) -> Option<Vec<Drawn>> {
    let request = DrawTokensRequest {
        draws_encoded: postcard::to_stdvec(&token_request.draws).ok()?,
    };
    let sent_at = tokio::time::Instant::now();
    let call = client.draw_tokens(Request::new(request));
    let failed = match tokio::time::timeout(REPLY_TIMEOUT, call).await {
        Ok(Ok(reply)) => match postcard::from_bytes(&reply.into_inner().drawn_encoded) {
            Ok(drawn) => {
                metric::token_reply(sent_at.elapsed());
                return Some(drawn);
            }
            Err(error) => error.to_string(),
        },
        Ok(Err(status)) => status.message().to_owned(),
        Err(_) => "no answer in time".to_owned(),
    };
    log::debug!(event = "tokens_not_drawn", replica:% = token_request.replica, error = failed.as_str(); "no reply to a request for tokens");
    None
}
