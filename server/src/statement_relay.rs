//! Passes statements of backend servers on to entry VMs and to the other control replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use heatherring_lib::clock::Clock;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::ClusterId;
use heatherring_lib::statement_board::StatementBoard;
use rand::seq::IndexedRandom;
use tokio::sync::watch;
use tonic::transport::Channel;

use crate::peer_channel::PeerChannels;
use crate::proto::fleet_client::FleetClient;
use crate::published_state::StateReader;
use crate::shared_statements::SharedStatements;

/// Interval at which all statements are sent to one other replica, in case one was lost or the
/// replica has restarted.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout of a message to another replica.
const SHARE_TIMEOUT: Duration = Duration::from_secs(1);

/// Dependencies of the relay.
#[derive(Debug)]
pub struct StatementRelaySetup {
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

/// The statements that one control replica knows; clones share them.
#[derive(Clone, Debug)]
pub struct StatementRelay {
    setup: Arc<StatementRelaySetup>,
    board: Arc<watch::Sender<StatementBoard>>,
    changes: watch::Receiver<StatementBoard>,
    clients: Arc<Mutex<BTreeMap<SocketAddr, FleetClient<Channel>>>>,
}

impl StatementRelay {
    /// Starts the relay.
    #[must_use]
    pub fn spawn(setup: StatementRelaySetup) -> Self {
        let first = NonZeroU64::MIN.saturating_add(u64::from(rand::random::<u32>()) << u32::BITS);
        let (board, changes) = watch::channel(StatementBoard::starting_at(first));
        let relay = Self {
            setup: Arc::new(setup),
            board: Arc::new(board),
            changes,
            clients: Arc::default(),
        };
        tokio::spawn(relay.clone().repeat());
        relay
    }

    /// Applies statements of an entry VM, or of another replica if they were `relayed`; passes on
    /// those of an entry VM that are news.
    pub fn share(&self, statements: SharedStatements, relayed: bool) {
        let now = self.setup.clock.now();
        let mut changed = SharedStatements::default();
        self.board.send_if_modified(|board| {
            changed = SharedStatements {
                limits: board.apply_limits(now, statements.limits),
                leaving: board.apply_leaving(statements.leaving),
            };
            !changed.is_empty()
        });
        if !changed.is_empty() && !relayed {
            for replica in self.others() {
                self.send(replica, &changed);
            }
        }
    }

    /// Returns the number of the last change; never 0.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.board.borrow().number()
    }

    /// Returns all statements.
    #[must_use]
    pub fn statements(&self) -> SharedStatements {
        let board = self.board.borrow();
        SharedStatements {
            limits: board.limits(self.setup.clock.now()),
            leaving: board.leaving(),
        }
    }

    /// Returns whether there are statements that a receiver which knows the change `known` lacks.
    #[must_use]
    pub fn has_news(&self, known: u64) -> bool {
        let board = self.board.borrow();
        board.number() != known && !board.is_empty()
    }

    /// Waits until there is news; forever if the relay has ended.
    pub async fn changed(&mut self) {
        if self.changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
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
            if self.board.borrow().is_empty() {
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
        let is_current = |backend: &BackendName, born| {
            let record = fleet.backend(backend);
            record.is_some_and(|record| record.born == born)
        };
        let now = self.setup.clock.now();
        self.board.send_if_modified(|board| {
            board.forget(now, is_current);
            // Receivers forget these by themselves.
            false
        });
        let others = self.others();
        self.clients().retain(|replica, _| others.contains(replica));
    }

    fn clients(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, FleetClient<Channel>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, replica: SocketAddr, statements: &SharedStatements) {
        let Some(mut client) = self.client(replica) else {
            return;
        };
        let Some(request) = statements.request(self.setup.cluster.0.to_vec()) else {
            return;
        };
        tokio::spawn(async move {
            let call = tokio::time::timeout(SHARE_TIMEOUT, client.share_limits(request)).await;
            let error = match call {
                Ok(Ok(_)) => return,
                Ok(Err(status)) => status.message().to_owned(),
                Err(_) => "no answer in time".to_owned(),
            };
            log::debug!(event = "limits_not_shared", replica:% = replica, error = error.as_str(); "a replica did not receive statements of backend servers; they are repeated");
        });
    }

    fn client(&self, replica: SocketAddr) -> Option<FleetClient<Channel>> {
        let mut clients = self.clients();
        if let Some(client) = clients.get(&replica) {
            return Some(client.clone());
        }
        let client = self.setup.channels.fleet_client(replica)?;
        clients.insert(replica, client.clone());
        Some(client)
    }
}
