//! Requests for admission, by a replica that joins.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use heatherring_lib::clock::Clock;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::join_plan::JoinPlan;
use heatherring_lib::settings::ControlSettings;
use tonic::Request;
use tonic::Status;
use tonic::transport::Channel;

use crate::leader_relay::answer_within;
use crate::peer_channel::PeerChannels;
use crate::proto::AdmitReply;
use crate::proto::AdmitRequest;
use crate::proto::fleet_client::FleetClient;
use crate::seed_source::SeedError;
use crate::seed_source::SeedSource;

/// Timeout of a call to one replica.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause between two reads of the seeds.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// Clients of the replicas that were asked before, so that their connections are kept.
#[derive(Debug)]
pub(crate) struct Clients<'a> {
    channels: &'a PeerChannels,
    known: BTreeMap<SocketAddr, FleetClient<Channel>>,
}

impl<'a> Clients<'a> {
    pub(crate) const fn new(channels: &'a PeerChannels) -> Self {
        Self {
            channels,
            known: BTreeMap::new(),
        }
    }

    pub(crate) fn get(&mut self, address: SocketAddr) -> Result<FleetClient<Channel>, Status> {
        if let Some(client) = self.known.get(&address) {
            return Ok(client.clone());
        }
        let channel = self.channels.lazy(address);
        let channel = channel.map_err(|error| Status::internal(error.to_string()))?;
        let client = FleetClient::new(channel);
        self.known.insert(address, client.clone());
        Ok(client)
    }
}

/// Requests admission from all seeds at once, until one confirms that this replica is a member. There
/// is no limit on the time, since the process can do nothing else meanwhile; the seeds are read again
/// and again, as they may be replaced.
pub(crate) async fn request_admission(
    settings: &ControlSettings,
    seeds: &SeedSource,
    replica: ReplicaId,
    channels: &PeerChannels,
    clock: &dyn Clock,
) -> ClusterId {
    let mut plan = JoinPlan::new(settings.advertised());
    let mut clients = Clients::new(channels);
    let mut open = FuturesUnordered::new();
    let mut reading = std::pin::pin!(read_soon(seeds, Duration::ZERO));
    let mut is_readable = true;
    loop {
        for address in plan.take_due(clock.now()) {
            let request = admit_request(settings, replica, false);
            let client = clients.get(address);
            open.push(async move { (address, ask(client, request).await) });
        }
        tokio::select! {
            Some((address, reply)) = open.next() => {
                if let Some(cluster) = note_reply(&mut plan, clock.now(), address, reply) {
                    return cluster;
                }
            }
            read = reading.as_mut() => {
                note_seeds(&mut plan, &mut is_readable, read);
                reading.set(read_soon(seeds, READ_INTERVAL));
            }
            () = until(clock, plan.next_due()) => {}
        }
    }
}

async fn read_soon(seeds: &SeedSource, pause: Duration) -> Result<Vec<SocketAddr>, SeedError> {
    tokio::time::sleep(pause).await;
    seeds.read().await
}

/// Notes the seeds as they are now; the former ones stay while they cannot be read.
fn note_seeds(
    plan: &mut JoinPlan,
    is_readable: &mut bool,
    read: Result<Vec<SocketAddr>, SeedError>,
) {
    match read {
        Ok(seeds) => {
            *is_readable = true;
            plan.set_seeds(seeds);
        }
        Err(error) => {
            if std::mem::take(is_readable) {
                log::warn!(event = "seeds_unreadable", error:% = error; "cannot read again which replicas to ask; asking the former ones");
            }
        }
    }
}

async fn ask(
    client: Result<FleetClient<Channel>, Status>,
    request: AdmitRequest,
) -> Result<AdmitReply, Status> {
    admit(client?, request).await
}

/// Notes a reply; returns the cluster if it confirms that this replica is a member.
fn note_reply(
    plan: &mut JoinPlan,
    now: Instant,
    address: SocketAddr,
    reply: Result<AdmitReply, Status>,
) -> Option<ClusterId> {
    match reply {
        Ok(reply) if reply.member => {
            if let Ok(cluster) = reply.cluster_id.try_into() {
                return Some(ClusterId(cluster));
            }
            log::warn!(event = "join_unreadable", via:% = address; "answer to a request for admission has no valid cluster identity");
            plan.note_failed(now, address);
        }
        Ok(_) => plan.note_proposed(now, address),
        Err(status) => {
            log::debug!(event = "join_unanswered", via:% = address, error = status.message(); "request for admission failed or timed out");
            plan.note_failed(now, address);
        }
    }
    None
}

/// Waits until `due`; for ever without it.
async fn until(clock: &dyn Clock, due: Option<Instant>) {
    match due {
        Some(due) => {
            let left = due.saturating_duration_since(clock.now());
            tokio::time::sleep(left).await;
        }
        None => std::future::pending().await,
    }
}

pub(crate) fn admit_request(
    settings: &ControlSettings,
    replica: ReplicaId,
    question_only: bool,
) -> AdmitRequest {
    AdmitRequest {
        replica: replica.0,
        vm: settings.vm.as_str().to_owned(),
        address: settings.advertised().to_string(),
        question_only,
    }
}

pub(crate) async fn admit(
    mut client: FleetClient<Channel>,
    request: AdmitRequest,
) -> Result<AdmitReply, Status> {
    let call = client.admit(Request::new(request));
    let reply = answer_within(ANSWER_TIMEOUT, call).await;
    reply.map(tonic::Response::into_inner)
}
