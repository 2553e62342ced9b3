//! The task by which an entry VM follows control.
//!
//! It asks one replica at a time, again and again; each question is the heartbeat of this
//! entry VM as well. A replica that is silent, or can't prove that it is current, is left
//! for the next one. While none answers, the entry VM goes on with what it knows.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::fleet_update::FleetUpdate;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::VmName;
use heatherring_lib::replica_patience::ReplicaPatience;
use snafu::Snafu;
use tokio::sync::watch;
use tonic::Request;

use crate::dispatch_task::DispatchHandle;
use crate::metric;
use crate::peer_channel::PeerChannels;
use crate::proto::FollowReply;
use crate::proto::FollowRequest;
use crate::proto::fleet_client::FleetClient;

/// Pause before the next replica is asked, after one gave no use.
const NEXT_PAUSE: Duration = Duration::from_millis(50);

/// Tells why a replica's answer is of no use.
#[derive(Debug, Snafu)]
enum FollowError {
    #[snafu(display("no answer in time"))]
    Silent,
    #[snafu(display("{}", source.message()))]
    Call { source: Box<tonic::Status> },
    #[snafu(display("the replica can't prove that it is current"))]
    NotCurrent,
    #[snafu(display("the update can't be used: {message}"))]
    Update { message: String },
    #[snafu(display("the address can't be used: {message}"))]
    Address { message: String },
}

/// Holds what the task is set up with.
#[derive(Debug)]
pub struct FollowerSetup {
    /// The entry VM.
    pub vm: VmName,
    /// Where it is.
    pub record: EntryRecord,
    /// Replicas to ask first; replaced when the settings change.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Whether the entry VM takes requests.
    pub ready: watch::Receiver<bool>,
    /// Opens connections.
    pub channels: PeerChannels,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Follows the view, too.
    pub dispatch: DispatchHandle,
}

struct Follower {
    setup: FollowerSetup,
    /// The entry VM's record, as each question carries it.
    record_encoded: Vec<u8>,
    view: watch::Sender<Arc<FleetView>>,
    live: watch::Sender<Arc<BTreeSet<VmName>>>,
    heard: watch::Sender<Instant>,
    known_presence: u64,
    learned: Vec<SocketAddr>,
    next: usize,
    patience: ReplicaPatience,
    lost_since: Option<Instant>,
}

/// Shows what control said last.
#[derive(Clone, Debug)]
pub struct Followed {
    /// The view of the fleet; empty until the first answer.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// The entry VMs that take requests.
    pub live: watch::Receiver<Arc<BTreeSet<VmName>>>,
    /// When control was last in reach.
    pub heard: watch::Receiver<Instant>,
}

/// Starts the task.
#[must_use]
pub fn spawn(setup: FollowerSetup) -> Followed {
    let (view, view_rx) = watch::channel(Arc::new(FleetView::default()));
    let (live, live_rx) = watch::channel(Arc::default());
    let (heard, heard_rx) = watch::channel(setup.clock.now());
    let next = rand::random::<u32>() as usize;
    let record_encoded = postcard::to_stdvec(&setup.record).unwrap_or_else(|error| {
        log::error!(event = "record_unencodable", error:% = error; "control can't learn where this entry VM is");
        Vec::new()
    });
    let follower = Follower {
        setup,
        record_encoded,
        view,
        live,
        heard,
        known_presence: 0,
        learned: Vec::new(),
        next,
        patience: ReplicaPatience::default(),
        lost_since: None,
    };
    tokio::spawn(follower.run());
    Followed {
        view: view_rx,
        live: live_rx,
        heard: heard_rx,
    }
}

impl Follower {
    async fn run(mut self) {
        loop {
            let Some(address) = self.next_address() else {
                tokio::time::sleep(NEXT_PAUSE).await;
                continue;
            };
            if let Err(error) = self.follow(address).await {
                self.note_lost(address, &error);
            }
            tokio::time::sleep(NEXT_PAUSE).await;
        }
    }

    /// Returns the replica to ask next: in turn, those that were learned and the seeds.
    fn next_address(&mut self) -> Option<SocketAddr> {
        let mut addresses = self.learned.clone();
        for seed in self.setup.seeds.borrow().iter() {
            if !addresses.contains(seed) {
                addresses.push(*seed);
            }
        }
        self.next = self.next.wrapping_add(1);
        let index = self.next.checked_rem(addresses.len())?;
        addresses.get(index).copied()
    }

    /// Follows one replica for as long as it is of use.
    async fn follow(&mut self, address: SocketAddr) -> Result<(), FollowError> {
        let channel = self
            .setup
            .channels
            .lazy(address)
            .map_err(|error| FollowError::Address {
                message: error.to_string(),
            })?;
        let mut client = FleetClient::new(channel);
        self.patience.turn();
        loop {
            let ready = *self.setup.ready.borrow_and_update();
            let request = self.request(ready);
            let call = client.follow(Request::new(request));
            let reply = tokio::select! {
                reply = tokio::time::timeout(self.patience.answer_within(), call) => reply,
                // Control must learn at once that this entry VM begins or ceases to serve.
                Ok(()) = self.setup.ready.changed() => continue,
            };
            let reply = match reply {
                Ok(Ok(reply)) => reply.into_inner(),
                Ok(Err(status)) => {
                    return Err(FollowError::Call {
                        source: Box::new(status),
                    });
                }
                Err(_) => {
                    self.patience.note_silence();
                    return Err(FollowError::Silent);
                }
            };
            self.take(address, reply)?;
            self.patience.note_answer();
        }
    }

    fn request(&self, ready: bool) -> FollowRequest {
        let heard = *self.heard.borrow();
        metric::control_silent(self.setup.clock.now().saturating_duration_since(heard));
        let view = self.view.borrow();
        FollowRequest {
            vm: self.setup.vm.as_str().to_owned(),
            record_encoded: self.record_encoded.clone(),
            ready,
            applied_revision: view.revision.0,
            known_presence: self.known_presence,
            wait_ms: u32::try_from(self.patience.hold().as_millis()).unwrap_or(u32::MAX),
        }
    }

    fn take(&mut self, address: SocketAddr, reply: FollowReply) -> Result<(), FollowError> {
        if !reply.current {
            return Err(FollowError::NotCurrent);
        }
        self.note_regained(address);
        self.learned = reply
            .replicas
            .iter()
            .filter_map(|text| text.parse().ok())
            .collect();
        if !reply.update_encoded.is_empty() {
            self.apply(&reply.update_encoded)?;
        }
        if reply.presence_number != self.known_presence {
            self.known_presence = reply.presence_number;
            let silent: BTreeSet<BackendName> =
                reply.silent.into_iter().map(BackendName::new).collect();
            let live: BTreeSet<VmName> = reply.live.into_iter().map(VmName::new).collect();
            log::info!(event = "presence_applied", silent = silent.len(), live = live.len(); "control says who is silent and who takes requests");
            self.setup.dispatch.apply_silent(silent);
            self.live.send_replace(Arc::new(live));
        }
        self.setup.dispatch.note_control();
        self.heard.send_replace(self.setup.clock.now());
        Ok(())
    }

    fn apply(&mut self, encoded: &[u8]) -> Result<(), FollowError> {
        let unusable = |message: String| FollowError::Update { message };
        let update = FleetUpdate::decode(encoded).map_err(|error| unusable(error.to_string()))?;
        let before = Arc::clone(&self.view.borrow());
        let view = before
            .updated(&update)
            .map_err(|error| unusable(error.to_string()))?;
        log::info!(event = "view_applied", from = before.revision.0, revision = view.revision.0, version = view.version.0, whole = update.whole; "a newer view is in force here");
        metric::view(view.version.0, view.revision.0);
        let view = Arc::new(view);
        self.setup.dispatch.apply_view(Arc::clone(&view));
        self.view.send_replace(view);
        Ok(())
    }

    fn note_lost(&mut self, address: SocketAddr, error: &FollowError) {
        // The number of the verdicts on presence is that replica's own.
        self.known_presence = 0;
        metric::control_lost();
        if self.lost_since.is_none() {
            self.lost_since = Some(self.setup.clock.now());
            log::warn!(event = "control_lost", replica:% = address, error:% = error; "asking another replica; serving on with what is known");
        }
    }

    fn note_regained(&mut self, address: SocketAddr) {
        if let Some(since) = self.lost_since.take() {
            let lost = self.setup.clock.now().saturating_duration_since(since);
            let lost_ms = whole_ms(lost);
            log::info!(event = "control_regained", replica:% = address, lost_ms; "following control again");
        }
    }
}
