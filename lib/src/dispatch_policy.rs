//! Switches for the mechanisms of direct dispatch.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Disables mechanisms of direct dispatch individually, to measure their effect.
///
/// Experimental: the effect of each switch may change, and all of them should stay enabled in a
/// deployment. Mechanisms that uphold a guarantee rather than improve performance have no
/// switch: the rate limit of cold backend servers, treating places as cold while control is
/// unreachable, and the resend budget.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
#[expect(clippy::struct_excessive_bools, reason = "one switch a mechanism")]
pub struct DispatchPolicy {
    /// Assigns each object to few backend servers.
    pub homes: bool,
    /// Copies an object to a region without a copy while backend servers there have spare
    /// capacity.
    pub copies_ahead: bool,
    /// Makes an additional copy of an object when all backend servers with a copy are busy.
    pub copies_when_busy: bool,
    /// Limits the making of copies to a share of the requests.
    pub bounded_copies: bool,
    /// Limits queueing times by the latency objective rather than by the deadline.
    pub waits_by_objective: bool,
    /// Limits less urgent requests to a smaller share of the available queueing time.
    pub shares_by_priority: bool,
    /// Avoids backend servers that take longer than expected.
    pub slow_marks: bool,
    /// Avoids backend servers that fail, hang or reject requests.
    pub fault_marks: bool,
    /// Resends requests to a second backend server.
    pub resends: bool,
    /// Spreads the retry delays of callers that are refused together.
    pub spread_returns: bool,
    /// Lets the reported load of other senders converge to its average as a report ages.
    pub usual_loads: bool,
    /// Keeps separate latency estimates for each route.
    pub routes_apart: bool,
    /// Lets requests wait briefly for the first view after a start.
    pub first_view_wait: bool,
}

impl Default for DispatchPolicy {
    /// Enables all mechanisms.
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
