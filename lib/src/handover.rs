//! Handover of a group of backend servers: the state that its old owner sends to the new one.
//!
//! The transfer of Raft leadership is a different handover; see `raft_leader`.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::backend_registry::HeldSlot;
use crate::id::BackendName;
use crate::id::Revision;
use crate::id::SessionId;
use crate::ownership::Group;
use crate::ownership::Release;
use crate::ownership::ReleasedWork;

/// Maximum number of stored releases of groups that this session does not own yet.
const MAX_EARLY_RELEASES: usize = 4_096;

/// Releases of one session: those it made as a previous owner, and those received before
/// the view that makes it the new owner.
#[derive(Debug)]
pub struct Handover {
    session: SessionId,
    serial: u64,
    released: BTreeMap<Group, ReleasedGroup>,
    early: BTreeMap<Group, EarlyRelease>,
}

/// A group that another session owns now while requests of this session may still be
/// running.
#[derive(Debug)]
pub struct ReleasedGroup {
    /// Session of the new owner.
    pub to: SessionId,
    /// Revision at which the new owner acquired the group.
    pub revision: Revision,
    /// Whether all requests that may be running are known.
    pub complete: bool,
    /// Slots held for requests that may still be running although this session no longer waits
    /// for their answers.
    pub held: Vec<HeldSlot>,
}

/// A release that arrived before the view that makes this session the new owner.
#[derive(Debug)]
pub struct EarlyRelease {
    /// Time at which it arrived.
    pub received_at: Instant,
    /// The release as received.
    pub release: Release,
}

/// A dispatch that is not finished: its backend server and the time until which it may
/// run.
pub type RunningWork = (BackendName, Instant);

impl Handover {
    /// Creates the handover state of a session that has released and received nothing.
    #[must_use]
    pub const fn new(session: SessionId) -> Self {
        Self {
            session,
            serial: 0,
            released: BTreeMap::new(),
            early: BTreeMap::new(),
        }
    }

    /// Records that a group was released and returns the release for its new owner.
    pub fn release_group(
        &mut self,
        now: Instant,
        group: &Group,
        released: ReleasedGroup,
        running: impl Iterator<Item = RunningWork>,
    ) -> Release {
        self.serial += 1;
        let release = self.build_release(now, group, &released, running);
        self.released.insert(group.clone(), released);
        release
    }

    /// Adds a request of a released group that may still be running although this session no
    /// longer waits for its answer.
    pub fn hold(&mut self, group: &Group, held: HeldSlot) {
        if let Some(released) = self.released.get_mut(group) {
            released.held.push(held);
        }
    }

    /// Returns a second release for a group whose dispatches are all finished, so that
    /// the new owner does not have to wait for their deadlines.
    pub fn finish(&mut self, now: Instant, group: &Group) -> Option<(SessionId, Release)> {
        let released = self.released.remove(group)?;
        self.serial += 1;
        let release = self.build_release(now, group, &released, std::iter::empty());
        Some((released.to, release))
    }

    /// Removes the record of a released group, because this session owns it again.
    pub fn regain(&mut self, group: &Group) {
        self.released.remove(group);
    }

    /// Stores a release for a group that this session does not own yet, unless one at least
    /// as recent is stored or the number of stored releases is at its limit.
    pub fn keep_early(&mut self, received_at: Instant, release: &Release) {
        let version = |release: &Release| (release.revision, release.serial);
        let known = self.early.get(&release.group);
        if known.is_some_and(|known| version(&known.release) >= version(release)) {
            return;
        }
        if known.is_some() || self.early.len() < MAX_EARLY_RELEASES {
            let release = release.clone();
            let group = release.group.clone();
            self.early.insert(
                group,
                EarlyRelease {
                    received_at,
                    release,
                },
            );
        }
    }

    /// Removes the stored release of a group, and returns it if its revision is later than
    /// `seen_until`.
    pub fn take_early(&mut self, group: &Group, seen_until: Revision) -> Option<EarlyRelease> {
        let early = self.early.remove(group)?;
        (early.release.revision > seen_until).then_some(early)
    }

    /// Discards stored releases that belong to views up to `revision`.
    pub fn forget_early(&mut self, revision: Revision) {
        self.early
            .retain(|_, early| early.release.revision > revision);
    }

    fn build_release(
        &self,
        now: Instant,
        group: &Group,
        released: &ReleasedGroup,
        running: impl Iterator<Item = RunningWork>,
    ) -> Release {
        let held = released
            .held
            .iter()
            .map(|held| (held.backend.clone(), held.until));
        Release {
            group: group.clone(),
            from: self.session,
            revision: released.revision,
            serial: self.serial,
            in_flight: held
                .chain(running)
                .filter(|(_, until)| now < *until)
                .map(|(backend, until)| ReleasedWork::new(backend, now, until))
                .collect(),
            recent: Vec::new(),
            backends: Vec::new(),
            complete: released.complete,
        }
    }
}
