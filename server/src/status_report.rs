//! Status report of a control replica, its peers and the entry VMs.

use std::collections::BTreeMap;
use std::time::Instant;

use heatherring_lib::control_state::ControlState;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_effects::ReplicaProgress;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::rate_limit::LimitStatement;
use heatherring_lib::session_tracker::SessionTracker;
use heatherring_lib::view::EntrySession;

use crate::proto::BackendLimitStatus;
use crate::proto::EntryStatus;
use crate::proto::ReplicaStatus;
use crate::proto::StatusReply;

/// Returns the status report; only the leader has a `tracker`. `current` says whether the state
/// was proved to be current.
#[must_use]
pub fn status_reply(
    cluster: ClusterId,
    raft: &Raft,
    state: &ControlState,
    tracker: Option<&SessionTracker>,
    now: Instant,
    current: bool,
) -> StatusReply {
    let accepted = state.history().latest();
    let settled = tracker.map(|tracker| tracker.settled_revision(state));
    StatusReply {
        cluster_id: cluster.0.to_vec(),
        replica: raft.id().0,
        leader: raft.leader().unwrap_or_default().0,
        term: raft.term().0,
        revision: state.revision().0,
        manifest_version: accepted.map_or(0, |accepted| accepted.version.0),
        manifest_digest: accepted.map_or_else(String::new, |a| a.digest.to_string()),
        manifest_revision: accepted.map_or(0, |accepted| accepted.revision.0),
        settled_revision: settled.unwrap_or_default().0,
        replicas: replicas(raft, now),
        entries: entries(state, tracker, now),
        current,
        backend_limits: Vec::new(),
        backends_leaving: Vec::new(),
        leaderless_ms: whole_ms(raft.leaderless_for(now)),
    }
}

/// Returns the limits that backend servers declare.
#[must_use]
pub fn backend_limits(statements: &[LimitStatement]) -> Vec<BackendLimitStatus> {
    let limited = statements.iter().filter_map(|statement| {
        let rate = statement.rate?;
        Some(BackendLimitStatus {
            backend: statement.backend.to_string(),
            per_second: rate.per_second(),
            declared_ms: statement.age_ms.into(),
        })
    });
    limited.collect()
}

fn replicas(raft: &Raft, now: Instant) -> Vec<ReplicaStatus> {
    let progress: BTreeMap<ReplicaId, ReplicaProgress> = raft
        .progress()
        .into_iter()
        .map(|progress| (progress.id, progress))
        .collect();
    let membership = raft.membership();
    let full_disks = raft.full_disks();
    let voters = membership.voters.iter().map(|member| (member, true));
    let learners = membership.learners.iter().map(|member| (member, false));
    voters
        .chain(learners)
        .map(|((id, info), voter)| {
            let own = (*id == raft.id()).then(|| raft.last_index());
            ReplicaStatus {
                disk_full: full_disks.contains(id),
                answers: raft.is_answering(*id, now),
                last_heard_ms: last_heard_ms(raft, *id, now),
                ..replica(*id, info, voter, progress.get(id), own)
            }
        })
        .collect()
}

fn replica(
    id: ReplicaId,
    info: &ReplicaInfo,
    voter: bool,
    progress: Option<&ReplicaProgress>,
    own: Option<Revision>,
) -> ReplicaStatus {
    let matched = own.or(progress.map(|progress| progress.matched));
    ReplicaStatus {
        replica: id.0,
        vm: info.vm.to_string(),
        address: info.address.to_string(),
        voter,
        matched_revision: matched.unwrap_or_default().0,
        ..ReplicaStatus::default()
    }
}

/// Returns the time since a member was last heard, at least one millisecond; 0 if it never was.
fn last_heard_ms(raft: &Raft, id: ReplicaId, now: Instant) -> u64 {
    let heard = raft.last_heard(id);
    heard.map_or(0, |at| whole_ms(now.saturating_duration_since(at)).max(1))
}

fn entries(
    state: &ControlState,
    tracker: Option<&SessionTracker>,
    now: Instant,
) -> Vec<EntryStatus> {
    let sessions = state.view().sessions.values();
    sessions
        .map(|session| entry(session, tracker, now))
        .collect()
}

fn entry(session: &EntrySession, tracker: Option<&SessionTracker>, now: Instant) -> EntryStatus {
    let id = session.id;
    let applied = tracker.and_then(|tracker| tracker.acknowledged(id));
    let left = tracker.and_then(|tracker| tracker.lease_left(id, now));
    EntryStatus {
        vm: session.info.vm.to_string(),
        place: session.info.place.to_string(),
        region: session.info.region.to_string(),
        session: id.0,
        callers_address: session.info.callers.to_string(),
        leaving: session.leaving,
        applied_revision: applied.unwrap_or_default().0,
        lease_left_ms: left.map_or(0, whole_ms),
    }
}
