//! Formatting of a control replica's data folder, for `init`, `join` and `repair`.

use std::net::SocketAddr;
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
use crate::folder_creation::create_durably;
use crate::folder_creation::sync_folder;
use crate::log_disk::DiskError;
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

/// Number of bits of a replica's identity: JSON parsers represent integers up to this size
/// exactly.
const REPLICA_ID_BITS: u32 = 53;

/// Timeout of a call to the cluster.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Reason for which a data folder could not be formatted.
#[derive(Debug, Snafu)]
pub enum FormatError {
    /// The data folder cannot be used.
    #[snafu(display("data folder {}: {source}", folder.display()))]
    Folder {
        /// Path of the data folder.
        folder: std::path::PathBuf,
        /// Cause of the failure.
        source: DiskError,
    },
    /// The list of addresses of control replicas is empty.
    #[snafu(display("no address of a replica was given"))]
    NoAddress,
    /// A connection to the address cannot be set up.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address of a control replica.
        address: SocketAddr,
        /// Cause of the failure.
        source: PeerSecurityError,
    },
    /// The certificates of the settings cannot be used.
    #[snafu(display("{source}"))]
    Security {
        /// Cause of the failure.
        source: PeerSecurityError,
    },
    /// The call failed or timed out, so the replica may have been added.
    #[snafu(display(
        "the cluster did not answer: {}\nhint: the folder was not formatted, and trying \
        again is safe; a replica that shows up in `heatherring status` without ever \
        catching up can be removed",
        source.message()
    ))]
    NoAnswer {
        /// Status with which the call ended.
        source: Box<Status>,
    },
    /// The cluster refused the replica.
    #[snafu(display("the cluster refused this replica: {reason}"))]
    Refused {
        /// Reason that the cluster gave.
        reason: String,
    },
    /// The cluster's answer has no valid cluster identity.
    #[snafu(display("the cluster's answer has no cluster identity"))]
    ClusterIdentity,
}

impl FormatError {
    /// Returns whether only room on the disk is missing.
    #[must_use]
    pub const fn is_disk_full(&self) -> bool {
        matches!(self, Self::Folder { source, .. } if source.is_full())
    }
}

/// Creates a new cluster with this replica as its only member, and returns the replica's
/// identity.
///
/// Without self-formation, this is the only way to create a cluster. A second `init` creates a
/// second cluster, with another identity, whose replicas refuse those of the first.
///
/// # Errors
///
/// Returns [`FormatError::Folder`] if the folder is not empty or cannot be written.
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

/// Formats the data folder with an identity and its first records.
///
/// # Errors
///
/// Returns [`FormatError::Folder`] if the folder is not empty or cannot be written.
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

/// Adds this replica as a learner with a fresh identity to the cluster whose replicas listen at
/// `control`, and formats the data folder with that identity. With `replaces`, the replica of that
/// identity is removed once the new one votes.
///
/// # Errors
///
/// Returns a [`FormatError`] if the folder is not empty, or the cluster cannot be reached or
/// refuses. In the latter two cases the folder is not formatted.
pub async fn join(
    settings: &ControlSettings,
    control: &[SocketAddr],
    replaces: Option<ReplicaId>,
    operator: &str,
) -> Result<Identity, FormatError> {
    let folder = &settings.data_folder;
    let disk = open_empty(folder).context(FolderSnafu { folder })?;
    let replica = random_replica();
    let reply = add_via_any(settings, control, replica, replaces, operator).await?;
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

/// Calls one replica after another until one answers. All are asked to add the same identity, so
/// a call whose answer was lost does not add the replica twice.
async fn add_via_any(
    settings: &ControlSettings,
    control: &[SocketAddr],
    replica: ReplicaId,
    replaces: Option<ReplicaId>,
    operator: &str,
) -> Result<ChangeMembershipReply, FormatError> {
    let mut outcome = NoAddressSnafu.fail();
    for via in control {
        outcome = add_via(settings, *via, replica, replaces, operator).await;
        if outcome.is_ok() {
            break;
        }
    }
    outcome
}

async fn add_via(
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
    request.set_timeout(ANSWER_TIMEOUT);
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

/// Returns a random identity for a new replica.
#[must_use]
pub fn random_replica() -> ReplicaId {
    replica_id(rand::random())
}

/// Returns the identity for random or hashed bits: their lowest 53 bits, and never 0.
#[must_use]
pub fn replica_id(bits: u64) -> ReplicaId {
    let mask = (1 << REPLICA_ID_BITS) - 1;
    ReplicaId((bits & mask).max(1))
}

/// Opens an empty folder for formatting; creates it if only the last component of its path is
/// missing.
fn open_empty(folder: &Path) -> Result<FolderDisk, DiskError> {
    let created = create_durably(folder, sync_folder);
    created.map_err(|failure| DiskError::from_write(failure, 0))?;
    let disk = FolderDisk::open(folder).map_err(DiskError::from_open)?;
    ensure_empty(&disk)?;
    Ok(disk)
}
