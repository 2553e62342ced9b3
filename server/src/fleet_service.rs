//! gRPC service for entry VMs that dispatch directly, and for other control replicas.

use std::cmp::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::entry_statement::EntryStatement;
use heatherring_lib::entry_statement::Stated;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::follow_lag::FollowLag;
use heatherring_lib::headroom::Headroom;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::VmName;
use heatherring_lib::presence_report::StatementStamp;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::rendezvous;
use heatherring_lib::replica_choice::ReplicaSite;
use heatherring_lib::request_fingerprint::FingerprintKey;
use heatherring_lib::rollout::observer::RolloutReport;
use heatherring_lib::token_shard::Draw;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::control_work::Work;
use crate::fleet_control::FleetControl;
use crate::leader_relay::answer_within;
use crate::leader_relay::fleet_client;
use crate::leader_relay::is_relayed;
use crate::leader_relay::order_stamp;
use crate::leader_relay::refusal_status;
use crate::leader_relay::relayed_request;
use crate::metric;
use crate::node_request::NodeHandle;
use crate::proto::AdmitReply;
use crate::proto::AdmitRequest;
use crate::proto::DrawTokensReply;
use crate::proto::DrawTokensRequest;
use crate::proto::FollowReply;
use crate::proto::FollowRequest;
use crate::proto::NoteSuspectsReply;
use crate::proto::NoteSuspectsRequest;
use crate::proto::ObserveReply;
use crate::proto::ObserveRequest;
use crate::proto::ProposeReply;
use crate::proto::ProposeRequest;
use crate::proto::ReadRolloutsReply;
use crate::proto::ReadRolloutsRequest;
use crate::proto::ReadRoutesReply;
use crate::proto::ReadRoutesRequest;
use crate::proto::ReportReply;
use crate::proto::ReportRequest;
use crate::proto::ShareLimitsReply;
use crate::proto::ShareLimitsRequest;
use crate::proto::fleet_server::Fleet;
use crate::published_state::PublishedState;
use crate::shared_statements::SharedStatements;
use crate::statement_relay::StatementRelay;
use crate::token_issuer::TokenIssuer;
use crate::update_cache::UpdateCache;

/// Longest time for which a long poll is held.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// Timeout of a call to the leader on behalf of a replica that wants to join.
const ADMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// The service of one control replica; clones share their state.
#[derive(Clone, Debug)]
pub struct FleetService {
    cluster: ClusterId,
    clock: Arc<dyn Clock>,
    control: FleetControl,
    node: NodeHandle,
    tokens: TokenIssuer,
    statements: StatementRelay,
    updates: Arc<UpdateCache>,
    lag: Arc<Mutex<FollowLag>>,
}

impl FleetService {
    /// Creates the service of a replica.
    #[must_use]
    pub fn new(
        cluster: ClusterId,
        clock: Arc<dyn Clock>,
        control: FleetControl,
        node: NodeHandle,
        tokens: TokenIssuer,
        statements: StatementRelay,
    ) -> Self {
        let lag = FollowLag::new(control.in_force_within());
        Self {
            cluster,
            clock,
            control,
            node,
            tokens,
            statements,
            updates: Arc::default(),
            lag: Arc::new(Mutex::new(lag)),
        }
    }

    /// Returns what backend servers state.
    #[must_use]
    pub const fn statements(&self) -> &StatementRelay {
        &self.statements
    }

    /// Returns whether a message was passed on by another replica, which names the cluster, rather
    /// than sent by an entry VM.
    fn is_from_replica(&self, cluster_id: &[u8]) -> Result<bool, Status> {
        if cluster_id.is_empty() {
            return Ok(false);
        }
        if cluster_id != self.cluster.0 {
            return Err(Status::failed_precondition("another cluster"));
        }
        Ok(true)
    }

    fn lag(&self) -> MutexGuard<'_, FollowLag> {
        self.lag.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_manifest(&self) {
        let fleet = self.control.published().read().fleet;
        let version = fleet.manifest().version;
        let now = self.clock.now();
        self.lag().note_manifest(now, version, fleet.revision());
    }

    /// Records what an entry VM has applied, and logs one that still has an outdated manifest after
    /// too long.
    fn note_request(&self, vm: &VmName, applied: Revision) {
        let observed = self.lag().note_request(self.clock.now(), vm, applied);
        for after in observed.in_force_after {
            metric::in_force(after);
        }
        if let Some(late_manifest) = observed.late_manifest {
            metric::entry_behind();
            log::warn!(event = "entry_behind", vm = vm.as_str(), version = late_manifest.version.0, lag_ms = whole_ms(late_manifest.lag), applied = applied.0; "entry VM has used an outdated manifest for too long");
        }
    }

    /// Waits until there are changes for an entry VM, or until its long poll times out.
    ///
    /// A replica that loses contact with the others answers at once rather than at the timeout:
    /// what is committed elsewhere meanwhile must reach the entry VM within its bound.
    async fn wait_for_changes(&self, request: &FollowRequest) {
        let applied = Revision(request.applied_revision);
        let mut published = self.control.published().clone();
        let mut presence = self.control.presence().clone();
        let mut statements = self.statements.clone();
        let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_HOLD);
        let proof = published.clone();
        let changes = async {
            loop {
                let verdicts = presence.view().number();
                let fleet = published.read().fleet;
                let has_changes = fleet.revision() > applied
                    || fleet.quarantine().revision().0 > request.known_quarantine
                    || (verdicts != 0 && verdicts != request.known_presence)
                    || statements.has_news(request.known_limits);
                if has_changes {
                    return;
                }
                tokio::select! {
                    () = published.changed() => {}
                    () = presence.changed() => {}
                    () = statements.changed() => {}
                }
            }
        };
        // The reply is built the same way whether there are changes or the poll timed out.
        let changes = async {
            tokio::select! {
            () = changes => {}
            () = proof.proof_expired(&*self.clock) => {}
                }
        };
        let _ = tokio::time::timeout(wait, changes).await;
    }

    /// Returns the reply to a request that was taken at `received_at`. The published state is read
    /// once, so that the reply is dated by the proof of the state that it tells.
    fn follow_reply(
        &self,
        request: &FollowRequest,
        received_at: Instant,
    ) -> Result<FollowReply, Status> {
        let published = self.control.published().read();
        let now = self.clock.now();
        let (true, Some(proved_at)) = (published.is_current(now), published.proved_at) else {
            return Ok(FollowReply::default());
        };
        let applied = Revision(request.applied_revision);
        let update_encoded = match published.fleet.revision().cmp(&applied) {
            Ordering::Less => return Ok(FollowReply::default()),
            Ordering::Equal => Vec::new(),
            Ordering::Greater => match self
                .updates
                .encoded(&published.fleet, applied)
                .map_err(internal)?
            {
                Some(encoded) => encoded,
                None => return Ok(FollowReply::default()),
            },
        };
        let quarantine = published.fleet.quarantine();
        let quarantine_revision = quarantine.revision().0;
        let verdicts = match quarantine_revision.cmp(&request.known_quarantine) {
            Ordering::Less => return Ok(FollowReply::default()),
            Ordering::Equal => None,
            Ordering::Greater => Some(quarantine.verdicts()),
        };
        let presence = self.control.presence().view();
        let absent = presence
            .absent
            .as_ref()
            .filter(|absent| absent.number() != request.known_presence)
            .map(|absent| absent.update_from(request.known_presence));
        let limits_number = self.statements.number();
        let (limits_encoded, leaving_encoded) = if self.statements.has_news(request.known_limits) {
            let encoded = self.statements.statements().encoded();
            encoded.ok_or_else(|| Status::internal("cannot encode statements"))?
        } else {
            Default::default()
        };
        Ok(FollowReply {
            current: true,
            update_encoded,
            presence_number: presence.number(),
            absent_encoded: absent.as_ref().map_or(Ok(Vec::new()), encode)?,
            quarantine_revision,
            verdicts_encoded: verdicts.as_ref().map_or(Ok(Vec::new()), encode)?,
            limits_number,
            limits_encoded,
            leaving_encoded,
            proved_after_ms: ms_after(received_at, proved_at),
            ..self.list_replicas(request, &published)?
        })
    }

    /// Returns a reply that lists the replicas, unless the entry VM knows the present list.
    fn list_replicas(
        &self,
        request: &FollowRequest,
        published: &PublishedState,
    ) -> Result<FollowReply, Status> {
        let known = self.control.presence().view().replicas;
        let place = |address| {
            let known = known
                .iter()
                .find(|known| known.endpoints.address == address);
            known.map(|known| known.endpoints.place.clone())
        };
        let sites: Vec<ReplicaSite> = published
            .replicas
            .iter()
            .map(|info| ReplicaSite {
                address: info.address,
                place: place(info.address),
            })
            .collect();
        let encoded = encode(&sites)?;
        let digest = digest(&encoded);
        let replicas_encoded = if digest == request.known_replicas {
            Vec::new()
        } else {
            encoded
        };
        Ok(FollowReply {
            current: published.is_current(self.clock.now()),
            replicas_digest: digest,
            replicas_encoded,
            ..FollowReply::default()
        })
    }
}

/// Returns a hash that identifies a list of replicas.
fn digest(encoded: &[u8]) -> u64 {
    rendezvous::leading_number(&blake3::hash(encoded))
}

/// Returns what the incarnation `life` of an entry VM states of itself with `request`.
fn entry_statement(life: u64, request: &FollowRequest) -> EntryStatement {
    let stamp = |number| StatementStamp { life, number };
    let headroom = Headroom::from_code(request.headroom);
    EntryStatement {
        ready: Stated {
            stamp: stamp(request.ready_number),
            value: request.ready,
        },
        headroom: headroom.map(|value| Stated {
            stamp: stamp(request.headroom_number),
            value,
        }),
    }
}

/// Returns the time from `start` to `at` in milliseconds; negative if `at` is earlier.
fn ms_after(start: Instant, at: Instant) -> i64 {
    let ms = |time| i64::try_from(whole_ms(time)).unwrap_or(i64::MAX);
    let before = ms(start.saturating_duration_since(at));
    ms(at.saturating_duration_since(start)).saturating_sub(before)
}

fn internal(error: impl std::fmt::Display) -> Status {
    Status::internal(error.to_string())
}

fn decode<T: serde::de::DeserializeOwned>(encoded: &[u8]) -> Result<T, Status> {
    postcard::from_bytes(encoded).map_err(|error| Status::invalid_argument(error.to_string()))
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, Status> {
    postcard::to_stdvec(value).map_err(internal)
}

#[tonic::async_trait]
impl Fleet for FleetService {
    async fn follow(
        &self,
        request: Request<FollowRequest>,
    ) -> Result<Response<FollowReply>, Status> {
        let request = request.into_inner();
        if request.list_only {
            let key = FingerprintKey::of_cluster(self.cluster);
            return Ok(Response::new(FollowReply {
                fingerprint_key: key.as_bytes().to_vec(),
                ..self.list_replicas(&request, &self.control.published().read())?
            }));
        }
        let received_at = self.clock.now();
        let record: EntryRecord = decode(&request.record_encoded)?;
        let vm = VmName::new(request.vm.as_str());
        if self.control.is_current() {
            let statement = entry_statement(record.life, &request);
            self.control.record_entry_heartbeat(&vm, record, statement);
            self.note_manifest();
            self.note_request(&vm, Revision(request.applied_revision));
            self.wait_for_changes(&request).await;
            self.note_manifest();
        }
        let work = self.control.work();
        let reply = work.measure(Work::Updates, || self.follow_reply(&request, received_at));
        reply.map(Response::new)
    }

    async fn propose(
        &self,
        request: Request<ProposeRequest>,
    ) -> Result<Response<ProposeReply>, Status> {
        let stamp = order_stamp(request.metadata());
        let command: FleetCommand = decode(&request.into_inner().command_encoded)?;
        let committed = self.node.propose_passed_on(command, stamp).await;
        let committed = committed.map_err(|error| refusal_status(&error))?;
        Ok(Response::new(ProposeReply {
            committed: true,
            response_encoded: encode(&committed.response)?,
        }))
    }

    async fn read_routes(
        &self,
        _request: Request<ReadRoutesRequest>,
    ) -> Result<Response<ReadRoutesReply>, Status> {
        let manifest = self.control.own_manifest().await;
        let manifest = manifest.map_err(|error| Status::unavailable(error.to_string()))?;
        Ok(Response::new(ReadRoutesReply {
            manifest_encoded: encode(&manifest)?,
        }))
    }

    async fn report(
        &self,
        request: Request<ReportRequest>,
    ) -> Result<Response<ReportReply>, Status> {
        let request = request.into_inner();
        if request.cluster_id != self.cluster.0 {
            return Err(Status::failed_precondition("another cluster"));
        }
        let report = decode(&request.report_encoded)?;
        let from = VmName::new(request.vm);
        let known = self.control.presence().apply_report(from, report).await;
        Ok(Response::new(ReportReply { known }))
    }

    async fn note_suspects(
        &self,
        request: Request<NoteSuspectsRequest>,
    ) -> Result<Response<NoteSuspectsReply>, Status> {
        let request = request.into_inner();
        let notes = decode(&request.notes_encoded)?;
        let committed = self.control.note_suspects(&request.vm, notes).await;
        committed.map_err(|error| Status::unavailable(error.to_string()))?;
        Ok(Response::new(NoteSuspectsReply {}))
    }

    async fn draw_tokens(
        &self,
        request: Request<DrawTokensRequest>,
    ) -> Result<Response<DrawTokensReply>, Status> {
        let request = request.into_inner();
        let draws: Vec<Draw> = decode(&request.draws_encoded)?;
        let answers = self.tokens.draw(&draws);
        Ok(Response::new(DrawTokensReply {
            drawn_encoded: encode(&answers)?,
        }))
    }

    async fn read_rollouts(
        &self,
        _request: Request<ReadRolloutsRequest>,
    ) -> Result<Response<ReadRolloutsReply>, Status> {
        let rollouts = self.control.own_rollouts().await;
        let rollouts = rollouts.map_err(|error| Status::unavailable(error.to_string()))?;
        Ok(Response::new(ReadRolloutsReply {
            rollouts_encoded: encode(&rollouts.state)?,
            figures_encoded: encode(&rollouts.figures)?,
        }))
    }

    async fn observe(
        &self,
        request: Request<ObserveRequest>,
    ) -> Result<Response<ObserveReply>, Status> {
        let request = request.into_inner();
        let relayed = self.is_from_replica(&request.cluster_id)?;
        let reports: Vec<RolloutReport> = decode(&request.reports_encoded)?;
        self.control.rollouts().observe(reports, relayed);
        Ok(Response::new(ObserveReply {}))
    }

    async fn share_limits(
        &self,
        request: Request<ShareLimitsRequest>,
    ) -> Result<Response<ShareLimitsReply>, Status> {
        let request = request.into_inner();
        let relayed = self.is_from_replica(&request.cluster_id)?;
        let statements = SharedStatements::of_request(&request);
        let statements = statements.map_err(|_| Status::invalid_argument("invalid statements"))?;
        self.statements.share(statements, relayed);
        Ok(Response::new(ShareLimitsReply {}))
    }

    async fn admit(&self, request: Request<AdmitRequest>) -> Result<Response<AdmitReply>, Status> {
        let passed_on = is_relayed(request.metadata());
        let request = request.into_inner();
        let address = request.address.parse();
        let address = address.map_err(|_| Status::invalid_argument("invalid address"))?;
        let info = ReplicaInfo {
            vm: VmName::new(request.vm.as_str()),
            address,
        };
        let replica = ReplicaId(request.replica);
        let admitted = self.node.admit(replica, info, request.question_only).await;
        match admitted {
            Ok(member) => Ok(Response::new(AdmitReply {
                member,
                cluster_id: self.cluster.0.to_vec(),
            })),
            Err(error) => match error.leader().filter(|_| !passed_on) {
                Some(leader) => {
                    let request = relayed_request(request, ADMIT_TIMEOUT);
                    let mut client = fleet_client(leader);
                    answer_within(ADMIT_TIMEOUT, client.admit(request)).await
                }
                None => Err(Status::unavailable(error.to_string())),
            },
        }
    }
}
