//! Settings of an entry VM with direct dispatch.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::dispatch_policy::DispatchPolicy;
use crate::duration_text::DurationText;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::VmName;
use crate::resend_budget::ResendLimit;
use crate::settings::InterfaceName;
use crate::settings::LogSettings;
use crate::settings::Security;
use crate::settings::default_heartbeat;
use crate::settings::default_in_force_within;
use crate::settings::default_look_up_ms;
use crate::settings::seed_addresses;

/// Settings of an entry VM that sends requests to backend servers itself.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// Name of the VM; unique among the entry VMs of a deployment.
    pub vm: VmName,
    /// Place of the VM.
    pub place: PlaceName,
    /// Region of that place.
    pub region: RegionName,
    /// Regions of all places.
    pub places: BTreeMap<PlaceName, RegionName>,
    /// Addresses to listen on.
    pub listen: DirectListen,
    /// Addresses of some control replicas. The others are learned from these.
    #[schemars(length(min = 1), extend("items" = {"type": "string", "format": "socket-address"}))]
    pub control: Vec<SocketAddr>,
    /// Port used instead of the one in `control`, for replicas that are listed with the address
    /// of another of their listeners.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control_port: Option<u16>,
    /// Interface towards callers and backend servers.
    #[serde(default)]
    pub interface: InterfaceName,
    /// How other processes prove that they belong to the deployment.
    pub security: Security,
    /// Interval at which backend servers send heartbeats to control; the same as in control's
    /// settings.
    #[serde(default = "default_heartbeat")]
    pub heartbeat: DurationText,
    /// Time within which a confirmed manifest is to be in force at every entry VM; the same in
    /// control's settings. An entry VM whose view may lack a manifest that was confirmed longer ago
    /// refuses no request for good because of it.
    #[serde(default = "default_in_force_within")]
    pub in_force_within: DurationText,
    /// The VM's network link. Without it, answers are passed on as fast as they come.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link: Option<LinkSettings>,
    /// Limits on resends for all entry VMs together.
    #[serde(default)]
    pub resends: ResendSettings,
    /// Time from a stop request until the process is terminated by force.
    #[serde(default = "default_grace")]
    pub grace: DurationText,
    /// Time for which callers may cache the result of a look-up, in milliseconds.
    #[serde(default = "default_look_up_ms")]
    #[schemars(range(min = 1))]
    pub look_up_ms: u32,
    /// Which entry VMs look-ups name.
    #[serde(default)]
    pub look_ups: LookUpSettings,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
    /// Dispatch mechanisms to disable in order to measure their effect. Experimental.
    #[serde(default)]
    pub experiments: DispatchPolicy,
}

impl DirectSettings {
    /// Returns the peer addresses of the control replicas.
    #[must_use]
    pub fn control_peers(&self) -> Vec<SocketAddr> {
        seed_addresses(&self.control, self.control_port)
    }

    /// Returns the time for which callers may cache the result of a look-up.
    #[must_use]
    pub fn look_up_keep(&self) -> Duration {
        Duration::from_millis(self.look_up_ms.into())
    }
}

fn default_grace() -> DurationText {
    DurationText(Duration::from_secs(10))
}

/// Addresses of the listeners.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DirectListen {
    /// Callers' requests (HTTP/1.1).
    #[schemars(extend("format" = "socket-address"))]
    pub callers: SocketAddr,
    /// Readiness checks: whether this entry VM accepts requests (HTTP/1.1).
    #[schemars(extend("format" = "socket-address"))]
    pub ready: SocketAddr,
    /// Callers' look-ups (HTTP/1.1). Without it, only control answers look-ups.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = "socket-address"))]
    pub look_ups: Option<SocketAddr>,
    /// Metrics as text (HTTP/1.1). Without it, no metrics are recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = "socket-address"))]
    pub metrics: Option<SocketAddr>,
}

/// The network link of a VM.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// Rate of the link in each direction, in megabits per second. One that is not positive counts
    /// as not known.
    pub mbps: f64,
}

impl LinkSettings {
    /// Bytes per second of one megabit per second.
    const BYTES_PER_MBPS: f64 = 125_000.0;

    /// Returns the rate in bytes per second; `None` if it is not positive.
    #[must_use]
    pub fn bytes_per_second(&self) -> Option<f64> {
        let rate = self.mbps * Self::BYTES_PER_MBPS;
        (rate.is_finite() && rate > 0.0).then_some(rate)
    }
}

/// Which entry VMs look-ups name.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LookUpSettings {
    /// Whether this entry VM tells its headroom, so that look-ups name it in proportion to it.
    pub by_headroom: bool,
    /// Size of this VM, in any unit that all entry VMs share.
    #[schemars(range(min = 0.01, max = 200.0))]
    pub size: f64,
}

impl Default for LookUpSettings {
    fn default() -> Self {
        Self {
            by_headroom: false,
            size: 1.0,
        }
    }
}

/// Limits on sending requests to a second backend server.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ResendSettings {
    /// Resends allowed per request of a service.
    pub ratio: f64,
    /// Additional resends allowed in any window.
    pub slack: f64,
    /// Length of the windows. Without it, the limit is kept over windows of any length, and
    /// resends that requests earn are lost if they are not used at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub window: Option<DurationText>,
}

impl ResendSettings {
    /// Returns the limit that these settings define.
    #[must_use]
    pub fn limit(&self) -> ResendLimit {
        ResendLimit {
            ratio: self.ratio,
            slack: self.slack,
            window: self.window.map(|window| window.0),
        }
    }
}

impl Default for ResendSettings {
    /// Allows a tenth of the requests, as entry VMs that own backend servers do, plus enough
    /// resends for a deployment with little traffic.
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 20.0,
            window: None,
        }
    }
}
