//! gRPC service for operators and their pipelines.

use std::time::Duration;

use heatherring_lib::audit::AuditRecord;
use heatherring_lib::command::CommandKind;
use heatherring_lib::command::Submission;
use heatherring_lib::control_state::ControlState;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::Revision;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::TeamName;
use heatherring_lib::id::VersionName;
use heatherring_lib::manifest_text::read_manifest;
use heatherring_lib::quarantine::SuspectRecord;
use heatherring_lib::quarantine::Verdict;
use heatherring_lib::request_fingerprint::Fingerprint;
use heatherring_lib::rollout::RollbackReason;
use heatherring_lib::rollout::Rollout;
use heatherring_lib::rollout::RolloutAnswer;
use heatherring_lib::rollout::plan::RolloutFigures;
use heatherring_lib::submission_history::AcceptedManifest;
use heatherring_lib::team::Team;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::metadata::MetadataMap;

use crate::fleet_control::FleetControl;
use crate::leader_relay::RELAY_TIMEOUT;
use crate::leader_relay::answer_within;
use crate::leader_relay::is_relayed;
use crate::leader_relay::operator_client;
use crate::leader_relay::order_stamp;
use crate::leader_relay::relayed_order;
use crate::leader_relay::relayed_request;
use crate::membership_request::membership_change;
use crate::membership_request::membership_reply;
use crate::node_request::LeaderLink;
use crate::node_request::NodeError;
use crate::node_request::NodeHandle;
use crate::proto::AuditReply;
use crate::proto::AuditRequest;
use crate::proto::ChangeMembershipReply;
use crate::proto::ChangeMembershipRequest;
use crate::proto::HistoryReply;
use crate::proto::HistoryRequest;
use crate::proto::LiftQuarantineReply;
use crate::proto::LiftQuarantineRequest;
use crate::proto::ManifestRecord;
use crate::proto::QuarantineReply;
use crate::proto::QuarantineRequest;
use crate::proto::RolloutStatus;
use crate::proto::RolloutsReply;
use crate::proto::RolloutsRequest;
use crate::proto::ShowReply;
use crate::proto::ShowRequest;
use crate::proto::StartRolloutReply;
use crate::proto::StartRolloutRequest;
use crate::proto::StatusReply;
use crate::proto::StatusRequest;
use crate::proto::SubmitReply;
use crate::proto::SubmitRequest;
use crate::proto::SuspectStatus;
use crate::proto::TeamStatus;
use crate::proto::TeamsReply;
use crate::proto::TeamsRequest;
use crate::proto::operator_server::Operator;
use crate::statement_relay::StatementRelay;
use crate::status_report;
use crate::submit_reply::invalid_reply;
use crate::submit_reply::refused_reply;
use crate::submit_reply::relay_failed_reply;
use crate::submit_reply::submission_reply;

/// Largest number of records in one reply.
const MAX_RECORDS: u32 = 1_000;

/// Name of the submitted text in the reported problems of a manifest.
const MANIFEST_NAME: &str = "manifest";

/// The operators' service of one control replica.
#[derive(Clone, Debug)]
pub struct OperatorService {
    cluster: ClusterId,
    node: NodeHandle,
    control: FleetControl,
    statements: StatementRelay,
}

impl OperatorService {
    /// Creates the service of a replica of the cluster `cluster`.
    #[must_use]
    pub const fn new(
        cluster: ClusterId,
        node: NodeHandle,
        control: FleetControl,
        statements: StatementRelay,
    ) -> Self {
        Self {
            cluster,
            node,
            control,
            statements,
        }
    }
}

/// Returns the leader to which a refused request is relayed; `None` if it was relayed before.
fn relay_to<'a>(error: &'a NodeError, metadata: &MetadataMap) -> Option<&'a LeaderLink> {
    error.leader().filter(|_| !is_relayed(metadata))
}

fn unavailable(error: &NodeError) -> Status {
    Status::unavailable(format!(
        "this replica cannot prove that it is current: {error}"
    ))
}

/// Relays a request that was refused here to the leader's method, or fails. An order is relayed with
/// the stamp that was known when it was taken, and fails without one.
macro_rules! relay_or_fail {
    ($error:expr, $metadata:expr, $method:ident, $request:expr) => {
        relay_or_fail!(@ $error, $metadata, $method, Some(relayed_request($request, RELAY_TIMEOUT)))
    };
    ($error:expr, $metadata:expr, $method:ident, $request:expr, $stamp:expr) => {
        relay_or_fail!(@ $error, $metadata, $method, {
            $stamp.map(|stamp| relayed_order($request, RELAY_TIMEOUT, stamp))
        })
    };
    (@ $error:expr, $metadata:expr, $method:ident, $relayed:expr) => {
        match relay_to(&$error, &$metadata).zip($relayed) {
            Some((leader, request)) => {
                let mut client = operator_client(leader);
                answer_within(RELAY_TIMEOUT, client.$method(request)).await
            }
            None => Err(unavailable(&$error)),
        }
    };
}

#[tonic::async_trait]
impl Operator for OperatorService {
    async fn submit(
        &self,
        request: Request<SubmitRequest>,
    ) -> Result<Response<SubmitReply>, Status> {
        let (metadata, _, request) = request.into_parts();
        let manifest = match read_manifest(MANIFEST_NAME, &request.manifest) {
            Ok(manifest) => manifest,
            Err(faults) => return Ok(Response::new(invalid_reply(&request.manifest, &faults))),
        };
        let submission =
            Submission::new(request.manifest.clone(), manifest, request.operator.clone());
        let (version, digest) = (submission.version(), submission.digest);
        let command = CommandKind::SubmitManifest(Box::new(submission));
        let error = match self.node.propose(command).await {
            Ok(committed) => {
                return Ok(Response::new(submission_reply(version, digest, &committed)));
            }
            Err(error) => error,
        };
        let reply = match relay_to(&error, &metadata) {
            Some(leader) if error.is_proved_absent() => {
                let relayed = relayed_request(request, RELAY_TIMEOUT);
                let mut client = operator_client(leader);
                match answer_within(RELAY_TIMEOUT, client.submit(relayed)).await {
                    Ok(reply) => reply.into_inner(),
                    Err(status) => relay_failed_reply(version, digest, &status),
                }
            }
            _ => refused_reply(version, digest, &error),
        };
        Ok(Response::new(reply))
    }

    async fn show(&self, request: Request<ShowRequest>) -> Result<Response<ShowReply>, Status> {
        let (metadata, _, request) = request.into_parts();
        let version = ManifestVersion(request.version);
        match self.node.read(move |state| show(state, version)).await {
            Ok(reply) => Ok(Response::new(reply)),
            Err(error) => relay_or_fail!(error, metadata, show, request),
        }
    }

    async fn history(
        &self,
        request: Request<HistoryRequest>,
    ) -> Result<Response<HistoryReply>, Status> {
        let (metadata, _, request) = request.into_parts();
        let limit = limit(request.limit);
        match self.node.read(move |state| history(state, limit)).await {
            Ok(reply) => Ok(Response::new(reply)),
            Err(error) => relay_or_fail!(error, metadata, history, request),
        }
    }

    async fn status(
        &self,
        request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        let relayed = is_relayed(request.metadata());
        let (own, leader) = self
            .node
            .status()
            .await
            .map_err(|error| Status::unavailable(error.to_string()))?;
        if let Some(leader) = leader.filter(|_| !relayed) {
            let request = relayed_request(StatusRequest {}, RELAY_TIMEOUT);
            // If the leader does not answer, the report of this replica is returned, although it is
            // not proved to be current.
            let mut client = operator_client(&leader);
            if let Ok(reply) = answer_within(RELAY_TIMEOUT, client.status(request)).await
                && reply.get_ref().current
            {
                return Ok(reply);
            }
        }
        let statements = self.statements.statements();
        let backend_limits = status_report::backend_limits(&statements.limits);
        let leaving = statements.leaving.iter();
        let backends_leaving = leaving.map(|leaving| leaving.backend.to_string()).collect();
        Ok(Response::new(StatusReply {
            backend_limits,
            backends_leaving,
            ..own
        }))
    }

    async fn audit(&self, request: Request<AuditRequest>) -> Result<Response<AuditReply>, Status> {
        let (metadata, _, request) = request.into_parts();
        let after = Revision(request.after_revision);
        let limit = limit(request.limit);
        match self
            .node
            .read(move |state| audit(state, after, limit))
            .await
        {
            Ok(reply) => Ok(Response::new(reply)),
            Err(error) => relay_or_fail!(error, metadata, audit, request),
        }
    }

    async fn quarantine(
        &self,
        request: Request<QuarantineRequest>,
    ) -> Result<Response<QuarantineReply>, Status> {
        let (metadata, _, request) = request.into_parts();
        match self.node.read(quarantine).await {
            Ok(reply) => Ok(Response::new(reply)),
            Err(error) => relay_or_fail!(error, metadata, quarantine, request),
        }
    }

    async fn lift_quarantine(
        &self,
        request: Request<LiftQuarantineRequest>,
    ) -> Result<Response<LiftQuarantineReply>, Status> {
        let stamp = self.control.published().order_stamp();
        let (metadata, _, request) = request.into_parts();
        let fingerprint = Fingerprint::parse(&request.request)
            .ok_or_else(|| Status::invalid_argument("invalid fingerprint"))?;
        let known = move |state: &ControlState| {
            let quarantine = state.fleet().quarantine();
            quarantine.suspect(&fingerprint).is_some()
        };
        let known = match self.node.read(known).await {
            Ok(known) => known,
            Err(error) => {
                return relay_or_fail!(error, metadata, lift_quarantine, request, stamp);
            }
        };
        let command = FleetCommand::LiftSuspect(fingerprint);
        let lifted = self.node.propose_passed_on(command, order_stamp(&metadata));
        match lifted.await {
            Ok(_) => Ok(Response::new(LiftQuarantineReply { known })),
            Err(error) => {
                relay_or_fail!(error, metadata, lift_quarantine, request, stamp)
            }
        }
    }

    async fn teams(&self, request: Request<TeamsRequest>) -> Result<Response<TeamsReply>, Status> {
        let (metadata, _, request) = request.into_parts();
        match self.node.read(teams).await {
            Ok(reply) => Ok(Response::new(reply)),
            Err(error) => relay_or_fail!(error, metadata, teams, request),
        }
    }

    async fn rollouts(
        &self,
        _request: Request<RolloutsRequest>,
    ) -> Result<Response<RolloutsReply>, Status> {
        let rollouts = self.control.latest_rollouts().await;
        let rollouts = rollouts.map_err(|error| Status::unavailable(error.to_string()))?;
        let statuses = rollouts.state.iter().map(|(service, rollout)| {
            let figures = rollouts.figures.get(service).copied();
            rollout_status(service, rollout, figures.unwrap_or_default())
        });
        Ok(Response::new(RolloutsReply {
            rollouts: statuses.collect(),
        }))
    }

    async fn start_rollout(
        &self,
        request: Request<StartRolloutRequest>,
    ) -> Result<Response<StartRolloutReply>, Status> {
        let request = request.into_inner();
        let duration = Duration::from_millis(request.duration_ms);
        let service = ServiceName::new(request.service);
        let target = VersionName::new(request.target);
        let ordered = self.control.order_rollout(service, target, duration).await;
        let answer = ordered.map_err(|error| Status::unavailable(error.to_string()))?;
        let mut reply = StartRolloutReply::default();
        match answer {
            RolloutAnswer::Accepted => reply.accepted = true,
            RolloutAnswer::InProgress { target } => reply.in_progress = target.to_string(),
            RolloutAnswer::UnknownService => reply.unknown_service = true,
        }
        Ok(Response::new(reply))
    }

    async fn change_membership(
        &self,
        request: Request<ChangeMembershipRequest>,
    ) -> Result<Response<ChangeMembershipReply>, Status> {
        let stamp = self.control.published().order_stamp();
        let (metadata, _, request) = request.into_parts();
        let change = membership_change(&request)?;
        let operator = request.operator.clone();
        let passed_on = order_stamp(&metadata);
        let changed = self.node.change_membership(operator, change, passed_on);
        match changed.await {
            Err(error) if error.leader().is_some() && error.is_proved_absent() => {
                relay_or_fail!(error, metadata, change_membership, request, stamp)
            }
            Err(error @ NodeError::Late) => Err(unavailable(&error)),
            outcome => membership_reply(self.cluster, outcome).map(Response::new),
        }
    }
}

fn limit(requested: u32) -> usize {
    let limit = if requested == 0 {
        MAX_RECORDS
    } else {
        requested
    };
    limit.min(MAX_RECORDS) as usize
}

fn show(state: &ControlState, version: ManifestVersion) -> ShowReply {
    let history = state.history();
    let record = if version == ManifestVersion(0) {
        history.latest()
    } else {
        history.get(version)
    };
    let Some(record) = record else {
        return ShowReply::default();
    };
    let text = history.text(record.version);
    ShowReply {
        found: text.is_some(),
        version: record.version.0,
        digest: record.digest.to_string(),
        revision: record.revision.0,
        manifest: text.unwrap_or_default().to_owned(),
    }
}

fn history(state: &ControlState, limit: usize) -> HistoryReply {
    let newest = state.history().newest_first().take(limit);
    HistoryReply {
        records: newest.map(manifest_record).collect(),
    }
}

fn quarantine(state: &ControlState) -> QuarantineReply {
    let suspects = state.fleet().quarantine().suspects();
    let suspects = suspects.map(|(request, record)| suspect_status(request, record));
    QuarantineReply {
        suspects: suspects.collect(),
    }
}

fn teams(state: &ControlState) -> TeamsReply {
    let manifest = state.fleet().teams();
    let teams = manifest.iter().flat_map(|manifest| &manifest.teams);
    TeamsReply {
        keyed: manifest.is_some(),
        teams: teams.map(|(name, team)| team_status(name, team)).collect(),
    }
}

fn team_status(name: &TeamName, team: &Team) -> TeamStatus {
    let limit = team.limit();
    let homes = team.home_regions.iter().flatten();
    TeamStatus {
        team: name.to_string(),
        keys: u32::try_from(team.keys.len()).unwrap_or(u32::MAX),
        priority: team.priority,
        rate: limit.map(|limit| limit.rate),
        burst: limit.map(|limit| limit.burst),
        home_regions: homes.map(ToString::to_string).collect(),
    }
}

fn rollout_status(
    service: &ServiceName,
    rollout: &Rollout,
    figures: RolloutFigures,
) -> RolloutStatus {
    let reason = rollout.phase.rollback_reason();
    let route = reason.and_then(RollbackReason::route);
    RolloutStatus {
        service: service.to_string(),
        target: rollout.order.target.to_string(),
        phase: rollout.phase.name().to_owned(),
        share: rollout.phase.share().0.into(),
        reason: reason.map_or("", RollbackReason::name).to_owned(),
        route: route.map(ToString::to_string).unwrap_or_default(),
        duration_ms: whole_ms(rollout.order.duration),
        elapsed_ms: whole_ms(rollout.elapsed),
        target_answers: figures.target_answers,
        target_bad: figures.target_bad,
        others_answers: figures.others_answers,
        others_bad: figures.others_bad,
    }
}

fn suspect_status(request: &Fingerprint, record: &SuspectRecord) -> SuspectStatus {
    let ended = record.suspect.ended().into_iter();
    let verdict = record.suspect.verdict();
    SuspectStatus {
        request: request.to_string(),
        verdict: verdict.as_ref().map_or("", Verdict::name).to_owned(),
        ended: ended
            .map(|incarnation| incarnation.backend.to_string())
            .collect(),
        revision: record.at.0,
    }
}

fn manifest_record(accepted: &AcceptedManifest) -> ManifestRecord {
    ManifestRecord {
        version: accepted.version.0,
        digest: accepted.digest.to_string(),
        revision: accepted.revision.0,
        operator: accepted.operator.clone(),
        accepted_unix_ms: accepted.wall_ms,
    }
}

fn audit(state: &ControlState, after: Revision, limit: usize) -> AuditReply {
    let records = state.audit().after(after).take(limit);
    AuditReply {
        records: records.map(AuditRecord::to_json_line).collect(),
    }
}
