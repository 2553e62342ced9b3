//! The task that knows who was heard of lately, and tells the other control replicas.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::fleet_record::BackendLife;
use heatherring_lib::fleet_state::FleetState;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::VmName;
use heatherring_lib::presence::Presence;
use heatherring_lib::presence::PresenceReport;
use heatherring_lib::presence::REPORT_INTERVAL;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tonic::transport::Channel;

use crate::fleet_picture::FleetPicture;
use crate::node_request::NodeHandle;
use crate::peer_channel::PeerChannels;
use crate::proto::ReportRequest;
use crate::proto::fleet_client::FleetClient;

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
    /// Number of the verdicts; changes with them. Above 0, which stands for an entry VM
    /// that knows none of this replica's.
    pub number: u64,
    /// Backend servers that haven't been heard of lately.
    pub silent: Arc<BTreeSet<BackendName>>,
    /// Entry VMs that take requests.
    pub live: Arc<BTreeSet<VmName>>,
}

impl Default for PresenceView {
    fn default() -> Self {
        Self {
            number: 1,
            silent: Arc::default(),
            live: Arc::default(),
        }
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
    pub fn hear_backend(&self, backend: BackendName) {
        // The task ends only with the process.
        let _ = self.tx.send(Message::Backend(backend));
    }

    /// Notes a heartbeat of an entry VM.
    pub fn hear_entry(&self, vm: VmName, life: u64, ready: bool) {
        let _ = self.tx.send(Message::Entry { vm, life, ready });
    }

    /// Takes the report of another replica in.
    pub fn take_in(&self, from: VmName, report: PresenceReport) {
        let _ = self.tx.send(Message::Report { from, report });
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
    pub address: SocketAddr,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// What the replica has applied.
    pub picture: FleetPicture,
    /// The replica.
    pub node: NodeHandle,
    /// Opens connections to the others.
    pub channels: PeerChannels,
}

struct PresenceTask {
    setup: PresenceSetup,
    presence: Presence,
    view: watch::Sender<PresenceView>,
    peers: BTreeMap<SocketAddr, FleetClient<Channel>>,
    report_at: Instant,
}

/// Starts the task.
#[must_use]
pub fn spawn(setup: PresenceSetup) -> PresenceHandle {
    let (tx, rx) = mpsc::unbounded_channel();
    let (view_tx, view) = watch::channel(PresenceView::default());
    let now = setup.clock.now();
    let task = PresenceTask {
        setup,
        presence: Presence::new(now),
        view: view_tx,
        peers: BTreeMap::new(),
        report_at: now,
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
                if self.presence.hear_backend(now, &backend) {
                    self.publish(now);
                }
            }
            Message::Entry { vm, life, ready } => {
                if self.presence.hear_entry(now, &vm, life, ready) {
                    self.publish(now);
                    self.report(now);
                }
            }
            Message::Report { from, report } => {
                self.presence.take_in(now, &from, &report);
                self.publish(now);
            }
            Message::Silence { backend, reply } => {
                // Whoever asked may have gone away meanwhile.
                let _ = reply.send(self.presence.silence(now, &backend));
            }
        }
    }

    fn look(&mut self) {
        let now = self.setup.clock.now();
        self.publish(now);
        if now >= self.report_at {
            self.report(now);
            self.forget(now);
            self.presence.expire(now, DROP_MARKS);
        }
    }

    /// Gives verdicts, unless too few replicas report for any.
    fn publish(&self, now: Instant) {
        let picture = self.setup.picture.read();
        if !self.presence.is_connected(now, picture.replicas.len()) {
            return;
        }
        let (silent, live) = self.verdicts(now, &picture.fleet);
        self.view.send_if_modified(|view| {
            let silent_changed = *view.silent != silent;
            let live_changed = *view.live != live;
            if silent_changed {
                view.silent = Arc::new(silent);
            }
            if live_changed {
                view.live = Arc::new(live);
            }
            let changed = silent_changed || live_changed;
            view.number += u64::from(changed);
            changed
        });
    }

    fn verdicts(
        &self,
        now: Instant,
        fleet: &FleetState,
    ) -> (BTreeSet<BackendName>, BTreeSet<VmName>) {
        let silent = fleet
            .backends()
            .map(|(name, _)| name)
            .filter(|name| self.presence.is_silent(now, name));
        let live = fleet
            .entries()
            .map(|(vm, _)| vm)
            .filter(|vm| self.presence.is_live_entry(now, vm));
        (silent.cloned().collect(), live.cloned().collect())
    }

    /// Tells the other replicas whom this one heard itself.
    fn report(&mut self, now: Instant) {
        self.report_at = now + REPORT_INTERVAL;
        let report = self.presence.take_report(now);
        let Ok(report_encoded) = postcard::to_stdvec(&report) else {
            log::error!(event = "report_unencodable"; "a report on heartbeats can't be encoded");
            return;
        };
        let request = ReportRequest {
            cluster_id: self.setup.cluster.0.to_vec(),
            vm: self.setup.vm.as_str().to_owned(),
            report_encoded,
        };
        let replicas = self.setup.picture.read().replicas;
        let own = self.setup.address;
        self.peers
            .retain(|address, _| replicas.iter().any(|info| info.address == *address));
        for info in replicas.iter().filter(|info| info.address != own) {
            let Some(mut client) = self.client(info.address) else {
                continue;
            };
            let request = request.clone();
            tokio::spawn(async move {
                // A lost report is made up for by the next heartbeats.
                let _ = tokio::time::timeout(REPORT_TIMEOUT, client.report(request)).await;
            });
        }
    }

    fn client(&mut self, address: SocketAddr) -> Option<FleetClient<Channel>> {
        if let Some(client) = self.peers.get(&address) {
            return Some(client.clone());
        }
        let channel = match self.setup.channels.lazy(address) {
            Ok(channel) => channel,
            Err(error) => {
                log::error!(event = "peer_address_refused", address:% = address, error:% = error; "can't open a connection to a replica");
                return None;
            }
        };
        let client = FleetClient::new(channel);
        self.peers.insert(address, client.clone());
        Some(client)
    }

    /// Has those removed from the state who have been silent for long, if this replica
    /// leads.
    fn forget(&self, now: Instant) {
        let picture = self.setup.picture.read();
        if !picture.leads || !self.presence.is_connected(now, picture.replicas.len()) {
            return;
        }
        let backends: Vec<BackendLife> = picture
            .fleet
            .backends()
            .filter(|(name, _)| self.presence.silence(now, name) >= FORGET_BACKEND)
            .map(|(name, record)| BackendLife {
                backend: name.clone(),
                born: record.born,
            })
            .collect();
        if !backends.is_empty() {
            log::info!(event = "backends_forgotten", count = backends.len(); "silent backend servers are removed");
            self.propose(FleetCommand::ForgetBackends(backends));
        }
        let silent = picture
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
