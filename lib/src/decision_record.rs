//! Records of single decisions, with their inputs and the rule that decided.
//!
//! A record holds no address of a caller and nothing of a request's content.

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

/// Holds one decision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DecisionRecord {
    /// Identifies the request, also in the logs of all VMs that saw it.
    pub request_id: String,
    /// When it was decided, in milliseconds since the Unix epoch; for display only.
    pub unix_ms: u64,
    /// The revision of the view that it was decided under.
    pub revision: Revision,
    /// The version of the manifest in force; 0 if there was none.
    pub manifest_version: ManifestVersion,
    /// What was decided.
    pub decision: Decision,
}

/// Tells what was decided.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Decision {
    /// A caller was told which entry VM to use.
    LookUp(LookUpDecision),
    /// A request was offered to owners of backend servers, and not all took it.
    Steering(SteeringDecision),
    /// A caller got no answer.
    Refusal(RefusalDecision),
}

/// Names a kind of decision.
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

/// Holds a look-up and its answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LookUpDecision {
    /// The service.
    pub service: ServiceName,
    /// The place of the caller.
    pub origin: PlaceName,
    /// How far the entry VM is from the caller.
    pub distance: Distance,
    /// The entry VM that was named.
    pub entry: VmName,
    /// Those named beside it.
    pub backups: Vec<VmName>,
}

/// Tells how far something is from a caller.
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
    /// Tells how far `place` in `region` is from a caller at `origin`.
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

/// Holds the owners that a request was offered to, in order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SteeringDecision {
    /// The service.
    pub service: ServiceName,
    /// The operation's name.
    pub operation: String,
    /// The place of the caller.
    pub origin: PlaceName,
    /// Each try, the first one first.
    pub tries: Vec<Try>,
}

/// Holds one try to have a request run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Try {
    /// The place whose backend servers were to run it.
    pub place: PlaceName,
    /// The entry VM that owns them; empty if it had gone.
    pub owner: String,
    /// How it ended.
    pub ending: TryEnding,
    /// What of the manifest the ending depends on.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitInForce>,
}

/// Tells how a try ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TryEnding {
    /// With the whole answer.
    Answered,
    /// With a proof that it wasn't run.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
}

/// Holds a refusal as the caller got it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalDecision {
    /// Method of the request.
    pub method: String,
    /// The service that its path names, if it names one.
    pub service: Option<ServiceName>,
    /// Why.
    pub reason: RefusalReason,
    /// When the caller was told to come back, in milliseconds; 0 for never.
    pub retry_after_ms: u64,
}

/// Tells why a caller got no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// It wasn't run.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
}

/// Holds a limit of the manifest, as it was when a decision depended on it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitInForce {
    /// What the place may bear.
    Place {
        /// Requests in flight.
        max_in_flight: u32,
        /// Requests begun a second.
        max_per_second: u32,
    },
    /// A cap on shifts, over all entry VMs together.
    ShiftCap {
        /// Where the callers are.
        from: Scope,
        /// Where they are served.
        to: Scope,
        /// Share of what `to` can bear.
        percent: u8,
        /// Requests a second that this comes to.
        allowed_per_second: u64,
    },
    /// A limit of a link between regions.
    Link {
        /// Where the bytes start.
        from: RegionName,
        /// Where they go.
        to: RegionName,
        /// Kilobytes a second, over all entry VMs together.
        max_kilobytes_per_second: u32,
    },
}

impl Decision {
    /// Returns the kind.
    #[must_use]
    pub const fn kind(&self) -> DecisionKind {
        match self {
            Self::LookUp(_) => DecisionKind::LookUp,
            Self::Steering(_) => DecisionKind::Steering,
            Self::Refusal(_) => DecisionKind::Refusal,
        }
    }

    /// Returns the service, where it is known.
    #[must_use]
    pub const fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::LookUp(look_up) => Some(&look_up.service),
            Self::Steering(steering) => Some(&steering.service),
            Self::Refusal(refusal) => refusal.service.as_ref(),
        }
    }
}

/// Returns the limits on which a refusal of `shift` for `reason` depends.
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

/// Returns the limits of the links between the two places' regions, both ways: a
/// request crosses one and its answer the other.
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
                "the place may have {max_in_flight} in flight and {max_per_second} a second"
            ),
            Self::ShiftCap {
                from,
                to,
                percent,
                allowed_per_second,
            } => write!(
                f,
                "shifts from {from} to {to} are capped at {percent}%, which is \
                 {allowed_per_second} a second"
            ),
            Self::Link {
                from,
                to,
                max_kilobytes_per_second,
            } => write!(
                f,
                "the link from {from} to {to} carries {max_kilobytes_per_second} kB/s"
            ),
        }
    }
}
