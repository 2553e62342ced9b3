//! Run times of the requests of a service by route, with their data cached and without.
//!
//! A service may serve routes whose work differs by a factor of six, so a single estimate for
//! all of them would be wrong for each. Queueing times are based on the mean over the service,
//! since queued requests may be of any route.
//!
//! Responses do not tell whether a request found its data cached: a different entry VM may have
//! requested the same object, or the backend server may have evicted it. Each observation is
//! therefore attributed to the kind, warm or cold, whose estimate is closer.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::id::RouteName;

/// Relative step by which an observation moves an estimate; about the last 30 observations
/// count.
const STEP: f64 = 0.05;

/// Number of observations of one kind whose mean initializes its estimate. The value assumed before
/// the first response is off by a factor of up to five, and steps of [`STEP`] would take ten
/// seconds to correct that at twenty requests a second.
const INITIAL_OBSERVATIONS: u32 = 8;

/// Upper bound of an initial observation, as a multiple of the estimate, so that an early
/// outlier does not distort the estimate for long.
const MAX_RISE: f64 = 4.0;

/// Quantile that the estimates track. Some requests have queued without this being known; a
/// mean would include these, and a service under load would permanently look slow.
const QUANTILE: f64 = 0.4;

/// Values assumed before the first responses, relative to the route's latency objective.
/// Operators choose an objective that a request with cached data meets, including the network
/// delay and some queueing, and that one without cached data misses.
const INITIAL_WARM: f64 = 0.5;
const INITIAL_COLD: f64 = 1.5;

/// Maximum ratio of the cold to the warm run time. While all requests have been of one kind,
/// this limits the error of the other estimate.
const MAX_COLD_RATIO: f64 = 5.0;

/// Minimum ratio of the cold to the warm run time. Without it, the estimates would meet once
/// requests with cached data take longer than the value assumed for cold ones. Backend servers
/// without the data would then look as good as any, and half of a region's requests would
/// change their region.
const MIN_COLD_RATIO: f64 = 2.0;

/// Run-time estimates of one route of a service.
#[derive(Clone, Copy, Debug)]
pub struct RouteLatency {
    warm: Estimate,
    cold: Estimate,
    /// Median run time of all requests, warm or cold.
    median: Estimate,
    body: BodyTime,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    value: f64,
    observed: u32,
}

impl Estimate {
    const fn new(value: f64) -> Self {
        Self { value, observed: 0 }
    }

    const fn is_settled(&self) -> bool {
        self.observed >= INITIAL_OBSERVATIONS
    }

    /// Moves the estimate towards a quantile of the observations: `share`, from 0 to 1.
    fn observe(&mut self, took: f64, share: f64) {
        if !self.is_settled() {
            self.observed += 1;
            let took = took.min(self.value * MAX_RISE);
            self.value += (took - self.value) / f64::from(self.observed);
        } else if took > self.value {
            self.value *= 1.0 + STEP * share;
        } else {
            self.value *= 1.0 - STEP * (1.0 - share);
        }
    }
}

/// Running mean of the time from the head of a response to its last byte; zero for most routes,
/// whose responses are buffered completely before they are forwarded.
#[derive(Clone, Copy, Debug, Default)]
struct BodyTime {
    mean: f64,
    /// Number of responses that the mean covers.
    answers: f64,
}

impl BodyTime {
    /// Maximum number of latest responses that the mean covers.
    const MAX_ANSWERS: f64 = 20.0;

    /// Counts a response whose head arrived with a body time of zero; [`Self::note_end`] adds
    /// the actual time if the response is streamed.
    fn note_head(&mut self) {
        self.answers = (self.answers + 1.0).min(Self::MAX_ANSWERS);
        self.mean -= self.mean / self.answers;
    }

    /// Records the time to the end of a response whose head was recorded before.
    fn note_end(&mut self, took: f64) {
        self.mean += took / self.answers.max(1.0);
    }
}

impl RouteLatency {
    /// Creates initial estimates from the route's latency objective.
    #[must_use]
    pub fn new(objective: Duration) -> Self {
        let objective = objective.as_secs_f64();
        Self {
            warm: Estimate::new(objective * INITIAL_WARM),
            cold: Estimate::new(objective * INITIAL_COLD),
            median: Estimate::new(objective * INITIAL_WARM),
            body: BodyTime::default(),
        }
    }

    /// Returns the expected run time of a request, in seconds.
    #[must_use]
    pub const fn expected(&self, warm: bool) -> f64 {
        if warm {
            self.warm.value
        } else {
            self.cold.value
        }
    }

    /// Returns the median time to the last byte of a response, in seconds.
    ///
    /// [`Self::expected`] serves to rank backend servers and is not a bound on the run time: if all
    /// requests take equally long, they are classified as cold, and the estimate for warm ones is
    /// half as long (`MIN_COLD_RATIO`). Moreover, it excludes the response body. To decide whether
    /// a request can still complete, use this estimate as well.
    #[must_use]
    pub fn time_to_last_byte(&self) -> f64 {
        self.median.value + self.body.mean
    }

    /// Records the run time of a request that did not queue.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.median.observe(took, 0.5);
        self.body.note_head();
        let boundary = (self.warm.value * self.cold.value).sqrt();
        if took < boundary {
            self.warm.observe(took, QUANTILE);
            self.cold.value = self.cold.value.max(self.warm.value * MIN_COLD_RATIO);
        } else {
            self.cold.observe(took, QUANTILE);
            self.warm.value = self.warm.value.min(self.cold.value / MIN_COLD_RATIO);
            if self.cold.is_settled() || !self.warm.is_settled() {
                self.warm.value = self.warm.value.max(self.cold.value / MAX_COLD_RATIO);
            }
        }
    }
}

new_key_type! {
    /// Identifies the estimates of one route within a service.
    pub struct RouteLatencyKey;
}

/// Maximum number of routes with estimates per service. Route names change with the manifest;
/// the least recently used route is evicted.
const MAX_ROUTES: usize = 64;

/// Run-time estimates of all routes of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceLatency {
    routes: SlotMap<RouteLatencyKey, RouteEntry>,
    by_name: BTreeMap<RouteName, RouteLatencyKey>,
    mean: Option<f64>,
    request_number: u64,
}

#[derive(Clone, Debug)]
struct RouteEntry {
    name: RouteName,
    latency: RouteLatency,
    /// Sequence number of the latest request of the route.
    last_used: u64,
}

impl ServiceLatency {
    /// Returns the key of the estimates of a route. New estimates are initialized from its
    /// latency objective.
    pub fn route(&mut self, name: &RouteName, objective: Duration) -> RouteLatencyKey {
        self.request_number += 1;
        if let Some(key) = self.by_name.get(name) {
            self.routes[*key].last_used = self.request_number;
            return *key;
        }
        if self.routes.len() >= MAX_ROUTES {
            self.evict_least_recently_used();
        }
        let key = self.routes.insert(RouteEntry {
            name: name.clone(),
            latency: RouteLatency::new(objective),
            last_used: self.request_number,
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Returns the name of a route with estimates.
    #[must_use]
    pub fn route_name(&self, key: RouteLatencyKey) -> Option<&RouteName> {
        self.routes.get(key).map(|route_entry| &route_entry.name)
    }

    fn evict_least_recently_used(&mut self) {
        let least_recently_used = self
            .routes
            .iter()
            .min_by_key(|(_, route_entry)| route_entry.last_used);
        if let Some(key) = least_recently_used.map(|(key, _)| key)
            && let Some(route_entry) = self.routes.remove(key)
        {
            self.by_name.remove(&route_entry.name);
        }
    }

    /// Returns the expected run time of a request of a route, in seconds; the mean of the
    /// service if the route was evicted.
    #[must_use]
    pub fn expected(&self, route: RouteLatencyKey, warm: bool) -> f64 {
        let route_entry = self.routes.get(route);
        route_entry.map_or_else(
            || self.mean(),
            |route_entry| route_entry.latency.expected(warm),
        )
    }

    /// Returns the median time to the last byte of a response of a route, in seconds; the mean
    /// of the service if the route was evicted.
    #[must_use]
    pub fn time_to_last_byte(&self, route: RouteLatencyKey) -> f64 {
        let route_entry = self.routes.get(route);
        route_entry.map_or_else(
            || self.mean(),
            |route_entry| route_entry.latency.time_to_last_byte(),
        )
    }

    /// Records the time from the head to the end of a streamed response.
    pub fn observe_body(&mut self, route: RouteLatencyKey, took: Duration) {
        if let Some(route_entry) = self.routes.get_mut(route) {
            route_entry.latency.body.note_end(took.as_secs_f64());
        }
    }

    /// Returns the mean run time over all routes, in seconds. Before the first response, this
    /// is the mean of the values assumed for the routes requested so far.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.mean.unwrap_or_else(|| {
            #[expect(clippy::cast_precision_loss, reason = "64 at most")]
            let count = self.routes.len().max(1) as f64;
            let expected = self
                .routes
                .values()
                .map(|route_entry| route_entry.latency.expected(true));
            expected.sum::<f64>() / count
        })
    }

    /// Records the run time of a request that did not queue.
    pub fn observe(&mut self, route: RouteLatencyKey, took: Duration) {
        let before = self.mean();
        let Some(route_entry) = self.routes.get_mut(route) else {
            return;
        };
        route_entry.latency.observe(took);
        let took = took.as_secs_f64().min(route_entry.latency.expected(false));
        self.mean = Some(before + (took - before) * STEP);
    }
}
