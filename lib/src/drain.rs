//! Decides which planned drains are carried out and which are held back.
//!
//! A drain that would leave too little capacity for the current load, or would shift more requests
//! to other places than the shift caps allow, is held back until that changes. A backend server
//! that announces itself as leaving is never held back.

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

/// Highest share of the remaining slots, in percent, that the current load may occupy after a
/// drain.
const MAX_UTILIZATION_PERCENT: u64 = 90;

/// Decision on one planned drain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DrainDecision {
    /// The drain as the manifest plans it.
    pub drain: Drain,
    /// Reason for holding it back; `None` if it is carried out.
    pub held_back: Option<HeldBack>,
}

/// Reason why a drain is held back.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum HeldBack {
    /// The remaining slots could not carry the current load.
    #[snafu(display(
        "service {service} needs {needed} slots at its current load, which exceeds \
         {MAX_UTILIZATION_PERCENT} percent of the {left} slots that would remain"
    ))]
    InsufficientSlots {
        /// The service.
        service: ServiceName,
        /// Number of slots in use plus queued requests.
        needed: u64,
        /// Number of slots that would remain.
        left: u64,
    },
    /// More requests would shift to other places than the shift caps and place limits allow.
    #[snafu(display(
        "service {service}: {needed} requests per second would shift from {place}, but shift caps \
         and place limits allow {allowed}"
    ))]
    ShiftCapExceeded {
        /// The service.
        service: ServiceName,
        /// The place to be drained.
        place: PlaceName,
        /// Requests per second that would have to shift.
        needed: u64,
        /// Requests per second that the caps and limits allow to shift.
        allowed: u64,
    },
}

/// Inputs of the decision on drains.
#[derive(Clone, Copy, Debug)]
pub struct DrainInputs<'a> {
    /// Manifest that plans the drains.
    pub manifest: &'a Manifest,
    /// Load of each group, as reported by its owner.
    pub loads: &'a BTreeMap<Group, GroupLoad>,
    /// Group of each backend server known to this process.
    pub backends: &'a BTreeMap<BackendName, Group>,
    /// Drains that are already in effect. They are not decided again, so that no drain flaps.
    pub carried_out: &'a [Drain],
}

/// Decides on the planned drains in the order of the manifest. Each decision takes into account
/// the capacity removed by earlier drains that are carried out. A backend server unknown to this
/// process is skipped: the entry VM that owns its group decides.
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

/// Places and slots removed by earlier drains.
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

/// Checks that shift caps and place limits allow the request rate of `place` at other places.
///
/// Places are filled one after the other, each up to its limit per second and the remaining room of
/// the caps that apply. This greedy assignment may underestimate the capacity, but never
/// overestimates it.
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
        let current_rate =
            load(inputs, name, other).map_or(0, |load| u64::from(load.arrivals_per_second));
        let mut room = u64::from(limit.max_per_second).saturating_sub(current_rate);
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
