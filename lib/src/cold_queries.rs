//! Queries by which an entry VM without contact to control asks backend servers whether they
//! are cold: whether their caches were lost, so that they handle only a reduced request rate.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::direct_dispatch::Dispatcher;
use crate::dispatch_request::BackendKey;
use crate::id::BackendName;
use crate::id::PlaceName;
use crate::route_manifest::RouteService;

/// A query to one backend server.
#[derive(Clone, Debug)]
pub struct ColdQuery {
    /// The backend server.
    pub backend: BackendKey,
    /// Its name, which the reply has to carry.
    pub name: BackendName,
    /// Its address.
    pub address: SocketAddr,
    /// Settings of its service: the health path to query and the limit on connections.
    pub service: Arc<RouteService>,
    /// When the query was sent.
    pub sent_at: Instant,
}

/// Reply to a query.
#[derive(Clone, Debug)]
pub struct ColdReply {
    /// The query that is answered.
    pub query: ColdQuery,
    /// Remaining time for which the backend server stays cold; zero if it is warm.
    pub cold_for: Duration,
}

impl Dispatcher {
    /// Records that control is reachable and all its updates have been applied.
    pub fn note_control_contact(&mut self, now: Instant) {
        self.cold_tracker.note_control_contact(now);
    }

    /// Returns the queries that are due, at most one per place, and the time of the next ones.
    ///
    /// A reply counts for all backend servers of the place, because an evacuation makes all of
    /// them cold. Querying every backend server would cost more than the requests themselves when
    /// all entry VMs have lost control. Those that declare a rate limit are spared if there are
    /// others, and those that asked for a time without requests in any case.
    pub fn cold_queries(&mut self, now: Instant) -> (Vec<ColdQuery>, Instant) {
        let mut queries = Vec::new();
        for (place, members) in self.query_targets(now) {
            if !self.cold_tracker.try_query(now, &place) {
                continue;
            }
            self.query_turn = self.query_turn.wrapping_add(1);
            let turn = self.query_turn.checked_rem(members.len());
            let Some(key) = turn.map(|turn| members[turn]) else {
                continue;
            };
            let backend = &self.backends[key];
            let Some(service) = self.services.get(&backend.record.service) else {
                continue;
            };
            queries.push(ColdQuery {
                backend: key,
                name: backend.name.clone(),
                address: backend.record.address,
                service: Arc::clone(&service.definition),
                sent_at: now,
            });
        }
        (queries, self.cold_tracker.next_due(now))
    }

    fn query_targets(&self, now: Instant) -> BTreeMap<PlaceName, Vec<BackendKey>> {
        let mut places: BTreeMap<PlaceName, Vec<BackendKey>> = BTreeMap::new();
        if !self.cold_tracker.is_control_lost(now) {
            return places;
        }
        let reachable = self
            .backends
            .iter()
            .filter(|(_, backend)| backend.usable && backend.health.is_reachable(now));
        for (key, backend) in reachable {
            let members = places.entry(backend.record.place.clone()).or_default();
            members.push(key);
        }
        for members in places.values_mut() {
            members.retain(|key| self.backends[*key].pushback.admits(now));
            let is_limited = |key: &BackendKey| self.backends[*key].limit.rate().is_some();
            if !members.iter().all(is_limited) {
                members.retain(|key| !is_limited(key));
            }
        }
        places.retain(|_, members| !members.is_empty());
        places
    }

    /// Applies the reply of a backend server.
    pub fn note_cold_reply(&mut self, now: Instant, reply: &ColdReply) {
        let Some(backend) = self.backends.get_mut(reply.query.backend) else {
            return;
        };
        backend.cold_until = backend.cold_until.max(now + reply.cold_for);
        let is_cold = !reply.cold_for.is_zero();
        self.cold_tracker
            .note_reply(reply.query.sent_at, &backend.record.place, is_cold);
    }
}
