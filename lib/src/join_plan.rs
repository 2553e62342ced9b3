//! Decides whom a replica asks for admission, and when.
//!
//! All replicas that it may ask are asked independently: one that is gone delays no other. The first
//! question to a live leader only proposes the change of members, and a later one finds it committed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Pause between a failed question and the next one to the same replica.
pub const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Pause between questions to a replica that has passed on a proposal of admission. A commit takes a
/// round trip, which may be within a region or between two of them.
pub const PROPOSAL_PAUSE: Duration = Duration::from_millis(40);

/// Time for which a proposal is expected to be committed.
const PROPOSAL_LIFETIME: Duration = Duration::from_secs(1);

/// The questions of a replica that wants to be admitted.
#[derive(Clone, Debug)]
pub struct JoinPlan {
    own: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    asked: BTreeMap<SocketAddr, Asked>,
}

/// What is known of a replica that was asked.
#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    /// When it may be asked again; `None` while a question is unanswered.
    due_at: Option<Instant>,
    /// When it last answered that the admission was proposed.
    proposed_at: Option<Instant>,
}

impl JoinPlan {
    /// Creates the plan of the replica that others reach at `own`, which is never asked.
    #[must_use]
    pub const fn new(own: SocketAddr) -> Self {
        Self {
            own,
            seeds: BTreeSet::new(),
            asked: BTreeMap::new(),
        }
    }

    /// Replaces the replicas to ask.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().filter(|seed| *seed != self.own).collect();
    }

    /// Returns the replicas to ask now. Each counts as asked until an answer or its lack is noted.
    pub fn take_due(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for address in &self.seeds {
            match self.asked.get_mut(address) {
                None => {
                    self.asked.insert(*address, Asked::default());
                    due.push(*address);
                }
                Some(asked) if asked.due_at.is_some_and(|at| at <= now) => {
                    asked.due_at = None;
                    due.push(*address);
                }
                Some(_) => {}
            }
        }
        due
    }

    /// Returns when the next question is due; `None` while all are unanswered.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        let asked = self.seeds.iter().filter_map(|seed| self.asked.get(seed));
        asked.filter_map(|asked| asked.due_at).min()
    }

    /// Notes that a replica answered that it proposed the admission, or passed it on to the leader.
    pub fn note_proposed(&mut self, now: Instant, address: SocketAddr) {
        let asked = Asked {
            due_at: Some(now + PROPOSAL_PAUSE),
            proposed_at: Some(now),
        };
        self.asked.insert(address, asked);
    }

    /// Notes that a replica refused or did not answer. It refuses while a proposal is being committed.
    pub fn note_failed(&mut self, now: Instant, address: SocketAddr) {
        let asked = self.asked.entry(address).or_default();
        let is_pending = |at| now.saturating_duration_since(at) < PROPOSAL_LIFETIME;
        let pause = if asked.proposed_at.is_some_and(is_pending) {
            PROPOSAL_PAUSE
        } else {
            FAILURE_PAUSE
        };
        asked.due_at = Some(now + pause);
    }
}
