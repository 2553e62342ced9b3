//! The task that knows who was heard of lately, and tells the other control replicas.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::fleet_record::BackendIncarnation;
use heatherring_lib::fleet_state::FleetState;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::VmName;
use heatherring_lib::numbered_set::NumberedSet;
use heatherring_lib::presence::Absent;
use heatherring_lib::presence::Presence;
use heatherring_lib::presence::REPORT_INTERVAL;
use heatherring_lib::presence_report::PresenceReport;
use heatherring_lib::presence_report::ReplicaEndpoints;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tonic::transport::Channel;

use crate::node_request::NodeHandle;
use crate::peer_channel::PeerChannels;
use crate::proto::ReportRequest;
use crate::proto::fleet_client::FleetClient;
use crate::published_state::StateReader;

/// Time between two looks at who has fallen silent.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Silence after which a backend server is removed from the state. Longer than any cut
/// that it may come back from with the same life.
const FORGET_BACKEND: Duration = Duration::from_secs(30);

/// Silence after which an entry VM is removed from the state. Until then it counts among
/// those that share limits.
const FORGET_ENTRY: Duration = Duration::from_secs(45);

/// Age at which marks of heartbeats are dropped.
const DROP_MARKS: Duration = Duration::from_mins(2);

/// Time for which the answer to a report is awaited.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Holds the verdicts on everybody.
#[derive(Clone, Debug)]
pub struct PresenceView {
    /// Who isn't to be used for now; nothing until there has been a verdict.
    pub absent: Option<Arc<NumberedSet<Absent>>>,
    /// This replica, and the others that were heard of.
    pub replicas: Arc<Vec<KnownReplica>>,
}

/// Tells where a replica is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownReplica {
    /// Where.
    pub endpoints: ReplicaEndpoints,
    /// Whether it has reported lately.
    pub reports: bool,
}

impl PresenceView {
    /// Returns the number of the verdicts, which changes with them; 0 without any.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.absent.as_ref().map_or(0, |absent| absent.number())
    }

    /// Returns whether an entry VM takes requests, as far as is known.
    #[must_use]
    pub fn is_live(&self, vm: &VmName) -> bool {
        let absent = Absent::Entry(vm.clone());
        let verdicts = self.absent.as_ref();
        verdicts.is_some_and(|verdicts| !verdicts.members().contains(&absent))
    }
}

#[derive(Debug)]
enum Message {
    Backend(BackendName),
    Entry {
        vm: VmName,
        life: u64,
        ready: bool,
    },
    Report {
        from: VmName,
        report: PresenceReport,
        reply: oneshot::Sender<u64>,
    },
    Known {
        replica: SocketAddr,
        number: u64,
    },
    Silence {
        backend: BackendName,
        reply: oneshot::Sender<Duration>,
    },
}

/// Reaches the task.
#[derive(Clone, Debug)]
pub struct PresenceHandle {
    tx: mpsc::UnboundedSender<Message>,
    view: watch::Receiver<PresenceView>,
}

impl PresenceHandle {
    /// Notes a heartbeat of a backend server.
    pub fn record_backend_heartbeat(&self, backend: BackendName) {
        // The task ends only with the process.
        let _ = self.tx.send(Message::Backend(backend));
    }

    /// Notes a heartbeat of an entry VM.
    pub fn record_entry_heartbeat(&self, vm: VmName, life: u64, ready: bool) {
        let _ = self.tx.send(Message::Entry { vm, life, ready });
    }

    /// Takes the report of another replica in. Returns the number of its changes up to which
    /// all is known.
    pub async fn apply_report(&self, from: VmName, report: PresenceReport) -> u64 {
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::Report {
            from,
            report,
            reply,
        });
        answer.await.unwrap_or_default()
    }

    /// Returns for how long a backend server hasn't been heard of.
    pub async fn silence(&self, backend: BackendName) -> Duration {
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::Silence { backend, reply });
        answer.await.unwrap_or_default()
    }

    /// Returns the present verdicts.
    #[must_use]
    pub fn view(&self) -> PresenceView {
        self.view.borrow().clone()
    }

    /// Waits until the verdicts change.
    pub async fn changed(&mut self) {
        if self.view.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Holds what the task is set up with.
#[derive(Debug)]
pub struct PresenceSetup {
    /// The cluster.
    pub cluster: ClusterId,
    /// This replica's VM.
    pub vm: VmName,
    /// Where this replica is.
    pub endpoints: ReplicaEndpoints,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// What the replica has applied.
    pub published: StateReader,
    /// The replica.
    pub node: NodeHandle,
    /// Opens connections to the others.
    pub channels: PeerChannels,
}

struct PresenceTask {
    setup: PresenceSetup,
    presence: Presence,
    view: watch::Sender<PresenceView>,
    peers: BTreeMap<SocketAddr, Peer>,
    report_at: Instant,
    /// Reaches this task itself.
    tx: mpsc::WeakUnboundedSender<Message>,
}

/// Holds another replica that is told whom this one hears.
struct Peer {
    client: FleetClient<Channel>,
    /// Number of the changes up to which it knows all.
    known: u64,
}

/// Starts the task.
#[must_use]
pub fn spawn(setup: PresenceSetup) -> PresenceHandle {
    let (tx, rx) = mpsc::unbounded_channel();
    let own = KnownReplica {
        endpoints: setup.endpoints.clone(),
        reports: true,
    };
    let (view_tx, view) = watch::channel(PresenceView {
        absent: None,
        replicas: Arc::new(vec![own]),
    });
    let now = setup.clock.now();
    let task = PresenceTask {
        setup,
        presence: Presence::new(now, rand::random()),
        view: view_tx,
        peers: BTreeMap::new(),
        report_at: now,
        tx: tx.downgrade(),
    };
    tokio::spawn(task.run(rx));
    PresenceHandle { tx, view }
}

impl PresenceTask {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Message>) {
        let mut look = tokio::time::interval(LOOK_INTERVAL);
        look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                _ = look.tick() => self.look(),
            }
        }
    }

    fn take(&mut self, message: Message) {
        let now = self.setup.clock.now();
        match message {
            Message::Backend(backend) => {
                if self.presence.record_backend_heartbeat(now, &backend) {
                    self.publish(now);
                }
            }
            Message::Entry { vm, life, ready } => {
                if self.presence.record_entry_heartbeat(now, &vm, life, ready) {
                    self.publish(now);
                    self.report(now);
                }
            }
            Message::Report {
                from,
                report,
                reply,
            } => {
                let known = self.presence.apply_report(now, &from, &report);
                // The replica's call may have been given up meanwhile.
                let _ = reply.send(known);
                if !report.sources.added.is_empty() || !report.sources.removed.is_empty() {
                    self.publish(now);
                }
            }
            Message::Known { replica, number } => {
                if let Some(peer) = self.peers.get_mut(&replica) {
                    peer.known = number;
                }
            }
            Message::Silence { backend, reply } => {
                // Whoever asked may have gone away meanwhile.
                let _ = reply.send(self.presence.silence(now, &backend));
            }
        }
    }

    fn look(&mut self) {
        let now = self.setup.clock.now();
        self.presence.expire(now);
        self.publish(now);
        if now >= self.report_at {
            self.report(now);
            self.forget(now);
            self.presence.forget(now, DROP_MARKS);
        }
    }

    /// Gives verdicts, unless too few replicas report for any.
    fn publish(&self, now: Instant) {
        let published = self.setup.published.read();
        let verdicts = self
            .presence
            .has_majority(now, published.replicas.len())
            .then(|| self.verdicts(now, &published.fleet));
        let replicas = self.replicas(now);
        self.view.send_if_modified(|view| {
            let are_elsewhere = *view.replicas != replicas;
            if are_elsewhere {
                view.replicas = Arc::new(replicas);
            }
            let Some(verdicts) = verdicts else {
                return are_elsewhere;
            };
            let is_first = view.absent.is_none();
            let absent = view
                .absent
                .get_or_insert_with(|| Arc::new(first_verdicts()));
            if !is_first && *absent.members() == verdicts {
                return are_elsewhere;
            }
            Arc::make_mut(absent).replace(&verdicts);
            true
        });
    }

    fn verdicts(&self, now: Instant, fleet: &FleetState) -> BTreeSet<Absent> {
        let silent = fleet
            .backends()
            .filter(|(name, _)| self.presence.is_silent(now, name))
            .map(|(name, _)| Absent::Backend(name.clone()));
        let out_of_service = fleet
            .entries()
            .filter(|(vm, _)| self.presence.is_out_of_service(now, vm))
            .map(|(vm, _)| Absent::Entry(vm.clone()));
        silent.chain(out_of_service).collect()
    }

    fn replicas(&self, now: Instant) -> Vec<KnownReplica> {
        let own = std::iter::once((&self.setup.endpoints, true));
        let all = own.chain(self.presence.replica_endpoints(now));
        all.map(|(endpoints, reports)| KnownReplica {
            endpoints: endpoints.clone(),
            reports,
        })
        .collect()
    }

    /// Tells the other replicas whom this one hears itself.
    fn report(&mut self, now: Instant) {
        self.report_at = now + REPORT_INTERVAL;
        let replicas = self.setup.published.read().replicas;
        let own = self.setup.endpoints.address;
        self.peers
            .retain(|address, _| replicas.iter().any(|info| info.address == *address));
        for info in replicas.iter().filter(|info| info.address != own) {
            self.report_to(now, info.address);
        }
    }

    fn report_to(&mut self, now: Instant, replica: SocketAddr) {
        let Some(peer) = self.peer(replica) else {
            return;
        };
        let mut client = peer.client.clone();
        let known = peer.known;
        let report = self.presence.report(now, known, &self.setup.endpoints);
        let Ok(report_encoded) = postcard::to_stdvec(&report) else {
            log::error!(event = "report_unencodable"; "a report on heartbeats can't be encoded");
            return;
        };
        let request = ReportRequest {
            cluster_id: self.setup.cluster.0.to_vec(),
            vm: self.setup.vm.as_str().to_owned(),
            report_encoded,
        };
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let call = tokio::time::timeout(REPORT_TIMEOUT, client.report(request)).await;
            // After a lost answer the next report tells the same changes once more.
            if let (Ok(Ok(reply)), Some(tx)) = (call, tx.upgrade()) {
                let number = reply.into_inner().known;
                let _ = tx.send(Message::Known { replica, number });
            }
        });
    }

    fn peer(&mut self, address: SocketAddr) -> Option<&Peer> {
        if !self.peers.contains_key(&address) {
            let client = self.client(address)?;
            self.peers.insert(address, Peer { client, known: 0 });
        }
        self.peers.get(&address)
    }

    fn client(&self, address: SocketAddr) -> Option<FleetClient<Channel>> {
        match self.setup.channels.lazy(address) {
            Ok(channel) => Some(FleetClient::new(channel)),
            Err(error) => {
                log::error!(event = "peer_address_refused", address:% = address, error:% = error; "can't open a connection to a replica");
                None
            }
        }
    }

    /// Has those removed from the state who have been silent for long, if this replica
    /// leads.
    fn forget(&self, now: Instant) {
        let published = self.setup.published.read();
        if !published.leads || !self.presence.has_majority(now, published.replicas.len()) {
            return;
        }
        let backends: Vec<BackendIncarnation> = published
            .fleet
            .backends()
            .filter(|(name, _)| self.presence.silence(now, name) >= FORGET_BACKEND)
            .map(|(name, record)| BackendIncarnation {
                backend: name.clone(),
                born: record.born,
            })
            .collect();
        if !backends.is_empty() {
            log::info!(event = "backends_forgotten", count = backends.len(); "silent backend servers are removed");
            self.propose(FleetCommand::ForgetBackends(backends));
        }
        let silent = published
            .fleet
            .entries()
            .filter(|(vm, _)| self.presence.entry_silence(now, vm) >= FORGET_ENTRY);
        for (vm, entry) in silent {
            log::info!(event = "entry_forgotten", vm = vm.as_str(); "a silent entry VM is removed");
            self.propose(FleetCommand::ForgetEntry {
                vm: vm.clone(),
                life: entry.life,
            });
        }
    }

    fn propose(&self, command: FleetCommand) {
        let node = self.setup.node.clone();
        tokio::spawn(async move {
            if let Err(error) = node.propose_fleet(command).await {
                log::debug!(event = "forgetting_failed", error:% = error; "tried again at the next look");
            }
        });
    }
}

/// Returns an empty set of verdicts. Its numbers mean nothing to whoever followed this replica
/// before it started again.
fn first_verdicts() -> NumberedSet<Absent> {
    let start = u64::from(rand::random::<u32>()) << u32::BITS;
    NumberedSet::starting_at(NonZeroU64::MIN.saturating_add(start))
}
