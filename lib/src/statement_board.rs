//! Rate limits of backend servers as known to a control replica.
//!
//! Soft state: entry VMs report what backend servers declare, replicas pass reports on to each
//! other and to all entry VMs. The latest observation counts, so that reports may arrive in any
//! order and more than once.

use std::collections::BTreeMap;
use std::num::NonZeroU64;
use std::time::Duration;
use std::time::Instant;

use crate::id::BackendName;
use crate::rate_limit::LimitObservation;
use crate::rate_limit::LimitStatement;

/// Maximum number of backend servers with a statement. Entry VMs learn further limits from the
/// answers that they receive themselves.
const MAX_BACKENDS: usize = 1_024;

/// Time for which the end of a limit is kept, so that an older report does not bring it back.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

/// Latest observations by backend server.
#[derive(Debug)]
pub struct LimitBoard {
    /// Number of the last change.
    number: u64,
    observations: BTreeMap<BackendName, LimitObservation>,
}

impl LimitBoard {
    /// Creates an empty board. `number` is drawn at random for each incarnation of the process, so
    /// that receivers do not mistake its numbers for those of an earlier one.
    #[must_use]
    pub const fn starting_at(number: NonZeroU64) -> Self {
        Self {
            number: number.get(),
            observations: BTreeMap::new(),
        }
    }

    /// Returns the number of the last change; never 0.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Returns whether there is no statement.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    /// Applies statements, and returns those that changed a limit.
    pub fn apply(&mut self, now: Instant, statements: Vec<LimitStatement>) -> Vec<LimitStatement> {
        let changed: Vec<LimitStatement> = statements
            .into_iter()
            .filter(|statement| self.apply_one(now, statement))
            .collect();
        if !changed.is_empty() {
            self.number = self.number.wrapping_add(1).max(1);
        }
        changed
    }

    fn apply_one(&mut self, now: Instant, statement: &LimitStatement) -> bool {
        let mut new = LimitObservation::of(now, statement);
        let Some(known) = self.observations.get_mut(&statement.backend) else {
            if self.observations.len() >= MAX_BACKENDS || new.rate.is_none() {
                return false;
            }
            self.observations.insert(statement.backend.clone(), new);
            return true;
        };
        if (new.born, new.at) <= (known.born, known.at) {
            return false;
        }
        let is_change = new.rate != known.rate;
        let goes_on = new.born == known.born && known.rate.is_some();
        if goes_on {
            new.since = new.since.min(known.since);
        }
        *known = new;
        is_change
    }

    /// Returns all statements.
    #[must_use]
    pub fn statements(&self, now: Instant) -> Vec<LimitStatement> {
        let observations = self.observations.iter();
        observations
            .map(|(backend, known)| known.statement(now, backend.clone()))
            .collect()
    }

    /// Drops limits that ended long ago, and those of backend servers for which `is_current`
    /// returns false. Entry VMs drop these themselves, so this is not a change.
    pub fn forget(&mut self, now: Instant, is_current: impl Fn(&BackendName, u64) -> bool) {
        self.observations.retain(|backend, known| {
            let has_ended = known.rate.is_none();
            let is_old = now.saturating_duration_since(known.at) >= ENDED_RETENTION;
            is_current(backend, known.born) && !(has_ended && is_old)
        });
    }
}
