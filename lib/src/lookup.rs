//! Which entry VM a caller is told to use.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::id::PlaceName;
use crate::id::Revision;
use crate::id::ServiceName;
use crate::id::SessionId;
use crate::outcome::NotRun;
use crate::outcome::NotRunReason;
use crate::view::ControlView;
use crate::view::EntrySession;

/// Names the entry that a caller is to use, and whom to ask when that fails.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LookupAnswer {
    /// The entry to use; also the primary of the ticket.
    pub entry: EntrySession,
    /// Others, best first.
    pub backups: Vec<EntrySession>,
    /// Time for which the caller may keep the answer.
    pub cache: Duration,
}

/// Answers look-ups of one session.
#[derive(Debug)]
pub struct Lookups {
    session: SessionId,
    view: Arc<ControlView>,
}

impl Lookups {
    /// Starts with no view.
    #[must_use]
    pub fn new(session: SessionId) -> Self {
        Self {
            session,
            view: Arc::default(),
        }
    }

    /// Applies a view.
    pub fn apply_view(&mut self, now: Instant, view: &Arc<ControlView>) {
        let _ = (now, self.session);
        self.view = Arc::clone(view);
    }

    /// Notes that `revision` is settled.
    pub fn settle(&mut self, now: Instant, revision: Revision) {
        let _ = (now, revision);
    }

    /// Returns the entry to name to a caller at `origin`; `caller` spreads callers over
    /// entries, the same one always to the same entry.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no entry may be named now.
    pub fn look_up(
        &mut self,
        now: Instant,
        service: &ServiceName,
        origin: &PlaceName,
        caller: u64,
    ) -> Result<LookupAnswer, NotRun> {
        let _ = (now, service, origin, caller);
        let not_run = NotRun::proved(NotRunReason::NoManifest);
        Err(not_run.with_retry_after(Duration::from_secs(1)))
    }
}
