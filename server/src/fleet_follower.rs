//! The task by which an entry VM follows control.
//!
//! It executes the steps of [`FollowPlan`]: it long-polls one replica, where each follow request
//! is also the heartbeat of this entry VM, and probes others when the plan says so. While no
//! replica answers, the entry VM continues with the last known state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::entry_statement::ValueNumber;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::fleet_update::FleetUpdate;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::follow_plan::FollowOutcome;
use heatherring_lib::follow_plan::FollowPlan;
use heatherring_lib::follow_plan::FollowStep;
use heatherring_lib::headroom::Headroom;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::VmName;
use heatherring_lib::numbered_set::SetUpdate;
use heatherring_lib::presence::Absent;
use heatherring_lib::replica_choice::ReplicaChoice;
use heatherring_lib::replica_choice::ReplicaSite;
use heatherring_lib::replica_timeout::LONG_POLL_HOLD;
use heatherring_lib::request_fingerprint::FingerprintKey;
use tokio::sync::watch;
use tonic::transport::Channel;

use crate::crash_tracker::CrashTracker;
use crate::dispatch_task::DispatchHandle;
use crate::follow_calls::CallKind;
use crate::follow_calls::CallResult;
use crate::follow_calls::FollowError;
use crate::follow_calls::PendingCall;
use crate::follow_calls::PendingCalls;
use crate::metric;
use crate::peer_channel::PeerChannels;
use crate::proto::FollowReply;
use crate::proto::FollowRequest;
use crate::proto::fleet_client::FleetClient;
use crate::shared_statements::SharedStatements;

/// Largest number of abandoned replicas listed in the log line on the next followed one.
const MAX_LISTED_REPLICAS: usize = 6;

/// Configuration, inputs and consumers of the follower task.
#[derive(Debug)]
pub struct FollowerSetup {
    /// Name of this entry VM.
    pub vm: VmName,
    /// Location and incarnation of the entry VM, sent with each follow request.
    pub record: EntryRecord,
    /// Region of each place.
    pub places: BTreeMap<PlaceName, RegionName>,
    /// Replicas known from the settings; replaced when the settings are reloaded.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Whether the entry VM accepts requests.
    pub ready: watch::Receiver<bool>,
    /// Headroom of the entry VM, if it is to be told.
    pub headroom: watch::Receiver<Option<Headroom>>,
    /// Opens connections to replicas.
    pub channels: PeerChannels,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Receives each new view and the set of silent backend servers.
    pub dispatch: DispatchHandle,
    /// Receives each new view and the verdicts on suspected requests.
    pub crashes: CrashTracker,
}

struct Follower {
    setup: FollowerSetup,
    /// The entry VM's record as encoded in each follow request.
    record_encoded: Vec<u8>,
    view: watch::Sender<Arc<FleetView>>,
    out_of_service: watch::Sender<Arc<BTreeSet<VmName>>>,
    headroom: watch::Sender<Arc<BTreeMap<VmName, Headroom>>>,
    last_contact: watch::Sender<Instant>,
    proved: watch::Sender<Instant>,
    /// Backend servers and entry VMs that must not be used for now.
    absent: BTreeSet<Absent>,
    /// Number of the `absent` set, valid only at the followed replica.
    known_presence: u64,
    /// Replicas that control listed.
    sites: watch::Sender<Vec<ReplicaSite>>,
    /// Digest of the list in `sites`.
    known_replicas: u64,
    plan: FollowPlan,
    pending_calls: PendingCalls,
    /// Replica that was sent the last long poll; `None` while control is lost.
    following: Option<SocketAddr>,
    lost_since: Option<Instant>,
    /// Replicas abandoned since the last change of the followed one, with the reason.
    left: Vec<String>,
    /// Revision of the known verdicts on suspected requests.
    known_quarantine: u64,
    /// Number of the statements of backend servers, valid only at the followed replica.
    known_limits: u64,
    ready_number: ValueNumber<bool>,
    headroom_number: ValueNumber<Option<Headroom>>,
    replica: watch::Sender<Option<FleetClient<Channel>>>,
}

/// Receivers of the state that control last reported.
#[derive(Clone, Debug)]
pub struct Followed {
    /// View of the fleet; empty until the first answer.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// Entry VMs of the view that do not accept requests.
    pub out_of_service: watch::Receiver<Arc<BTreeSet<VmName>>>,
    /// Headroom of the entry VMs that tell it.
    pub headroom: watch::Receiver<Arc<BTreeMap<VmName, Headroom>>>,
    /// Time of the last answer from a current replica; the start of the task until then.
    pub last_contact: watch::Receiver<Instant>,
    /// Time at which the view was last proved to include everything committed; the start of the
    /// task until then.
    pub proved: watch::Receiver<Instant>,
    /// Client of the followed replica; `None` while there is none.
    pub replica: watch::Receiver<Option<FleetClient<Channel>>>,
    /// Replicas that control listed, with their places.
    pub sites: watch::Receiver<Vec<ReplicaSite>>,
}

/// Starts the follower task.
#[must_use]
pub fn spawn(setup: FollowerSetup) -> Followed {
    let (view, view_rx) = watch::channel(Arc::new(FleetView::default()));
    let (out_of_service, out_of_service_rx) = watch::channel(Arc::default());
    let (headroom, headroom_rx) = watch::channel(Arc::default());
    let (last_contact, last_contact_rx) = watch::channel(setup.clock.now());
    let (proved, proved_rx) = watch::channel(setup.clock.now());
    let (replica, replica_rx) = watch::channel(None);
    let (sites, sites_rx) = watch::channel(Vec::new());
    let choice = ReplicaChoice::new(
        setup.vm.clone(),
        setup.record.place.clone(),
        setup.places.clone(),
    );
    let plan = FollowPlan::new(choice, setup.clock.now(), rand::random());
    let record_encoded = postcard::to_stdvec(&setup.record).unwrap_or_else(|error| {
        log::error!(event = "record_unencodable", error:% = error; "cannot encode the record of this entry VM; control cannot learn its location");
        Vec::new()
    });
    let follower = Follower {
        setup,
        record_encoded,
        view,
        out_of_service,
        headroom,
        last_contact,
        proved,
        absent: BTreeSet::new(),
        known_presence: 0,
        sites,
        known_replicas: 0,
        plan,
        pending_calls: PendingCalls::default(),
        following: None,
        lost_since: None,
        left: Vec::new(),
        known_quarantine: 0,
        known_limits: 0,
        ready_number: ValueNumber::default(),
        headroom_number: ValueNumber::default(),
        replica,
    };
    tokio::spawn(follower.run());
    Followed {
        view: view_rx,
        out_of_service: out_of_service_rx,
        headroom: headroom_rx,
        last_contact: last_contact_rx,
        proved: proved_rx,
        replica: replica_rx,
        sites: sites_rx,
    }
}

impl Follower {
    async fn run(mut self) {
        self.update_seeds();
        loop {
            let now = self.setup.clock.now();
            let steps = self.plan.wake(now);
            self.carry_out(steps);
            let wake = self.plan.next_wake().saturating_duration_since(now);
            tokio::select! {
                (result, call) = self.pending_calls.next_result() => self.handle_answer(result, &call),
                () = tokio::time::sleep(wake) => {}
                // Control must learn at once that this entry VM starts or stops accepting requests.
                Ok(()) = self.setup.ready.changed() => {
                    let steps = self.plan.poll_now(self.setup.clock.now());
                    self.carry_out(steps);
                }
                Ok(()) = self.setup.headroom.changed() => {
                    let steps = self.plan.poll_now(self.setup.clock.now());
                    self.carry_out(steps);
                }
                Ok(()) = self.setup.seeds.changed() => self.update_seeds(),
            }
        }
    }

    fn update_seeds(&mut self) {
        let seeds = self.setup.seeds.borrow_and_update();
        self.plan.learn(&self.sites.borrow(), &seeds);
    }

    fn carry_out(&mut self, steps: Vec<FollowStep>) {
        for step in steps {
            match step {
                FollowStep::Probe(replica) => self.call(replica, CallKind::Probe),
                FollowStep::Poll(replica) => {
                    self.note_followed(replica);
                    self.call(replica, CallKind::Poll);
                }
                FollowStep::Cancel(replica) => {
                    if self.following == Some(replica) {
                        self.note_left(format!("{replica}: replaced by another replica"));
                    }
                    self.pending_calls.disconnect(replica);
                }
                FollowStep::TimedOut(replica) => {
                    self.pending_calls.disconnect(replica);
                    self.note_unusable(replica, &FollowError::Unresponsive);
                }
            }
        }
    }

    fn call(&mut self, replica: SocketAddr, kind: CallKind) {
        let request = match kind {
            CallKind::Probe => FollowRequest {
                known_replicas: self.known_replicas,
                list_only: true,
                ..FollowRequest::default()
            },
            CallKind::Poll => self.request(),
        };
        let now = self.setup.clock.now();
        self.pending_calls
            .start(&self.setup.channels, replica, kind, request, now);
    }

    fn handle_answer(&mut self, result: CallResult, call: &PendingCall) {
        let CallResult { replica, reply, .. } = result;
        let applied = reply.and_then(|reply| match call.kind {
            CallKind::Probe => self.apply_probe_reply(&reply),
            CallKind::Poll => self.apply_follow_reply(replica, call.sent_at, &reply),
        });
        let answer = match &applied {
            Ok(has_changes) => FollowOutcome::Usable {
                has_changes: *has_changes,
            },
            Err(error) => FollowOutcome::Unusable(error.unusable_reason()),
        };
        let steps = self.plan.answered(self.setup.clock.now(), replica, answer);
        if let Err(error) = &applied {
            self.pending_calls.disconnect(replica);
            self.note_unusable(replica, error);
        }
        self.carry_out(steps);
    }

    /// Applies the answer to a probe.
    fn apply_probe_reply(&mut self, reply: &FollowReply) -> Result<bool, FollowError> {
        self.update_replicas(reply)?;
        if !reply.current {
            return Err(FollowError::NotCurrent);
        }
        if let Some(key) = FingerprintKey::from_bytes(&reply.fingerprint_key) {
            self.setup.crashes.set_key(key);
        }
        Ok(false)
    }

    /// Replaces the list of replicas if the reply contains one.
    fn update_replicas(&mut self, reply: &FollowReply) -> Result<(), FollowError> {
        if reply.replicas_encoded.is_empty() {
            return Ok(());
        }
        self.sites.send_replace(decode(&reply.replicas_encoded)?);
        self.known_replicas = reply.replicas_digest;
        self.plan
            .learn(&self.sites.borrow(), &self.setup.seeds.borrow());
        Ok(())
    }

    fn request(&mut self) -> FollowRequest {
        let ready = *self.setup.ready.borrow_and_update();
        let headroom = *self.setup.headroom.borrow_and_update();
        let now = self.setup.clock.now();
        let age = |at: &watch::Sender<Instant>| now.saturating_duration_since(*at.borrow());
        metric::control_silent(age(&self.last_contact), age(&self.proved));
        let view = self.view.borrow();
        FollowRequest {
            vm: self.setup.vm.as_str().to_owned(),
            record_encoded: self.record_encoded.clone(),
            ready,
            applied_revision: view.revision.0,
            known_presence: self.known_presence,
            wait_ms: u32::try_from(LONG_POLL_HOLD.as_millis()).unwrap_or(u32::MAX),
            known_replicas: self.known_replicas,
            list_only: false,
            known_quarantine: self.known_quarantine,
            known_limits: self.known_limits,
            headroom: headroom.map_or(0, Headroom::code),
            ready_number: self.ready_number.of(ready),
            headroom_number: self.headroom_number.of(headroom),
        }
    }

    /// Applies the answer to a long poll sent at `sent_at`; returns whether it has changes.
    fn apply_follow_reply(
        &mut self,
        address: SocketAddr,
        sent_at: Instant,
        reply: &FollowReply,
    ) -> Result<bool, FollowError> {
        if !reply.current {
            return Err(FollowError::NotCurrent);
        }
        self.note_regained(address);
        self.update_replicas(reply)?;
        let mut has_changes = self.apply_verdicts(reply)?;
        if !reply.update_encoded.is_empty() {
            self.apply_update(address, reply)?;
            has_changes = true;
        }
        if !reply.absent_encoded.is_empty() {
            self.apply_absent(reply.presence_number, decode(&reply.absent_encoded)?);
            has_changes = true;
        }
        if !reply.limits_encoded.is_empty() {
            // Applied after the view, which holds the backend servers.
            let statements = SharedStatements::of_reply(reply).map_err(|error| unusable(&error))?;
            self.setup.dispatch.apply_shared(statements);
            self.known_limits = reply.limits_number;
            has_changes = true;
        }
        self.setup.dispatch.note_control_contact();
        self.last_contact.send_replace(self.setup.clock.now());
        self.proved
            .send_replace(shifted(sent_at, reply.proved_after_ms));
        Ok(has_changes)
    }

    /// Applies the verdicts on suspected requests. They are applied before the view: a newly
    /// started entry VM dispatches nothing until it has a view, and so nothing before it has the
    /// verdicts.
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
        let mut headroom = BTreeMap::new();
        for absent in &self.absent {
            match absent {
                Absent::Backend(backend) => drop(silent.insert(backend.clone())),
                Absent::Entry(vm) => drop(out_of_service.insert(vm.clone())),
                Absent::Partly { vm, headroom: told } => {
                    headroom.insert(vm.clone(), *told);
                }
            }
        }
        log::info!(event = "presence_applied", silent = silent.len(), out_of_service = out_of_service.len(); "applied control's list of silent backend servers and out-of-service entry VMs");
        self.setup.dispatch.apply_silent(silent);
        self.out_of_service.send_replace(Arc::new(out_of_service));
        self.headroom.send_replace(Arc::new(headroom));
    }

    fn apply_update(
        &mut self,
        address: SocketAddr,
        reply: &FollowReply,
    ) -> Result<(), FollowError> {
        let unusable = |message: String| FollowError::Update { message };
        let update = FleetUpdate::decode(&reply.update_encoded);
        let update = update.map_err(|error| unusable(error.to_string()))?;
        let before = Arc::clone(&self.view.borrow());
        let view = before
            .updated(&update)
            .map_err(|error| unusable(error.to_string()))?;
        log::info!(event = "view_applied", from = before.revision.0, revision = view.revision.0, version = view.version.0, whole = update.whole, replica:% = address, proved_after_ms = reply.proved_after_ms; "applied a newer view of the fleet");
        metric::view(view.version.0, view.revision.0);
        let view = Arc::new(view);
        self.setup.dispatch.apply_view(Arc::clone(&view));
        self.setup.crashes.apply_view(&view);
        self.view.send_replace(view);
        Ok(())
    }

    fn note_unusable(&mut self, replica: SocketAddr, error: &FollowError) {
        log::debug!(event = "replica_left", replica:% = replica, error:% = error; "control replica is unusable for now");
        metric::control_lost();
        self.note_left(format!("{replica}: {error}"));
        if self.plan.followed().is_some() {
            return;
        }
        self.following = None;
        self.replica.send_replace(None);
        if self.lost_since.is_none() {
            self.lost_since = Some(self.setup.clock.now());
            log::warn!(event = "control_lost", replica:% = replica, error:% = error; "lost control; probing other replicas and continuing with the last known state");
        }
    }

    fn note_left(&mut self, why: String) {
        if self.left.len() < MAX_LISTED_REPLICAS {
            self.left.push(why);
        }
    }

    /// Records and logs a change of the followed replica.
    fn note_followed(&mut self, replica: SocketAddr) {
        if self.following == Some(replica) {
            return;
        }
        self.following = Some(replica);
        // Each replica numbers its `absent` sets on its own.
        self.known_presence = 0;
        self.known_limits = 0;
        self.replica
            .send_replace(self.pending_calls.client(replica));
        let left = std::mem::take(&mut self.left).join("; ");
        let last_contact = *self.last_contact.borrow();
        let silent_ms = whole_ms(
            self.setup
                .clock
                .now()
                .saturating_duration_since(last_contact),
        );
        log::info!(event = "replica_followed", replica:% = replica, silent_ms, left = left.as_str(); "following another control replica");
    }

    fn note_regained(&mut self, address: SocketAddr) {
        if let Some(since) = self.lost_since.take() {
            let lost = self.setup.clock.now().saturating_duration_since(since);
            let lost_ms = whole_ms(lost);
            log::info!(event = "control_regained", replica:% = address, lost_ms; "regained control");
        }
    }
}

/// Returns the instant `ms` milliseconds after `at`, or before it if `ms` is negative; `at` itself
/// if that instant cannot be represented.
fn shifted(at: Instant, ms: i64) -> Instant {
    let by = Duration::from_millis(ms.unsigned_abs());
    let shifted = if ms < 0 {
        at.checked_sub(by)
    } else {
        at.checked_add(by)
    };
    shifted.unwrap_or(at)
}

fn decode<T: serde::de::DeserializeOwned>(encoded: &[u8]) -> Result<T, FollowError> {
    postcard::from_bytes(encoded).map_err(|error| unusable(&error))
}

fn unusable(error: &postcard::Error) -> FollowError {
    FollowError::Update {
        message: error.to_string(),
    }
}
