//! Replicated state machine of the control replicas.
//!
//! The state is a deterministic function of the log, so replicas that have applied the same
//! positions hold equal states.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::audit::AuditEvent;
use crate::audit::AuditTrail;
use crate::command::Command;
use crate::command::CommandKind;
use crate::command::MembershipRequest;
use crate::command::Submission;
use crate::encoding;
use crate::encoding::EncodingError;
use crate::fleet_command::FleetAnswer;
use crate::fleet_command::FleetCommand;
use crate::fleet_state::FleetState;
use crate::fleet_state::RolloutSection;
use crate::fleet_state::RouteAnswer;
use crate::id::Revision;
use crate::id::SessionId;
use crate::id::VmName;
use crate::manifest_delta::DeltaError;
use crate::manifest_delta::ManifestDelta;
use crate::manifest_delta::encode_manifest;
use crate::quarantine::Quarantine;
use crate::quarantine::Verdict;
use crate::raft_message::Membership;
use crate::request_fingerprint::Fingerprint;
use crate::rollout::RolloutAnswer;
use crate::rollout::RolloutState;
use crate::submission_history::SubmissionAnswer;
use crate::submission_history::SubmissionHistory;
use crate::team_state::TeamState;
use crate::view::ControlView;
use crate::view::EntryInfo;
use crate::view::EntrySession;
use crate::view::ManifestChange;
use crate::view::ManifestInForce;
use crate::view::ViewChange;
use crate::view::ViewChangeKind;
use crate::view_log::ViewLog;

/// Format version of encoded snapshots.
const SNAPSHOT_FORMAT: u8 = 7;

/// Previous snapshot format, which contains neither rollouts nor versions of backend servers.
const SNAPSHOT_WITHOUT_ROLLOUTS: u8 = 6;

/// Snapshot format before that, which contains no teams either.
const SNAPSHOT_WITHOUT_TEAMS: u8 = 5;

/// Snapshot format before that, which contains no suspected requests either.
const SNAPSHOT_WITHOUT_SUSPECTS: u8 = 4;

/// Name recorded in the audit trail for operators who give no name.
const ANONYMOUS_OPERATOR: &str = "operator";

/// Name recorded in the audit trail for actions of the control replicas themselves.
const CONTROL: &str = "control";

/// Reason why a log position could not be applied, or a snapshot not encoded or decoded.
///
/// A replica that fails to apply a position must stop, because its state and the log do not
/// match.
#[derive(Debug, Snafu)]
pub enum ControlStateError {
    /// The position is not the successor of the last one applied.
    #[snafu(display("log position {found} is out of order; expected {expected}"))]
    OutOfOrder {
        /// Position that must be applied next.
        expected: Revision,
        /// Position that was given.
        found: Revision,
    },
    /// An accepted manifest could not be encoded to compute its delta.
    #[snafu(display("the manifest at log position {index} cannot be encoded"))]
    Manifest {
        /// Log position of the submission.
        index: Revision,
        /// Underlying encoding error.
        source: DeltaError,
    },
    /// A snapshot could not be encoded or decoded.
    #[snafu(display("the snapshot cannot be encoded or decoded"))]
    Snapshot {
        /// Underlying encoding error.
        source: EncodingError,
    },
}

/// Response to the proposer of a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Response {
    /// Result of submitting a manifest.
    Submission(SubmissionAnswer),
    /// The session was opened under this identifier.
    SessionOpened(SessionId),
    /// The command has taken effect, now or earlier.
    Done,
    /// No session with that identifier is open.
    UnknownSession,
    /// Result of changing the route manifest.
    Routes(RouteAnswer),
    /// Result of an order to start a rollout.
    Rollout(RolloutAnswer),
    /// A draining announcement was passed over; see [`FleetAnswer::Overtaken`].
    Overtaken,
    /// A withdrawn backend server has started again; see [`FleetAnswer::StartedAgain`].
    StartedAgain(u64),
}

impl From<Option<FleetAnswer>> for Response {
    fn from(answer: Option<FleetAnswer>) -> Self {
        match answer {
            None => Self::Done,
            Some(FleetAnswer::Routes(answer)) => Self::Routes(answer),
            Some(FleetAnswer::Rollout(answer)) => Self::Rollout(answer),
            Some(FleetAnswer::Overtaken) => Self::Overtaken,
            Some(FleetAnswer::StartedAgain(born)) => Self::StartedAgain(born),
        }
    }
}

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Response to the proposer of the command.
    pub response: Response,
    /// Changes of the view that entry VMs follow: at most one.
    pub view_changes: Vec<ViewChange>,
}

/// Update that takes an entry VM from the revision that it has applied to the latest one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ViewUpdate {
    /// Changes to apply in order; empty if the entry VM is up to date.
    Changes(Vec<ViewChange>),
    /// Complete view that replaces the entry VM's own.
    Whole(ControlView),
    /// The replica is behind the entry VM. It must reply that it is not current, because
    /// serving its view would revert the entry VM to an older manifest.
    ReplicaBehind,
}

/// Replicated state of the control replicas as of one log position.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ControlState {
    /// Last log position applied.
    revision: Revision,
    /// View that entry VMs follow; its revision is that of the last change to the view.
    view: ControlView,
    view_log: ViewLog,
    history: SubmissionHistory,
    audit: AuditTrail,
    /// Wall-clock time of the last command, in milliseconds since the Unix epoch.
    wall_ms: u64,
    /// State of direct dispatch. Behind an `Arc`, so that readers can keep a copy while later
    /// commands are applied.
    fleet: Arc<FleetState>,
}

impl ControlState {
    /// Applies the command at log position `index`.
    ///
    /// # Errors
    ///
    /// Returns an error if `index` is not the next position or the command cannot be
    /// applied; the replica must then stop.
    pub fn apply(
        &mut self,
        index: Revision,
        command: &Command,
    ) -> Result<Applied, ControlStateError> {
        self.advance(index)?;
        self.wall_ms = command.wall_ms;
        match &command.kind {
            CommandKind::SubmitManifest(submission) => self.submit(submission),
            CommandKind::OpenSession(info) => Ok(self.open_session(info)),
            CommandKind::MarkLeaving(session) => Ok(self.mark_leaving(*session)),
            CommandKind::LapseSession(session) => Ok(self.lapse_session(*session)),
            CommandKind::CloseSession(session) => Ok(self.close_session(*session)),
            CommandKind::RequestMembership(request) => Ok(self.request_membership(request)),
            CommandKind::Fleet(command) => Ok(self.change_fleet(command)),
        }
    }

    /// Applies a log position that contains no command.
    ///
    /// # Errors
    ///
    /// Returns an error if `index` is not the next position.
    pub fn apply_noop(&mut self, index: Revision) -> Result<(), ControlStateError> {
        self.advance(index)
    }

    /// Applies a log position that changes the set of replicas.
    ///
    /// # Errors
    ///
    /// Returns an error if `index` is not the next position.
    pub fn apply_membership(
        &mut self,
        index: Revision,
        membership: &Membership,
    ) -> Result<(), ControlStateError> {
        self.advance(index)?;
        self.record(
            CONTROL,
            AuditEvent::MembershipChanged {
                voters: membership.voters.keys().copied().collect(),
                learners: membership.learners.keys().copied().collect(),
            },
        );
        Ok(())
    }

    fn advance(&mut self, index: Revision) -> Result<(), ControlStateError> {
        let expected = self.revision.next();
        ensure!(
            index == expected,
            OutOfOrderSnafu {
                expected,
                found: index
            }
        );
        self.revision = index;
        Ok(())
    }

    fn submit(&mut self, submission: &Submission) -> Result<Applied, ControlStateError> {
        let version = submission.version();
        let digest = submission.digest;
        let known = self.history.answer(version, digest);
        match known {
            None => self.accept(submission),
            // A resend changes nothing and is not audited: a pipeline that resends
            // repeatedly must not evict all other records from the audit trail.
            Some(answer @ SubmissionAnswer::Accepted { .. }) => Ok(answered(answer)),
            Some(answer @ SubmissionAnswer::VersionConflict { winner }) => {
                let event = AuditEvent::ManifestConflict {
                    version,
                    digest,
                    winner,
                };
                self.record(&submission.operator, event);
                Ok(answered(answer))
            }
            Some(answer @ SubmissionAnswer::StaleVersion { current }) => {
                let event = AuditEvent::ManifestStale {
                    version,
                    digest,
                    current,
                };
                self.record(&submission.operator, event);
                Ok(answered(answer))
            }
        }
    }

    fn accept(&mut self, submission: &Submission) -> Result<Applied, ControlStateError> {
        let revision = self.revision;
        let digest = submission.digest;
        let in_force = Arc::new(ManifestInForce {
            revision,
            digest,
            manifest: submission.manifest.clone(),
        });
        let change = manifest_change(self.view.manifest.as_deref(), &in_force)
            .context(ManifestSnafu { index: revision })?;
        self.view.manifest = Some(in_force);
        self.history.accept(revision, self.wall_ms, submission);
        let event = AuditEvent::ManifestAccepted {
            version: submission.version(),
            digest,
        };
        self.record(&submission.operator, event);
        let response = Response::Submission(SubmissionAnswer::Accepted { revision });
        Ok(self.changed(response, ViewChangeKind::Manifest(change)))
    }

    fn open_session(&mut self, info: &EntryInfo) -> Applied {
        let id = SessionId(self.revision.0);
        let session = EntrySession {
            id,
            info: info.clone(),
            leaving: false,
        };
        self.view.sessions.insert(id, session.clone());
        self.record_session(&session, |session, vm| AuditEvent::SessionOpened {
            session,
            vm,
        });
        self.changed(
            Response::SessionOpened(id),
            ViewChangeKind::SessionOpened(session),
        )
    }

    fn mark_leaving(&mut self, id: SessionId) -> Applied {
        let Some(session) = self.view.sessions.get_mut(&id) else {
            return unchanged(Response::UnknownSession);
        };
        if session.leaving {
            return unchanged(Response::Done);
        }
        session.leaving = true;
        let session = session.clone();
        self.record_session(&session, |session, vm| AuditEvent::SessionLeaving {
            session,
            vm,
        });
        self.changed(Response::Done, ViewChangeKind::SessionLeaving(id))
    }

    fn lapse_session(&mut self, id: SessionId) -> Applied {
        let Some(session) = self.view.sessions.remove(&id) else {
            return unchanged(Response::UnknownSession);
        };
        let event = AuditEvent::SessionLapsed {
            session: id,
            vm: session.info.vm,
        };
        self.record(CONTROL, event);
        self.changed(Response::Done, ViewChangeKind::SessionLapsed(id))
    }

    fn close_session(&mut self, id: SessionId) -> Applied {
        let Some(session) = self.view.sessions.remove(&id) else {
            return unchanged(Response::UnknownSession);
        };
        self.record_session(&session, |session, vm| AuditEvent::SessionClosed {
            session,
            vm,
        });
        self.changed(Response::Done, ViewChangeKind::SessionClosed(id))
    }

    fn request_membership(&mut self, request: &MembershipRequest) -> Applied {
        let event = AuditEvent::MembershipRequested(request.change.clone());
        self.record(&request.operator, event);
        unchanged(Response::Done)
    }

    fn change_fleet(&mut self, command: &FleetCommand) -> Applied {
        let quarantine = Arc::clone(self.fleet.quarantine());
        let rollouts = Arc::clone(self.fleet.rollouts());
        let answer = command.apply(self.revision, Arc::make_mut(&mut self.fleet));
        self.record_quarantine(command, &quarantine);
        self.record_rollout(command, &rollouts);
        if let Some(event) = fleet_event(command, answer.as_ref()) {
            self.record(ANONYMOUS_OPERATOR, event);
        }
        unchanged(answer.into())
    }

    /// Records the beginning of a rollout and its end.
    fn record_rollout(&mut self, command: &FleetCommand, before: &RolloutState) {
        let (who, service) = match command {
            FleetCommand::OrderRollout(order) => (ANONYMOUS_OPERATOR, &order.service),
            FleetCommand::StepRollout(step) => (CONTROL, &step.service),
            _ => return,
        };
        let after = self.fleet.rollouts().get(service);
        let Some(rollout) = after.filter(|after| before.get(service) != Some(after)) else {
            return;
        };
        let event = AuditEvent::Rollout {
            service: service.clone(),
            target: rollout.order.target.clone(),
            phase: rollout.phase.clone(),
        };
        self.record(who, event);
    }

    /// Records which requests a command quarantined or released from quarantine.
    fn record_quarantine(&mut self, command: &FleetCommand, before: &Quarantine) {
        let after = Arc::clone(self.fleet.quarantine());
        if after.revision() == before.revision() {
            return;
        }
        let who = match command {
            FleetCommand::LiftSuspect(_) => ANONYMOUS_OPERATOR,
            _ => CONTROL,
        };
        for event in quarantine_events(before, &after) {
            self.record(who, event);
        }
    }

    fn record(&mut self, who: &str, event: AuditEvent) {
        self.audit.push(self.revision, self.wall_ms, who, event);
    }

    fn record_session(
        &mut self,
        session: &EntrySession,
        event: impl FnOnce(SessionId, VmName) -> AuditEvent,
    ) {
        let vm = &session.info.vm;
        self.record(vm.as_str(), event(session.id, vm.clone()));
    }

    fn changed(&mut self, response: Response, kind: ViewChangeKind) -> Applied {
        let change = ViewChange {
            revision: self.revision,
            kind,
        };
        self.view.revision = change.revision;
        self.view_log.push(change.clone());
        Applied {
            response,
            view_changes: vec![change],
        }
    }

    /// Returns the last log position applied.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the view that entry VMs follow. Its revision is that of the last change to the
    /// view, which may be lower than [`Self::revision`].
    #[must_use]
    pub const fn view(&self) -> &ControlView {
        &self.view
    }

    /// Returns the update for an entry VM that has applied `applied`; 0 means that it has no
    /// view yet.
    #[must_use]
    pub fn update_from(&self, applied: Revision) -> ViewUpdate {
        if applied > self.view.revision {
            return ViewUpdate::ReplicaBehind;
        }
        if applied == Revision::default() {
            return ViewUpdate::Whole(self.view.clone());
        }
        match self.view_log.after(applied) {
            Some(changes) => ViewUpdate::Changes(changes),
            None => ViewUpdate::Whole(self.view.clone()),
        }
    }

    /// Returns the most recently accepted manifests.
    #[must_use]
    pub const fn history(&self) -> &SubmissionHistory {
        &self.history
    }

    /// Returns the state of direct dispatch.
    #[must_use]
    pub const fn fleet(&self) -> &Arc<FleetState> {
        &self.fleet
    }

    /// Returns the most recent audit records.
    #[must_use]
    pub const fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// Encodes the state as a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if serialization fails.
    pub fn encode_snapshot(&self) -> Result<Vec<u8>, ControlStateError> {
        let content = (
            self,
            &**self.fleet.quarantine(),
            &**self.fleet.team_state(),
            self.fleet.rollout_section(),
        );
        encoding::encode(SNAPSHOT_FORMAT, &content).context(SnapshotSnafu)
    }

    /// Decodes the state from a snapshot of the current or an earlier format.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a state in a known format.
    pub fn decode_snapshot(encoded: &[u8]) -> Result<Self, ControlStateError> {
        if encoded.first() == Some(&SNAPSHOT_WITHOUT_SUSPECTS) {
            return encoding::decode(SNAPSHOT_WITHOUT_SUSPECTS, encoded).context(SnapshotSnafu);
        }
        let mut sections = Self::decode_sections(encoded).context(SnapshotSnafu)?;
        let fleet = Arc::make_mut(&mut sections.state.fleet);
        fleet.restore_quarantine(sections.quarantine);
        fleet.restore_teams(sections.teams);
        fleet.restore_rollouts(sections.rollouts);
        Ok(sections.state)
    }

    fn decode_sections(encoded: &[u8]) -> Result<Sections, EncodingError> {
        let mut sections = Sections::default();
        match encoded.first() {
            Some(&SNAPSHOT_WITHOUT_TEAMS) => {
                let decoded = encoding::decode(SNAPSHOT_WITHOUT_TEAMS, encoded)?;
                (sections.state, sections.quarantine) = decoded;
            }
            Some(&SNAPSHOT_WITHOUT_ROLLOUTS) => {
                let decoded = encoding::decode(SNAPSHOT_WITHOUT_ROLLOUTS, encoded)?;
                (sections.state, sections.quarantine, sections.teams) = decoded;
            }
            _ => {
                let decoded = encoding::decode(SNAPSHOT_FORMAT, encoded)?;
                (
                    sections.state,
                    sections.quarantine,
                    sections.teams,
                    sections.rollouts,
                ) = decoded;
            }
        }
        Ok(sections)
    }
}

/// Parts of a snapshot; earlier formats lack the last ones.
#[derive(Debug, Default)]
struct Sections {
    state: ControlState,
    quarantine: Quarantine,
    teams: TeamState,
    rollouts: RolloutSection,
}

const fn unchanged(response: Response) -> Applied {
    Applied {
        response,
        view_changes: Vec::new(),
    }
}

/// Returns the audit event of a command. Only operators' commands are audited: records of
/// backend servers that start and stop would evict all others.
fn fleet_event(command: &FleetCommand, answer: Option<&FleetAnswer>) -> Option<AuditEvent> {
    if let Some(change) = command.manifest_change() {
        return Some(AuditEvent::RoutesChange {
            version: change.routes.version,
            digest: change.digest(),
            accepted: answer == Some(&FleetAnswer::Routes(RouteAnswer::Accepted)),
        });
    }
    match command {
        FleetCommand::SetEvacuated { place, evacuated } => Some(AuditEvent::Evacuation {
            place: place.clone(),
            evacuated: *evacuated,
        }),
        _ => None,
    }
}

/// Returns an event for each request that was quarantined or released, or whose quarantine
/// verdict changed.
fn quarantine_events(before: &Quarantine, after: &Quarantine) -> Vec<AuditEvent> {
    let contents = before.suspects().chain(after.suspects());
    let contents: BTreeSet<&Fingerprint> = contents.map(|(request, _)| request).collect();
    let verdict = |quarantine: &Quarantine, request: &Fingerprint| {
        let verdict = quarantine.verdict(request);
        verdict.filter(Verdict::is_quarantine)
    };
    let changed = contents
        .into_iter()
        .filter(|request| verdict(before, request) != verdict(after, request));
    changed
        .map(|request| AuditEvent::Quarantine {
            request: *request,
            verdict: verdict(after, request).map(|verdict| verdict.name().to_owned()),
            ended: after.suspect(request).map_or_else(Vec::new, |noted| {
                let ended = noted.suspect.ended().into_iter();
                ended
                    .map(|incarnation| incarnation.backend.clone())
                    .collect()
            }),
        })
        .collect()
}

const fn answered(answer: SubmissionAnswer) -> Applied {
    unchanged(Response::Submission(answer))
}

/// Returns the smaller of the whole manifest and its delta to the previous one.
fn manifest_change(
    base: Option<&ManifestInForce>,
    target: &Arc<ManifestInForce>,
) -> Result<ManifestChange, DeltaError> {
    let whole = ManifestChange::Whole(Arc::clone(target));
    let Some(base) = base else {
        return Ok(whole);
    };
    let delta = ManifestDelta::between(&base.manifest, &target.manifest)?.encode()?;
    if delta.len() >= encode_manifest(&target.manifest)?.len() {
        return Ok(whole);
    }
    Ok(ManifestChange::Delta {
        base: base.digest,
        digest: target.digest,
        delta,
    })
}
