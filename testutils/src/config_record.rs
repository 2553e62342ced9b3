//! What a soak of the route manifest saw: changes, orders, reads, requests and faults, with the
//! times of one clock, in microseconds from the start of the soak.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

/// The routes of one version, by their names.
pub type Routes = BTreeMap<String, RouteSpec>;

/// Holds what differs between routes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RouteSpec {
    /// The service that requests go to.
    pub service: String,
    /// The route's timeout.
    pub timeout_ms: u64,
}

/// Identifies a VM by its number among those of its role.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Vm {
    /// A control replica.
    Control(usize),
    /// An entry VM.
    Entry(usize),
}

/// Holds a change that was sent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The version that it creates.
    pub version: u64,
    /// The version that it is based on.
    pub base: u64,
    /// The routes that result from it.
    pub routes: Arc<Routes>,
    /// When it was first sent.
    pub sent_us: u64,
}

/// Holds one order to carry out a change; the same change may be ordered several times.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Index of the change in [`Record::changes`].
    pub change: usize,
    /// The control replica that was asked.
    pub replica: usize,
    /// When it was sent.
    pub sent_us: u64,
    /// When its answer arrived, or was given up.
    pub answered_us: u64,
    /// The answer.
    pub answer: OrderAnswer,
}

/// Tells what became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// The change is in force.
    Confirmed,
    /// Another version is in force than the one that the change is based on.
    Conflict,
    /// The change is invalid.
    Invalid,
    /// None came in time, or one that leaves open whether the change is in force.
    Unclear,
}

/// Holds one read of the manifest.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Read {
    /// The control replica that was asked.
    pub replica: usize,
    /// When it was sent.
    pub sent_us: u64,
    /// When its answer arrived, or was given up.
    pub answered_us: u64,
    /// The answer; `None` if there was none, or a failure.
    pub manifest: Option<ReadManifest>,
}

/// Holds what was read.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReadManifest {
    /// The version.
    pub version: u64,
    /// The routes.
    pub routes: Arc<Routes>,
}

/// Holds one request of a caller.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Request {
    /// The entry VM that was asked.
    pub entry: usize,
    /// Which run of its process answered, counted from 0.
    pub run: u32,
    /// The route whose prefix it has.
    pub route: String,
    /// When it was sent.
    pub sent_us: u64,
    /// When its answer arrived, or was given up.
    pub answered_us: u64,
    /// The answer.
    pub answer: RequestAnswer,
}

/// Tells how a request was handled.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestAnswer {
    /// A backend server of this service ran it.
    Served(String),
    /// There is no such route.
    NoRoute,
    /// It was refused with this status.
    Refused(u16),
    /// None came.
    Silent,
}

/// Holds what happened to a VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Event {
    /// When.
    pub at_us: u64,
    /// The VM.
    pub vm: Vm,
    /// What.
    pub what: Happening,
}

/// Tells what happened to a VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Happening {
    /// Its process was started.
    Started,
    /// Its process was started again after it had ended by itself.
    StartedAgain,
    /// Its process was killed.
    Killed,
    /// Its process got SIGTERM.
    Stopped,
    /// Its process was stopped in its tracks.
    Frozen,
    /// Its process went on.
    Thawed,
    /// Its links, or some of them, were cut.
    Cut,
    /// Its links were mended.
    Mended,
    /// Its data folder was deleted.
    FolderLost,
    /// The process of the VM that it had replaced was ended.
    PredecessorEnded,
    /// Its process ended without being asked to; with the end of its log.
    EndedByItself(String),
}

/// Holds everything that was seen.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Control replicas.
    pub controls: usize,
    /// The region of each control replica.
    pub regions: Vec<String>,
    /// The changes, by the time of their first order.
    pub changes: Vec<Change>,
    /// The orders.
    pub orders: Vec<Order>,
    /// The reads.
    pub reads: Vec<Read>,
    /// The requests.
    pub requests: Vec<Request>,
    /// The faults.
    pub events: Vec<Event>,
    /// From when on the manifest is read back, after everything else.
    pub end_us: Option<u64>,
}
