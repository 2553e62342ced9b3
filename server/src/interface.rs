//! Interfaces towards callers, backend servers and operators.
//!
//! The core and the tasks handle requests, answers and operators' calls by meaning. An interface
//! only defines how these are written on the wire (names, headers and paths); it makes no other
//! decisions.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use heatherring_lib::answer_claim::AnswerMeaning;
use heatherring_lib::answer_pairing::EchoPolicy;
use heatherring_lib::answer_pairing::EchoedId;
use heatherring_lib::backend_statement::BackendStatement;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::TeamName;
use http::HeaderMap;
use http::Request;
use http::Response;

use crate::answer_body::AnswerBody;
use crate::fleet_control::FleetControl;
use crate::request_body::RequestBody;

/// Metadata that a caller sends with a request, beyond standard HTTP.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerMetadata {
    /// The caller's identifier of this attempt.
    pub request_id: Option<String>,
    /// How long the caller waits for an answer.
    pub caller_timeout: Option<Duration>,
    /// The object that the request concerns, for affinity.
    pub object: Option<String>,
}

/// Metadata sent to a backend server with a request.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingMetadata<'a> {
    /// The time left for the answer.
    pub left: Duration,
    /// The backend server that the request is meant for; any other one must refuse it.
    pub backend: &'a BackendName,
    /// The caller's team. A team that the caller itself claims is removed.
    pub team: Option<&'a TeamName>,
}

/// Metadata that a backend server sends with an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerMetadata<'a> {
    /// The request that the answer names.
    pub echoed: EchoedId<'a>,
    /// Whether and by whom the request was run.
    pub meaning: AnswerMeaning,
    /// What the backend server states about itself.
    pub statement: BackendStatement,
}

/// State that a backend server reports in a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthMetadata {
    /// What the backend server states about itself.
    pub statement: BackendStatement,
    /// How much longer the backend server stays cold; zero if it is not cold.
    pub cold_for: Duration,
}

/// Source of the entry VMs that callers may use.
pub trait LookUpSource: Send + Sync {
    /// Returns the entry VMs for a caller of `host` in `region`; `None` if none is known to
    /// accept requests.
    fn look_up(&self, host: &str, region: &RegionName) -> Option<LookUp>;
}

/// Answer to a look-up.
#[derive(Clone, Debug, PartialEq)]
pub struct LookUp {
    /// Addresses that requests may be sent to.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may cache the answer.
    pub keep: Duration,
}

/// Reads and answers callers' look-ups.
pub trait LookUpInterface: Debug + Send + Sync + 'static {
    /// Answers a look-up from `source`.
    fn answer_look_up(
        &self,
        source: &dyn LookUpSource,
        req: &Request<RequestBody>,
    ) -> Response<AnswerBody>;
}

/// Reads and writes the metadata of requests and answers.
pub trait EntryInterface: LookUpInterface {
    /// Reads the metadata of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the header that cannot be read.
    fn read_request(&self, headers: &HeaderMap) -> Result<CallerMetadata, UnreadableHeader>;

    /// Writes the metadata for a backend server into the caller's headers.
    fn write_request_metadata(&self, headers: &mut HeaderMap, metadata: &OutgoingMetadata<'_>);

    /// Returns whether backend servers echo the identifiers of requests.
    fn echo_policy(&self) -> EchoPolicy;

    /// Reads the metadata of a backend server's answer.
    fn read_answer<'a>(&self, head: &'a http::response::Parts) -> AnswerMetadata<'a>;

    /// Reads the answer to a health check; `None` if it does not come from `backend`.
    fn read_health(
        &self,
        head: &http::response::Parts,
        backend: &BackendName,
    ) -> Option<HealthMetadata>;

    /// Returns the names of headers by which a backend server may state something about itself that
    /// is not read: they look like those that are.
    fn unread_headers<'a>(&self, headers: &'a HeaderMap) -> Vec<&'a str>;

    /// Answers a readiness check.
    fn answer_ready(&self, ready: bool, req: &Request<RequestBody>) -> Response<AnswerBody>;
}

/// A header of a request that cannot be read.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(display("cannot read the header {name}"))]
pub struct UnreadableHeader {
    /// The name of the header.
    pub name: &'static str,
}

/// Reads and answers calls of backend servers and operators.
pub trait ControlInterface: LookUpInterface {
    /// Answers a call of a backend server or an operator.
    fn answer_control(
        &self,
        control: FleetControl,
        req: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<AnswerBody>>;

    /// Answers a call or a look-up at a replica that has not joined yet, so that nothing was done.
    fn answer_unstarted(&self) -> Response<AnswerBody>;
}
