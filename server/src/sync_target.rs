//! Choice of the peer from which an entry VM renews its session: a relay of its region, or a
//! control replica.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::SessionId;
use heatherring_lib::session_relay::relays_of;

use crate::entry_state::EntryState;
use crate::proto::SyncRequest;

/// Time for which requests go to control directly after a relay failed. Trying the next relay at
/// once could use up the lease if a whole place has failed.
const AVOID_RELAYS_FOR: Duration = Duration::from_secs(5);

/// Picks the target of each request, and avoids targets that failed.
#[derive(Clone, Debug)]
pub struct SyncTargets {
    replicas: Vec<SocketAddr>,
    current: usize,
    relay_min_entries: usize,
    failed_relays: usize,
    avoid_relays_until: Option<Instant>,
}

impl SyncTargets {
    /// Creates a picker among the control replicas `replicas`, and relays in regions with at least
    /// `relay_min_entries` entry VMs.
    ///
    /// # Panics
    ///
    /// Panics if `replicas` is empty, which validated settings rule out.
    #[must_use]
    pub fn new(replicas: Vec<SocketAddr>, relay_min_entries: usize) -> Self {
        assert!(!replicas.is_empty(), "settings name a control replica");
        Self {
            replicas,
            current: 0,
            relay_min_entries,
            failed_relays: 0,
            avoid_relays_until: None,
        }
    }

    /// Returns the control replica that is tried next.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.replicas[self.current]
    }

    /// Returns the target of `request`. Only plain renewals go to relays; requests that change the
    /// replicated state need control.
    #[must_use]
    pub fn pick(&self, now: Instant, state: &EntryState, request: &SyncRequest) -> SocketAddr {
        self.relay(now, state, request)
            .unwrap_or_else(|| self.control())
    }

    fn relay(&self, now: Instant, state: &EntryState, request: &SyncRequest) -> Option<SocketAddr> {
        let avoided = self.avoid_relays_until.is_some_and(|until| now < until);
        if avoided || !is_plain_renewal(state, request) {
            return None;
        }
        let relays = relays_of(
            &state.view,
            SessionId(request.session),
            self.relay_min_entries,
        );
        let count = relays.len().max(1);
        let relay = relays.get(self.failed_relays % count)?;
        Some(relay.info.peers)
    }

    /// Records that `target` did not answer or did not grant the request.
    pub fn failed(&mut self, now: Instant, target: SocketAddr) {
        if target == self.control() {
            self.current = (self.current + 1) % self.replicas.len();
        } else {
            self.failed_relays += 1;
            self.avoid_relays_until = Some(now + AVOID_RELAYS_FOR);
        }
    }
}

fn is_plain_renewal(state: &EntryState, request: &SyncRequest) -> bool {
    let has_view = request.session != 0 && request.applied_revision != 0;
    let own = state.view.sessions.get(&SessionId(request.session));
    let leaving_known = own.is_some_and(|own| own.leaving == request.leaving);
    has_view && leaving_known && !request.closing
}
