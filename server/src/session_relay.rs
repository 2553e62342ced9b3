//! Task and gRPC service with which an entry VM relays the session renewals of other entry
//! VMs in its region.
//!
//! The decisions are in the library's module `session_relay`. This module receives the
//! calls of other entry VMs, sends batches to control, and adds view changes to the answers
//! from the view of this VM's own session.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::clock::Clock;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::session_relay::Acknowledgement;
use heatherring_lib::session_relay::BatchGrant;
use heatherring_lib::session_relay::RelayAnswer;
use heatherring_lib::session_relay::RelayedKey;
use heatherring_lib::session_relay::RelayedRenewal;
use heatherring_lib::session_relay::SessionRelay;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;

use crate::entry_state::EntryState;
use crate::peer_channel::ChannelTimes;
use crate::peer_channel::PeerChannels;
use crate::peer_security::PeerSecurity;
use crate::proto::Renewal;
use crate::proto::SyncBatchReply;
use crate::proto::SyncBatchRequest;
use crate::proto::SyncOutcome;
use crate::proto::SyncReply;
use crate::proto::SyncRequest;
use crate::proto::session_client::SessionClient;
use crate::proto::session_server::Session;

/// Capacity of the queue of requests to the task. Further requests are rejected, so that
/// the entry VMs turn to control.
const QUEUE_LENGTH: usize = 1_024;

/// Timeout of a batch sent to control, including the time to connect.
const BATCH_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout for connecting to a control replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time for which an answer is held back (long poll): a third of the default lease.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Renewal requested by another entry VM.
struct RelayCall {
    renewal: RelayedRenewal,
    reply: oneshot::Sender<SyncReply>,
}

/// Implements the gRPC service `Session` for other entry VMs of the region.
#[derive(Clone, Debug)]
pub struct SessionRelayService {
    tx: mpsc::Sender<RelayCall>,
    state: watch::Receiver<EntryState>,
}

impl SessionRelayService {
    /// Starts the task that relays renewals to the control replicas at `replicas`. It ends
    /// when all clones of the service are dropped.
    #[must_use]
    pub fn spawn(
        state: watch::Receiver<EntryState>,
        clock: Arc<dyn Clock>,
        security: PeerSecurity,
        replicas: Vec<SocketAddr>,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
        let (batch_tx, batch_rx) = mpsc::channel(1);
        let task = RelayTask {
            relay: SessionRelay::default(),
            replies: HashMap::new(),
            state: state.clone(),
            clock,
            link: ControlLink {
                security,
                replicas,
                current: 0,
                client: None,
            },
            batch_tx,
        };
        tokio::spawn(task.run(rx, batch_rx));
        Self { tx, state }
    }

    fn check_cluster(&self, cluster: &[u8]) -> Result<(), Status> {
        let state = self.state.borrow();
        match state.cluster {
            Some(own) if own.0 == cluster => Ok(()),
            Some(_) => Err(Status::failed_precondition("another cluster")),
            None => Err(Status::unavailable("no session with control yet")),
        }
    }
}

#[tonic::async_trait]
impl Session for SessionRelayService {
    async fn sync(&self, request: Request<SyncRequest>) -> Result<Response<SyncReply>, Status> {
        let request = request.into_inner();
        self.check_cluster(&request.cluster_id)?;
        let is_renewal = request.session != 0 && request.applied_revision != 0 && !request.closing;
        if !is_renewal {
            return Err(Status::failed_precondition(
                "a relay only accepts renewals of sessions",
            ));
        }
        let (reply, answer) = oneshot::channel();
        let wait = Duration::from_millis(request.wait_ms.into());
        let call = RelayCall {
            renewal: RelayedRenewal {
                session: SessionId(request.session),
                applied: Revision(request.applied_revision),
                known_settled: Revision(request.known_settled),
                wait: wait.min(LONGEST_WAIT),
            },
            reply,
        };
        self.tx
            .try_send(call)
            .map_err(|_| Status::resource_exhausted("too many renewals are queued at the relay"))?;
        let reply = answer
            .await
            .map_err(|_| Status::unavailable("the relay has stopped"))?;
        Ok(Response::new(reply))
    }

    async fn sync_batch(
        &self,
        _request: Request<SyncBatchRequest>,
    ) -> Result<Response<SyncBatchReply>, Status> {
        Err(Status::unimplemented(
            "a relay does not accept batches from other relays",
        ))
    }
}

/// Task that owns the state of the relay.
struct RelayTask {
    relay: SessionRelay,
    replies: HashMap<RelayedKey, oneshot::Sender<SyncReply>>,
    state: watch::Receiver<EntryState>,
    clock: Arc<dyn Clock>,
    link: ControlLink,
    batch_tx: mpsc::Sender<Option<BatchGrant>>,
}

impl RelayTask {
    async fn run(
        mut self,
        mut rx: mpsc::Receiver<RelayCall>,
        mut batches: mpsc::Receiver<Option<BatchGrant>>,
    ) {
        loop {
            let wake = self.relay.next_wake();
            tokio::select! {
                call = rx.recv() => match call {
                    Some(call) => self.add_renewal(call),
                    None => return,
                },
                Some(grant) = batches.recv() => self.batch_answered(grant),
                Ok(()) = self.state.changed() => {}
                () = sleep_until(wake) => {}
            }
            self.send_batch();
            self.answer_held();
        }
    }

    fn add_renewal(&mut self, call: RelayCall) {
        let key = self.relay.renew(self.clock.now(), call.renewal);
        self.replies.insert(key, call.reply);
    }

    fn send_batch(&mut self) {
        let Some(batch) = self.relay.take_batch(self.clock.now()) else {
            return;
        };
        let cluster = self.state.borrow().cluster.unwrap_or_default();
        let request = SyncBatchRequest {
            cluster_id: cluster.0.to_vec(),
            renewals: batch.iter().map(renewal).collect(),
        };
        let client = self.link.client();
        let batch_tx = self.batch_tx.clone();
        tokio::spawn(async move {
            let grant = match client {
                Some(client) => call_control(client, request).await,
                None => None,
            };
            // Fails if the task has ended.
            let _ = batch_tx.send(grant).await;
        });
    }

    fn batch_answered(&mut self, grant: Option<BatchGrant>) {
        let ended = if let Some(grant) = grant {
            self.relay.batch_granted(&grant)
        } else {
            self.link.failed();
            self.relay.batch_failed()
        };
        self.answer(ended);
    }

    fn answer_held(&mut self) {
        let now = self.clock.now();
        let (revision, settled) = {
            let state = self.state.borrow_and_update();
            self.relay.retain_sessions(&state.view);
            (state.view.revision, state.settled)
        };
        let answers = self.relay.answers(now, revision, settled);
        self.answer(answers);
    }

    fn answer(&mut self, answers: Vec<(RelayedKey, RelayAnswer)>) {
        if answers.is_empty() {
            return;
        }
        let state = self.state.borrow().clone();
        for (key, answer) in answers {
            if let Some(reply) = self.replies.remove(&key) {
                // Fails if the entry VM has given up, for example to ask another relay.
                let _ = reply.send(sync_reply(&state, answer));
            }
        }
    }
}

async fn sleep_until(wake: Option<std::time::Instant>) {
    match wake {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

const fn renewal(acknowledgement: &Acknowledgement) -> Renewal {
    Renewal {
        session: acknowledgement.session.0,
        applied_revision: acknowledgement.applied.0,
    }
}

fn sync_reply(state: &EntryState, answer: RelayAnswer) -> SyncReply {
    let cluster_id = state.cluster.unwrap_or_default().0.to_vec();
    let outcome_only = |outcome: SyncOutcome| SyncReply {
        outcome: outcome.into(),
        cluster_id: cluster_id.clone(),
        ..SyncReply::default()
    };
    match answer {
        RelayAnswer::Lost => outcome_only(SyncOutcome::SessionLost),
        RelayAnswer::NoGrant => outcome_only(SyncOutcome::NoQuorum),
        RelayAnswer::Granted {
            session,
            applied,
            lease,
            settled,
        } => {
            let mut reply = outcome_only(SyncOutcome::Granted);
            reply.session = session.0;
            reply.lease_ms = u32::try_from(lease.as_millis()).unwrap_or(u32::MAX);
            reply.settled_revision = settled.0;
            if add_update(&mut reply, state, applied).is_err() {
                return outcome_only(SyncOutcome::NoQuorum);
            }
            reply
        }
    }
}

/// Adds the changes after revision `applied` to a reply, or the whole view if this VM's own
/// session doesn't have all of them.
fn add_update(
    reply: &mut SyncReply,
    state: &EntryState,
    applied: Revision,
) -> Result<(), postcard::Error> {
    match state.recent.after(applied) {
        Some(changes) => {
            reply.changes_encoded = changes
                .iter()
                .map(postcard::to_stdvec)
                .collect::<Result<_, _>>()?;
        }
        None => reply.view_encoded = postcard::to_stdvec(&*state.view)?,
    }
    Ok(())
}

/// Connection to one control replica at a time. After a failure the next one is used.
struct ControlLink {
    security: PeerSecurity,
    replicas: Vec<SocketAddr>,
    current: usize,
    client: Option<SessionClient<Channel>>,
}

impl fmt::Debug for ControlLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlLink")
            .field("replicas", &self.replicas)
            .field("current", &self.current)
            .finish_non_exhaustive()
    }
}

impl ControlLink {
    fn client(&mut self) -> Option<SessionClient<Channel>> {
        if self.client.is_none() {
            let replica = self.replicas[self.current];
            let channel = PeerChannels::new(self.security.clone())
                .waiting(ChannelTimes::entry(CONNECT_TIMEOUT))
                .lazy(replica)
                .ok()?;
            self.client = Some(SessionClient::new(channel));
        }
        self.client.clone()
    }

    fn failed(&mut self) {
        self.client = None;
        self.current = (self.current + 1) % self.replicas.len();
    }
}

async fn call_control(
    mut client: SessionClient<Channel>,
    request: SyncBatchRequest,
) -> Option<BatchGrant> {
    let call = tokio::time::timeout(BATCH_TIMEOUT, client.sync_batch(request));
    let reply = call.await.ok()?.ok()?.into_inner();
    if reply.outcome() != SyncOutcome::Granted {
        return None;
    }
    Some(BatchGrant {
        lease: Duration::from_millis(reply.lease_ms.into()),
        revision: Revision(reply.revision),
        settled: Revision(reply.settled_revision),
        lost: reply.lost.into_iter().map(SessionId).collect(),
    })
}
