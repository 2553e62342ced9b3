//! What backend servers state about themselves, as known to a control replica: their rate limits, and
//! that they are leaving.
//!
//! Soft state: entry VMs report what backend servers declare, replicas pass reports on to each
//! other and to all entry VMs. The latest observation counts, so that reports may arrive in any
//! order and more than once.

use std::collections::BTreeMap;
use std::num::NonZeroU64;
use std::time::Duration;
use std::time::Instant;

use crate::backend_statement::LeavingStatement;
use crate::id::BackendName;
use crate::rate_limit::LimitObservation;
use crate::rate_limit::LimitStatement;

/// Maximum number of backend servers with a statement. Entry VMs learn further limits from the
/// answers that they receive themselves.
const MAX_BACKENDS: usize = 1_024;

/// Time for which the end of a limit is kept, so that an older report does not bring it back.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

/// Statements by backend server.
#[derive(Debug)]
pub struct StatementBoard {
    /// Number of the last change.
    number: u64,
    /// Latest observations of rate limits.
    observations: BTreeMap<BackendName, LimitObservation>,
    /// Starts of the processes that are leaving.
    leaving: BTreeMap<BackendName, u64>,
}

impl StatementBoard {
    /// Creates an empty board. `number` is drawn at random for each incarnation of the process, so
    /// that receivers do not mistake its numbers for those of an earlier one.
    #[must_use]
    pub const fn starting_at(number: NonZeroU64) -> Self {
        Self {
            number: number.get(),
            observations: BTreeMap::new(),
            leaving: BTreeMap::new(),
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
        self.observations.is_empty() && self.leaving.is_empty()
    }

    /// Applies statements on limits, and returns those that changed one.
    pub fn apply_limits(
        &mut self,
        now: Instant,
        statements: Vec<LimitStatement>,
    ) -> Vec<LimitStatement> {
        let changed: Vec<LimitStatement> = statements
            .into_iter()
            .filter(|statement| self.apply_limit(now, statement))
            .collect();
        self.note_changed(changed.len());
        changed
    }

    /// Applies statements on leaving, and returns those that were not known.
    pub fn apply_leaving(&mut self, statements: Vec<LeavingStatement>) -> Vec<LeavingStatement> {
        let changed: Vec<LeavingStatement> = statements
            .into_iter()
            .filter(|statement| self.apply_one_leaving(statement))
            .collect();
        self.note_changed(changed.len());
        changed
    }

    fn note_changed(&mut self, count: usize) {
        if count > 0 {
            self.number = self.number.wrapping_add(1).max(1);
        }
    }

    fn apply_one_leaving(&mut self, statement: &LeavingStatement) -> bool {
        let known = self.leaving.get(&statement.backend);
        let is_full = known.is_none() && self.leaving.len() >= MAX_BACKENDS;
        if is_full || known.is_some_and(|born| *born >= statement.born) {
            return false;
        }
        self.leaving
            .insert(statement.backend.clone(), statement.born);
        true
    }

    fn apply_limit(&mut self, now: Instant, statement: &LimitStatement) -> bool {
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

    /// Returns all statements on leaving.
    #[must_use]
    pub fn leaving(&self) -> Vec<LeavingStatement> {
        let leaving = self.leaving.iter();
        leaving
            .map(|(backend, born)| LeavingStatement {
                backend: backend.clone(),
                born: *born,
            })
            .collect()
    }

    /// Returns all statements on limits.
    #[must_use]
    pub fn limits(&self, now: Instant) -> Vec<LimitStatement> {
        let observations = self.observations.iter();
        observations
            .map(|(backend, known)| known.statement(now, backend.clone()))
            .collect()
    }

    /// Drops limits that ended long ago, and statements of backend servers for which `is_current`
    /// returns false. Entry VMs drop these themselves, so this is not a change.
    pub fn forget(&mut self, now: Instant, is_current: impl Fn(&BackendName, u64) -> bool) {
        self.observations.retain(|backend, known| {
            let has_ended = known.rate.is_none();
            let is_old = now.saturating_duration_since(known.at) >= ENDED_RETENTION;
            is_current(backend, known.born) && !(has_ended && is_old)
        });
        self.leaving
            .retain(|backend, born| is_current(backend, *born));
    }
}
