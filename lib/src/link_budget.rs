//! Limits the bytes that an entry VM sends to other regions.
//!
//! The sessions of the sending region share the limit of a link equally. The size of an
//! answer is known only after it was sent, so it may be charged afterwards; bytes beyond
//! the share are carried over as debt and deducted from later windows.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::admission_event::ViewStep;
use crate::id::RegionName;
use crate::id::Revision;
use crate::id::SessionId;
use crate::settled_share::SettledShare;
use crate::settled_share::split;
use crate::usage_window::UsageWindow;
use crate::usage_window::WINDOW;
use crate::view::ControlView;

const BYTES_PER_KILOBYTE: u64 = 1_000;

/// Share of a link without a limit.
const NO_LIMIT: u64 = u64::MAX;

/// This session's shares of the links from its region to others.
#[derive(Debug)]
pub struct LinkBudgets {
    session: SessionId,
    links: BTreeMap<RegionName, LinkBudget>,
    has_view: bool,
}

#[derive(Debug)]
struct LinkBudget {
    share: SettledShare,
    usage: UsageWindow,
    debt: u64,
    repaid_until: Option<Instant>,
}

impl LinkBudgets {
    /// Creates the budgets without any link; a link without a budget is not limited.
    #[must_use]
    pub const fn new(session: SessionId) -> Self {
        Self {
            session,
            links: BTreeMap::new(),
            has_view: false,
        }
    }

    /// Applies a view and updates the shares of all links.
    pub fn apply_view(&mut self, view: &ControlView, step: ViewStep) {
        let shares = self.shares(view);
        let must_reset = step == ViewStep::Whole || !self.has_view;
        for (region, share) in &shares {
            let link = self
                .links
                .entry(region.clone())
                .or_insert_with(|| LinkBudget {
                    share: SettledShare::with_base(NO_LIMIT),
                    usage: UsageWindow::default(),
                    debt: 0,
                    repaid_until: None,
                });
            if must_reset {
                link.share.reset(view.revision, *share);
            } else {
                link.share.set(view.revision, *share);
            }
        }
        for (region, link) in &mut self.links {
            if !shares.contains_key(region) {
                link.share.set(view.revision, NO_LIMIT);
            }
        }
        self.has_view = true;
    }

    /// Records that `revision` is settled.
    pub fn settle(&mut self, now: Instant, revision: Revision) {
        self.links.retain(|_, link| {
            link.share.settle(now, revision);
            link.share.limit(now) != NO_LIMIT
        });
    }

    /// Charges `bytes` to the share of the link to `to`. A body larger than the share
    /// should be sent in pieces; a piece larger than the share is accepted only in an
    /// empty window, and its excess becomes debt.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry if the share is used up.
    pub fn try_send(&mut self, now: Instant, to: &RegionName, bytes: u64) -> Result<(), Duration> {
        let Some(link) = self.links.get_mut(to) else {
            return Ok(());
        };
        let limit = link.share.limit(now);
        link.repay(now, limit);
        let oversized = bytes > limit && limit > 0 && link.usage.used(now) == 0;
        if link.debt > 0 || !(oversized || link.usage.has_room(now, bytes, limit)) {
            return Err(link.usage.wait(now));
        }
        link.charge(now, bytes, limit);
        Ok(())
    }

    /// Charges bytes that were already sent, such as an answer; bytes beyond the share
    /// become debt that is deducted from later windows.
    pub fn charge(&mut self, now: Instant, to: &RegionName, bytes: u64) {
        if let Some(link) = self.links.get_mut(to) {
            let limit = link.share.limit(now);
            link.repay(now, limit);
            link.charge(now, bytes, limit);
        }
    }

    fn shares(&self, view: &ControlView) -> BTreeMap<RegionName, u64> {
        let mut shares = BTreeMap::new();
        let (Some(in_force), Some(own)) = (&view.manifest, view.sessions.get(&self.session)) else {
            return shares;
        };
        let region = &own.info.region;
        let senders: Vec<SessionId> = view
            .sessions
            .values()
            .filter(|session| session.info.region == *region)
            .map(|session| session.id)
            .collect();
        let rank = senders.iter().position(|id| *id == self.session);
        let links = &in_force.manifest.links;
        for link in links.iter().filter(|link| link.from == *region) {
            let total = u64::from(link.max_kilobytes_per_second) * BYTES_PER_KILOBYTE;
            let parts = split(total, &vec![1; senders.len()]);
            let share = rank.map_or(0, |rank| parts[rank]);
            shares
                .entry(link.to.clone())
                .and_modify(|known: &mut u64| *known = share.min(*known))
                .or_insert(share);
        }
        shares
    }
}

impl LinkBudget {
    fn charge(&mut self, now: Instant, bytes: u64, limit: u64) {
        let fits = self.usage.room(now, limit).min(bytes);
        self.usage.add(now, fits);
        self.debt = self.debt.saturating_add(bytes - fits);
    }

    /// Moves debt into windows with room, in steps of a tenth of a window.
    fn repay(&mut self, now: Instant, limit: u64) {
        if self.debt == 0 || self.repaid_until.is_some_and(|until| now < until) {
            return;
        }
        let fits = self.usage.room(now, limit).min(self.debt);
        if fits > 0 {
            self.usage.add(now, fits);
            self.debt -= fits;
            self.repaid_until = Some(now + WINDOW / 10);
        }
    }
}
