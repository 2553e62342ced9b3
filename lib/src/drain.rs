//! Which planned drains are carried out, and which are held back.
//!
//! A drain that would leave too little for the present load, or would shift more than
//! the caps let through, is held back until that changes. What a backend server
//! announces of itself, that it leaves, is never held back.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use snafu::Snafu;
use snafu::ensure;

use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::ServiceName;
use crate::load_digest::GroupLoad;
use crate::manifest::Drain;
use crate::manifest::Manifest;
use crate::manifest::Service;
use crate::manifest::ShiftCap;
use crate::ownership::Group;
use crate::shift_budget::Shift;
use crate::shift_budget::allowed_per_second;
use crate::shift_budget::cap_covers;

/// Part of the slots left, in percent, that the present load may fill after a drain.
const MAX_UTILIZATION_PERCENT: u64 = 90;

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
        "service {service} now needs {needed} slots, and the {left} that would be left should be \
         filled to {MAX_UTILIZATION_PERCENT} percent at most"
    ))]
    InsufficientSlots {
        /// The service.
        service: ServiceName,
        /// Slots in use and requests that wait now.
        needed: u64,
        /// Slots that would be left.
        left: u64,
    },
    /// The place's load would have to shift further than the caps and limits let it.
    #[snafu(display(
        "service {service}: {needed} requests a second would shift from {place}, and caps and \
         limits allow {allowed}"
    ))]
    ShiftCapExceeded {
        /// The service.
        service: ServiceName,
        /// The place.
        place: PlaceName,
        /// Requests a second that would shift.
        needed: u64,
        /// Requests a second that the caps and limits allow.
        allowed: u64,
    },
}

/// Holds what drains are decided by.
#[derive(Clone, Copy, Debug)]
pub struct DrainInputs<'a> {
    /// The manifest that plans them.
    pub manifest: &'a Manifest,
    /// What the owners tell of their groups.
    pub loads: &'a BTreeMap<Group, GroupLoad>,
    /// The groups of the backend servers known here.
    pub backends: &'a BTreeMap<BackendName, Group>,
    /// Drains carried out already; they aren't decided again, so that none flaps.
    pub carried_out: &'a [Drain],
}

/// Decides on the planned drains in their order, each as if those before it that aren't
/// held back were done. A backend server that isn't known here is left out: its owner
/// decides.
#[must_use]
pub fn decide(inputs: DrainInputs<'_>) -> Vec<DrainDecision> {
    let mut drained = DrainedCapacity::default();
    for drain in inputs.carried_out {
        drained.add(inputs, drain);
    }
    let mut decisions = Vec::new();
    for drain in &inputs.manifest.drains {
        let held_back = match drain {
            _ if inputs.carried_out.contains(drain) => None,
            Drain::Place(place) => check_place(inputs, &drained, place).err(),
            Drain::BackendServer(backend) => match inputs.backends.get(backend) {
                Some(group) => check_backend(inputs, &drained, group).err(),
                None => continue,
            },
            Drain::Vm(_) => None,
        };
        if held_back.is_none() {
            drained.add(inputs, drain);
        }
        decisions.push(DrainDecision {
            drain: drain.clone(),
            held_back,
        });
    }
    decisions
}

/// Collects what earlier drains take away.
#[derive(Debug, Default)]
struct DrainedCapacity {
    places: BTreeSet<PlaceName>,
    slots: BTreeMap<Group, u64>,
}

impl DrainedCapacity {
    fn add(&mut self, inputs: DrainInputs<'_>, drain: &Drain) {
        match drain {
            Drain::Place(place) => {
                self.places.insert(place.clone());
            }
            Drain::BackendServer(backend) => {
                if let Some(group) = inputs.backends.get(backend)
                    && !inputs.carried_out.contains(drain)
                {
                    *self.slots.entry(group.clone()).or_default() += backend_slots(inputs, group);
                }
            }
            Drain::Vm(_) => {}
        }
    }
}

fn check_place(
    inputs: DrainInputs<'_>,
    drained: &DrainedCapacity,
    place: &PlaceName,
) -> Result<(), HeldBack> {
    let serving = |service: &&Service| service.limits.contains_key(place);
    let services = &inputs.manifest.services;
    for (name, service) in services.iter().filter(|(_, service)| serving(service)) {
        let left = slots_left(inputs, drained, name, service, Some(place));
        check_slots(inputs, name, service, left)?;
        check_shift(inputs, drained, name, service, place)?;
    }
    Ok(())
}

fn check_backend(
    inputs: DrainInputs<'_>,
    drained: &DrainedCapacity,
    group: &Group,
) -> Result<(), HeldBack> {
    let Some(service) = inputs.manifest.services.get(&group.service) else {
        return Ok(());
    };
    let left = slots_left(inputs, drained, &group.service, service, None)
        .saturating_sub(backend_slots(inputs, group));
    check_slots(inputs, &group.service, service, left)
}

fn check_slots(
    inputs: DrainInputs<'_>,
    name: &ServiceName,
    service: &Service,
    left: u64,
) -> Result<(), HeldBack> {
    let needed: u64 = service
        .limits
        .keys()
        .filter_map(|place| load(inputs, name, place))
        .map(|load| u64::from(load.in_flight) + u64::from(load.queued))
        .sum();
    ensure!(
        needed * 100 <= left * MAX_UTILIZATION_PERCENT,
        InsufficientSlotsSnafu {
            service: name.clone(),
            needed,
            left,
        }
    );
    Ok(())
}

/// Checks that the callers' requests now served at `place` may be served elsewhere.
///
/// Places are filled one after the other, each up to its limit a second and the caps
/// that still have room. That may find less than there is, never more.
fn check_shift(
    inputs: DrainInputs<'_>,
    drained: &DrainedCapacity,
    name: &ServiceName,
    service: &Service,
    place: &PlaceName,
) -> Result<(), HeldBack> {
    let manifest = inputs.manifest;
    let needed = load(inputs, name, place).map_or(0, |load| u64::from(load.arrivals_per_second));
    let mut caps: Vec<(&ShiftCap, u64)> = manifest
        .shift_caps
        .iter()
        .map(|cap| (cap, allowed_per_second(manifest, service, cap)))
        .collect();
    let mut allowed = 0;
    for (other, limit) in &service.limits {
        if other == place || drained.places.contains(other) {
            continue;
        }
        let shift = Shift {
            manifest,
            service: name,
            origin: place,
            place: other,
        };
        let now = load(inputs, name, other).map_or(0, |load| u64::from(load.arrivals_per_second));
        let mut room = u64::from(limit.max_per_second).saturating_sub(now);
        for (_, left) in caps.iter().filter(|(cap, _)| cap_covers(cap, shift)) {
            room = room.min(*left);
        }
        for (_, left) in caps.iter_mut().filter(|(cap, _)| cap_covers(cap, shift)) {
            *left -= room;
        }
        allowed += room;
    }
    ensure!(
        needed <= allowed,
        ShiftCapExceededSnafu {
            service: name.clone(),
            place: place.clone(),
            needed,
            allowed,
        }
    );
    Ok(())
}

fn slots_left(
    inputs: DrainInputs<'_>,
    drained: &DrainedCapacity,
    name: &ServiceName,
    service: &Service,
    without: Option<&PlaceName>,
) -> u64 {
    let remaining = service
        .limits
        .keys()
        .filter(|place| Some(*place) != without && !drained.places.contains(*place));
    remaining
        .filter_map(|place| load(inputs, name, place))
        .map(|load| {
            let lost = drained.slots.get(&load.group).copied().unwrap_or(0);
            u64::from(load.slots).saturating_sub(lost)
        })
        .sum()
}

fn load<'a>(
    inputs: DrainInputs<'a>,
    service: &ServiceName,
    place: &PlaceName,
) -> Option<&'a GroupLoad> {
    inputs
        .loads
        .get(&Group::new(service.clone(), place.clone()))
}

fn backend_slots(inputs: DrainInputs<'_>, group: &Group) -> u64 {
    inputs
        .manifest
        .services
        .get(&group.service)
        .map_or(0, |service| u64::from(service.max_slots_per_backend))
}
