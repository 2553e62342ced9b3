//! The task that tracks heartbeats, and reports them to the other control replicas.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::entry_statement::EntryStatement;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::fleet_record::BackendIncarnation;
use heatherring_lib::fleet_state::FleetState;
use heatherring_lib::headroom::Headroom;
use heatherring_lib::heartbeat_timing::HeartbeatTiming;
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

use crate::control_work::Work;
use crate::control_work::WorkMeter;
use crate::node_request::NodeHandle;
use crate::peer_channel::PeerChannels;
use crate::proto::ReportRequest;
use crate::proto::fleet_client::FleetClient;
use crate::published_state::StateReader;

/// Interval at which the task checks who has become silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time for which events are collected before the view is published anew, and a change of an
/// entry VM is reported. Both take time that grows with the number of backend servers and replicas.
const COLLECT_TIME: Duration = Duration::from_millis(50);

/// Silence after which an entry VM is removed from the state. Until then it counts among those
/// that share limits.
const FORGET_ENTRY_AFTER: Duration = Duration::from_secs(45);

/// Age at which recorded heartbeats are dropped.
const HEARTBEAT_RETENTION: Duration = Duration::from_mins(2);

/// Timeout of a report to another replica.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Who is absent, and which replicas are known.
#[derive(Clone, Debug)]
pub struct PresenceView {
    /// Backend servers and entry VMs that must not be used for now; `None` until a majority of
    /// replicas has reported for the first time.
    pub absent: Option<Arc<NumberedSet<Absent>>>,
    /// This replica, and the others from which reports have arrived.
    pub replicas: Arc<Vec<KnownReplica>>,
}

/// Location of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownReplica {
    /// Its place and addresses.
    pub endpoints: ReplicaEndpoints,
    /// Whether it has reported recently; always true of this replica.
    pub reports: bool,
}

impl PresenceView {
    /// Returns the number of the set `absent`, which changes with the set; 0 if there is none yet.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.absent.as_ref().map_or(0, |absent| absent.number())
    }

    /// Returns whether an entry VM is known to accept requests.
    #[must_use]
    pub fn is_live(&self, vm: &VmName) -> bool {
        let absent = Absent::Entry(vm.clone());
        let absent_now = self.absent.as_ref();
        absent_now.is_some_and(|absent_now| !absent_now.members().contains(&absent))
    }

    /// Returns the headroom of the entry VMs that tell it.
    #[must_use]
    pub fn headroom(&self) -> BTreeMap<&VmName, Headroom> {
        let members = self.absent.iter().flat_map(|absent| absent.members());
        let told = members.filter_map(|absent| match absent {
            Absent::Partly { vm, headroom } => Some((vm, *headroom)),
            Absent::Backend(_) | Absent::Entry(_) => None,
        });
        told.collect()
    }
}

#[derive(Debug)]
enum Message {
    Backend(BackendName),
    Entry {
        vm: VmName,
        statement: EntryStatement,
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

/// Handle to the task.
#[derive(Clone, Debug)]
pub struct PresenceHandle {
    tx: mpsc::UnboundedSender<Message>,
    view: watch::Receiver<PresenceView>,
}

impl PresenceHandle {
    /// Records a heartbeat of a backend server.
    pub fn record_backend_heartbeat(&self, backend: BackendName) {
        // The task runs as long as a handle exists.
        let _ = self.tx.send(Message::Backend(backend));
    }

    /// Records a heartbeat of an entry VM.
    pub fn record_entry_heartbeat(&self, vm: VmName, statement: EntryStatement) {
        let _ = self.tx.send(Message::Entry { vm, statement });
    }

    /// Applies a report of another replica. Returns the number of its changes up to which this
    /// replica knows all.
    pub async fn apply_report(&self, from: VmName, report: PresenceReport) -> u64 {
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::Report {
            from,
            report,
            reply,
        });
        answer.await.unwrap_or_default()
    }

    /// Returns the time since the last heartbeat of a backend server.
    pub async fn silence(&self, backend: BackendName) -> Duration {
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::Silence { backend, reply });
        answer.await.unwrap_or_default()
    }

    /// Returns the view as last published.
    #[must_use]
    pub fn view(&self) -> PresenceView {
        self.view.borrow().clone()
    }

    /// Waits until the view changes; forever if the task has ended.
    pub async fn changed(&mut self) {
        if self.view.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Configuration and dependencies of the task.
#[derive(Debug)]
pub struct PresenceSetup {
    /// Identity of the cluster, by which the others accept reports.
    pub cluster: ClusterId,
    /// VM of this replica, as the sender of its reports.
    pub vm: VmName,
    /// Place and addresses of this replica.
    pub endpoints: ReplicaEndpoints,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Reads the replica's applied state.
    pub published: StateReader,
    /// Proposes removals of silent backend servers and entry VMs.
    pub node: NodeHandle,
    /// Opens connections to the other replicas.
    pub channels: PeerChannels,
    /// Timeouts for heartbeats of backend servers.
    pub timing: HeartbeatTiming,
    /// Measures the task's work.
    pub work: WorkMeter,
}

struct PresenceTask {
    setup: PresenceSetup,
    presence: Presence,
    view: watch::Sender<PresenceView>,
    peers: BTreeMap<SocketAddr, Peer>,
    next_report_at: Instant,
    /// When the view is to be published anew; `None` while nothing has changed.
    publish_at: Option<Instant>,
    /// Sends messages to this task; weak, so that the task ends with its last handle.
    tx: mpsc::WeakUnboundedSender<Message>,
}

/// Another replica to which this one reports.
struct Peer {
    client: FleetClient<Channel>,
    /// Number of this replica's changes up to which the other one knows all.
    known: u64,
}

/// Starts the task that tracks heartbeats.
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
        presence: Presence::new(now, rand::random(), setup.timing),
        setup,
        view: view_tx,
        peers: BTreeMap::new(),
        next_report_at: now,
        publish_at: None,
        tx: tx.downgrade(),
    };
    tokio::spawn(task.run(rx));
    PresenceHandle { tx, view }
}

impl PresenceTask {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Message>) {
        let mut check = tokio::time::interval(CHECK_INTERVAL);
        check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let publish_at = self.publish_at;
            let collected = async {
                let Some(at) = publish_at else {
                    return std::future::pending().await;
                };
                tokio::time::sleep(at.saturating_duration_since(self.setup.clock.now())).await;
            };
            let work = self.setup.work.clone();
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => work.measure(Work::Presence, || self.handle(message)),
                    None => return,
                },
                _ = check.tick() => work.measure(Work::Presence, || self.check()),
                () = collected => work.measure(Work::Presence, || self.publish_collected()),
            }
        }
    }

    /// Schedules the publication of a change.
    fn collect(&mut self, now: Instant) {
        self.publish_at.get_or_insert(now + COLLECT_TIME);
    }

    fn publish_collected(&mut self) {
        let now = self.setup.clock.now();
        self.presence.note_awake(now);
        self.publish(now);
        self.report_if_due(now);
    }

    fn handle(&mut self, message: Message) {
        let now = self.setup.clock.now();
        self.presence.note_awake(now);
        match message {
            Message::Backend(backend) => {
                if self.presence.record_backend_heartbeat(now, &backend) {
                    self.collect(now);
                }
            }
            Message::Entry { vm, statement } => {
                let EntryStatement { ready, headroom } = statement;
                let presence = &mut self.presence;
                let is_new_state =
                    presence.record_entry_heartbeat(now, &vm, ready.stamp, ready.value);
                let is_new_headroom = headroom.is_some_and(|headroom| {
                    presence.record_headroom(now, &vm, headroom.stamp, headroom.value)
                });
                if is_new_state || is_new_headroom {
                    self.collect(now);
                    self.next_report_at = self.next_report_at.min(now + COLLECT_TIME);
                }
            }
            Message::Report {
                from,
                report,
                reply,
            } => {
                let known = self.presence.apply_report(now, &from, &report);
                // The replica's call may have timed out meanwhile.
                let _ = reply.send(known);
                if !report.sources.added.is_empty() || !report.sources.removed.is_empty() {
                    self.collect(now);
                }
            }
            Message::Known { replica, number } => {
                if let Some(peer) = self.peers.get_mut(&replica) {
                    peer.known = number;
                }
            }
            Message::Silence { backend, reply } => {
                // The requester may have stopped waiting.
                let _ = reply.send(self.presence.silence(now, &backend));
            }
        }
    }

    fn check(&mut self) {
        let now = self.setup.clock.now();
        self.presence.note_awake(now);
        self.presence.expire(now);
        self.publish(now);
        self.report_if_due(now);
    }

    /// Reports to the other replicas, and drops what has been silent for long.
    fn report_if_due(&mut self, now: Instant) {
        if now < self.next_report_at {
            return;
        }
        self.report(now);
        self.forget(now);
        self.presence.forget(now, HEARTBEAT_RETENTION);
    }

    /// Publishes the known replicas and, if a majority of replicas reports, who is absent.
    fn publish(&mut self, now: Instant) {
        self.publish_at = None;
        let published = self.setup.published.read();
        let absent_now = self
            .presence
            .has_majority(now, published.replicas.len())
            .then(|| self.absent_now(now, &published.fleet));
        let replicas = self.replicas(now);
        self.view.send_if_modified(|view| {
            let replicas_changed = *view.replicas != replicas;
            if replicas_changed {
                view.replicas = Arc::new(replicas);
            }
            let Some(absent_now) = absent_now else {
                return replicas_changed;
            };
            let is_first = view.absent.is_none();
            let absent = view.absent.get_or_insert_with(|| Arc::new(first_absent()));
            if !is_first && *absent.members() == absent_now {
                return replicas_changed;
            }
            Arc::make_mut(absent).replace(&absent_now);
            true
        });
    }

    fn absent_now(&self, now: Instant, fleet: &FleetState) -> BTreeSet<Absent> {
        let names = fleet.backends().map(|(name, _)| name);
        let silent = self.presence.silent_backends(now, names);
        let silent = silent.map(|name| Absent::Backend(name.clone()));
        let out_of_service = fleet
            .entries()
            .filter(|(vm, _)| self.presence.is_out_of_service(now, vm))
            .map(|(vm, _)| Absent::Entry(vm.clone()));
        let partly = fleet.entries().filter_map(|(vm, _)| {
            let headroom = self.presence.headroom(vm)?;
            let vm = vm.clone();
            Some(Absent::Partly { vm, headroom })
        });
        silent.chain(out_of_service).chain(partly).collect()
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

    /// Reports the heartbeats that this replica received itself to the other replicas.
    fn report(&mut self, now: Instant) {
        self.next_report_at = now + REPORT_INTERVAL;
        let replicas = self.setup.published.read().replicas;
        let own = self.setup.endpoints.address;
        self.peers
            .retain(|address, _| replicas.iter().any(|info| info.address == *address));
        for info in replicas.iter().filter(|info| info.address != own) {
            self.report_to(now, info.address);
        }
        let contacts = self.presence.replica_contacts().collect();
        self.setup.node.note_contacts(contacts);
    }

    fn report_to(&mut self, now: Instant, replica: SocketAddr) {
        let Some(peer) = self.peer(replica) else {
            return;
        };
        let mut client = peer.client.clone();
        let known = peer.known;
        let report = self.presence.report(now, known, &self.setup.endpoints);
        let Ok(report_encoded) = postcard::to_stdvec(&report) else {
            log::error!(event = "report_unencodable"; "cannot encode a report on heartbeats");
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
            // After a lost answer, the next report repeats the same changes.
            if let (Ok(Ok(reply)), Some(tx)) = (call, tx.upgrade()) {
                let number = reply.into_inner().known;
                let _ = tx.send(Message::Known { replica, number });
            }
        });
    }

    fn peer(&mut self, address: SocketAddr) -> Option<&Peer> {
        if !self.peers.contains_key(&address) {
            let client = self.setup.channels.fleet_client(address)?;
            self.peers.insert(address, Peer { client, known: 0 });
        }
        self.peers.get(&address)
    }

    /// Proposes the removal of backend servers and entry VMs that have been silent for long, if
    /// this replica leads and a majority of replicas reports.
    fn forget(&self, now: Instant) {
        let published = self.setup.published.read();
        if !published.leads || !self.presence.has_majority(now, published.replicas.len()) {
            return;
        }
        let backends: Vec<BackendIncarnation> = published
            .fleet
            .backends()
            .filter(|(name, _)| self.presence.silence(now, name) >= self.setup.timing.removal())
            .map(|(name, record)| BackendIncarnation {
                backend: name.clone(),
                born: record.born,
            })
            .collect();
        if !backends.is_empty() {
            log::info!(event = "backends_forgotten", count = backends.len(); "removing silent backend servers");
            self.propose(FleetCommand::ForgetBackends(backends));
        }
        let silent = published
            .fleet
            .entries()
            .filter(|(vm, _)| self.presence.entry_silence(now, vm) >= FORGET_ENTRY_AFTER);
        for (vm, entry) in silent {
            log::info!(event = "entry_forgotten", vm = vm.as_str(); "removing a silent entry VM");
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
                log::debug!(event = "forgetting_failed", error:% = error; "removal from the state not committed; it is proposed again while the silence lasts");
            }
        });
    }
}

/// Returns an empty set with a random first number, so that the numbers known to followers from
/// before a restart of this replica do not match it.
fn first_absent() -> NumberedSet<Absent> {
    let start = u64::from(rand::random::<u32>()) << u32::BITS;
    NumberedSet::starting_at(NonZeroU64::MIN.saturating_add(start))
}
