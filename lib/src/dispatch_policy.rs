//! Which mechanisms of direct dispatch are in use.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Switches the mechanisms of direct dispatch off one by one, to measure what each is worth.
///
/// Experimental: what each does may change, and all of them belong on in a deployment.
/// Mechanisms that keep a promise rather than gain something have no switch: the rate that a
/// cold backend server bears, doubt about places while control is out of reach, the budget of
/// resends.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
#[expect(clippy::struct_excessive_bools, reason = "one switch a mechanism")]
pub struct DispatchPolicy {
    /// Objects are kept to few backend servers.
    pub homes: bool,
    /// A region without a copy of an object makes one while backend servers have room.
    pub copies_ahead: bool,
    /// A further copy is made where all that have one are busy.
    pub copies_when_busy: bool,
    /// Copies are bounded by a share of the requests.
    pub bounded_copies: bool,
    /// Waits are bounded by the latency objective rather than by the deadline.
    pub waits_by_objective: bool,
    /// Less urgent requests may wait for a smaller share of the time.
    pub shares_by_priority: bool,
    /// Backend servers that take longer than expected are avoided.
    pub slow_marks: bool,
    /// Backend servers that fail, hang or turn requests away are avoided.
    pub fault_marks: bool,
    /// Requests are sent to a second backend server.
    pub resends: bool,
    /// Callers that are refused together are told to come back apart.
    pub spread_returns: bool,
    /// As a report ages, others are taken to have there what reports tell of them on average.
    pub usual_loads: bool,
    /// Each route has its own times.
    pub routes_apart: bool,
    /// Requests wait a little for the first view after a start.
    pub first_view_wait: bool,
}

impl Default for DispatchPolicy {
    /// Everything is in use.
    fn default() -> Self {
        Self {
            homes: true,
            copies_ahead: true,
            copies_when_busy: true,
            bounded_copies: true,
            waits_by_objective: true,
            shares_by_priority: true,
            slow_marks: true,
            fault_marks: true,
            resends: true,
            spread_returns: true,
            usual_loads: true,
            routes_apart: true,
            first_view_wait: true,
        }
    }
}
