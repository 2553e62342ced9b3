//! Input and result of a dispatch decision, and the report on how the request ended.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use slotmap::new_key_type;

use crate::affinity::ObjectHash;
use crate::backend_load::SendKey;
use crate::backend_statement::ReceivedStatement;
use crate::id::BackendName;
use crate::id::RegionName;
use crate::id::RouteName;
use crate::id::ServiceName;
use crate::link_admission::ExpectedAnswer;
use crate::rate_limit::RequestRate;
use crate::request_rank::RequestRank;
use crate::service_latency::RouteLatencyKey;

/// Retry delay for a caller that another entry VM can serve immediately. The caller has to
/// select that entry VM and open a new connection.
pub const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(100);

new_key_type! {
    /// Identifies a backend server within one dispatcher.
    pub struct BackendKey;
}

/// A request for which a backend server is to be selected.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRequest<'a> {
    /// Name of the service.
    pub service: &'a ServiceName,
    /// Route that the request matched.
    pub route: &'a RouteName,
    /// Latency objective of the route.
    pub latency_objective: Duration,
    /// Object that the request refers to, if its data may be cached at a backend server.
    pub object: Option<ObjectHash>,
    /// Priority rank of the request.
    pub rank: RequestRank,
    /// Time by which the response is required.
    pub deadline: Instant,
    /// Time by which the response is desired: the arrival plus the latency objective of the
    /// route.
    pub objective: Instant,
    /// When this entry VM, if it is stopping, forwards its last responses; `None` if it is not
    /// stopping.
    pub answers_until: Option<Instant>,
    /// Regions that the request must stay in; empty if all are allowed.
    pub homes: &'a [RegionName],
    /// Backend servers that the request was already sent to.
    pub tried: &'a [BackendKey],
    /// Whether one of those received it.
    pub resend: bool,
}

impl DispatchRequest<'_> {
    /// Returns the time by which the response has to arrive here to reach the caller.
    #[must_use]
    pub fn answer_by(&self) -> Instant {
        self.answers_until
            .map_or(self.deadline, |until| until.min(self.deadline))
    }

    /// Returns whether the request may be sent to a region.
    #[must_use]
    pub fn allows(&self, region: &RegionName) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }
}

/// The selected backend server, where the request counts as in flight.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Key of the backend server.
    pub backend: BackendKey,
    /// Latency estimates of the route.
    pub latency_key: RouteLatencyKey,
    /// Key of the request in flight.
    pub send: SendKey,
    /// Name of the backend server.
    pub name: BackendName,
    /// When its process started; distinguishes process instances of one name.
    pub born: u64,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Maximum number of connections to it.
    pub max_connections: u32,
    /// Whether the data of the object are expected to be cached there.
    pub warm: bool,
    /// Expected time until the response.
    pub expected: Duration,
    /// Expected queueing time at the backend server.
    pub wait: Duration,
    /// Age of the backend server's latest load report; `None` without one.
    pub report_age: Option<Duration>,
    /// Rate limit that the backend server is known to have declared.
    pub limit: Option<RequestRate>,
    /// Backend servers that the object is assigned to, but that were passed over.
    pub passed_over: PassedOver,
    /// What the answer is expected to weigh; `None` if this entry VM's link is not scheduled.
    pub expected_answer: Option<ExpectedAnswer>,
    /// Size of the receive buffer of a connection to the backend server, in bytes; `None` for the
    /// system's default.
    pub receive_buffer: Option<u32>,
}

/// Numbers of backend servers that a request was not sent to although its object is assigned to
/// them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PassedOver {
    /// Those whose limits are used up.
    pub limited: usize,
    /// Those that asked for a time without requests.
    pub paused: usize,
}

/// Refusal: the reason and the retry delay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Reason of the refusal.
    pub reason: RefusedReason,
    /// Delay after which a retry is useful.
    pub retry_after: Duration,
    /// Number of backend servers that were assumed to have the data cached.
    pub considered: usize,
    /// Shortest expected queueing time among those.
    pub shortest_wait: Option<Duration>,
}

/// Reason why no backend server was selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusedReason {
    /// No backend server of the service is usable.
    NoBackend,
    /// No backend server would respond in time.
    NoRoom,
    /// A backend server would respond in time, but this entry VM stops before.
    Leaving,
    /// This entry VM's own network link is congested.
    LinkFull,
    /// The resend budget is exhausted.
    NoResend,
    /// All backend servers have declared limits, and this entry VM's shares are used up.
    Limited,
    /// All backend servers asked for a time without requests, or are at their limits.
    Paused,
}

impl RefusedReason {
    /// Returns the name of the reason in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoBackend => "no_backend",
            Self::NoRoom => "no_room",
            Self::Leaving => "leaving",
            Self::LinkFull => "link_full",
            Self::NoResend => "no_resend",
            Self::Limited => "limited",
            Self::Paused => "paused",
        }
    }
}

/// How a request at a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The backend server responded.
    Answered,
    /// The response indicates a fault of the backend server.
    Faulty,
    /// The backend server rejected the request without running it.
    Shed,
    /// A different backend server answered at that address.
    Misdirected,
    /// No connection could be established.
    Unreachable,
    /// The request was not sent because the backend server may no longer be used.
    Withdrawn,
    /// The connection or the response broke off.
    Broken,
    /// The caller disconnected or the deadline passed; says nothing about the backend server
    /// except that it had not responded.
    Abandoned,
}

impl SendOutcome {
    /// Returns the name of the outcome in logs and metrics.
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

/// Report of the end of a request at a backend server.
#[derive(Clone, Copy, Debug)]
pub struct SendEnd {
    /// Key of the backend server.
    pub backend: BackendKey,
    /// Key of the request in flight.
    pub send: SendKey,
    /// How the request ended.
    pub outcome: SendOutcome,
    /// What the backend server states in its answer; `None` without one.
    pub statement: Option<ReceivedStatement>,
    /// Object that the request referred to; `None` if it referred to none.
    pub object: Option<ObjectHash>,
    /// What the answer was expected to weigh.
    pub expected_answer: Option<ExpectedAnswer>,
    /// Size of the body of a successful answer; `None` without one, or if it is not known yet.
    pub answer_bytes: Option<u64>,
}

impl SendEnd {
    /// Creates the report on a request that ended without an answer of the backend server, or
    /// whose answer reports nothing.
    #[must_use]
    pub const fn new(choice: &Choice, outcome: SendOutcome) -> Self {
        Self {
            backend: choice.backend,
            send: choice.send,
            outcome,
            statement: None,
            object: None,
            expected_answer: choice.expected_answer,
            answer_bytes: None,
        }
    }
}
