//! Passes rate limits of backend servers on to entry VMs and to the other control replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use heatherring_lib::clock::Clock;
use heatherring_lib::id::ClusterId;
use heatherring_lib::limit_board::LimitBoard;
use heatherring_lib::rate_limit::LimitStatement;
use rand::seq::IndexedRandom;
use tokio::sync::watch;
use tonic::transport::Channel;

use crate::peer_channel::PeerChannels;
use crate::proto::ShareLimitsRequest;
use crate::proto::fleet_client::FleetClient;
use crate::published_state::StateReader;

/// Interval at which all statements are sent to one other replica, in case one was lost or the
/// replica has restarted.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout of a message to another replica.
const SHARE_TIMEOUT: Duration = Duration::from_secs(1);

/// Dependencies of the relay.
#[derive(Debug)]
pub struct LimitRelaySetup {
    /// Identity of the cluster, by which the other replicas accept statements.
    pub cluster: ClusterId,
    /// Address at which this replica receives messages.
    pub own: SocketAddr,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Reads the replica's applied state.
    pub published: StateReader,
    /// Opens connections to the other replicas.
    pub channels: PeerChannels,
}

/// The limits that one control replica knows; clones share them.
#[derive(Clone, Debug)]
pub struct LimitRelay {
    setup: Arc<LimitRelaySetup>,
    board: Arc<Mutex<LimitBoard>>,
    number: watch::Receiver<u64>,
    number_tx: Arc<watch::Sender<u64>>,
    clients: Arc<Mutex<BTreeMap<SocketAddr, FleetClient<Channel>>>>,
}

impl LimitRelay {
    /// Starts the relay.
    #[must_use]
    pub fn spawn(setup: LimitRelaySetup) -> Self {
        let first = NonZeroU64::MIN.saturating_add(u64::from(rand::random::<u32>()) << u32::BITS);
        let (number_tx, number) = watch::channel(first.get());
        let relay = Self {
            setup: Arc::new(setup),
            board: Arc::new(Mutex::new(LimitBoard::starting_at(first))),
            number,
            number_tx: Arc::new(number_tx),
            clients: Arc::default(),
        };
        tokio::spawn(relay.clone().repeat());
        relay
    }

    /// Applies statements of an entry VM, or of another replica if they were `relayed`; passes on
    /// those of an entry VM that changed a limit.
    pub fn share(&self, statements: Vec<LimitStatement>, relayed: bool) {
        let now = self.setup.clock.now();
        let mut board = self.board();
        let changed = board.apply(now, statements);
        let number = board.number();
        drop(board);
        if changed.is_empty() {
            return;
        }
        self.number_tx.send_replace(number);
        if !relayed {
            for replica in self.others() {
                self.send(replica, &changed);
            }
        }
    }

    /// Returns the number of the last change; never 0.
    #[must_use]
    pub fn number(&self) -> u64 {
        *self.number.borrow()
    }

    /// Returns all statements.
    #[must_use]
    pub fn statements(&self) -> Vec<LimitStatement> {
        self.board().statements(self.setup.clock.now())
    }

    /// Returns whether there is any statement.
    #[must_use]
    pub fn has_statements(&self) -> bool {
        !self.board().is_empty()
    }

    /// Waits until a limit changes; forever if the relay has ended.
    pub async fn changed(&mut self) {
        if self.number.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    fn board(&self) -> MutexGuard<'_, LimitBoard> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn others(&self) -> Vec<SocketAddr> {
        let replicas = self.setup.published.read().replicas;
        let addresses = replicas.iter().map(|info| info.address);
        addresses
            .filter(|address| *address != self.setup.own)
            .collect()
    }

    /// Sends all statements to a random replica again and again.
    async fn repeat(self) {
        loop {
            tokio::time::sleep(REPEAT_INTERVAL).await;
            if !self.has_statements() {
                continue;
            }
            self.forget();
            if let Some(replica) = self.others().choose(&mut rand::rng()) {
                self.send(*replica, &self.statements());
            }
        }
    }

    fn forget(&self) {
        let fleet = self.setup.published.read().fleet;
        let born: BTreeMap<_, _> = fleet
            .backends()
            .map(|(name, record)| (name, record.born))
            .collect();
        let others = self.others();
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.retain(|replica, _| others.contains(replica));
        drop(clients);
        let now = self.setup.clock.now();
        self.board()
            .forget(now, |backend, known| born.get(backend) == Some(&known));
    }

    fn send(&self, replica: SocketAddr, statements: &[LimitStatement]) {
        let Some(mut client) = self.client(replica) else {
            return;
        };
        let Ok(statements_encoded) = postcard::to_stdvec(statements) else {
            log::error!(event = "limits_unencodable"; "cannot encode rate limits of backend servers");
            return;
        };
        let request = ShareLimitsRequest {
            cluster_id: self.setup.cluster.0.to_vec(),
            statements_encoded,
        };
        tokio::spawn(async move {
            let call = tokio::time::timeout(SHARE_TIMEOUT, client.share_limits(request)).await;
            let error = match call {
                Ok(Ok(_)) => return,
                Ok(Err(status)) => status.message().to_owned(),
                Err(_) => "no answer in time".to_owned(),
            };
            log::debug!(event = "limits_not_shared", replica:% = replica, error = error.as_str(); "a replica did not receive rate limits; they are repeated");
        });
    }

    fn client(&self, replica: SocketAddr) -> Option<FleetClient<Channel>> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&replica) {
            return Some(client.clone());
        }
        match self.setup.channels.lazy(replica) {
            Ok(channel) => {
                let client = FleetClient::new(channel);
                clients.insert(replica, client.clone());
                Some(client)
            }
            Err(error) => {
                log::error!(event = "peer_address_refused", address:% = replica, error:% = error; "cannot open a connection to a control replica");
                None
            }
        }
    }
}
