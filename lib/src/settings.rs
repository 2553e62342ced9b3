//! Types of the settings with which a control replica or an entry VM is started.
//!
//! `settings_text` parses them from JSON with comments, checks them and reports each fault with
//! its file, line and column.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::duration_text::DurationText;
use crate::follow_lag::DEFAULT_IN_FORCE_DELAY;
use crate::heartbeat_timing::HeartbeatTiming;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::VmName;
use crate::team_share::LimitTolerance;

/// The settings of a control replica.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of the VM in reports and in the audit trail.
    pub vm: VmName,
    /// The place that the VM is in.
    pub place: PlaceName,
    /// The region of that place.
    pub region: RegionName,
    /// Address on which this replica serves other replicas, entry VMs and operators (gRPC).
    #[schemars(extend("format" = "socket-address"))]
    pub listen: SocketAddr,
    /// Address at which others reach this replica if it differs from `listen`, as behind an
    /// address translation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = "socket-address"))]
    pub advertise: Option<SocketAddr>,
    /// Folder of all data that must survive a restart. It is formatted by `control init`,
    /// `control join` or `control repair`.
    #[schemars(length(min = 1))]
    pub data_folder: PathBuf,
    /// Intervals of Raft and of sessions.
    #[serde(default)]
    pub timing: ControlTiming,
    /// How processes and operators of the deployment authenticate.
    pub security: Security,
    /// Number of log entries after which a snapshot is written and the log before it dropped.
    #[serde(default = "default_snapshot_every")]
    #[schemars(range(min = 1))]
    pub snapshot_every: u64,
    /// Settings of the process's log.
    #[serde(default)]
    pub log: LogSettings,
    /// How this replica finds the others without an operator. If absent, operators form the
    /// cluster with `control init` and `control join`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub formation: Option<FormationSettings>,
    /// Address on which metrics are served as text (HTTP/1.1). If absent, none are recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = "socket-address"))]
    pub metrics_listen: Option<SocketAddr>,
    /// What control provides if entry VMs dispatch directly to backend servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub direct: Option<DirectControlSettings>,
}

impl ControlSettings {
    /// Returns the address at which others reach this replica.
    #[must_use]
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

/// How control replicas find each other without an operator.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FormationSettings {
    /// Addresses of the replicas to contact. At the first start of the deployment these are its
    /// founders, and all replicas must list the same ones.
    #[schemars(length(min = 1), extend("items" = {"type": "string", "format": "socket-address"}))]
    pub seeds: Vec<SocketAddr>,
    /// Port that replaces the seeds' ports, for seeds that are given by the address of another
    /// listener.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed_port: Option<u16>,
    /// Whether the whole deployment starts for the first time. If so, a founder with an empty
    /// data folder takes part in founding the cluster; otherwise it asks to join.
    pub first_start: bool,
    /// Number of voters. Further replicas are learners, which replace voters that are lost.
    #[serde(default = "default_voters")]
    #[schemars(range(min = 1))]
    pub voters: u32,
    /// Time from the start of a replica that replaces a lost voter until it is to be a voter itself.
    /// Silent voters lose their seats early enough for that.
    #[serde(default = "default_replacement_within")]
    pub replacement_within: DurationText,
}

/// Five voters tolerate the loss of two, and a commit waits for the second fastest of the other
/// four.
const fn default_voters() -> u32 {
    5
}

const fn default_replacement_within() -> DurationText {
    DurationText(Duration::from_secs(4))
}

impl FormationSettings {
    /// Returns the addresses at which the seeds receive messages of other replicas.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        seed_addresses(&self.seeds, self.seed_port)
    }
}

/// Returns the seeds, with their ports replaced by `port` if it is given.
#[must_use]
pub fn seed_addresses(seeds: &[SocketAddr], port: Option<u16>) -> Vec<SocketAddr> {
    let port_of = |seed: &SocketAddr| port.unwrap_or(seed.port());
    seeds
        .iter()
        .map(|seed| SocketAddr::new(seed.ip(), port_of(seed)))
        .collect()
}

/// The interface to callers, backend servers and operators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InterfaceName {
    /// Heatherring's own interface.
    #[default]
    Heatherring,
    /// The interface of the users' platform.
    Platform,
}

/// What control provides if entry VMs dispatch directly to backend servers.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DirectControlSettings {
    /// The interface to parties outside the system.
    #[serde(default)]
    pub interface: InterfaceName,
    /// Address that serves backend servers and operators (HTTP/1.1).
    #[schemars(extend("format" = "socket-address"))]
    pub listen: SocketAddr,
    /// Address that serves callers' look-ups (HTTP/1.1). If absent, only entry VMs answer them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = "socket-address"))]
    pub look_ups: Option<SocketAddr>,
    /// The region of each place of the deployment.
    pub places: BTreeMap<PlaceName, RegionName>,
    /// Time for which callers cache the answer to a look-up, in milliseconds. Short, since they
    /// keep using an entry VM that has ended for this long.
    #[serde(default = "default_look_up_ms")]
    #[schemars(range(min = 1))]
    pub look_up_ms: u32,
    /// Interval at which backend servers send heartbeats; the same on all replicas.
    #[serde(default = "default_heartbeat")]
    pub heartbeat: DurationText,
    /// Time within which a confirmed manifest is to be in force at every entry VM; the same in the
    /// settings of entry VMs.
    #[serde(default = "default_in_force_within")]
    pub in_force_within: DurationText,
    /// Number of descriptors that the process may use, which bounds its open connections. If absent,
    /// a fixed number of connections is accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1))]
    pub max_descriptors: Option<u32>,
    /// By how much the limits of teams may be exceeded.
    #[serde(default)]
    pub team_limits: LimitTolerance,
}

impl DirectControlSettings {
    /// Returns the timeouts for heartbeats of backend servers.
    #[must_use]
    pub const fn heartbeat_timing(&self) -> HeartbeatTiming {
        HeartbeatTiming::new(self.heartbeat.0)
    }
}

pub(crate) const fn default_heartbeat() -> DurationText {
    DurationText(HeartbeatTiming::DEFAULT_INTERVAL)
}

pub(crate) const fn default_in_force_within() -> DurationText {
    DurationText(DEFAULT_IN_FORCE_DELAY)
}

pub(crate) const fn default_look_up_ms() -> u32 {
    2_000
}

const fn default_snapshot_every() -> u64 {
    1_000
}

/// The intervals of Raft among control replicas and of sessions.
///
/// They must be the same on all replicas of a cluster.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlTiming {
    /// Time between a leader's heartbeats, in milliseconds.
    #[schemars(range(min = 1))]
    pub heartbeat_ms: u32,
    /// Lower bound of the election timeout, after which a follower that has not heard from a
    /// leader starts an election, in milliseconds; more than two heartbeats.
    #[schemars(range(min = 1))]
    pub election_min_ms: u32,
    /// Upper bound of the election timeout, in milliseconds; more than the lower bound.
    #[schemars(range(min = 1))]
    pub election_max_ms: u32,
    /// Time for which an entry VM considers its session lease valid, in milliseconds; more than
    /// `election_max_ms` and `session_margin_ms` together, so that an ordinary election does not
    /// interrupt sessions.
    #[schemars(range(min = 1))]
    pub session_lease_ms: u32,
    /// Additional time for which control considers a lease valid, in milliseconds. It covers the
    /// difference in rate between the clocks of control and the entry VM.
    #[schemars(range(min = 1))]
    pub session_margin_ms: u32,
}

impl Default for ControlTiming {
    fn default() -> Self {
        Self {
            heartbeat_ms: 100,
            election_min_ms: 600,
            election_max_ms: 1_200,
            session_lease_ms: 3_000,
            session_margin_ms: 500,
        }
    }
}

impl ControlTiming {
    /// Returns the time between a leader's heartbeats as a duration.
    #[must_use]
    pub const fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms as u64)
    }

    /// Returns the lower bound of the election timeout.
    #[must_use]
    pub const fn election_min(&self) -> Duration {
        Duration::from_millis(self.election_min_ms as u64)
    }

    /// Returns the upper bound of the election timeout.
    #[must_use]
    pub const fn election_max(&self) -> Duration {
        Duration::from_millis(self.election_max_ms as u64)
    }

    /// Returns the time for which an entry VM considers its session lease valid.
    #[must_use]
    pub const fn session_lease(&self) -> Duration {
        Duration::from_millis(self.session_lease_ms as u64)
    }

    /// Returns the additional time for which control considers a lease valid.
    #[must_use]
    pub const fn session_margin(&self) -> Duration {
        Duration::from_millis(self.session_margin_ms as u64)
    }
}

/// The settings of an entry VM.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the VM; unique among the entry VMs of a deployment.
    pub vm: VmName,
    /// The place that the VM is in.
    pub place: PlaceName,
    /// The region of that place.
    pub region: RegionName,
    /// Addresses of the listeners.
    pub listen: EntryListen,
    /// Addresses at which others reach the listeners if they differ from `listen`, as behind an
    /// address translation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<EntryListen>,
    /// Addresses of control replicas, in the order in which they are tried.
    #[schemars(length(min = 1), extend("items" = {"type": "string", "format": "socket-address"}))]
    pub control: Vec<SocketAddr>,
    /// How processes and operators of the deployment authenticate.
    pub security: Security,
    /// Number of entry VMs in a region from which on two of them act as relays, which collect the
    /// session renewals of the others for control. It must be the same on all entry VMs.
    #[serde(default = "default_relay_min_entries")]
    #[schemars(range(min = 1))]
    pub relay_min_entries: u32,
    /// Limits on the resources that one peer may use.
    #[serde(default)]
    pub limits: EntryLimits,
    /// Settings of the process's log.
    #[serde(default)]
    pub log: LogSettings,
    /// Destination of metrics. If absent, none are sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<MetricsSettings>,
}

const fn default_relay_min_entries() -> u32 {
    8
}

impl EntrySettings {
    /// Returns the addresses at which others reach the listeners.
    #[must_use]
    pub fn advertised(&self) -> EntryListen {
        self.advertise.unwrap_or(self.listen)
    }
}

/// The addresses of an entry VM's listeners.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// For callers' look-ups and requests (HTTP/1.1 and 2).
    #[schemars(extend("format" = "socket-address"))]
    pub callers: SocketAddr,
    /// For announcements of backend servers (HTTP/1.1).
    #[schemars(extend("format" = "socket-address"))]
    pub backend_servers: SocketAddr,
    /// For messages of other entry VMs (gRPC).
    #[schemars(extend("format" = "socket-address"))]
    pub peers: SocketAddr,
    /// For requests that other entry VMs forward (HTTP/2).
    #[schemars(extend("format" = "socket-address"))]
    pub forward: SocketAddr,
}

/// Limits on the resources that one peer of an entry VM may use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryLimits {
    /// Largest size of a request's head, in bytes.
    #[schemars(range(min = 8_192, max = 1_048_576))]
    pub max_header_bytes: u32,
    /// Largest size of a request's body, in bytes.
    #[schemars(range(min = 1))]
    pub max_body_bytes: u32,
    /// Largest number of open connections per listener.
    #[schemars(range(min = 1))]
    pub max_connections: u32,
    /// Timeout for receiving a request's head, in milliseconds.
    #[schemars(range(min = 1))]
    pub header_timeout_ms: u32,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 1_048_576,
            max_connections: 4_096,
            header_timeout_ms: 5_000,
        }
    }
}

impl EntryLimits {
    /// Returns the timeout for receiving a request's head.
    #[must_use]
    pub const fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms as u64)
    }
}

/// Settings of a process's log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The lowest severity that is logged.
    pub level: LogLevel,
}

/// The severity of log records, the most severe first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator's attention.
    Error,
    /// Unexpected conditions that the process handles.
    Warn,
    /// Notable events in normal operation.
    #[default]
    Info,
    /// Decisions on individual requests.
    Debug,
    /// Individual steps of processing.
    Trace,
}

/// Destination of metrics.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// Address of the `StatsD` server (UDP).
    #[schemars(extend("format" = "socket-address"))]
    pub statsd: SocketAddr,
    /// Prefix of each metric's name.
    #[serde(default = "default_metrics_prefix")]
    pub prefix: String,
}

fn default_metrics_prefix() -> String {
    "heatherring".to_owned()
}

/// How the system's processes and its operators authenticate.
///
/// There is no default: leaving the protocols open must be an explicit choice.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Security {
    /// No authentication. Allowed only if every address that is listened on or connected to is a
    /// loopback address.
    OpenLoopback,
    /// No authentication, at any address. For deployments whose network lets nobody else reach
    /// the listeners: anyone who can connect can submit manifests.
    OpenNetwork,
    /// Mutual TLS: both ends of every connection present a certificate that was issued by the
    /// deployment's authority.
    Tls(TlsFiles),
}

/// Paths of the files of one process's TLS identity, all in PEM format.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// Certificates of the deployment's certificate authority.
    pub authority_file: PathBuf,
    /// Certificate of this process, issued for the DNS name `heatherring`.
    pub certificate_file: PathBuf,
    /// Private key of that certificate.
    pub key_file: PathBuf,
}
