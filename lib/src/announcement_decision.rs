//! Decides what a control replica does with an announcement of a backend server.
//!
//! Most announcements only show that their sender is alive. Those that entry VMs must know of are
//! committed.

use crate::fleet_record::BackendChange;
use crate::fleet_record::BackendRecord;
use crate::fleet_record::BackendState;
use crate::fleet_state::FleetState;
use crate::id::BackendName;

/// What a control replica has observed of the sender of an announcement.
#[derive(Clone, Copy, Debug)]
pub struct SenderObservation {
    /// Whether it may take its address back from the present holder.
    pub may_reclaim: bool,
    /// Whether it is in a cold phase that was not announced before.
    pub new_cold_phase: bool,
}

/// Decision on an announcement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnnouncementDecision {
    /// It brings nothing that entry VMs must know.
    Unchanged,
    /// The change is to be committed.
    Commit(BackendChange),
    /// It states that the backend server is draining, but a later one states the contrary, so that
    /// a commit would have no effect.
    Overtaken,
}

/// Returns whether the announced incarnation of a backend server has ended: it has withdrawn, or a
/// later one is known.
#[must_use]
pub fn has_ended(fleet: &FleetState, backend: &BackendName, record: &BackendRecord) -> bool {
    let known = fleet.backend(backend);
    fleet.has_withdrawn(backend, record.born) || known.is_some_and(|known| record.born < known.born)
}

/// Returns the backend server that has taken over the address of the announced one and still holds
/// it; `None` if there is none.
#[must_use]
pub fn successor_at_address<'a>(
    fleet: &'a FleetState,
    backend: &BackendName,
    record: &BackendRecord,
) -> Option<&'a BackendName> {
    let known = fleet.backend(backend)?;
    if !is_superseded(known, record) {
        return None;
    }
    fleet.holder(record.address).filter(|name| *name != backend)
}

/// Decides on an announcement of an incarnation that has not ended.
#[must_use]
pub fn decide(
    fleet: &FleetState,
    backend: &BackendName,
    record: &BackendRecord,
    observed: SenderObservation,
) -> AnnouncementDecision {
    let commit = |reclaims| {
        AnnouncementDecision::Commit(BackendChange {
            backend: backend.clone(),
            record: record.clone(),
            reclaims,
        })
    };
    let Some(known) = fleet.backend(backend) else {
        return commit(false);
    };
    let drains = record.state == BackendState::Draining;
    if record.stamp() <= known.stamp() {
        return if drains && known.state != BackendState::Draining {
            AnnouncementDecision::Overtaken
        } else {
            AnnouncementDecision::Unchanged
        };
    }
    let reclaims = is_superseded(known, record);
    if reclaims && drains {
        return commit(false);
    }
    if reclaims && !observed.may_reclaim {
        return AnnouncementDecision::Unchanged;
    }
    if record.differs_materially_from(known) || observed.new_cold_phase {
        commit(reclaims)
    } else {
        AnnouncementDecision::Unchanged
    }
}

fn is_superseded(known: &BackendRecord, record: &BackendRecord) -> bool {
    known.state == BackendState::Superseded && record.born == known.born
}
