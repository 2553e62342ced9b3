//! The task by which an entry VM follows control.
//!
//! It asks one replica at a time, again and again; each question is the heartbeat of this
//! entry VM as well. It follows the nearest replica that is of use: one that is silent, or
//! can't prove that it is current, is left for the next one, and a nearer one that is of use
//! again is returned to. While none answers, the entry VM goes on with what it knows.

use std::collections::BTreeMap;
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
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::VmName;
use heatherring_lib::numbered_set::SetUpdate;
use heatherring_lib::presence::Absent;
use heatherring_lib::replica_choice::ReplicaChoice;
use heatherring_lib::replica_choice::ReplicaSite;
use heatherring_lib::replica_choice::Useless;
use heatherring_lib::replica_patience::ReplicaPatience;
use heatherring_lib::request_fingerprint::FingerprintKey;
use snafu::Snafu;
use tokio::sync::watch;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;

use crate::crash_watch::CrashWatch;
use crate::dispatch_task::DispatchHandle;
use crate::metric;
use crate::peer_channel::PeerChannels;
use crate::proto::FollowReply;
use crate::proto::FollowRequest;
use crate::proto::fleet_client::FleetClient;

/// Pause before the next replica is asked, after one gave no use.
const NEXT_PAUSE: Duration = Duration::from_millis(50);

/// Pause after news before more is asked for. What comes after a quiet spell is told at once;
/// what comes in a row, as when many VMs or backend servers start or leave, is told together.
/// Without it each change is an answer of its own to every entry VM. Bounds on what control
/// confirms are 2 s and more.
const NEWS_PAUSE: Duration = Duration::from_millis(200);

/// Replicas that are named when the next one is followed, at most.
const NAMED_LEFT: usize = 6;

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

impl FollowError {
    const fn useless(&self) -> Useless {
        match self {
            Self::NotCurrent => Useless::NotCurrent,
            _ => Useless::Silent,
        }
    }
}

/// Holds what the task is set up with.
#[derive(Debug)]
pub struct FollowerSetup {
    /// The entry VM.
    pub vm: VmName,
    /// Where it is.
    pub record: EntryRecord,
    /// The regions of all places.
    pub places: BTreeMap<PlaceName, RegionName>,
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
    /// Follows the view and the verdicts on requests.
    pub crashes: CrashWatch,
}

struct Follower {
    setup: FollowerSetup,
    /// The entry VM's record, as each question carries it.
    record_encoded: Vec<u8>,
    view: watch::Sender<Arc<FleetView>>,
    out_of_service: watch::Sender<Arc<BTreeSet<VmName>>>,
    heard: watch::Sender<Instant>,
    proved: watch::Sender<Instant>,
    /// Who isn't to be used for now, and the number of that at the replica that is followed.
    absent: BTreeSet<Absent>,
    known_presence: u64,
    /// The replicas that were named, and the digest of that list.
    sites: watch::Sender<Vec<ReplicaSite>>,
    known_replicas: u64,
    choice: ReplicaChoice,
    patience: ReplicaPatience,
    lost_since: Option<Instant>,
    /// The replicas that were of no use since one was, and why.
    left: Vec<String>,
    /// Revision of the verdicts on requests that are known.
    known_quarantine: u64,
    replica: watch::Sender<Option<FleetClient<Channel>>>,
}

/// Shows what control said last.
#[derive(Clone, Debug)]
pub struct Followed {
    /// The view of the fleet; empty until the first answer.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// The entry VMs of the view that take no requests.
    pub out_of_service: watch::Receiver<Arc<BTreeSet<VmName>>>,
    /// When control was last in reach.
    pub heard: watch::Receiver<Instant>,
    /// When the view was last proved to be all that is confirmed; the start, until it was.
    pub proved: watch::Receiver<Instant>,
    /// The replica that is followed.
    pub replica: watch::Receiver<Option<FleetClient<Channel>>>,
    /// The replicas that were named.
    pub sites: watch::Receiver<Vec<ReplicaSite>>,
}

/// Starts the task.
#[must_use]
pub fn spawn(setup: FollowerSetup) -> Followed {
    let (view, view_rx) = watch::channel(Arc::new(FleetView::default()));
    let (out_of_service, out_of_service_rx) = watch::channel(Arc::default());
    let (heard, heard_rx) = watch::channel(setup.clock.now());
    let (proved, proved_rx) = watch::channel(setup.clock.now());
    let (replica, replica_rx) = watch::channel(None);
    let (sites, sites_rx) = watch::channel(Vec::new());
    let choice = ReplicaChoice::new(
        setup.vm.clone(),
        setup.record.place.clone(),
        setup.places.clone(),
    );
    let record_encoded = postcard::to_stdvec(&setup.record).unwrap_or_else(|error| {
        log::error!(event = "record_unencodable", error:% = error; "control can't learn where this entry VM is");
        Vec::new()
    });
    let follower = Follower {
        setup,
        record_encoded,
        view,
        out_of_service,
        heard,
        proved,
        absent: BTreeSet::new(),
        known_presence: 0,
        sites,
        known_replicas: 0,
        choice,
        patience: ReplicaPatience::default(),
        lost_since: None,
        left: Vec::new(),
        known_quarantine: 0,
        replica,
    };
    tokio::spawn(follower.run());
    Followed {
        view: view_rx,
        out_of_service: out_of_service_rx,
        heard: heard_rx,
        proved: proved_rx,
        replica: replica_rx,
        sites: sites_rx,
    }
}

impl Follower {
    async fn run(mut self) {
        loop {
            self.choice
                .learn(&self.sites.borrow(), &self.setup.seeds.borrow_and_update());
            let Some(address) = self.choice.pick(self.setup.clock.now()) else {
                tokio::time::sleep(NEXT_PAUSE).await;
                continue;
            };
            let followed = self.follow(address).await;
            // The number of the verdicts on presence is that replica's own.
            self.known_presence = 0;
            self.replica.send_replace(None);
            if let Err(error) = followed {
                let now = self.setup.clock.now();
                self.choice
                    .set_aside(address, now, error.useless(), rand::random());
                self.note_lost(address, &error);
                tokio::time::sleep(NEXT_PAUSE).await;
            }
        }
    }

    /// Follows one replica for as long as it is of use and none is nearer.
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
        self.ask_first(&mut client).await?;
        self.note_followed(address);
        self.replica.send_replace(Some(client.clone()));
        loop {
            if self.choice.has_nearer(address, self.setup.clock.now()) {
                return Ok(());
            }
            let ready = *self.setup.ready.borrow_and_update();
            let request = self.request(ready);
            let asked = self.setup.clock.now();
            let call = client.follow(Request::new(request));
            let reply = tokio::select! {
                reply = answer_in_time(&mut self.patience, call) => reply?,
                // Control must learn at once that this entry VM begins or ceases to serve.
                Ok(()) = self.setup.ready.changed() => continue,
            };
            let is_news = self.take(address, asked, &reply)?;
            self.patience.note_answer();
            self.choice.note_use(address);
            if is_news {
                let _ = tokio::time::timeout(NEWS_PAUSE, self.setup.ready.changed()).await;
            }
        }
    }

    /// Asks whether the replica is of use and where the others are, before the state is asked
    /// for. The state is large: 45 KB for 900 backend servers take 0.2 s over a link of 2 Mbit/s.
    /// So a near replica is to send it, and whether this one lives must show before.
    async fn ask_first(&mut self, client: &mut FleetClient<Channel>) -> Result<(), FollowError> {
        let request = FollowRequest {
            known_replicas: self.known_replicas,
            list_only: true,
            ..FollowRequest::default()
        };
        let call = client.follow(Request::new(request));
        let reply = answer_in_time(&mut self.patience, call).await?;
        self.learn(&reply)?;
        if !reply.current {
            return Err(FollowError::NotCurrent);
        }
        if let Some(key) = FingerprintKey::from_bytes(&reply.fingerprint_key) {
            self.setup.crashes.set_key(key);
        }
        self.patience.note_answer();
        Ok(())
    }

    /// Takes over the list of replicas, if one came.
    fn learn(&mut self, reply: &FollowReply) -> Result<(), FollowError> {
        if reply.replicas_encoded.is_empty() {
            return Ok(());
        }
        self.sites.send_replace(decode(&reply.replicas_encoded)?);
        self.known_replicas = reply.replicas_digest;
        self.choice
            .learn(&self.sites.borrow(), &self.setup.seeds.borrow());
        Ok(())
    }

    fn request(&self, ready: bool) -> FollowRequest {
        let now = self.setup.clock.now();
        let age = |at: &watch::Sender<Instant>| now.saturating_duration_since(*at.borrow());
        metric::control_silent(age(&self.heard), age(&self.proved));
        let view = self.view.borrow();
        FollowRequest {
            vm: self.setup.vm.as_str().to_owned(),
            record_encoded: self.record_encoded.clone(),
            ready,
            applied_revision: view.revision.0,
            known_presence: self.known_presence,
            wait_ms: u32::try_from(self.patience.hold().as_millis()).unwrap_or(u32::MAX),
            known_replicas: self.known_replicas,
            list_only: false,
            known_quarantine: self.known_quarantine,
        }
    }

    /// Takes an answer to what was asked at `asked`; returns whether it tells anything new.
    fn take(
        &mut self,
        address: SocketAddr,
        asked: Instant,
        reply: &FollowReply,
    ) -> Result<bool, FollowError> {
        if !reply.current {
            return Err(FollowError::NotCurrent);
        }
        self.note_regained(address);
        self.learn(reply)?;
        let mut is_news = self.apply_verdicts(reply)?;
        if !reply.update_encoded.is_empty() {
            self.apply(address, reply)?;
            is_news = true;
        }
        if !reply.absent_encoded.is_empty() {
            self.apply_absent(reply.presence_number, decode(&reply.absent_encoded)?);
            is_news = true;
        }
        self.setup.dispatch.note_control();
        self.heard.send_replace(self.setup.clock.now());
        self.proved
            .send_replace(moved(asked, reply.proved_after_ms));
        Ok(is_news)
    }

    /// Takes over the verdicts on requests, before the view: an entry VM that has just started
    /// sends nothing without one.
    fn apply_verdicts(&mut self, reply: &FollowReply) -> Result<bool, FollowError> {
        if reply.quarantine_revision <= self.known_quarantine {
            return Ok(false);
        }
        let verdicts = decode(&reply.verdicts_encoded)?;
        self.setup.crashes.apply_verdicts(verdicts);
        self.known_quarantine = reply.quarantine_revision;
        Ok(true)
    }

    fn apply_absent(&mut self, number: u64, update: SetUpdate<Absent>) {
        self.known_presence = number;
        update.apply_to(&mut self.absent);
        let mut silent = BTreeSet::new();
        let mut out_of_service = BTreeSet::new();
        for absent in &self.absent {
            match absent {
                Absent::Backend(backend) => silent.insert(backend.clone()),
                Absent::Entry(vm) => out_of_service.insert(vm.clone()),
            };
        }
        log::info!(event = "presence_applied", silent = silent.len(), out_of_service = out_of_service.len(); "control says who is silent and who takes no requests");
        self.setup.dispatch.apply_silent(silent);
        self.out_of_service.send_replace(Arc::new(out_of_service));
    }

    fn apply(&mut self, address: SocketAddr, reply: &FollowReply) -> Result<(), FollowError> {
        let unusable = |message: String| FollowError::Update { message };
        let update = FleetUpdate::decode(&reply.update_encoded);
        let update = update.map_err(|error| unusable(error.to_string()))?;
        let before = Arc::clone(&self.view.borrow());
        let view = before
            .updated(&update)
            .map_err(|error| unusable(error.to_string()))?;
        log::info!(event = "view_applied", from = before.revision.0, revision = view.revision.0, version = view.version.0, whole = update.whole, replica:% = address, proved_after_ms = reply.proved_after_ms; "a newer view is in force here");
        metric::view(view.version.0, view.revision.0);
        let view = Arc::new(view);
        self.setup.dispatch.apply_view(Arc::clone(&view));
        self.setup.crashes.apply_view(&view);
        self.view.send_replace(view);
        Ok(())
    }

    fn note_lost(&mut self, address: SocketAddr, error: &FollowError) {
        log::debug!(event = "replica_left", replica:% = address, error:% = error; "a replica is of no use for now");
        metric::control_lost();
        if self.left.len() < NAMED_LEFT {
            self.left.push(format!("{address}: {error}"));
        }
        if self.lost_since.is_none() {
            self.lost_since = Some(self.setup.clock.now());
            log::warn!(event = "control_lost", replica:% = address, error:% = error; "asking another replica; serving on with what is known");
        }
    }

    fn note_followed(&mut self, address: SocketAddr) {
        let left = std::mem::take(&mut self.left).join("; ");
        let heard = *self.heard.borrow();
        let silent_ms = whole_ms(self.setup.clock.now().saturating_duration_since(heard));
        log::info!(event = "replica_followed", replica:% = address, silent_ms, left = left.as_str(); "following this control replica from now on");
    }

    fn note_regained(&mut self, address: SocketAddr) {
        if let Some(since) = self.lost_since.take() {
            let lost = self.setup.clock.now().saturating_duration_since(since);
            let lost_ms = whole_ms(lost);
            log::info!(event = "control_regained", replica:% = address, lost_ms; "following control again");
        }
    }
}

/// Returns the instant that lies `ms` milliseconds after `at`, or before it if negative.
fn moved(at: Instant, ms: i64) -> Instant {
    let by = Duration::from_millis(ms.unsigned_abs());
    let moved = if ms < 0 {
        at.checked_sub(by)
    } else {
        at.checked_add(by)
    };
    moved.unwrap_or(at)
}

/// Awaits the answer to a call for as long as patience lasts.
async fn answer_in_time(
    patience: &mut ReplicaPatience,
    call: impl Future<Output = Result<Response<FollowReply>, Status>>,
) -> Result<FollowReply, FollowError> {
    match tokio::time::timeout(patience.answer_within(), call).await {
        Ok(Ok(reply)) => Ok(reply.into_inner()),
        Ok(Err(status)) => Err(FollowError::Call {
            source: Box::new(status),
        }),
        Err(_) => {
            patience.note_silence();
            Err(FollowError::Silent)
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(encoded: &[u8]) -> Result<T, FollowError> {
    postcard::from_bytes(encoded).map_err(|error| FollowError::Update {
        message: error.to_string(),
    })
}
