//! The settings of an entry VM that dispatches directly.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::dispatch_policy::DispatchPolicy;
use crate::duration_text::DurationText;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::VmName;
use crate::settings::InterfaceName;
use crate::settings::LogSettings;
use crate::settings::Security;
use crate::settings::default_look_up_ms;
use crate::settings::seed_addresses;

/// Holds the settings of an entry VM that sends to backend servers itself.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// Names the VM; unique among the entry VMs of a deployment.
    pub vm: VmName,
    /// The place that the VM stands in.
    pub place: PlaceName,
    /// The region of that place.
    pub region: RegionName,
    /// The regions of all places.
    pub places: BTreeMap<PlaceName, RegionName>,
    /// Addresses to listen on.
    pub listen: DirectListen,
    /// Addresses of control replicas. The others are learned from them.
    #[schemars(length(min = 1), extend("items" = {"type": "string", "format": "socket-address"}))]
    pub control: Vec<SocketAddr>,
    /// The port to use in place of that of `control`, where replicas are known by another
    /// listener of theirs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control_port: Option<u16>,
    /// The interface towards callers and backend servers.
    #[serde(default)]
    pub interface: InterfaceName,
    /// How other processes prove that they belong to the deployment.
    pub security: Security,
    /// Bounds that hold for all entry VMs together.
    #[serde(default)]
    pub resends: ResendSettings,
    /// Time from a request to stop until the process is ended by force.
    #[serde(default = "default_grace")]
    pub grace: DurationText,
    /// Time for which callers keep the answer to a look-up, in milliseconds.
    #[serde(default = "default_look_up_ms")]
    #[schemars(range(min = 1))]
    pub look_up_ms: u32,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
    /// Mechanisms of dispatch that are switched off, to measure what they are worth.
    /// Experimental.
    #[serde(default)]
    pub experiments: DispatchPolicy,
}

impl DirectSettings {
    /// Returns where control replicas take messages.
    #[must_use]
    pub fn control_peers(&self) -> Vec<SocketAddr> {
        seed_addresses(&self.control, self.control_port)
    }
}

fn default_grace() -> DurationText {
    DurationText(std::time::Duration::from_secs(10))
}

/// Holds the addresses of the listeners.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DirectListen {
    /// For callers' requests (HTTP/1.1).
    #[schemars(extend("format" = "socket-address"))]
    pub callers: SocketAddr,
    /// For the question whether this entry VM takes requests (HTTP/1.1).
    #[schemars(extend("format" = "socket-address"))]
    pub ready: SocketAddr,
    /// For callers' look-ups (HTTP/1.1); without it only control answers them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = "socket-address"))]
    pub look_ups: Option<SocketAddr>,
    /// For whoever reads the metrics, as text (HTTP/1.1); without it none are recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = "socket-address"))]
    pub metrics: Option<SocketAddr>,
}

/// Bounds how often requests are sent to a second backend server.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ResendSettings {
    /// Resends for each request of a service.
    pub ratio: f64,
    /// Resends besides, in any window.
    pub slack: f64,
}

impl Default for ResendSettings {
    /// A tenth of the requests, as the entry VMs that own backend servers allow, and
    /// enough besides that a quiet deployment can resend.
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 20.0,
        }
    }
}
