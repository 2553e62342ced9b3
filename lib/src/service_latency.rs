//! How long the requests of one route take, with and without their data at hand.
//!
//! A service may serve routes whose work differs by a factor of six; one estimate for all of
//! them is right for none. Waits behind others are made of the mean over the service, since
//! whatever stands there is of any route.
//!
//! Whether a request found its data at hand isn't told; another entry VM may have asked for
//! the same object, or the backend server may have dropped it. So each observation counts
//! for the kind whose estimate it is nearer to.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::id::RouteName;

/// Step by which an estimate moves with each observation; about the last 30 count.
const STEP: f64 = 0.05;

/// Observations of one kind from whose mean its estimate starts. What is assumed before is
/// off by a factor of up to five, and steps of [`STEP`] would take ten seconds to make up
/// for it at twenty requests a second.
const INITIAL_OBSERVATIONS: u32 = 8;

/// Times the estimate that one of the first observations counts for at most, so that an
/// outlier among them doesn't stand for long.
const MAX_RISE: f64 = 4.0;

/// Share of the observations that lie below the estimates. Some requests have waited without
/// it being known; a mean would follow these, and a service under load would look slow for
/// good.
const QUANTILE: f64 = 0.4;

/// What is assumed before the first answers, as parts of the route's latency objective. An
/// operator sets it so that a request with its data at hand makes it, with time for the way
/// and some wait, and one without them doesn't.
const INITIAL_WARM: f64 = 0.5;
const INITIAL_COLD: f64 = 1.5;

/// Times that a request may take as long without its data as with them, at most. Where all
/// requests were of one kind so far, this bounds how wrong the other estimate may be.
const MAX_COLD_RATIO: f64 = 5.0;

/// Times that it takes as long at least. Without it the estimates would meet once requests
/// with their data at hand take longer than was assumed without: then backend servers
/// without the data look as good as any, and half of a region's requests change regions.
const MIN_COLD_RATIO: f64 = 2.0;

/// Follows the times of one route at one service.
#[derive(Clone, Copy, Debug)]
pub struct RouteLatency {
    warm: Estimate,
    cold: Estimate,
    /// Time that half of the requests stay below, whatever was expected of them.
    median: Estimate,
    tail: Tail,
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

    /// Moves towards the time that `share` of the observations lie below.
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

/// Follows the mean time from the head of an answer to its last byte; zero for most routes,
/// whose answers are read whole before they are passed on.
#[derive(Clone, Copy, Debug, Default)]
struct Tail {
    mean: f64,
    answers: f64,
}

impl Tail {
    /// Answers that the mean is of, the latest ones.
    const MAX_ANSWERS: f64 = 20.0;

    fn note_head(&mut self) {
        self.answers = (self.answers + 1.0).min(Self::MAX_ANSWERS);
        self.mean -= self.mean / self.answers;
    }

    /// Notes how long the answer took from a head that was noted.
    fn note_end(&mut self, took: f64) {
        self.mean += took / self.answers.max(1.0);
    }
}

impl RouteLatency {
    /// Starts from the route's latency objective.
    #[must_use]
    pub fn new(objective: Duration) -> Self {
        let objective = objective.as_secs_f64();
        Self {
            warm: Estimate::new(objective * INITIAL_WARM),
            cold: Estimate::new(objective * INITIAL_COLD),
            median: Estimate::new(objective * INITIAL_WARM),
            tail: Tail::default(),
        }
    }

    /// Returns the time that a request is expected to run, in seconds.
    #[must_use]
    pub const fn expected(&self, warm: bool) -> f64 {
        if warm {
            self.warm.value
        } else {
            self.cold.value
        }
    }

    /// Returns the time that half of the requests stay below until the last byte of their
    /// answers, in seconds.
    ///
    /// [`Self::expected`] ranks backend servers: where all requests take alike, they count as
    /// those without their data, and half of their time is expected with them; and it ends at the
    /// head of an answer. Whoever must know whether a request can end goes by this one besides.
    #[must_use]
    pub fn time_to_last_byte(&self) -> f64 {
        self.median.value + self.tail.mean
    }

    /// Notes how long a request ran that didn't have to wait.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.median.observe(took, 0.5);
        self.tail.note_head();
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
    /// Identifies the times of one route among those of a service.
    pub struct RouteLatencyKey;
}

/// Routes whose times one service keeps. Names of routes change with the manifest; the one
/// that nobody has asked for for longest goes.
const MAX_ROUTES: usize = 64;

/// Follows the times of all routes of one service.
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
    /// Number of the latest request.
    last_used: u64,
}

impl ServiceLatency {
    /// Returns the times of a route; they start from its latency objective.
    pub fn route(&mut self, name: &RouteName, objective: Duration) -> RouteLatencyKey {
        self.request_number += 1;
        if let Some(key) = self.by_name.get(name) {
            self.routes[*key].last_used = self.request_number;
            return *key;
        }
        if self.routes.len() >= MAX_ROUTES {
            self.drop_oldest();
        }
        let key = self.routes.insert(RouteEntry {
            name: name.clone(),
            latency: RouteLatency::new(objective),
            last_used: self.request_number,
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .routes
            .iter()
            .min_by_key(|(_, route_entry)| route_entry.last_used);
        if let Some(key) = oldest.map(|(key, _)| key)
            && let Some(route_entry) = self.routes.remove(key)
        {
            self.by_name.remove(&route_entry.name);
        }
    }

    /// Returns the time that a request of a route is expected to run, in seconds; the mean of
    /// the service for a route that was dropped.
    #[must_use]
    pub fn expected(&self, route: RouteLatencyKey, warm: bool) -> f64 {
        let route_entry = self.routes.get(route);
        route_entry.map_or_else(
            || self.mean(),
            |route_entry| route_entry.latency.expected(warm),
        )
    }

    /// Returns the time that half of a route's requests stay below until the last byte of their
    /// answers, in seconds; the mean of the service for a route that was dropped.
    #[must_use]
    pub fn time_to_last_byte(&self, route: RouteLatencyKey) -> f64 {
        let route_entry = self.routes.get(route);
        route_entry.map_or_else(
            || self.mean(),
            |route_entry| route_entry.latency.time_to_last_byte(),
        )
    }

    /// Notes how long an answer that was passed on as it came took from its head to its end.
    pub fn observe_tail(&mut self, route: RouteLatencyKey, took: Duration) {
        if let Some(route_entry) = self.routes.get_mut(route) {
            route_entry.latency.tail.note_end(took.as_secs_f64());
        }
    }

    /// Returns the mean time that a request of any route runs, in seconds. Before the first
    /// answer that is what is assumed of the routes that were asked for.
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

    /// Notes how long a request ran that didn't have to wait.
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
