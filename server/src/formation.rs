//! How control replicas find each other without an operator.
//!
//! At the first start of a deployment all replicas name the same founders. Each founder
//! formats its own empty folder with the same cluster identity and the same first log
//! entry, which makes all founders voters; none of them can act without a majority of
//! them, in whatever order they start and whichever is lost meanwhile. Everybody else
//! asks to be admitted, and so does a founder that has lost its disk: the first start is
//! over then, and its former identity has votes that it no longer knows of.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::clock::Clock;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::VmName;
use heatherring_lib::raft_config::founding_writes;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::rendezvous;
use heatherring_lib::settings::ControlSettings;
use heatherring_lib::settings::FormationSettings;
use tonic::Request;
use tonic::Status;
use tonic::transport::Channel;

use crate::control_format;
use crate::control_format::FormatError;
use crate::data_folder::FORMAT_VERSION;
use crate::data_folder::FolderDisk;
use crate::data_folder::IDENTITY_FILE;
use crate::data_folder::Identity;
use crate::log_disk::DiskError;
use crate::log_disk::LogDisk;
use crate::log_disk::Recovered;
use crate::peer_channel::PeerChannels;
use crate::proto::AdmitReply;
use crate::proto::AdmitRequest;
use crate::proto::fleet_client::FleetClient;
use crate::published_state::StateReader;

/// Time between two requests to be admitted. An admission takes one commit.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// Time for which one replica's answer is awaited.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_500);

/// Time without a leader after which a replica asks whether it still is a member. It is
/// no member any more if it was away for so long that another took its place.
const ASK_MEMBERSHIP_AFTER: Duration = Duration::from_secs(5);

/// Time between two looks at whether there is a leader.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Formats the data folder if it isn't formatted: as a founder, or by joining.
///
/// # Errors
///
/// Returns a [`FormatError`] if the folder can't be used or written.
pub async fn prepare(
    settings: &ControlSettings,
    formation: &FormationSettings,
    channels: &PeerChannels,
) -> Result<(), FormatError> {
    if is_formatted(settings) {
        return Ok(());
    }
    let own = settings.advertised();
    let founders = formation.peers();
    if formation.first_start && founders.contains(&own) {
        let identity = found(settings, &founders)?;
        log::info!(event = "founded", replica = identity.replica.0, cluster:% = identity.cluster; "formatted as one of the founders");
        return Ok(());
    }
    let replica = control_format::random_replica();
    let cluster = ask_to_join(settings, &founders, replica, channels).await;
    let identity = Identity {
        format: FORMAT_VERSION,
        cluster,
        replica,
    };
    control_format::format_folder(settings, identity, &[])?;
    log::info!(event = "joined", replica = replica.0, cluster:% = cluster; "formatted as a replica that joins");
    Ok(())
}

fn is_formatted(settings: &ControlSettings) -> bool {
    settings.data_folder.join(IDENTITY_FILE).exists()
}

fn found(settings: &ControlSettings, founders: &[SocketAddr]) -> Result<Identity, FormatError> {
    let cluster = founding_cluster(founders);
    let identity_of = |address: SocketAddr| founder_id(cluster, address);
    let members: BTreeMap<ReplicaId, ReplicaInfo> = founders
        .iter()
        .map(|address| {
            let info = ReplicaInfo {
                vm: VmName::new(format!("founder-{}", address.ip())),
                address: *address,
            };
            (identity_of(*address), info)
        })
        .collect();
    let identity = Identity {
        format: FORMAT_VERSION,
        cluster,
        replica: identity_of(settings.advertised()),
    };
    control_format::format_folder(settings, identity, &founding_writes(members, None))?;
    Ok(identity)
}

/// Returns the identity of the cluster that these founders make: the same for each of
/// them, in whatever order they are named.
fn founding_cluster(founders: &[SocketAddr]) -> ClusterId {
    let mut names: Vec<String> = founders.iter().map(ToString::to_string).collect();
    names.sort();
    let hash = blake3::hash(names.join(",").as_bytes());
    let mut cluster = [0; 16];
    cluster.copy_from_slice(&hash.as_bytes()[..16]);
    ClusterId(cluster)
}

fn founder_id(cluster: ClusterId, address: SocketAddr) -> ReplicaId {
    let hash = blake3::hash(format!("{cluster}/{address}").as_bytes());
    control_format::replica_id(rendezvous::leading_number(&hash))
}

/// Asks one replica after the other, round after round, until one says that this one is
/// a member. Without an answer there is nothing else that this process could do.
async fn ask_to_join(
    settings: &ControlSettings,
    replicas: &[SocketAddr],
    replica: ReplicaId,
    channels: &PeerChannels,
) -> ClusterId {
    let own = settings.advertised();
    let others: Vec<SocketAddr> = replicas.iter().copied().filter(|a| *a != own).collect();
    let mut clients: BTreeMap<SocketAddr, FleetClient<Channel>> = BTreeMap::new();
    loop {
        for address in &others {
            let request = request(settings, replica, false);
            match ask(&mut clients, channels, *address, request).await {
                Ok(reply) if reply.member => {
                    if let Ok(cluster) = reply.cluster_id.try_into() {
                        return ClusterId(cluster);
                    }
                    log::warn!(event = "join_unreadable", via:% = address; "the answer has no cluster identity");
                }
                Ok(_) => break,
                Err(status) => {
                    log::debug!(event = "join_unanswered", via:% = address, error = status.message(); "no answer to the request to join");
                }
            }
        }
        tokio::time::sleep(ASK_AGAIN).await;
    }
}

fn request(settings: &ControlSettings, replica: ReplicaId, question_only: bool) -> AdmitRequest {
    AdmitRequest {
        replica: replica.0,
        vm: settings.vm.as_str().to_owned(),
        address: settings.advertised().to_string(),
        question_only,
    }
}

async fn ask(
    clients: &mut BTreeMap<SocketAddr, FleetClient<Channel>>,
    channels: &PeerChannels,
    address: SocketAddr,
    request: AdmitRequest,
) -> Result<AdmitReply, Status> {
    let mut client = if let Some(client) = clients.get(&address) {
        client.clone()
    } else {
        let channel = channels
            .lazy(address)
            .map_err(|error| Status::internal(error.to_string()))?;
        let client = FleetClient::new(channel);
        clients.insert(address, client.clone());
        client
    };
    let call = client.admit(Request::new(request));
    match tokio::time::timeout(ANSWER_WITHIN, call).await {
        Ok(reply) => reply.map(tonic::Response::into_inner),
        Err(_) => Err(Status::deadline_exceeded("no answer in time")),
    }
}

/// Watches whether this replica still is a member; returns once it surely isn't.
///
/// A replica that was away for long may have been replaced. It would stay without a
/// leader for ever, and nothing else would show that.
pub async fn until_removed(
    settings: ControlSettings,
    formation: FormationSettings,
    identity: Identity,
    published: StateReader,
    channels: PeerChannels,
    clock: Arc<dyn Clock>,
) {
    let began = clock.now();
    let mut clients = BTreeMap::new();
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        let now = clock.now();
        let unproved = published
            .proof_age(now)
            .unwrap_or_else(|| now.saturating_duration_since(began));
        if unproved < ASK_MEMBERSHIP_AFTER {
            continue;
        }
        let known = published.read().replicas;
        let own = settings.advertised();
        let mut others: Vec<SocketAddr> = known.iter().map(|info| info.address).collect();
        others.extend(formation.peers());
        others.retain(|address| *address != own);
        others.sort();
        others.dedup();
        for address in others {
            let request = request(&settings, identity.replica, true);
            let reply = ask(&mut clients, &channels, address, request).await;
            let Ok(reply) = reply else { continue };
            if reply.cluster_id == identity.cluster.0 && !reply.member {
                return;
            }
            if reply.member {
                break;
            }
        }
    }
}

/// Empties the data folder of a replica that is no member any more, or whose log is
/// damaged, so that it joins under a fresh identity at its next start.
///
/// The identity goes first: without it the folder counts as unformatted, whatever else a
/// crash leaves there.
///
/// # Errors
///
/// Returns what the operating system reported.
pub fn erase(settings: &ControlSettings) -> std::io::Result<()> {
    let folder = &settings.data_folder;
    let identity = folder.join(IDENTITY_FILE);
    if identity.exists() {
        std::fs::remove_file(identity)?;
        std::fs::File::open(folder)?.sync_all()?;
    }
    for item in std::fs::read_dir(folder)? {
        std::fs::remove_file(item?.path())?;
    }
    std::fs::File::open(folder)?.sync_all()
}

/// Opens a formatted data folder and reads it back.
///
/// # Errors
///
/// Returns why it can't.
pub fn open(settings: &ControlSettings) -> Result<(LogDisk<FolderDisk>, Recovered), DiskError> {
    FolderDisk::open(&settings.data_folder)
        .map_err(DiskError::from_open)
        .and_then(LogDisk::open)
}
