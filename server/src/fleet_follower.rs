//! The task by which an entry VM follows control.
//!
//! It carries out what [`FollowPlan`] decides: asks one replica again and again, each question
//! being the heartbeat of this entry VM as well, and tries others where the plan says so. While
//! none answers, the entry VM goes on with what it knows.

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
use heatherring_lib::follow_plan::FollowOutcome;
use heatherring_lib::follow_plan::FollowPlan;
use heatherring_lib::follow_plan::FollowStep;
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
use crate::follow_calls::Answered;
use crate::follow_calls::Asked;
use crate::follow_calls::Asking;
use crate::follow_calls::FollowError;
use crate::follow_calls::Question;
use crate::metric;
use crate::peer_channel::PeerChannels;
use crate::proto::FollowReply;
use crate::proto::FollowRequest;
use crate::proto::fleet_client::FleetClient;

/// Replicas that are named when the next one is followed, at most.
const NAMED_LEFT: usize = 6;

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
    pub crashes: CrashTracker,
}

struct Follower {
    setup: FollowerSetup,
    /// The entry VM's record, as each question carries it.
    record_encoded: Vec<u8>,
    view: watch::Sender<Arc<FleetView>>,
    out_of_service: watch::Sender<Arc<BTreeSet<VmName>>>,
    last_contact: watch::Sender<Instant>,
    proved: watch::Sender<Instant>,
    /// Who isn't to be used for now, and the number of that at the replica that is followed.
    absent: BTreeSet<Absent>,
    known_presence: u64,
    /// The replicas that were named, and the digest of that list.
    sites: watch::Sender<Vec<ReplicaSite>>,
    known_replicas: u64,
    plan: FollowPlan,
    asking: Asking,
    /// The replica that was followed at the last look.
    following: Option<SocketAddr>,
    lost_since: Option<Instant>,
    /// The replicas that were left or of no use since one is followed, and why.
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
    pub last_contact: watch::Receiver<Instant>,
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
        log::error!(event = "record_unencodable", error:% = error; "control can't learn where this entry VM is");
        Vec::new()
    });
    let follower = Follower {
        setup,
        record_encoded,
        view,
        out_of_service,
        last_contact,
        proved,
        absent: BTreeSet::new(),
        known_presence: 0,
        sites,
        known_replicas: 0,
        plan,
        asking: Asking::default(),
        following: None,
        lost_since: None,
        left: Vec::new(),
        known_quarantine: 0,
        replica,
    };
    tokio::spawn(follower.run());
    Followed {
        view: view_rx,
        out_of_service: out_of_service_rx,
        last_contact: last_contact_rx,
        proved: proved_rx,
        replica: replica_rx,
        sites: sites_rx,
    }
}

impl Follower {
    async fn run(mut self) {
        self.learn_seeds();
        loop {
            let now = self.setup.clock.now();
            let steps = self.plan.wake(now);
            self.carry_out(steps);
            let wake = self.plan.next_wake().saturating_duration_since(now);
            tokio::select! {
                (answered, asked) = self.asking.answered() => self.take_answer(answered, &asked),
                () = tokio::time::sleep(wake) => {}
                // Control must learn at once that this entry VM begins or ceases to serve.
                Ok(()) = self.setup.ready.changed() => {
                    let steps = self.plan.poll_now(self.setup.clock.now());
                    self.carry_out(steps);
                }
                Ok(()) = self.setup.seeds.changed() => self.learn_seeds(),
            }
        }
    }

    fn learn_seeds(&mut self) {
        let seeds = self.setup.seeds.borrow_and_update();
        self.plan.learn(&self.sites.borrow(), &seeds);
    }

    fn carry_out(&mut self, steps: Vec<FollowStep>) {
        for step in steps {
            match step {
                FollowStep::Probe(replica) => self.ask(replica, Question::Use),
                FollowStep::Poll(replica) => {
                    self.note_followed(replica);
                    self.ask(replica, Question::News);
                }
                FollowStep::Cancel(replica) => {
                    if self.following == Some(replica) {
                        self.note_left(format!("{replica}: left for another"));
                    }
                    self.asking.leave(replica);
                }
                FollowStep::TimedOut(replica) => {
                    self.asking.leave(replica);
                    self.note_useless(replica, &FollowError::Unresponsive);
                }
            }
        }
    }

    fn ask(&mut self, replica: SocketAddr, question: Question) {
        let request = match question {
            Question::Use => FollowRequest {
                known_replicas: self.known_replicas,
                list_only: true,
                ..FollowRequest::default()
            },
            Question::News => self.request(),
        };
        let now = self.setup.clock.now();
        self.asking
            .ask(&self.setup.channels, replica, question, request, now);
    }

    fn take_answer(&mut self, answered: Answered, asked: &Asked) {
        let Answered { replica, reply, .. } = answered;
        let taken = reply.and_then(|reply| match asked.question {
            Question::Use => self.take_use(&reply),
            Question::News => self.take(replica, asked.at, &reply),
        });
        let answer = match &taken {
            Ok(has_changes) => FollowOutcome::Usable {
                has_changes: *has_changes,
            },
            Err(error) => FollowOutcome::Unusable(error.unusable_reason()),
        };
        let steps = self.plan.answered(self.setup.clock.now(), replica, answer);
        if let Err(error) = &taken {
            self.asking.leave(replica);
            self.note_useless(replica, error);
        }
        self.carry_out(steps);
    }

    /// Takes the answer of a replica that was tried.
    fn take_use(&mut self, reply: &FollowReply) -> Result<bool, FollowError> {
        self.learn(reply)?;
        if !reply.current {
            return Err(FollowError::NotCurrent);
        }
        if let Some(key) = FingerprintKey::from_bytes(&reply.fingerprint_key) {
            self.setup.crashes.set_key(key);
        }
        Ok(false)
    }

    /// Takes over the list of replicas, if one came.
    fn learn(&mut self, reply: &FollowReply) -> Result<(), FollowError> {
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
        let mut has_changes = self.apply_verdicts(reply)?;
        if !reply.update_encoded.is_empty() {
            self.apply(address, reply)?;
            has_changes = true;
        }
        if !reply.absent_encoded.is_empty() {
            self.apply_absent(reply.presence_number, decode(&reply.absent_encoded)?);
            has_changes = true;
        }
        self.setup.dispatch.note_control_contact();
        self.last_contact.send_replace(self.setup.clock.now());
        self.proved
            .send_replace(moved(asked, reply.proved_after_ms));
        Ok(has_changes)
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

    fn note_useless(&mut self, replica: SocketAddr, error: &FollowError) {
        log::debug!(event = "replica_left", replica:% = replica, error:% = error; "a replica is of no use for now");
        metric::control_lost();
        self.note_left(format!("{replica}: {error}"));
        if self.plan.followed().is_some() {
            return;
        }
        self.following = None;
        self.replica.send_replace(None);
        if self.lost_since.is_none() {
            self.lost_since = Some(self.setup.clock.now());
            log::warn!(event = "control_lost", replica:% = replica, error:% = error; "asking other replicas; serving on with what is known");
        }
    }

    fn note_left(&mut self, why: String) {
        if self.left.len() < NAMED_LEFT {
            self.left.push(why);
        }
    }

    /// Notes which replica is followed, if it is another one than before.
    fn note_followed(&mut self, replica: SocketAddr) {
        if self.following == Some(replica) {
            return;
        }
        self.following = Some(replica);
        // The number of the verdicts on presence is that replica's own.
        self.known_presence = 0;
        self.replica.send_replace(self.asking.client(replica));
        let left = std::mem::take(&mut self.left).join("; ");
        let last_contact = *self.last_contact.borrow();
        let silent_ms = whole_ms(
            self.setup
                .clock
                .now()
                .saturating_duration_since(last_contact),
        );
        log::info!(event = "replica_followed", replica:% = replica, silent_ms, left = left.as_str(); "following this control replica from now on");
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

fn decode<T: serde::de::DeserializeOwned>(encoded: &[u8]) -> Result<T, FollowError> {
    postcard::from_bytes(encoded).map_err(|error| FollowError::Update {
        message: error.to_string(),
    })
}
