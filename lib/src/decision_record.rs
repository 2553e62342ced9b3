//! Records of single decisions on requests, with the inputs and limits that they depend on.
//!
//! A record contains neither the address of a caller nor any content of a request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ManifestVersion;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::Revision;
use crate::id::ServiceName;
use crate::id::VmName;
use crate::manifest::Manifest;
use crate::manifest::Scope;
use crate::outcome::NotRunReason;
use crate::outcome::UnknownReason;
use crate::shift_budget::Shift;
use crate::shift_budget::allowed_per_second;
use crate::shift_budget::cap_covers;

/// One decision on a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DecisionRecord {
    /// Identifies the request; the same ID is in the logs of all VMs that handled it.
    pub request_id: String,
    /// Time of the decision in milliseconds since the Unix epoch; for display only.
    pub unix_ms: u64,
    /// Revision of the view that the decision was based on.
    pub revision: Revision,
    /// Version of the manifest in force; 0 if there was none.
    pub manifest_version: ManifestVersion,
    /// The decision itself.
    pub decision: Decision,
}

/// The content of a decision, by its kind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Decision {
    /// A caller was told which entry VM to use.
    LookUp(LookUpDecision),
    /// A request was offered to owners of backend servers, not all of which accepted it.
    Steering(SteeringDecision),
    /// A request was refused, or its outcome is unknown.
    Refusal(RefusalDecision),
}

/// The kind of a decision.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// See [`Decision::LookUp`].
    LookUp,
    /// See [`Decision::Steering`].
    Steering,
    /// See [`Decision::Refusal`].
    Refusal,
}

/// A look-up and its answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LookUpDecision {
    /// The service.
    pub service: ServiceName,
    /// The place of the caller.
    pub origin: PlaceName,
    /// Distance of the entry VM from the caller.
    pub distance: Distance,
    /// The entry VM that the caller was told to use.
    pub entry: VmName,
    /// Further entry VMs, in case that one fails.
    pub backups: Vec<VmName>,
}

/// The topological distance of something from a caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Distance {
    /// In the caller's place.
    SamePlace,
    /// In another place of the caller's region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// Returns the distance of `place`, which is in `region`, from a caller at `origin`.
    #[must_use]
    pub fn between(
        manifest: &Manifest,
        origin: &PlaceName,
        place: &PlaceName,
        region: &RegionName,
    ) -> Self {
        let origin_region = manifest.places.get(origin).map(|place| &place.region);
        if origin == place {
            Self::SamePlace
        } else if origin_region == Some(region) {
            Self::SameRegion
        } else {
            Self::OtherRegion
        }
    }
}

/// The owners of backend servers that a request was offered to, in order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SteeringDecision {
    /// The service.
    pub service: ServiceName,
    /// Name of the operation.
    pub operation: String,
    /// The place of the caller.
    pub origin: PlaceName,
    /// The tries in order of time.
    pub tries: Vec<Try>,
}

/// One try to have a request run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Try {
    /// The place whose backend servers were to run the request.
    pub place: PlaceName,
    /// The entry VM that owns these; empty if it had gone.
    pub owner: String,
    /// The result of the try.
    pub ending: TryEnding,
    /// Limits of the manifest that the result depends on.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitInForce>,
}

/// The result of a try.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TryEnding {
    /// The whole answer was received.
    Answered,
    /// It is proven that the request was not run.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// A refusal as it was sent to the caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalDecision {
    /// HTTP method of the request.
    pub method: String,
    /// The service in the path of the request; `None` if the path has none.
    pub service: Option<ServiceName>,
    /// The reason in the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller was told to retry, in milliseconds; 0 for never.
    pub retry_after_ms: u64,
}

/// Why a caller got no answer of a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request was not run.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// A limit of the manifest, as it was when a decision depended on it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitInForce {
    /// The limit of a place for a service.
    Place {
        /// Requests in flight.
        max_in_flight: u32,
        /// Requests started per second.
        max_per_second: u32,
    },
    /// A cap on the shifting of requests between scopes, over all entry VMs together.
    ShiftCap {
        /// Scope of the callers.
        from: Scope,
        /// Scope in which their requests are served.
        to: Scope,
        /// The cap, in percent of the capacity of `to`.
        percent: u8,
        /// The cap in requests per second.
        allowed_per_second: u64,
    },
    /// The limit of a link between regions.
    Link {
        /// Region that sends.
        from: RegionName,
        /// Region that receives.
        to: RegionName,
        /// Kilobytes per second, over all entry VMs together.
        max_kilobytes_per_second: u32,
    },
}

impl Decision {
    /// Returns the kind, by which decisions are stored and filtered.
    #[must_use]
    pub const fn kind(&self) -> DecisionKind {
        match self {
            Self::LookUp(_) => DecisionKind::LookUp,
            Self::Steering(_) => DecisionKind::Steering,
            Self::Refusal(_) => DecisionKind::Refusal,
        }
    }

    /// Returns the service; `None` for a refused request that names none.
    #[must_use]
    pub const fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::LookUp(look_up) => Some(&look_up.service),
            Self::Steering(steering) => Some(&steering.service),
            Self::Refusal(refusal) => refusal.service.as_ref(),
        }
    }
}

/// Returns the limits that a refusal of `shift` for `reason` depends on; empty for reasons other
/// than a limit.
#[must_use]
pub fn limits_behind(reason: NotRunReason, shift: Shift<'_>) -> Vec<LimitInForce> {
    match reason {
        NotRunReason::PlaceLimit => place_limit(shift).into_iter().collect(),
        NotRunReason::ShiftCap => shift_caps(shift),
        NotRunReason::LinkLimit => link_limits(shift),
        _ => Vec::new(),
    }
}

fn place_limit(shift: Shift<'_>) -> Option<LimitInForce> {
    let service = shift.manifest.services.get(shift.service)?;
    let limit = service.limits.get(shift.place)?;
    Some(LimitInForce::Place {
        max_in_flight: limit.max_in_flight,
        max_per_second: limit.max_per_second,
    })
}

fn shift_caps(shift: Shift<'_>) -> Vec<LimitInForce> {
    let Some(service) = shift.manifest.services.get(shift.service) else {
        return Vec::new();
    };
    let covering = shift
        .manifest
        .shift_caps
        .iter()
        .filter(|cap| cap_covers(cap, shift));
    covering
        .map(|cap| LimitInForce::ShiftCap {
            from: cap.from.clone(),
            to: cap.to.clone(),
            percent: cap.percent,
            allowed_per_second: allowed_per_second(shift.manifest, service, cap),
        })
        .collect()
}

/// Returns the limits of the links between the regions of both places, in both directions: the
/// request uses one of them and its answer the other.
fn link_limits(shift: Shift<'_>) -> Vec<LimitInForce> {
    let region = |place: &PlaceName| shift.manifest.places.get(place).map(|place| &place.region);
    let (near, far) = (region(shift.origin), region(shift.place));
    let links = shift.manifest.links.iter().filter(|link| {
        let ends = (Some(&link.from), Some(&link.to));
        ends == (near, far) || ends == (far, near)
    });
    links
        .map(|link| LimitInForce::Link {
            from: link.from.clone(),
            to: link.to.clone(),
            max_kilobytes_per_second: link.max_kilobytes_per_second,
        })
        .collect()
}

impl fmt::Display for LimitInForce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Place {
                max_in_flight,
                max_per_second,
            } => write!(
                f,
                "the place is limited to {max_in_flight} requests in flight and {max_per_second} per second"
            ),
            Self::ShiftCap {
                from,
                to,
                percent,
                allowed_per_second,
            } => write!(
                f,
                "shifts from {from} to {to} are capped at {percent}%, which is \
                 {allowed_per_second} requests per second"
            ),
            Self::Link {
                from,
                to,
                max_kilobytes_per_second,
            } => write!(
                f,
                "the link from {from} to {to} is limited to {max_kilobytes_per_second} kB/s"
            ),
        }
    }
}
