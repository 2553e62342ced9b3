//! Why a request isn't run, and when its caller may come back.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Tells that a request was not run, why, and when to come back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Time after which asking again makes sense.
    pub retry_after: Duration,
}

/// Tells why a request was refused before it was dispatched.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The session's lease is over or there is no manifest in force yet.
    NoLease,
    /// The manifest in force has no such service at this place.
    UnknownService,
    /// Another session owns the backend servers, or will.
    NotOwner,
    /// The new owner still waits for the old one's work to be surely over.
    OwnershipNotSettled,
    /// No backend server is announced, ready and healthy.
    NoBackendServer,
    /// The place or every backend server there is drained.
    Drained,
    /// The answer couldn't come before the request's deadline.
    DeadlineTooClose,
    /// The queue is full.
    QueueFull,
    /// The deadline passed while the request waited.
    Expired,
    /// The place's limit of requests a second is used up.
    PlaceRateLimit,
    /// The cap on shifts from the caller's place is used up.
    ShiftCap,
    /// The limit of the link between the regions is used up.
    LinkLimit,
    /// The budget for trying other owners is used up.
    RetryBudget,
}

impl RefusalReason {
    /// Returns the name used towards callers and in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoLease => "no_lease",
            Self::UnknownService => "unknown_service",
            Self::NotOwner => "not_owner",
            Self::OwnershipNotSettled => "ownership_not_settled",
            Self::NoBackendServer => "no_backend_server",
            Self::Drained => "drained",
            Self::DeadlineTooClose => "deadline_too_close",
            Self::QueueFull => "queue_full",
            Self::Expired => "expired",
            Self::PlaceRateLimit => "place_rate_limit",
            Self::ShiftCap => "shift_cap",
            Self::LinkLimit => "link_limit",
            Self::RetryBudget => "retry_budget",
        }
    }
}
