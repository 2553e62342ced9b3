//! How a dispatcher follows the view of the fleet: entry VMs, services and backend servers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use imbl::ordmap::DiffItem;

use crate::affinity::MemberHash;
use crate::backend_limit::Sender;
use crate::direct_dispatch::Dispatcher;
use crate::dispatch_backend::Backend;
use crate::dispatch_request::BackendKey;
use crate::dispatch_service::Service;
use crate::fleet_record::BackendRecord;
use crate::fleet_record::BackendState;
use crate::fleet_update::FleetView;
use crate::id::BackendName;
use crate::id::PlaceName;
use crate::id::RegionName;

impl Dispatcher {
    /// Applies a view of the fleet.
    pub fn apply_view(&mut self, now: Instant, view: &FleetView) {
        self.follow_senders(view);
        self.follow_services(now, view);
        if let Some(admission) = &mut self.link_admission {
            admission.apply_bulk_routes(&view.bulk_routes);
        }
        let returned: Vec<PlaceName> = self
            .evacuated
            .difference(&view.evacuated)
            .cloned()
            .collect();
        self.evacuated.clone_from(&view.evacuated);
        self.follow_backends(now, view);
        for place in returned {
            self.mark_cold(now, &place);
        }
        self.rebuild_members(view);
    }

    fn follow_senders(&mut self, view: &FleetView) {
        let mut senders: Vec<Sender> = view
            .entries
            .iter()
            .map(|(vm, record)| Sender {
                vm: MemberHash::of(vm.as_str()),
                region: MemberHash::of(record.region.as_str()),
            })
            .collect();
        if senders.iter().all(|sender| sender.vm != self.own.vm) {
            senders.push(self.own);
        }
        if senders.len() != self.senders.len() {
            for service in self.services.values_mut() {
                service.budget.share(self.cfg.resends.slack, senders.len());
            }
        }
        self.senders = senders;
    }

    fn follow_services(&mut self, now: Instant, view: &FleetView) {
        self.services
            .retain(|name, _| view.services.contains_key(name));
        for (name, known) in &view.services {
            let new = || {
                Service::new(
                    now,
                    Arc::clone(known),
                    &self.cfg.resends,
                    self.senders.len(),
                )
            };
            let service = self.services.entry(name.clone()).or_insert_with(new);
            service.definition = Arc::clone(known);
            service.follow_rollout(view.rollouts.get(name));
        }
    }

    /// Applies what has changed since the last view. Thousands of backend servers may be registered,
    /// and a view arrives with each change of a few.
    fn follow_backends(&mut self, now: Instant, view: &FleetView) {
        let before = std::mem::replace(&mut self.followed_backends, view.backends.clone());
        for change in before.diff(&view.backends) {
            match change {
                DiffItem::Add(name, record)
                | DiffItem::Update {
                    new: (name, record),
                    ..
                } => self.follow_backend(now, name, record),
                DiffItem::Remove(name, _) => self.remove(name),
            }
        }
    }

    fn follow_backend(&mut self, now: Instant, name: &BackendName, record: &Arc<BackendRecord>) {
        let is_valid = record
            .check(name, |place| self.cfg.places.contains_key(place))
            .is_ok();
        let known = self.by_name.get(name).copied();
        let is_restarted = known.is_some_and(|key| self.backends[key].record.born != record.born);
        if is_restarted {
            // What was learned about the previous process instance (its load, health and cached
            // objects) no longer applies. A request to that instance which ends later finds its
            // key removed.
            self.remove(name);
        } else if let Some(key) = known {
            let backend = &mut self.backends[key];
            if Arc::ptr_eq(&backend.record, record) || backend.record == *record {
                return;
            }
            if record.sequence != backend.record.sequence {
                backend.cold_until = backend.cold_until.max(now + record.cold_for);
            }
            backend.record = Arc::clone(record);
            self.note_validity(key, is_valid);
            return;
        }
        let region = self.cfg.places.get(&record.place).cloned();
        let region = region.unwrap_or_else(|| RegionName::new(""));
        let opens = self.started_at + Duration::from_secs(1);
        let mut backend = Backend::new(now, name.clone(), Arc::clone(record), region, opens);
        backend.silent = self.silent.contains(name);
        let key = self.backends.insert(backend);
        self.by_name.insert(name.clone(), key);
        self.note_validity(key, is_valid);
        self.apply_shared_limit(now, name);
        self.apply_shared_leaving(name);
    }

    pub(crate) fn key(&self, name: &BackendName) -> Option<BackendKey> {
        self.by_name.get(name).copied()
    }

    /// Treats the backend servers of a place as cold until each has reported its own state:
    /// they may have become cold while the place was evacuated.
    fn mark_cold(&mut self, now: Instant, place: &PlaceName) {
        /// Time until an announcement has reached this entry VM.
        const PROPAGATION: Duration = Duration::from_millis(500);
        let reported_at = now + self.cfg.heartbeat + PROPAGATION;
        for backend in self.backends.values_mut() {
            if backend.record.place == *place {
                backend.cold_until = backend.cold_until.max(reported_at);
            }
        }
    }

    fn remove(&mut self, name: &BackendName) {
        if let Some(key) = self.by_name.remove(name) {
            self.backends.remove(key);
            self.invalid.remove(&key);
        }
    }

    fn note_validity(&mut self, key: BackendKey, is_valid: bool) {
        if is_valid {
            self.invalid.remove(&key);
        } else {
            self.invalid.insert(key);
        }
    }

    fn rebuild_members(&mut self, view: &FleetView) {
        for service in self.services.values_mut() {
            service.backends.clear();
        }
        for (key, backend) in &mut self.backends {
            backend.rollout = None;
            let evacuated = self.evacuated.contains(&backend.record.place);
            let is_ready = backend.record.state == BackendState::Ready;
            let rollout = view.rollouts.get(&backend.record.service);
            let permitted = rollout.is_none_or(|rollout| rollout.permits(&backend.record.version));
            let leaving = backend.leaving.is_some();
            backend.usable =
                is_ready && !self.invalid.contains(&key) && !evacuated && permitted && !leaving;
            if let Some(service) = self.services.get_mut(&backend.record.service) {
                service.backends.push(key);
            }
        }
        self.assign_rollout_parts();
    }

    /// Updates the set of backend servers that control has not heard from recently.
    pub fn apply_silent(&mut self, silent: BTreeSet<BackendName>) {
        for backend in self.backends.values_mut() {
            backend.silent = silent.contains(&backend.name);
        }
        self.silent = silent;
    }
}
