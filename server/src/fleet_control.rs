//! Operations that a control replica offers to backend servers, operators and callers of direct
//! dispatch, independent of the interface protocol.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::announcement_decision;
use heatherring_lib::announcement_decision::AnnouncementDecision;
use heatherring_lib::announcement_decision::SenderObservation;
use heatherring_lib::clock::Clock;
use heatherring_lib::clock::unix_ms;
use heatherring_lib::control_state::Response;
use heatherring_lib::crash_evidence::REFUSED_NOTE_INTERVAL;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::encoding::EncodingError;
use heatherring_lib::entry_naming::Candidate;
use heatherring_lib::entry_statement::EntryStatement;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::fleet_record::BackendChange;
use heatherring_lib::fleet_record::BackendIncarnation;
use heatherring_lib::fleet_record::BackendRecord;
use heatherring_lib::fleet_record::BackendState;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::fleet_record::RecordProblem;
use heatherring_lib::fleet_state::FleetState;
use heatherring_lib::fleet_state::RouteAnswer;
use heatherring_lib::follow_lag::DEFAULT_IN_FORCE_DELAY;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VersionName;
use heatherring_lib::id::VmName;
use heatherring_lib::order_stamp::OrderStamp;
use heatherring_lib::place_lookup;
use heatherring_lib::quarantine::SuspectNote;
use heatherring_lib::replica_choice;
use heatherring_lib::request_fingerprint::Fingerprint;
use heatherring_lib::rollout::RolloutAnswer;
use heatherring_lib::rollout::RolloutOrder;
use heatherring_lib::rollout::RolloutState;
use heatherring_lib::rollout::plan::RolloutFigures;
use heatherring_lib::route_check;
use heatherring_lib::settings::DirectControlSettings;
use heatherring_lib::team_manifest::FleetChange;
use heatherring_lib::team_manifest::FleetManifest;
use snafu::ResultExt;
use snafu::Snafu;
use tonic::Status;

use crate::announcement_batch::AnnouncementBatch;
use crate::announcement_batch::BatchResult;
use crate::control_work::Work;
use crate::control_work::WorkMeter;
use crate::interface::LookUp;
use crate::interface::LookUpSource;
use crate::leader_relay::answer_within;
use crate::leader_relay::fleet_client;
use crate::leader_relay::is_proved_not_run;
use crate::leader_relay::relayed_order;
use crate::leader_relay::relayed_request;
use crate::metric;
use crate::node_request::LeaderLink;
use crate::node_request::NodeError;
use crate::node_request::NodeHandle;
use crate::presence_task::PresenceHandle;
use crate::proto::ProposeRequest;
use crate::proto::ReadRolloutsRequest;
use crate::proto::ReadRoutesRequest;
use crate::published_state::StateReader;
use crate::rollout_task::RolloutHandle;
use crate::shared_naming::SharedNaming;

/// Timeout of a call to the leader. Clients turn to another replica after about one second.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest difference between two announced ends of a backend server's cold phase that still
/// denote the same cold phase; heartbeats may be late by one second.
const COLD_END_TOLERANCE: Duration = Duration::from_millis(1_200);

/// Error of an operation at one replica; the operation may succeed at another one.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// This replica cannot prove that its state includes everything committed.
    #[snafu(display("this replica cannot prove that it is current"))]
    NotCurrent,
    /// Raft refused the request, or its outcome is unknown.
    #[snafu(display("{source}"))]
    Node {
        /// Cause of the failure.
        source: NodeError,
    },
    /// The call to the leader failed or timed out.
    #[snafu(display("call to the leader failed: {}", source.message()))]
    Leader {
        /// Status with which the call ended.
        source: Box<Status>,
    },
    /// A value cannot be encoded or decoded.
    #[snafu(display("{source}"))]
    Encoding {
        /// Cause of the failure.
        source: EncodingError,
    },
    /// A call to the leader cannot be encoded, or its answer cannot be decoded.
    #[snafu(display("a call to the leader cannot be encoded or its answer cannot be decoded"))]
    Answer {
        /// Cause of the failure.
        source: postcard::Error,
    },
    /// The announced record describes no usable backend server.
    #[snafu(display("{source}"))]
    Announcement {
        /// Reason for which the record was refused.
        source: RecordProblem,
    },
    /// The backend server announces that it is draining, but a later announcement of it states the
    /// contrary.
    #[snafu(display("a later announcement states that the backend server is ready"))]
    Overtaken,
    /// The response is of another kind than the command calls for.
    #[snafu(display("the response is of another kind than the command calls for"))]
    UnexpectedResponse,
}

impl FleetError {
    /// Returns whether it is proved that an order that failed with this error changes nothing, now
    /// or later. Otherwise its outcome is unknown.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::NotCurrent | Self::Announcement { .. } | Self::Overtaken => true,
            Self::Node { source } => source.is_proved_absent(),
            Self::Leader { source } => is_proved_not_run(source),
            Self::Encoding { .. } | Self::Answer { .. } | Self::UnexpectedResponse => false,
        }
    }
}

/// Heartbeat by which a backend server describes itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Name of the backend server; the record's `born` distinguishes its incarnations.
    pub backend: BackendName,
    /// Address, state and load properties that it announces.
    pub record: BackendRecord,
}

/// Direct-dispatch operations of one control replica; clones share their state.
#[derive(Clone, Debug)]
pub struct FleetControl {
    inner: Arc<Inner>,
}

/// The latest rollouts, with the figures on which the leader judges them.
#[derive(Clone, Debug, Default)]
pub struct LatestRollouts {
    /// The replicated state.
    pub state: RolloutState,
    /// Figures by service.
    pub figures: BTreeMap<ServiceName, RolloutFigures>,
}

#[derive(Debug)]
struct Inner {
    clock: Arc<dyn Clock>,
    settings: Option<DirectControlSettings>,
    published: StateReader,
    node: NodeHandle,
    presence: PresenceHandle,
    rollouts: RolloutHandle,
    work: WorkMeter,
    announcements: AnnouncementBatch,
    naming: SharedNaming,
    /// End of the cold phase of each backend server that announced one.
    cold_until: Mutex<HashMap<BackendName, Instant>>,
    /// Entry VMs whose enrolment is under way.
    enrolling: Mutex<HashSet<VmName>>,
    /// Time of the last note that was forwarded for commit about a quarantined request that still
    /// arrives.
    refused_at: Mutex<HashMap<Fingerprint, Instant>>,
}

impl FleetControl {
    /// Creates the operations of a replica, and starts the task that commits announcements in
    /// batches.
    #[must_use]
    pub fn new(
        clock: Arc<dyn Clock>,
        settings: Option<DirectControlSettings>,
        published: StateReader,
        node: NodeHandle,
        presence: PresenceHandle,
        rollouts: RolloutHandle,
        work: WorkMeter,
    ) -> Self {
        let announcements = AnnouncementBatch::spawn({
            let path = CommitPath {
                clock: Arc::clone(&clock),
                published: published.clone(),
                node: node.clone(),
            };
            move |changes| commit_announcements(path.clone(), changes)
        });
        let naming = SharedNaming::new(look_up_ttl(settings.as_ref()));
        let inner = Inner {
            naming,
            clock,
            settings,
            published,
            node,
            presence,
            rollouts,
            work,
            announcements,
            cold_until: Mutex::default(),
            enrolling: Mutex::default(),
            refused_at: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns a reader of the replica's applied state.
    #[must_use]
    pub fn published(&self) -> &StateReader {
        &self.inner.published
    }

    /// Returns the record of recent heartbeats.
    #[must_use]
    pub fn presence(&self) -> &PresenceHandle {
        &self.inner.presence
    }

    /// Returns the meter of this replica's work.
    #[must_use]
    pub fn work(&self) -> &WorkMeter {
        &self.inner.work
    }

    /// Returns the task that conducts rollouts.
    #[must_use]
    pub fn rollouts(&self) -> &RolloutHandle {
        &self.inner.rollouts
    }

    /// Returns whether the replica has recently proved to be current.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.inner.published.is_current(self.inner.clock.now())
    }

    /// Commits a command, here or at the leader.
    ///
    /// # Errors
    ///
    /// Fails at once if this replica is not current, and later if no leader answers. The command may
    /// still be committed unless the error [proves the contrary](FleetError::is_not_run).
    pub async fn commit(&self, command: FleetCommand) -> Result<Response, FleetError> {
        let inner = &self.inner;
        commit(&*inner.clock, &inner.published, &inner.node, command).await
    }

    /// Commits a change of the manifest, and returns whether it was accepted.
    ///
    /// # Errors
    ///
    /// Fails if the change is not run, or if its outcome is unknown; the same one may be sent again.
    pub async fn change_manifest(&self, change: FleetChange) -> Result<RouteAnswer, FleetError> {
        let version = change.routes.version;
        let base = change.routes.base;
        let result = match route_check::check_content(&change.routes.content) {
            Ok(()) => self.commit_change(change).await,
            Err(problem) => Ok(RouteAnswer::Invalid(problem)),
        };
        metric::order("routes", route_result(&result));
        match &result {
            Ok(answer) => {
                log::info!(event = "routes_change", version = version.0, base = base.0, answer:? = answer; "change of the route manifest decided");
                if *answer == RouteAnswer::Accepted {
                    self.warn_about_missing_common_home();
                }
            }
            Err(error) if error.is_not_run() => {
                log::warn!(event = "routes_change_refused", version = version.0, base = base.0, error:% = error; "a change of the route manifest was refused and is not run");
            }
            Err(error) => {
                log::warn!(event = "routes_change_open", version = version.0, base = base.0, error:% = error; "outcome of a change of the route manifest is unknown");
            }
        }
        result
    }

    async fn commit_change(&self, change: FleetChange) -> Result<RouteAnswer, FleetError> {
        match self.commit(FleetCommand::from(change)).await? {
            Response::Routes(answer) => Ok(answer),
            _ => UnexpectedResponseSnafu.fail(),
        }
    }

    /// Logs teams whose requests are refused on some routes because team and route have no home
    /// region in common.
    fn warn_about_missing_common_home(&self) {
        let fleet = self.inner.published.read().fleet;
        let Some(teams) = fleet.teams() else {
            return;
        };
        let mut without_home = teams.without_common_home(fleet.manifest());
        if let Some((team, route)) = without_home.next() {
            let others = without_home.count();
            log::warn!(event = "no_common_home", team = team.as_str(), route = route.as_str(), others; "team and route have no home region in common; the team's requests on this route are refused");
        }
    }

    /// Reads the manifest in force.
    ///
    /// # Errors
    ///
    /// Fails if neither this replica nor the leader can prove to be current.
    pub async fn manifest(&self) -> Result<FleetManifest, FleetError> {
        let read = self.inner.node.read(|state| Arc::clone(state.fleet()));
        match read.await {
            Ok(fleet) => Ok(fleet.whole_manifest()),
            Err(source) => match source.leader() {
                Some(leader) => manifest_at_leader(leader).await,
                None => Err(FleetError::Node { source }),
            },
        }
    }

    /// Reads the manifest from this replica, which must be the leader.
    ///
    /// # Errors
    ///
    /// Fails if this replica cannot prove that it leads.
    pub async fn own_manifest(&self) -> Result<FleetManifest, FleetError> {
        let read = self.inner.node.read(|state| Arc::clone(state.fleet()));
        let fleet = read.await.context(NodeSnafu)?;
        Ok(fleet.whole_manifest())
    }

    /// Starts a rollout of a service to another version.
    ///
    /// # Errors
    ///
    /// Fails if the order is not run, or if its outcome is unknown; the same one may be sent again.
    pub async fn order_rollout(
        &self,
        service: ServiceName,
        target: VersionName,
        duration: Duration,
    ) -> Result<RolloutAnswer, FleetError> {
        let (name, version) = (service.as_str().to_owned(), target.as_str().to_owned());
        let order = RolloutOrder {
            service,
            target,
            duration,
            ordered_ms: unix_ms(self.inner.clock.wall()),
        };
        let result = match self.commit(FleetCommand::OrderRollout(order)).await {
            Ok(Response::Rollout(answer)) => Ok(answer),
            Ok(_) => UnexpectedResponseSnafu.fail(),
            Err(error) => Err(error),
        };
        match &result {
            Ok(answer) => {
                log::info!(event = "rollout_order", service = name.as_str(), target = version.as_str(), duration_ms = whole_ms(duration), answer:? = answer; "order to start a rollout decided");
            }
            Err(error) if error.is_not_run() => {
                log::warn!(event = "rollout_order_refused", service = name.as_str(), target = version.as_str(), error:% = error; "an order to start a rollout was refused and is not run");
            }
            Err(error) => {
                log::warn!(event = "rollout_order_open", service = name.as_str(), target = version.as_str(), error:% = error; "outcome of an order to start a rollout is unknown");
            }
        }
        result
    }

    /// Reads the latest rollouts.
    ///
    /// # Errors
    ///
    /// Fails if neither this replica nor the leader can prove to be current.
    pub async fn latest_rollouts(&self) -> Result<LatestRollouts, FleetError> {
        match self.own_rollouts().await {
            Err(FleetError::Node { source }) => match source.leader() {
                Some(leader) => rollouts_at_leader(leader).await,
                None => Err(FleetError::Node { source }),
            },
            own => own,
        }
    }

    /// Reads the latest rollouts from this replica, which must be the leader.
    ///
    /// # Errors
    ///
    /// Fails if this replica cannot prove that it leads.
    pub async fn own_rollouts(&self) -> Result<LatestRollouts, FleetError> {
        let read = self.inner.node.read(|state| Arc::clone(state.fleet()));
        let fleet = read.await.context(NodeSnafu)?;
        Ok(LatestRollouts {
            state: RolloutState::clone(fleet.rollouts()),
            figures: self.inner.rollouts.figures(),
        })
    }

    /// Evacuates a place, or ends its evacuation.
    ///
    /// # Errors
    ///
    /// Fails if the call is not run, or if its outcome is unknown; the same one may be repeated.
    pub async fn set_evacuated(&self, place: PlaceName, evacuated: bool) -> Result<(), FleetError> {
        let name = place.as_str().to_owned();
        let command = FleetCommand::SetEvacuated { place, evacuated };
        let result = self.commit(command).await.map(|_| ());
        metric::order("evacuation", commit_result(&result));
        match &result {
            Ok(()) => {
                log::info!(event = "evacuation", place = name.as_str(), evacuated; "evacuation of a place set or ended");
            }
            Err(error) if error.is_not_run() => {
                log::warn!(event = "evacuation_refused", place = name.as_str(), evacuated, error:% = error; "a change of a place's evacuation was refused and is not run");
            }
            Err(error) => {
                log::warn!(event = "evacuation_open", place = name.as_str(), evacuated, error:% = error; "outcome of a change of a place's evacuation is unknown");
            }
        }
        result
    }

    /// Handles an announcement.
    ///
    /// An announcement that the backend server is draining is confirmed only once it is committed:
    /// from then on every entry VM must learn of it within a bounded time. Any other is confirmed
    /// at once; if this replica fails before it is committed, the next heartbeat repeats it.
    ///
    /// # Errors
    ///
    /// Fails if this replica is not current, if the record is unusable, or if a drain is overtaken or
    /// not known to be committed; the backend server then turns to another replica.
    pub async fn announce(&self, announcement: Announcement) -> Result<(), FleetError> {
        let published = self.inner.published.read();
        let began = self.inner.clock.now();
        if !published.is_current(began) {
            return NotCurrentSnafu.fail();
        }
        self.check(&announcement)?;
        let fleet = published.fleet;
        let Announcement { backend, record } = &announcement;
        if announcement_decision::has_ended(&fleet, backend, record) {
            log::info!(event = "announcement_late", backend = backend.as_str(), born = record.born; "ignored an announcement from an earlier incarnation of a backend server");
            return Ok(());
        }
        self.inner
            .presence
            .record_backend_heartbeat(announcement.backend.clone());
        let draining = announcement.record.state == BackendState::Draining;
        let decision = self.decide(&fleet, &announcement).await;
        self.inner.work.add_since(Work::Announcements, began);
        let change = match decision {
            AnnouncementDecision::Commit(change) => change,
            AnnouncementDecision::Unchanged => return Ok(()),
            AnnouncementDecision::Overtaken => return OvertakenSnafu.fail(),
        };
        log::info!(event = "backend_changed", backend = change.backend.as_str(), service = change.record.service.as_str(), address:% = change.record.address, state:? = change.record.state, sequence = change.record.sequence; "a backend server announced a change");
        if draining {
            let result = self.commit_drain(change).await;
            metric::order("leaving", commit_result(&result));
            return result;
        }
        self.inner.announcements.add(change);
        Ok(())
    }

    async fn commit_drain(&self, change: BackendChange) -> Result<(), FleetError> {
        match self.commit(announcing(vec![change])).await? {
            Response::Overtaken => OvertakenSnafu.fail(),
            _ => Ok(()),
        }
    }

    fn check(&self, announcement: &Announcement) -> Result<(), FleetError> {
        let Announcement { backend, record } = announcement;
        let is_place = |place: &PlaceName| {
            let settings = self.inner.settings.as_ref();
            settings.is_none_or(|settings| settings.places.contains_key(place))
        };
        record.check(backend, is_place).map_err(|source| {
            metric::announcement_refused();
            log::warn!(event = "announcement_refused", error:% = source; "refused an announcement that describes no usable backend server");
            FleetError::Announcement { source }
        })
    }

    async fn decide(
        &self,
        fleet: &FleetState,
        announcement: &Announcement,
    ) -> AnnouncementDecision {
        let Announcement { backend, record } = announcement;
        let new_cold_phase = self.record_cold_phase(backend, record.cold_for);
        let successor = announcement_decision::successor_at_address(fleet, backend, record);
        let may_reclaim = match successor {
            Some(successor) => self.may_reclaim_from(successor).await,
            None => true,
        };
        let observed = SenderObservation {
            may_reclaim,
            new_cold_phase,
        };
        announcement_decision::decide(fleet, backend, record, observed)
    }

    /// Records the announced end of a cold phase; returns whether the phase is a new one.
    fn record_cold_phase(&self, backend: &BackendName, cold_for: Duration) -> bool {
        let mut cold_until = self
            .inner
            .cold_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if cold_for.is_zero() {
            return false;
        }
        let now = self.inner.clock.now();
        cold_until.retain(|_, until| *until + COLD_END_TOLERANCE > now);
        let until = now + cold_for;
        let before = cold_until.insert(backend.clone(), until);
        before.is_none_or(|before| until > before + COLD_END_TOLERANCE)
    }

    /// Returns whether the holder of an address has sent no heartbeat within two intervals. A late
    /// announcement of a process that has ended must not displace the running one.
    async fn may_reclaim_from(&self, holder: &BackendName) -> bool {
        let settings = self.inner.settings.as_ref();
        let timing = settings.map(DirectControlSettings::heartbeat_timing);
        let reclaim_after = timing.unwrap_or_default().reclaim();
        self.inner.presence.silence(holder.clone()).await >= reclaim_after
    }

    /// Removes a backend server that announced its end: the incarnation `born`, or the one that is
    /// committed if `born` is `None`.
    ///
    /// # Errors
    ///
    /// Fails if the removal is not known to be committed.
    pub async fn withdraw(
        &self,
        backend: BackendName,
        born: Option<u64>,
    ) -> Result<(), FleetError> {
        let fleet = self.inner.published.read().fleet;
        // Without a record, every incarnation up to now is withdrawn: an announcement of it may
        // not be committed yet.
        let mut ended = born
            .or_else(|| fleet.backend(&backend).map(|known| known.born))
            .unwrap_or_else(|| unix_ms(self.inner.clock.wall()));
        loop {
            log::info!(event = "backend_withdrawn", backend = backend.as_str(), born = ended; "backend server announced its end");
            let incarnation = BackendIncarnation {
                backend: backend.clone(),
                born: ended,
            };
            match self.commit(FleetCommand::Withdraw(incarnation)).await? {
                // The known one was ended already.
                Response::StartedAgain(later) if born.is_none() => ended = later,
                _ => return Ok(()),
            }
        }
    }

    /// Commits observations of the entry VM `vm` on requests suspected of crashing backend servers.
    ///
    /// # Errors
    ///
    /// Fails if the notes are not known to be committed; they may be sent again.
    pub async fn note_suspects(
        &self,
        vm: &str,
        mut notes: Vec<SuspectNote>,
    ) -> Result<(), FleetError> {
        notes.retain(|note| self.is_worth_committing(note));
        if notes.is_empty() {
            return Ok(());
        }
        log::info!(event = "suspects_noted", vm, notes = notes.len(); "entry VM reported requests suspected of crashing backend servers");
        let command = FleetCommand::NoteSuspects(notes);
        self.commit(command).await.map(|_| ())
    }

    /// Returns whether a note is worth a commit. Hundreds of entry VMs may report that the same
    /// quarantined request still arrives.
    fn is_worth_committing(&self, note: &SuspectNote) -> bool {
        let SuspectNote::Refused(request) = note else {
            return true;
        };
        let now = self.inner.clock.now();
        let refused_at = &self.inner.refused_at;
        let mut refused_at = refused_at.lock().unwrap_or_else(PoisonError::into_inner);
        refused_at.retain(|_, at| now.saturating_duration_since(*at) < REFUSED_NOTE_INTERVAL);
        let is_worth_committing = !refused_at.contains_key(request);
        if is_worth_committing {
            refused_at.insert(*request, now);
        }
        is_worth_committing
    }

    /// Returns the address of the nearest replica, to which a backend server in `place` should send
    /// its next announcements; `None` without settings for direct dispatch or a suitable replica.
    /// Without this hint, heartbeats go to the few replicas in the backend servers' settings: with
    /// three regions, two thirds of them would cross regions.
    #[must_use]
    pub fn nearest_announcement_address(
        &self,
        backend: &BackendName,
        place: &PlaceName,
    ) -> Option<SocketAddr> {
        let regions = &self.inner.settings.as_ref()?.places;
        let replicas = self.inner.presence.view().replicas;
        let reporting = replicas.iter().filter(|known| known.reports);
        let known_endpoints = reporting.map(|known| &known.endpoints);
        replica_choice::nearest_announcement_address(regions, place, backend, known_endpoints)
    }

    /// Returns the time within which a confirmed manifest is to be in force at every entry VM.
    #[must_use]
    pub fn in_force_within(&self) -> Duration {
        let settings = self.inner.settings.as_ref();
        settings.map_or(DEFAULT_IN_FORCE_DELAY, |settings| {
            settings.in_force_within.0
        })
    }

    fn look_up_ttl(&self) -> Duration {
        look_up_ttl(self.inner.settings.as_ref())
    }

    /// Records a heartbeat of an entry VM, and commits its record if that is new or has changed.
    pub fn record_entry_heartbeat(
        &self,
        vm: &VmName,
        record: EntryRecord,
        statement: EntryStatement,
    ) {
        self.inner
            .presence
            .record_entry_heartbeat(vm.clone(), statement);
        if self.inner.published.read().fleet.entry(vm) == Some(&record) {
            return;
        }
        // The heartbeats that follow find this enrolment under way, however long it takes.
        if !self.enrolling().insert(vm.clone()) {
            return;
        }
        let vm = vm.clone();
        let control = self.clone();
        tokio::spawn(async move {
            let command = FleetCommand::EnrollEntry {
                vm: vm.clone(),
                record,
            };
            if let Err(error) = control.commit(command).await {
                log::debug!(event = "enrolment_open", error:% = error; "enrolment of an entry VM is not known to be committed; the next heartbeat repeats it");
            }
            control.enrolling().remove(&vm);
        });
    }

    fn enrolling(&self) -> MutexGuard<'_, HashSet<VmName>> {
        let enrolling = &self.inner.enrolling;
        enrolling.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LookUpSource for FleetControl {
    fn look_up(&self, host: &str, region: &RegionName) -> Option<LookUp> {
        let fleet = self.inner.published.read().fleet;
        let presence = self.inner.presence.view();
        let routes = fleet.manifest().routes.values();
        let homes = place_lookup::homes(routes.map(|route| &**route), host);
        let headroom = presence.headroom();
        let entries = fleet.entries().filter(|(vm, _)| presence.is_live(vm));
        let live = entries.map(|(vm, entry)| Candidate {
            entry,
            headroom: headroom.get(vm).copied(),
        });
        let now = self.inner.clock.now();
        let addresses = self.inner.naming.name(now, live, region, homes);
        (!addresses.is_empty()).then(|| LookUp {
            addresses,
            keep: self.look_up_ttl(),
        })
    }
}

fn look_up_ttl(settings: Option<&DirectControlSettings>) -> Duration {
    Duration::from_millis(settings.map_or(0, |settings| settings.look_up_ms).into())
}

/// Returns the metric label for the result of a change of routes.
fn route_result(result: &Result<RouteAnswer, FleetError>) -> &'static str {
    match result {
        Ok(RouteAnswer::Accepted) => "accepted",
        Ok(RouteAnswer::Conflict { .. }) => "conflict",
        Ok(RouteAnswer::Invalid(_)) => "invalid",
        Err(error) => failure_result(error),
    }
}

/// Returns the metric label for the result of any other call that commits a command.
fn commit_result(result: &Result<(), FleetError>) -> &'static str {
    match result {
        Ok(()) => "accepted",
        Err(error) => failure_result(error),
    }
}

fn failure_result(error: &FleetError) -> &'static str {
    if error.is_not_run() {
        "not_run"
    } else {
        "open"
    }
}

/// What a commit needs of a replica.
#[derive(Clone)]
struct CommitPath {
    clock: Arc<dyn Clock>,
    published: StateReader,
    node: NodeHandle,
}

async fn commit(
    clock: &dyn Clock,
    published: &StateReader,
    node: &NodeHandle,
    command: FleetCommand,
) -> Result<Response, FleetError> {
    // Without a majority, a leader would keep the command until its outcome is unknown, and any
    // other replica would pass it on to a leader that may be gone.
    if !published.is_current(clock.now()) {
        return NotCurrentSnafu.fail();
    }
    // A stamp that becomes known while the replica is asked may be younger than the order.
    let stamp = published.order_stamp();
    match node.propose_fleet(command.clone()).await {
        Ok(committed) => Ok(committed.response),
        Err(source) => match source.leader() {
            Some(leader) if source.is_proved_absent() => {
                commit_at_leader(leader, &command, stamp).await
            }
            _ => Err(FleetError::Node { source }),
        },
    }
}

async fn commit_announcements(path: CommitPath, changes: Vec<BackendChange>) -> BatchResult {
    let CommitPath {
        clock,
        published,
        node,
    } = path;
    let count = changes.len();
    match commit(&*clock, &published, &node, announcing(changes)).await {
        Ok(_) => BatchResult::Committed,
        Err(error) => {
            log::warn!(event = "announcements_open", count, error:% = error; "announcements are not known to be committed; proposing them again");
            BatchResult::Open
        }
    }
}

fn announcing(changes: Vec<BackendChange>) -> FleetCommand {
    FleetCommand::AnnounceVersions(changes.into_iter().map(Into::into).collect())
}

async fn commit_at_leader(
    leader: &LeaderLink,
    command: &FleetCommand,
    stamp: Option<OrderStamp>,
) -> Result<Response, FleetError> {
    let command_encoded = postcard::to_stdvec(command).context(AnswerSnafu)?;
    let message = ProposeRequest { command_encoded };
    let request = match stamp {
        // A manifest may be large, and may take longer than orders are given.
        _ if command.is_numbered() => relayed_request(message, LEADER_TIMEOUT),
        Some(stamp) => relayed_order(message, LEADER_TIMEOUT, stamp),
        None => return NotCurrentSnafu.fail(),
    };
    let mut client = fleet_client(leader);
    let call = answer_within(LEADER_TIMEOUT, client.propose(request)).await;
    let reply = call.map_err(Box::new).context(LeaderSnafu)?.into_inner();
    postcard::from_bytes(&reply.response_encoded).context(AnswerSnafu)
}

async fn rollouts_at_leader(leader: &LeaderLink) -> Result<LatestRollouts, FleetError> {
    let request = relayed_request(ReadRolloutsRequest {}, LEADER_TIMEOUT);
    let mut client = fleet_client(leader);
    let call = answer_within(LEADER_TIMEOUT, client.read_rollouts(request)).await;
    let reply = call.map_err(Box::new).context(LeaderSnafu)?.into_inner();
    Ok(LatestRollouts {
        state: postcard::from_bytes(&reply.rollouts_encoded).context(AnswerSnafu)?,
        figures: postcard::from_bytes(&reply.figures_encoded).context(AnswerSnafu)?,
    })
}

async fn manifest_at_leader(leader: &LeaderLink) -> Result<FleetManifest, FleetError> {
    let request = relayed_request(ReadRoutesRequest {}, LEADER_TIMEOUT);
    let mut client = fleet_client(leader);
    let call = answer_within(LEADER_TIMEOUT, client.read_routes(request)).await;
    let reply = call.map_err(Box::new).context(LeaderSnafu)?.into_inner();
    postcard::from_bytes(&reply.manifest_encoded).context(AnswerSnafu)
}
