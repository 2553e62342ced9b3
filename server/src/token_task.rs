//! The task that owns an entry VM's tokens for the limits of teams.

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
use heatherring_lib::replica_choice;
use heatherring_lib::replica_choice::ReplicaSite;
use heatherring_lib::team::TeamLimit;
use heatherring_lib::team_share;
use heatherring_lib::token_cache::LimitDecision;
use heatherring_lib::token_cache::TokenCache;
use heatherring_lib::token_cache::TokenRequest;
use heatherring_lib::token_shard::Drawn;
use heatherring_lib::token_shard::Holder;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tonic::Request;
use tonic::transport::Channel;

use crate::peer_channel::PeerChannels;
use crate::proto::DrawTokensRequest;
use crate::proto::fleet_client::FleetClient;

/// Time within which a replica's answer is awaited; the way to the farthest region and back
/// takes about a third of it.
const ANSWER_WITHIN: Duration = Duration::from_millis(300);

/// Time for which a request waits for a token.
const WAIT_WITHIN: Duration = Duration::from_secs(1);

/// When a caller is told to come back whose request waited for so long.
const COME_BACK: Duration = Duration::from_millis(500);

/// Holds what the task is set up with.
#[derive(Debug)]
pub struct TokenSetup {
    /// The entry VM, in its present life.
    pub holder: Holder,
    /// The place that it stands in.
    pub place: PlaceName,
    /// The regions of all places.
    pub places: BTreeMap<PlaceName, RegionName>,
    /// The control replicas.
    pub sites: watch::Receiver<Vec<ReplicaSite>>,
    /// Opens connections.
    pub channels: PeerChannels,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

impl TokenSetup {
    /// Returns the replicas that share a limit out, nearest first.
    fn sharing_replicas(&self, team: &TeamName, limit: &TeamLimit) -> Vec<SocketAddr> {
        let sites = self.sites.borrow();
        let replicas: Vec<SocketAddr> = sites.iter().map(|site| site.address).collect();
        let sharing_replicas = team_share::sharing_replicas(team, limit, &replicas);
        replica_choice::nearest_first(
            &self.holder.vm,
            &self.place,
            &self.places,
            &sites,
            &sharing_replicas,
        )
    }
}

#[derive(Debug)]
struct Ask {
    team: TeamName,
    limit: TeamLimit,
    reply: oneshot::Sender<LimitDecision>,
}

/// Reaches the task.
#[derive(Clone, Debug)]
pub struct TokenHandle {
    tx: mpsc::UnboundedSender<Ask>,
}

impl TokenHandle {
    /// Starts the task.
    #[must_use]
    pub fn spawn(setup: TokenSetup) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let (answers, answered) = mpsc::unbounded_channel();
        let task = TokenTask {
            purse: TokenCache::new(rand::random()),
            clients: HashMap::new(),
            answers,
            setup,
        };
        tokio::spawn(task.run(rx, answered));
        Self { tx }
    }

    /// Takes a token for a request of `team`; waits for it if need be.
    pub async fn take(&self, team: &TeamName, limit: TeamLimit) -> LimitDecision {
        let (reply, ruling) = oneshot::channel();
        let team = team.clone();
        // Sends fail only when the task has ended with its process.
        let _ = self.tx.send(Ask { team, limit, reply });
        match tokio::time::timeout(WAIT_WITHIN, ruling).await {
            Ok(Ok(ruling)) => ruling,
            _ => LimitDecision::Unconfirmed {
                retry_after: COME_BACK,
            },
        }
    }
}

type Answer = (TokenRequest, Option<Vec<Drawn>>);

struct TokenTask {
    setup: TokenSetup,
    purse: TokenCache<oneshot::Sender<LimitDecision>>,
    clients: HashMap<SocketAddr, FleetClient<Channel>>,
    answers: mpsc::UnboundedSender<Answer>,
}

impl TokenTask {
    async fn run(
        mut self,
        mut rx: mpsc::UnboundedReceiver<Ask>,
        mut answered: mpsc::UnboundedReceiver<Answer>,
    ) {
        loop {
            let now = self.setup.clock.now();
            let next_poll_at = self.purse.next_poll_at(now);
            tokio::select! {
                ask = rx.recv() => match ask {
                    Some(ask) => self.take(ask),
                    None => return,
                },
                Some((token_request, answer)) = answered.recv() => {
                    let now = self.setup.clock.now();
                    let ruled = self.purse.answered(now, &token_request, answer.as_deref());
                    tell(ruled);
                }
                Ok(()) = self.setup.sites.changed() => self.follow_sites(),
                () = until(next_poll_at) => {}
            }
            self.ask();
        }
    }

    fn follow_sites(&mut self) {
        self.purse.forget_sharing_replicas();
        let sites = self.setup.sites.borrow_and_update();
        self.clients
            .retain(|address, _| sites.iter().any(|site| site.address == *address));
    }

    fn take(&mut self, ask: Ask) {
        let Ask { team, limit, reply } = ask;
        let now = self.setup.clock.now();
        let find_sharing_replicas = || self.setup.sharing_replicas(&team, &limit);
        tell(
            self.purse
                .take(now, &team, &limit, find_sharing_replicas, reply),
        );
    }

    /// Asks replicas what is to be asked.
    fn ask(&mut self) {
        for token_request in self.purse.token_requests(self.setup.clock.now()) {
            let answers = self.answers.clone();
            let holder = self.setup.holder.clone();
            let client = self.client(token_request.replica);
            tokio::spawn(async move {
                let drawn = match client {
                    Some(client) => draw(client, &holder, &token_request).await,
                    None => None,
                };
                // The task ends with its process.
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
                log::warn!(event = "tokens_unreachable", replica:% = replica, error:% = error; "a replica can't be asked for tokens");
                None
            }
        }
    }
}

/// Waits until `time`, or for ever.
async fn until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time.into()).await,
        None => std::future::pending().await,
    }
}

fn tell(ruled: impl IntoIterator<Item = (oneshot::Sender<LimitDecision>, LimitDecision)>) {
    for (waiter, ruling) in ruled {
        // Its caller has left.
        let _ = waiter.send(ruling);
    }
}

/// Asks a replica; returns nothing if it gives no answer of use in time.
async fn draw(
    mut client: FleetClient<Channel>,
    holder: &Holder,
    token_request: &TokenRequest,
) -> Option<Vec<Drawn>> {
    let request = DrawTokensRequest {
        holder_encoded: postcard::to_stdvec(holder).ok()?,
        draws_encoded: postcard::to_stdvec(&token_request.draws).ok()?,
    };
    let call = client.draw_tokens(Request::new(request));
    let failed = match tokio::time::timeout(ANSWER_WITHIN, call).await {
        Ok(Ok(reply)) => match postcard::from_bytes(&reply.into_inner().drawn_encoded) {
            Ok(drawn) => return Some(drawn),
            Err(error) => error.to_string(),
        },
        Ok(Err(status)) => status.message().to_owned(),
        Err(_) => "no answer in time".to_owned(),
    };
    log::debug!(event = "tokens_not_drawn", replica:% = token_request.replica, error = failed.as_str(); "asking the next replica");
    None
}
