//! What passes between the old and the new owner of a group.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::backend_registry::HeldSlot;
use crate::id::BackendName;
use crate::id::Revision;
use crate::id::SessionId;
use crate::ownership::Group;
use crate::ownership::Release;
use crate::ownership::ReleasedWork;

/// Releases kept that came before the view that they belong to.
const MAX_EARLY_RELEASES: usize = 4_096;

/// Holds what one session tells as an old owner, and what it has heard before it is the
/// new one.
#[derive(Debug)]
pub struct Handover {
    session: SessionId,
    serial: u64,
    released: BTreeMap<Group, ReleasedGroup>,
    early: BTreeMap<Group, EarlyRelease>,
}

/// Records a group that another session owns now, while own work may run there.
#[derive(Debug)]
pub struct ReleasedGroup {
    /// The new owner.
    pub to: SessionId,
    /// The revision that made it the owner.
    pub revision: Revision,
    /// Whether all that may run is known.
    pub complete: bool,
    /// What may still run besides the dispatches that aren't finished.
    pub held: Vec<HeldSlot>,
}

/// Holds a release that came before its view.
#[derive(Debug)]
pub struct EarlyRelease {
    /// When it came.
    pub received_at: Instant,
    /// The release.
    pub release: Release,
}

/// Describes a dispatch that isn't finished: where, and until when it may run.
pub type RunningWork = (BackendName, Instant);

impl Handover {
    /// Starts with nothing given up and nothing heard.
    #[must_use]
    pub const fn new(session: SessionId) -> Self {
        Self {
            session,
            serial: 0,
            released: BTreeMap::new(),
            early: BTreeMap::new(),
        }
    }

    /// Records that a group was given up and returns the release for its new owner.
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

    /// Counts a request at a given-up group that may still run although its dispatch is
    /// finished.
    pub fn hold(&mut self, group: &Group, held: HeldSlot) {
        if let Some(released) = self.released.get_mut(group) {
            released.held.push(held);
        }
    }

    /// Returns a second release for a group of which all dispatches are finished, so
    /// that its new owner need not wait for their deadlines.
    pub fn finish(&mut self, now: Instant, group: &Group) -> Option<(SessionId, Release)> {
        let released = self.released.remove(group)?;
        self.serial += 1;
        let release = self.build_release(now, group, &released, std::iter::empty());
        Some((released.to, release))
    }

    /// Forgets that a group was given up, as this session owns it again.
    pub fn regain(&mut self, group: &Group) {
        self.released.remove(group);
    }

    /// Keeps a release of a group that this session doesn't own yet.
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

    /// Takes out the release kept for a group, if it tells of owners after `seen_until`.
    pub fn take_early(&mut self, group: &Group, seen_until: Revision) -> Option<EarlyRelease> {
        let early = self.early.remove(group)?;
        (early.release.revision > seen_until).then_some(early)
    }

    /// Forgets the releases kept that belong to views up to `revision`.
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
