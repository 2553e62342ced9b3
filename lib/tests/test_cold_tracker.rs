//! Entry VMs that have lost control while backend servers become cold.

mod dispatch_model;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use dispatch_model::Scenario;
use dispatch_model::config;
use dispatch_model::dispatcher;
use dispatch_model::place;
use dispatch_model::request;
use dispatch_model::route;
use dispatch_model::service;
use dispatch_model::view;
use heatherring_lib::cold_queries::ColdQuery;
use heatherring_lib::cold_queries::ColdReply;
use heatherring_lib::cold_tracker::CONTROL_LOST_AFTER;
use heatherring_lib::cold_tracker::ColdTracker;
use heatherring_lib::direct_dispatch::DispatchConfig;
use heatherring_lib::direct_dispatch::Dispatcher;
use heatherring_lib::dispatch_request::SendEnd;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::id::BackendName;

const STEP: Duration = Duration::from_millis(5);
/// Time from a query to its reply: the wait for a slot and the network delay.
const ANSWER_AFTER: Duration = Duration::from_millis(100);
/// Run time of a request.
const RUN: Duration = Duration::from_millis(180);
/// Number of objects that the region's callers request: few, so that one backend server
/// receives most of the requests.
const OBJECTS: u32 = 8;

/// Entry VMs of one region without contact to control, and the backend servers there.
struct Region {
    origin: Instant,
    now: Instant,
    senders: Vec<Dispatcher>,
    queries: Vec<(usize, Instant, ColdQuery)>,
    running: Vec<(usize, Instant, SendEnd)>,
    cold_from: Option<Instant>,
    arrivals: BTreeMap<BackendName, Vec<Instant>>,
    steps: u32,
    refused: u32,
}

impl Region {
    fn new(senders: usize) -> Self {
        let scenario = Scenario {
            servers: vec![4],
            entries: 12,
            ..Scenario::look_up()
        };
        let now = Instant::now();
        let view = view(&scenario);
        let dispatcher = |number: usize| dispatcher(&scenario, &view, number, now);
        Self {
            origin: now,
            now,
            senders: (0..senders).map(dispatcher).collect(),
            queries: Vec::new(),
            running: Vec::new(),
            cold_from: None,
            arrivals: BTreeMap::new(),
            steps: 0,
            refused: 0,
        }
    }

    /// Runs for `length`, with 100 requests a second over all senders.
    fn run(&mut self, length: Duration) {
        const EVERY: u32 = 2;
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            self.answer_questions();
            self.end_requests();
            if self.steps.is_multiple_of(EVERY) {
                self.request(self.steps / EVERY);
            }
        }
    }

    fn answer_questions(&mut self) {
        for (number, sender) in self.senders.iter_mut().enumerate() {
            let (queries, _) = sender.cold_queries(self.now);
            let due = self.now + ANSWER_AFTER;
            let asked = queries.into_iter().map(|asked| (number, due, asked));
            self.queries.extend(asked);
        }
        let is_cold = self.cold_from.is_some();
        for (number, due, query) in std::mem::take(&mut self.queries) {
            if due > self.now {
                self.queries.push((number, due, query));
                continue;
            }
            let cold_for = Duration::from_secs(if is_cold { 3 } else { 0 });
            let reply = ColdReply { query, cold_for };
            self.senders[number].note_cold_reply(self.now, &reply);
        }
    }

    fn end_requests(&mut self) {
        for (number, due, end) in std::mem::take(&mut self.running) {
            if due > self.now {
                self.running.push((number, due, end));
            } else {
                self.senders[number].ended(self.now, &end);
            }
        }
    }

    fn request(&mut self, number: u32) {
        let object = (number % OBJECTS).to_string();
        let sender = number as usize % self.senders.len();
        let (service, route) = (service(), route());
        let request = request(self.now, &service, &route, &object);
        let Ok(choice) = self.senders[sender].choose(self.now, &request) else {
            self.refused += 1;
            return;
        };
        let end = SendEnd {
            object: request.object,
            ..SendEnd::new(&choice, SendOutcome::Answered)
        };
        self.running.push((sender, self.now + RUN, end));
        self.arrivals.entry(choice.name).or_default().push(self.now);
    }

    /// Returns the maximum number of requests that a backend server received within any second
    /// while cold.
    fn most_while_cold(&self) -> usize {
        let cold_from = self.cold_from.unwrap();
        let windows = self.arrivals.values().flat_map(|arrivals| {
            let cold: Vec<Instant> = arrivals
                .iter()
                .copied()
                .filter(|at| *at >= cold_from)
                .collect();
            cold.clone().into_iter().map(move |from| {
                let within = cold
                    .iter()
                    .filter(|at| **at >= from && **at < from + Duration::from_secs(1));
                within.count()
            })
        });
        windows.max().unwrap_or(0)
    }
}

/// Guards against crashes of backend servers in an evacuated place: entry VMs of its region
/// have lost control, the backend servers become cold, and the entry VMs keep sending at the
/// previous rate. While control was their only source of evacuations and cold backend servers,
/// 76 requests reached a backend server within a second; it can handle 16.
#[test]
fn test_cold_tracker_finds_cold_backend_servers_without_control() {
    let mut region = Region::new(4);
    region.run(Duration::from_secs(5));
    assert_eq!(
        region.refused, 0,
        "requests are refused despite warm replies"
    );
    region.cold_from = Some(region.now);
    region.run(Duration::from_secs(4));
    let most = region.most_while_cold();
    assert!(most <= 16, "{most} requests within a second");
}

/// While control is reachable, no queries are sent and no requests are held back.
#[test]
fn test_cold_tracker_queries_nobody_while_control_is_reachable() {
    let mut region = Region::new(4);
    for _ in 0..10 {
        region.run(Duration::from_millis(800));
        for sender in &mut region.senders {
            sender.note_control_contact(region.now);
        }
        assert!(region.queries.is_empty());
    }
    assert_eq!(region.refused, 0);
    assert!(region.now > region.origin);
}

/// Without any replies, only the rate that cold backend servers can handle is used.
#[test]
fn test_cold_tracker_assumes_cold_without_a_reply() {
    let mut region = Region::new(4);
    region.run(Duration::from_secs(2));
    region.cold_from = Some(region.now + Duration::from_millis(250));
    let end = region.now + Duration::from_secs(4);
    while region.now < end {
        region.queries.clear();
        region.run(STEP);
    }
    let most = region.most_while_cold();
    assert!(most <= 16, "{most} requests within a second");
}

/// Guards against a busy loop in the querying task: a place is queried, then none of its
/// backend servers is reachable, so that it is queried no more. Its next query was due a
/// quarter of a second after the last one and stayed due in the past, so the task never slept,
/// used up its core, and responses were late.
#[test]
fn test_cold_tracker_sleeps_after_a_place_becomes_unreachable() {
    let began = Instant::now();
    let mut tracker = ColdTracker::new(began);
    let sent_at = began + CONTROL_LOST_AFTER;
    assert!(tracker.try_query(sent_at, &place(0)));
    let mut now = sent_at;
    for _ in 0..20 {
        let next = tracker.next_due(now);
        assert!(
            next > now,
            "next query not due later than now, {:?} after the last one",
            now - sent_at
        );
        now = next;
        tracker.try_query(now, &place(1));
    }
    assert!(now <= sent_at + Duration::from_secs(5), "queries are late");
}

/// Guards against a backend server that all entry VMs query at once when all of them lose control.
#[test]
fn test_cold_queries_of_all_entry_vms_spread_over_the_backend_servers() {
    const SERVERS: usize = 12;
    const SENDERS: usize = 240;
    let scenario = Scenario {
        servers: vec![SERVERS],
        entries: SENDERS,
        ..Scenario::look_up()
    };
    let now = Instant::now();
    let view = view(&scenario);
    let mut counts: BTreeMap<BackendName, usize> = BTreeMap::new();
    for number in 0..SENDERS {
        let mut sender = dispatcher(&scenario, &view, number, now);
        let (queries, _) = sender.cold_queries(now + CONTROL_LOST_AFTER);
        for query in queries {
            *counts.entry(query.name).or_default() += 1;
        }
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert_eq!(counts.values().sum::<usize>(), SENDERS);
    assert!(most <= 2 * SENDERS / SERVERS, "{counts:?}");
}

/// Returns how many of 300 requests at once an entry VM sends, some time after an evacuation ended.
fn accepted_after_evacuation(heartbeat: Duration, after: Duration) -> usize {
    let scenario = Scenario::look_up();
    let now = Instant::now();
    let cfg = DispatchConfig {
        heartbeat,
        ..config(0, 0, scenario.servers.len())
    };
    let mut sender = Dispatcher::new(cfg, now);
    let mut view = view(&scenario);
    sender.apply_view(now, &view);
    let returned_at = now + Duration::from_mins(1);
    view.evacuated = (0..scenario.servers.len()).map(place).collect();
    sender.apply_view(returned_at, &view);
    view.evacuated.clear();
    sender.apply_view(returned_at, &view);
    let at = returned_at + after;
    sender.note_control_contact(at);
    let (service, route) = (service(), route());
    let choices = (0..300).filter_map(|object: u32| {
        let object = object.to_string();
        sender
            .choose(at, &request(at, &service, &route, &object))
            .ok()
    });
    choices.count()
}

/// Guards against backend servers that became cold while they were evacuated and get as many
/// requests as warm ones, before their next heartbeat tells.
#[test]
fn test_returned_backend_servers_count_as_cold_until_their_next_heartbeat() {
    let heartbeat = Duration::from_secs(5);
    let cold = accepted_after_evacuation(heartbeat, Duration::ZERO);
    let before = accepted_after_evacuation(heartbeat, heartbeat);
    let warm = accepted_after_evacuation(heartbeat, heartbeat + Duration::from_secs(1));
    assert_eq!(cold, before);
    assert!(cold < warm, "{cold} while cold, {warm} while warm");
}
