//! What a dispatcher is asked, what it answers, and what it is told afterwards.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use slotmap::new_key_type;

use crate::affinity::ObjectHash;
use crate::backend_load::LoadReport;
use crate::backend_load::SendKey;
use crate::id::BackendName;
use crate::id::RegionName;
use crate::id::RouteName;
use crate::id::ServiceName;
use crate::request_rank::RequestRank;
use crate::service_latency::RouteLatencyKey;

/// When a caller is told to come back that another entry VM can serve at once. It has yet to
/// pick that one, and connects anew.
pub const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(100);

new_key_type! {
    /// Identifies a backend server within one dispatcher.
    pub struct BackendKey;
}

/// Asks for a backend server.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The route that the request came by.
    pub route: &'a RouteName,
    /// The route's latency objective.
    pub latency_objective: Duration,
    /// The object that the request concerns, if its data may be at hand somewhere.
    pub object: Option<ObjectHash>,
    /// Which requests it comes after.
    pub rank: RequestRank,
    /// When the answer must be there.
    pub deadline: Instant,
    /// When the answer should be there: the route's latency objective, from its arrival.
    pub objective: Instant,
    /// When this entry VM, which stops, passes on its last answers; nothing if it doesn't.
    pub answers_until: Option<Instant>,
    /// Regions that the request must stay in; empty allows all.
    pub homes: &'a [RegionName],
    /// Backend servers that the request was sent to before.
    pub tried: &'a [BackendKey],
    /// Whether one of them received it.
    pub resend: bool,
}

impl DispatchRequest<'_> {
    /// Returns when the answer must be there to reach its caller.
    #[must_use]
    pub fn answer_by(&self) -> Instant {
        self.answers_until
            .map_or(self.deadline, |until| until.min(self.deadline))
    }

    /// Returns whether the request may go to a region.
    #[must_use]
    pub fn allows(&self, region: &RegionName) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }
}

/// Holds the backend server that was picked. The request counts as in flight there.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The backend server.
    pub backend: BackendKey,
    /// The times of its route.
    pub latency_key: RouteLatencyKey,
    /// The request in flight.
    pub send: SendKey,
    /// Its name.
    pub name: BackendName,
    /// When its process started; tells its lives apart.
    pub born: u64,
    /// Where it is.
    pub address: SocketAddr,
    /// Connections to it that are allowed.
    pub max_connections: u32,
    /// Whether its data are expected to be at hand.
    pub warm: bool,
    /// When the answer is expected, in time from now.
    pub expected: Duration,
    /// How long the request is expected to wait there.
    pub wait: Duration,
    /// How old the backend server's latest report of its load is; nothing without one.
    pub report_age: Option<Duration>,
}

/// Tells why no backend server was picked, and when it makes sense to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Why.
    pub reason: RefusedReason,
    /// When to come back.
    pub retry_after: Duration,
    /// Backend servers that are taken to have the data.
    pub considered: usize,
    /// Shortest wait that one of them offered.
    pub shortest_wait: Option<Duration>,
}

/// Names the reason of a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusedReason {
    /// No backend server of the service may be used.
    NoBackend,
    /// None would answer in time.
    NoRoom,
    /// One would, but this entry VM ends before.
    Leaving,
    /// This entry VM's own link is full.
    LinkFull,
    /// The budget of resends is used up.
    NoResend,
}

impl RefusedReason {
    /// Returns the reason as logs and metrics name it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoBackend => "no_backend",
            Self::NoRoom => "no_room",
            Self::Leaving => "leaving",
            Self::LinkFull => "link_full",
            Self::NoResend => "no_resend",
        }
    }
}

/// Tells how a request at a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// With an answer of the backend server.
    Answered,
    /// With an answer that tells of a fault of the backend server.
    Faulty,
    /// It was turned away without being run.
    Shed,
    /// Another backend server has that address.
    Misdirected,
    /// No connection could be had.
    Unreachable,
    /// It wasn't sent: the backend server may not be sent to any more.
    Withdrawn,
    /// The connection or the answer broke.
    Broken,
    /// The caller left or the time was over; tells nothing but that no answer came.
    Abandoned,
}

impl SendOutcome {
    /// Returns the outcome as logs and metrics name it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Faulty => "faulty",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::Unreachable => "unreachable",
            Self::Withdrawn => "withdrawn",
            Self::Broken => "broken",
            Self::Abandoned => "abandoned",
        }
    }
}

/// Reports the end of a request at a backend server.
#[derive(Clone, Copy, Debug)]
pub struct SendEnd {
    /// The backend server.
    pub backend: BackendKey,
    /// The request.
    pub send: SendKey,
    /// How it ended.
    pub outcome: SendOutcome,
    /// What the backend server said of its load.
    pub load: Option<LoadReport>,
    /// The object.
    pub object: Option<ObjectHash>,
}
