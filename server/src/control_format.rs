//! Formats the data folder of a control replica: `init`, `join` and `repair`.

use std::fs::DirBuilder;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::DirBuilderExt as _;
use std::path::Path;
use std::time::Duration;

use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::raft_config::bootstrap_writes;
use heatherring_lib::raft_message::LogWrite;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::settings::ControlSettings;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;
use tonic::Request;
use tonic::Status;

use crate::data_folder::FORMAT_VERSION;
use crate::data_folder::FolderDisk;
use crate::data_folder::Identity;
use crate::log_disk::DiskError;
use crate::log_disk::WriteSnafu;
use crate::log_disk::ensure_empty;
use crate::log_disk::format;
use crate::peer_channel::PeerChannels;
use crate::peer_security::PeerSecurity;
use crate::peer_security::PeerSecurityError;
use crate::proto::AddReplica;
use crate::proto::ChangeMembershipReply;
use crate::proto::ChangeMembershipRequest;
use crate::proto::change_membership_request::Change;
use crate::proto::operator_client::OperatorClient;

/// Identities fit the numbers that readers of JSON keep exactly.
const REPLICA_ID_BITS: u32 = 53;

/// Time for which an answer of the cluster is awaited.
const ANSWER_WITHIN: Duration = Duration::from_secs(10);

/// Access to a data folder that `init` or `join` makes: the owner's alone.
const FOLDER_MODE: u32 = 0o700;

/// Tells why a data folder couldn't be formatted.
#[derive(Debug, Snafu)]
pub enum FormatError {
    /// The folder can't be used.
    #[snafu(display("data folder {}: {source}", folder.display()))]
    Folder {
        /// The folder.
        folder: std::path::PathBuf,
        /// Why.
        source: DiskError,
    },
    /// No address was given.
    #[snafu(display("no address of a replica was given"))]
    NoAddress,
    /// The address makes no connection.
    #[snafu(display("can't reach {address}: {source}"))]
    Connect {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: PeerSecurityError,
    },
    /// The certificates of the settings can't be used.
    #[snafu(display("{source}"))]
    Security {
        /// Why.
        source: PeerSecurityError,
    },
    /// The cluster gave no answer.
    #[snafu(display(
        "the cluster gave no answer: {}\nhint: the folder was not formatted, and asking \
         again is safe; a replica that shows up in `heatherring status` without ever \
         catching up can be removed",
        source.message()
    ))]
    NoAnswer {
        /// What the call ended with.
        source: Box<Status>,
    },
    /// The cluster refused the replica.
    #[snafu(display("the cluster refused this replica: {reason}"))]
    Refused {
        /// Why.
        reason: String,
    },
    /// The cluster's answer names no cluster.
    #[snafu(display("the cluster's answer has no cluster identity"))]
    ClusterIdentity,
}

/// Makes a new cluster with this replica alone, and returns the replica's identity.
///
/// This is the only way in which a cluster comes into being. A second `init` makes a
/// second cluster, with another identity, whose replicas refuse those of the first.
///
/// # Errors
///
/// Returns [`FormatError::Folder`] if the folder isn't empty or can't be written.
pub fn init(settings: &ControlSettings) -> Result<Identity, FormatError> {
    let identity = Identity {
        format: FORMAT_VERSION,
        cluster: ClusterId(rand::random()),
        replica: random_replica(),
    };
    let writes = bootstrap_writes(identity.replica, own_info(settings));
    format_folder(settings, identity, &writes)?;
    Ok(identity)
}

/// Formats the data folder with an identity and the records that it begins with.
///
/// # Errors
///
/// Returns [`FormatError::Folder`] if the folder isn't empty or can't be written.
pub fn format_folder(
    settings: &ControlSettings,
    identity: Identity,
    writes: &[LogWrite],
) -> Result<(), FormatError> {
    let folder = &settings.data_folder;
    open_empty(folder)
        .and_then(|disk| format(disk, identity, writes))
        .map(|_| ())
        .context(FolderSnafu { folder })
}

/// Adds this replica to the cluster whose replicas are reached at `control`, as a learner with a fresh
/// identity, and formats the folder with it. With `replaces`, the replica of that
/// identity is removed once the new one votes.
///
/// # Errors
///
/// Returns a [`FormatError`] if the folder isn't empty, or the cluster can't be reached
/// or refuses; the folder isn't formatted then.
pub async fn join(
    settings: &ControlSettings,
    control: &[SocketAddr],
    replaces: Option<ReplicaId>,
    operator: &str,
) -> Result<Identity, FormatError> {
    let folder = &settings.data_folder;
    let disk = open_empty(folder).context(FolderSnafu { folder })?;
    let replica = random_replica();
    let reply = ask_any(settings, control, replica, replaces, operator).await?;
    ensure!(
        reply.accepted,
        RefusedSnafu {
            reason: reply.reason
        }
    );
    let cluster = reply.cluster_id.try_into().ok();
    let identity = Identity {
        format: FORMAT_VERSION,
        cluster: ClusterId(cluster.context(ClusterIdentitySnafu)?),
        replica,
    };
    format(disk, identity, &[]).context(FolderSnafu { folder })?;
    Ok(identity)
}

/// Asks one replica after the other until one answers. All are asked to add the same
/// identity, so an answer that was lost adds nobody twice.
async fn ask_any(
    settings: &ControlSettings,
    control: &[SocketAddr],
    replica: ReplicaId,
    replaces: Option<ReplicaId>,
    operator: &str,
) -> Result<ChangeMembershipReply, FormatError> {
    let mut outcome = NoAddressSnafu.fail();
    for via in control {
        outcome = ask_to_add(settings, *via, replica, replaces, operator).await;
        if outcome.is_ok() {
            break;
        }
    }
    outcome
}

async fn ask_to_add(
    settings: &ControlSettings,
    via: SocketAddr,
    replica: ReplicaId,
    replaces: Option<ReplicaId>,
    operator: &str,
) -> Result<ChangeMembershipReply, FormatError> {
    let security = PeerSecurity::from_settings(&settings.security).context(SecuritySnafu)?;
    let channel = PeerChannels::new(security)
        .lazy(via)
        .context(ConnectSnafu { address: via })?;
    let info = own_info(settings);
    let add = AddReplica {
        replica: replica.0,
        vm: info.vm.to_string(),
        address: info.address.to_string(),
        replaces: replaces.unwrap_or_default().0,
    };
    let mut request = Request::new(ChangeMembershipRequest {
        change: Some(Change::Add(add)),
        operator: operator.to_owned(),
    });
    request.set_timeout(ANSWER_WITHIN);
    let mut client = OperatorClient::new(channel);
    let reply = client.change_membership(request).await;
    let reply = reply.map_err(Box::new).context(NoAnswerSnafu)?;
    Ok(reply.into_inner())
}

fn own_info(settings: &ControlSettings) -> ReplicaInfo {
    ReplicaInfo {
        vm: settings.vm.clone(),
        address: settings.advertised(),
    }
}

/// Draws a fresh identity.
#[must_use]
pub fn random_replica() -> ReplicaId {
    replica_id(rand::random())
}

/// Makes an identity out of random bits.
#[must_use]
pub fn replica_id(bits: u64) -> ReplicaId {
    let mask = (1 << REPLICA_ID_BITS) - 1;
    ReplicaId((bits & mask).max(1))
}

/// Opens a folder that may be formatted; makes it if only its last component is missing.
fn open_empty(folder: &Path) -> Result<FolderDisk, DiskError> {
    match DirBuilder::new().mode(FOLDER_MODE).create(folder) {
        Err(source) if source.kind() != io::ErrorKind::AlreadyExists => {
            return Err(DiskError::Write { source });
        }
        Ok(()) => sync_parent(folder).context(WriteSnafu)?,
        Err(_) => {}
    }
    let disk = FolderDisk::open(folder).map_err(DiskError::from_open)?;
    ensure_empty(&disk)?;
    Ok(disk)
}

/// Makes the creation of the folder itself durable. Otherwise a crash of the VM may
/// take the whole folder away, after its replica has voted.
fn sync_parent(folder: &Path) -> io::Result<()> {
    let parent = folder.parent().filter(|p| !p.as_os_str().is_empty());
    File::open(parent.unwrap_or(Path::new(".")))?.sync_all()
}
