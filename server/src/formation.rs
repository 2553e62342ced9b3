//! Formation of a cluster of control replicas without an operator.
//!
//! At the first start of a deployment, the settings of all replicas name the same founders. Each
//! founder formats its own empty folder with the same cluster identity and the same first log
//! entry, which makes all founders voters. No founder can act without a majority of them, in
//! whatever order they start and whichever of them are lost meanwhile. All other replicas request
//! admission, and so does a founder that has lost its disk: the first start is over by then, and
//! its former identity has cast votes that it no longer knows of.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::clock::Clock;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::VmName;
use heatherring_lib::raft_config::founding_writes;
use heatherring_lib::raft_message::LogWrite;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::rendezvous;
use heatherring_lib::settings::ControlSettings;
use heatherring_lib::settings::FormationSettings;

use crate::control_format;
use crate::control_format::FormatError;
use crate::data_folder::FORMAT_VERSION;
use crate::data_folder::FolderDisk;
use crate::data_folder::IDENTITY_FILE;
use crate::data_folder::Identity;
use crate::join_requests::Clients;
use crate::join_requests::admit;
use crate::join_requests::admit_request;
use crate::join_requests::request_admission;
use crate::log_disk::DiskError;
use crate::log_disk::LogDisk;
use crate::log_disk::Recovered;
use crate::peer_channel::PeerChannels;
use crate::published_state::StateReader;
use crate::seed_source::SeedSource;

/// Pause between two attempts to use a full disk.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time without proof of being current after which a replica asks whether it is still a member.
/// If it was away for too long, another one has replaced it.
const CHECK_MEMBERSHIP_AFTER: Duration = Duration::from_secs(5);

/// Interval at which the age of the last proof of being current is checked.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Formats the data folder if it is not formatted yet, as a founder or by joining. `seeds` are asked for
/// admission.
///
/// # Errors
///
/// Returns a [`FormatError`] if the folder cannot be used or written.
pub async fn prepare(
    settings: &ControlSettings,
    formation: &FormationSettings,
    seeds: &SeedSource,
    channels: &PeerChannels,
    clock: &dyn Clock,
) -> Result<(), FormatError> {
    if is_formatted(settings) {
        return Ok(());
    }
    let own = settings.advertised();
    let founders = formation.peers();
    if formation.first_start && founders.contains(&own) {
        let identity = format_as_founder(settings, &founders).await?;
        log::info!(event = "founded", replica = identity.replica.0, cluster:% = identity.cluster; "formatted the data folder as one of the founders");
        return Ok(());
    }
    let replica = control_format::random_replica();
    let cluster = request_admission(settings, seeds, replica, channels, clock).await;
    let identity = Identity {
        format: FORMAT_VERSION,
        cluster,
        replica,
    };
    format_when_room(settings, identity, &[]).await?;
    log::info!(event = "joined", replica = replica.0, cluster:% = cluster; "formatted the data folder as a joining replica");
    Ok(())
}

fn is_formatted(settings: &ControlSettings) -> bool {
    settings.data_folder.join(IDENTITY_FILE).exists()
}

async fn format_as_founder(
    settings: &ControlSettings,
    founders: &[SocketAddr],
) -> Result<Identity, FormatError> {
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
    let writes = founding_writes(members, None);
    format_when_room(settings, identity, &writes).await?;
    Ok(identity)
}

/// Formats the data folder once its disk has room. The identity stays: it may have been admitted.
async fn format_when_room(
    settings: &ControlSettings,
    identity: Identity,
    writes: &[LogWrite],
) -> Result<(), FormatError> {
    let format = || control_format::format_folder(settings, identity, writes);
    retry_while_full(FormatError::is_disk_full, format).await
}

/// Opens a formatted data folder and recovers its records, once its disk has room.
///
/// # Errors
///
/// Returns a [`DiskError`] if the folder cannot be opened or its records are damaged.
pub async fn open_when_room(
    settings: &ControlSettings,
) -> Result<(LogDisk<FolderDisk>, Recovered), DiskError> {
    retry_while_full(DiskError::is_full, || open(settings)).await
}

/// Repeats an operation on the data folder while it fails for want of room.
async fn retry_while_full<T, E: Display>(
    is_full: impl Fn(&E) -> bool,
    mut operation: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let mut reported = false;
    loop {
        let result = operation();
        match &result {
            Err(error) if is_full(error) => {
                if !reported {
                    log::warn!(event = "disk_full", error:% = error; "the disk has no room for the data folder; waiting");
                    reported = true;
                }
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            _ => {
                if reported {
                    log::info!(event = "disk_writable"; "the disk has room for the data folder again");
                }
                return result;
            }
        }
    }
}

/// Returns the identity of the cluster of these founders, which does not depend on their order.
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

/// Watches whether this replica is still a member; returns once it is known not to be.
///
/// A replica that was away for long may have been replaced. It would then never find a leader
/// again, and nothing else would show why.
pub async fn until_removed(
    settings: ControlSettings,
    formation: FormationSettings,
    identity: Identity,
    published: StateReader,
    channels: PeerChannels,
    clock: Arc<dyn Clock>,
) {
    let started_at = clock.now();
    let mut clients = Clients::new(&channels);
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        let now = clock.now();
        let published = published.read();
        let proof_age = published
            .proof_age(now)
            .unwrap_or_else(|| now.saturating_duration_since(started_at));
        if proof_age < CHECK_MEMBERSHIP_AFTER {
            continue;
        }
        let own = settings.advertised();
        let known = published.replicas.iter();
        let mut others: Vec<SocketAddr> = known.map(|info| info.address).collect();
        others.extend(formation.peers());
        others.retain(|address| *address != own);
        others.sort();
        others.dedup();
        for address in others {
            let request = admit_request(&settings, identity.replica, true);
            let Ok(client) = clients.get(address) else {
                continue;
            };
            let Ok(reply) = admit(client, request).await else {
                continue;
            };
            if reply.cluster_id == identity.cluster.0 && !reply.member {
                return;
            }
            if reply.member {
                break;
            }
        }
    }
}

/// Empties the data folder of a replica that is no longer a member, or whose log is damaged, so
/// that it joins under a fresh identity at its next start.
///
/// The identity is removed first: without it the folder counts as unformatted, whatever else a
/// crash leaves in it.
///
/// # Errors
///
/// Returns the error of the operating system.
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

/// Opens a formatted data folder and recovers its records.
///
/// # Errors
///
/// Returns a [`DiskError`] if the folder cannot be opened or its records are damaged.
pub fn open(settings: &ControlSettings) -> Result<(LogDisk<FolderDisk>, Recovered), DiskError> {
    FolderDisk::open(&settings.data_folder)
        .map_err(DiskError::from_open)
        .and_then(LogDisk::open)
}
