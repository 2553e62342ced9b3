//! What depends on the interface that callers, backend servers and operators speak.
//!
//! The core and the tasks know requests, answers and orders by what they mean. How these
//! are written on the wire, under which names, headers and paths, is an interface's
//! business alone; it decides nothing else.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use heatherring_lib::backend_load::LoadReport;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::TeamName;
use http::HeaderMap;
use http::Request;
use http::Response;

use crate::answer_body::AnswerBody;
use crate::fleet_control::FleetControl;
use crate::request_body::RequestBody;

/// Holds what a caller says with a request, besides what HTTP has a place for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerMetadata {
    /// Identifies this attempt of the caller.
    pub request_id: Option<String>,
    /// How long the caller waits.
    pub caller_timeout: Option<Duration>,
    /// The object that the request concerns.
    pub object: Option<String>,
}

/// Holds what a backend server is told with a request.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingMetadata<'a> {
    /// The time that is left for the answer.
    pub left: Duration,
    /// The backend server that is meant; any other one must turn the request away.
    pub backend: &'a BackendName,
    /// The team that asks. Whatever the caller itself claims is taken out.
    pub team: Option<&'a TeamName>,
}

/// Says what an answer of a backend server means.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerMeaning {
    /// The backend server ran the request and answers it.
    Answer,
    /// The backend server says that it didn't run it.
    NotRun,
    /// Another backend server has that address, and didn't run it.
    OtherBackend,
    /// The answer isn't to this request, or not by a backend server at all.
    Foreign,
}

/// Holds what a backend server says with an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerMetadata {
    /// What the answer means.
    pub meaning: AnswerMeaning,
    /// The load that it reports.
    pub load: Option<LoadReport>,
}

/// Holds what a backend server says of itself in a health check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HealthMetadata {
    /// How much longer it stays cold; zero if it isn't.
    pub cold_for: Duration,
}

/// Knows which entry VMs a caller may use.
pub trait LookUpSource: Send + Sync {
    /// Names the entry VMs for a caller of `host` in `region`; nothing if none is known to
    /// take requests.
    fn look_up(&self, host: &str, region: &RegionName) -> Option<LookUp>;
}

/// Answers a look-up.
#[derive(Clone, Debug, PartialEq)]
pub struct LookUp {
    /// Where requests may be sent.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be kept.
    pub keep: Duration,
}

/// Answers callers' look-ups.
pub trait LookUpInterface: Debug + Send + Sync + 'static {
    /// Answers a look-up with what `source` knows.
    fn answer_look_up(
        &self,
        source: &dyn LookUpSource,
        req: &Request<RequestBody>,
    ) -> Response<AnswerBody>;
}

/// Reads and writes what callers and backend servers say.
pub trait EntryInterface: LookUpInterface {
    /// Reads what a caller says with a request.
    ///
    /// # Errors
    ///
    /// Returns what can't be read, for the refusal.
    fn read_request(&self, headers: &HeaderMap) -> Result<CallerMetadata, UnreadableHeader>;

    /// Writes what a backend server is told into the caller's headers.
    fn write_request_metadata(&self, headers: &mut HeaderMap, metadata: &OutgoingMetadata<'_>);

    /// Reads an answer of a backend server to the request `request_id`.
    fn read_answer(&self, head: &http::response::Parts, request_id: Option<&str>)
    -> AnswerMetadata;

    /// Reads the answer to a health check; nothing if it isn't `backend` that answers.
    fn read_health(
        &self,
        head: &http::response::Parts,
        backend: &BackendName,
    ) -> Option<HealthMetadata>;

    /// Answers the question whether this entry VM takes requests.
    fn answer_ready(&self, ready: bool, req: &Request<RequestBody>) -> Response<AnswerBody>;
}

/// Tells which header of a request can't be read.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(display("the header {name} can't be read"))]
pub struct UnreadableHeader {
    /// The header.
    pub name: &'static str,
}

/// Answers backend servers and operators.
pub trait ControlInterface: LookUpInterface {
    /// Answers a call of a backend server or an operator.
    fn answer_control(
        &self,
        control: FleetControl,
        req: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<AnswerBody>>;
}
