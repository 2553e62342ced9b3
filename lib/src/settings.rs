//! The settings with which a control replica or an entry VM is started.
//!
//! These are the types. `settings_text` reads them from JSON with comments, checks
//! them and reports each fault with its file, line and column.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::VmName;
use crate::team_share::LimitTolerance;

/// Holds the settings of a control replica.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Names the VM in reports and in the audit trail.
    pub vm: VmName,
    /// The place that the VM stands in.
    pub place: PlaceName,
    /// The region of that place.
    pub region: RegionName,
    /// Where other replicas, entry VMs and operators reach this replica (gRPC).
    #[schemars(extend("format" = "socket-address"))]
    pub listen: SocketAddr,
    /// Where others reach this replica, if that isn't `listen`, as behind an address
    /// translation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = "socket-address"))]
    pub advertise: Option<SocketAddr>,
    /// The folder that holds everything that must survive a restart. Formatted by
    /// `control init`, `control join` or `control repair`.
    #[schemars(length(min = 1))]
    pub data_folder: PathBuf,
    /// Intervals of the agreement among replicas, and of sessions.
    #[serde(default)]
    pub timing: ControlTiming,
    /// How other processes and operators prove that they belong to the deployment.
    pub security: Security,
    /// A snapshot is written, and the log before it dropped, every so many log positions.
    #[serde(default = "default_snapshot_every")]
    #[schemars(range(min = 1))]
    pub snapshot_every: u64,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
    /// How this replica finds the others by itself. Without it, operators form the
    /// cluster with `control init` and `control join`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub formation: Option<FormationSettings>,
    /// Where metrics are served as text (HTTP/1.1); without it none are recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = "socket-address"))]
    pub metrics_listen: Option<SocketAddr>,
    /// What control offers where entry VMs dispatch directly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub direct: Option<DirectControlSettings>,
}

impl ControlSettings {
    /// Returns where others reach this replica.
    #[must_use]
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

/// Says how control replicas find each other without an operator.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FormationSettings {
    /// Addresses of replicas to ask. At the first start of the deployment these are its
    /// founders, and all replicas must name the same ones.
    #[schemars(length(min = 1), extend("items" = {"type": "string", "format": "socket-address"}))]
    pub seeds: Vec<SocketAddr>,
    /// The port to use in place of the seeds' own, where they are known by another
    /// listener of theirs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed_port: Option<u16>,
    /// Whether the whole deployment starts for the first time. A founder with an empty
    /// data folder then takes part in founding; at any other time it asks to join.
    pub first_start: bool,
    /// Replicas that vote. Further ones learn, and take the place of those that are lost.
    #[serde(default = "default_voters")]
    #[schemars(range(min = 1))]
    pub voters: u32,
}

/// Five voters bear the loss of two, and each commit waits for the second fastest of the
/// four others.
const fn default_voters() -> u32 {
    5
}

impl FormationSettings {
    /// Returns where the seeds take messages of other replicas.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        seed_addresses(&self.seeds, self.seed_port)
    }
}

/// Returns the seeds with their port replaced, if another one is given.
#[must_use]
pub fn seed_addresses(seeds: &[SocketAddr], port: Option<u16>) -> Vec<SocketAddr> {
    let port_of = |seed: &SocketAddr| port.unwrap_or(seed.port());
    seeds
        .iter()
        .map(|seed| SocketAddr::new(seed.ip(), port_of(seed)))
        .collect()
}

/// Names the interface towards callers, backend servers and operators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InterfaceName {
    /// Heatherring's own.
    #[default]
    Heatherring,
    /// That of the platform of the users.
    Platform,
}

/// Says what control offers where entry VMs dispatch directly.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DirectControlSettings {
    /// The interface towards those who aren't part of the system.
    #[serde(default)]
    pub interface: InterfaceName,
    /// Where backend servers and operators call (HTTP/1.1).
    #[schemars(extend("format" = "socket-address"))]
    pub listen: SocketAddr,
    /// Where callers' look-ups are answered (HTTP/1.1); without it only entry VMs do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = "socket-address"))]
    pub look_ups: Option<SocketAddr>,
    /// The regions of all places.
    pub places: BTreeMap<PlaceName, RegionName>,
    /// Time for which callers keep the answer to a look-up, in milliseconds. Short, since
    /// they go on using an entry VM that has ended for as long.
    #[serde(default = "default_look_up_ms")]
    #[schemars(range(min = 1))]
    pub look_up_ms: u32,
    /// How far the limits of teams may be exceeded.
    #[serde(default)]
    pub team_limits: LimitTolerance,
}

pub(crate) const fn default_look_up_ms() -> u32 {
    2_000
}

const fn default_snapshot_every() -> u64 {
    1_000
}

/// Holds the intervals of the agreement among control replicas and of sessions.
///
/// They must be the same on all replicas of a cluster.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlTiming {
    /// Time between a leader's heartbeats, in milliseconds.
    #[schemars(range(min = 1))]
    pub heartbeat_ms: u32,
    /// Shortest silence of a leader after which a follower stands for election, in
    /// milliseconds; more than two heartbeats.
    #[schemars(range(min = 1))]
    pub election_min_ms: u32,
    /// Longest such silence, in milliseconds; more than the shortest.
    #[schemars(range(min = 1))]
    pub election_max_ms: u32,
    /// Time for which a granted session lease runs at an entry VM, in milliseconds;
    /// outlasts an ordinary election with its margin.
    #[schemars(range(min = 1))]
    pub session_lease_ms: u32,
    /// Time by which control counts a lease longer than the entry VM does, in
    /// milliseconds. It covers the difference in the rate of their clocks.
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
    /// Returns the time between a leader's heartbeats.
    #[must_use]
    pub const fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms as u64)
    }

    /// Returns the shortest silence of a leader that starts an election.
    #[must_use]
    pub const fn election_min(&self) -> Duration {
        Duration::from_millis(self.election_min_ms as u64)
    }

    /// Returns the longest silence of a leader that a follower waits for.
    #[must_use]
    pub const fn election_max(&self) -> Duration {
        Duration::from_millis(self.election_max_ms as u64)
    }

    /// Returns the time for which a session lease runs at the entry VM.
    #[must_use]
    pub const fn session_lease(&self) -> Duration {
        Duration::from_millis(self.session_lease_ms as u64)
    }

    /// Returns the time by which control counts a lease longer.
    #[must_use]
    pub const fn session_margin(&self) -> Duration {
        Duration::from_millis(self.session_margin_ms as u64)
    }
}

/// Holds the settings of an entry VM.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Names the VM; unique among the entry VMs of a deployment.
    pub vm: VmName,
    /// The place that the VM stands in.
    pub place: PlaceName,
    /// The region of that place.
    pub region: RegionName,
    /// Addresses to listen on.
    pub listen: EntryListen,
    /// Where others reach the listeners, if that isn't `listen`, as behind an address
    /// translation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<EntryListen>,
    /// Addresses of control replicas, tried in order.
    #[schemars(length(min = 1), extend("items" = {"type": "string", "format": "socket-address"}))]
    pub control: Vec<SocketAddr>,
    /// How other processes and operators prove that they belong to the deployment.
    pub security: Security,
    /// Number of entry VMs in a region from which on two of them collect the renewals
    /// of the others' sessions for control. The same on all entry VMs.
    #[serde(default = "default_relay_min_entries")]
    #[schemars(range(min = 1))]
    pub relay_min_entries: u32,
    /// Bounds on what one peer may cost.
    #[serde(default)]
    pub limits: EntryLimits,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
    /// Where metrics go; without it none are sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<MetricsSettings>,
}

const fn default_relay_min_entries() -> u32 {
    8
}

impl EntrySettings {
    /// Returns where others reach the listeners.
    #[must_use]
    pub fn advertised(&self) -> EntryListen {
        self.advertise.unwrap_or(self.listen)
    }
}

/// Holds the addresses of an entry VM's listeners.
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

/// Bounds what one peer of an entry VM may cost.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryLimits {
    /// Bytes of a request's head.
    #[schemars(range(min = 8_192, max = 1_048_576))]
    pub max_header_bytes: u32,
    /// Bytes of a request's body.
    #[schemars(range(min = 1))]
    pub max_body_bytes: u32,
    /// Connections open at one listener.
    #[schemars(range(min = 1))]
    pub max_connections: u32,
    /// Time within which a request's head must arrive, in milliseconds.
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
    /// Returns the time within which a request's head must arrive.
    #[must_use]
    pub const fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms as u64)
    }
}

/// Says what is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: LogLevel,
}

/// Grades log records by severity.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that someone must look at.
    Error,
    /// Something unexpected that the process copes with.
    Warn,
    /// Events worth knowing in ordinary operation.
    #[default]
    Info,
    /// Decisions on single requests.
    Debug,
    /// Every step.
    Trace,
}

/// Says where metrics go.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// The `StatsD` server (UDP).
    #[schemars(extend("format" = "socket-address"))]
    pub statsd: SocketAddr,
    /// Put before each metric's name.
    #[serde(default = "default_metrics_prefix")]
    pub prefix: String,
}

fn default_metrics_prefix() -> String {
    "heatherring".to_owned()
}

/// Says how the system's processes and its operators prove that they belong together.
///
/// There is no default: leaving the protocols open must be an explicit choice.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Security {
    /// Nobody proves anything. Allowed only while every address listened on and
    /// connected to is a loopback address.
    OpenLoopback,
    /// Nobody proves anything, at any address. For deployments whose network lets no one
    /// else reach the listeners: whoever can connect can submit manifests.
    OpenNetwork,
    /// Both ends of every connection show a certificate of the deployment's authority.
    Tls(TlsFiles),
}

/// Names the files of one process's TLS identity, all in PEM.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// Certificates of the deployment's authority.
    pub authority_file: PathBuf,
    /// This process's certificate, made out to the DNS name `heatherring`.
    pub certificate_file: PathBuf,
    /// The key of that certificate.
    pub key_file: PathBuf,
}
