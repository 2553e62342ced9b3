//! Plain ways for a caller to choose a backend server itself, to compare with.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::caller::CallSpec;
use crate::caller::Caller;
use crate::caller::Told;

/// How often load reports arrive, as often as announcements do.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Tells how a backend server is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// One after another.
    RoundRobin,
    /// The one that reported the least load.
    LeastReported,
}

/// Holds the delays that relays would bring on the way through entry VMs.
#[derive(Clone, Debug, Default)]
pub struct Delays {
    /// One way between a caller and its place.
    pub client: Duration,
    /// One way between regions.
    pub between_regions: Duration,
    /// Regions by place.
    pub regions: BTreeMap<String, String>,
}

impl Delays {
    fn one_way(&self, origin: &str, place: &str) -> Duration {
        if self.regions.get(origin) == self.regions.get(place) {
            self.client
        } else {
            self.client + self.between_regions
        }
    }
}

/// Tells where a backend server is.
#[derive(Clone, Debug)]
pub struct BackendAddress {
    /// Its place.
    pub place: String,
    /// Where it takes requests.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct Server {
    backend: BackendAddress,
    /// Requests in flight now; known to the server alone.
    in_flight: AtomicU32,
    /// What it reported last.
    reported: AtomicU32,
}

#[derive(Debug, Default)]
struct Servers {
    servers: Vec<Server>,
    next: AtomicUsize,
}

/// Sends each request straight to a backend server.
#[derive(Clone, Debug)]
pub struct DirectPolicy {
    choice: Choice,
    services: Arc<BTreeMap<String, Servers>>,
    delays: Delays,
    _reports: Arc<JoinSet<()>>,
}

impl DirectPolicy {
    /// Starts with the backend servers of each service.
    #[must_use]
    pub fn start(
        choice: Choice,
        backends: &BTreeMap<String, Vec<BackendAddress>>,
        delays: Delays,
    ) -> Self {
        let services = backends.iter().map(|(service, backends)| {
            let servers = backends.iter().map(|backend| Server {
                backend: backend.clone(),
                in_flight: AtomicU32::new(0),
                reported: AtomicU32::new(0),
            });
            let servers = Servers {
                servers: servers.collect(),
                next: AtomicUsize::new(0),
            };
            (service.clone(), servers)
        });
        let services = Arc::new(services.collect());
        let mut reports = JoinSet::new();
        reports.spawn(report(Arc::clone(&services)));
        Self {
            choice,
            services,
            delays,
            _reports: Arc::new(reports),
        }
    }

    /// Sends a request to the chosen backend server.
    pub async fn send(&self, caller: &Caller, spec: &CallSpec, nonce: &str) -> Told {
        let server = self.services[&spec.service].choose(self.choice);
        server.in_flight.fetch_add(1, Ordering::Relaxed);
        let delay = self.delays.one_way(caller.origin(), &server.backend.place);
        sleep(delay).await;
        let address = server.backend.address;
        let told = caller.send_direct(address, spec, nonce).await;
        sleep(delay).await;
        server.in_flight.fetch_sub(1, Ordering::Relaxed);
        told
    }
}

impl Servers {
    fn choose(&self, choice: Choice) -> &Server {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let count = self.servers.len();
        // The turn decides among equals, or the first one would get them all.
        let mut in_turn = (0..count).map(|offset| &self.servers[(turn + offset) % count]);
        let chosen = match choice {
            Choice::RoundRobin => in_turn.next(),
            Choice::LeastReported => {
                in_turn.min_by_key(|server| server.reported.load(Ordering::Relaxed))
            }
        };
        chosen.expect("each service has backend servers")
    }
}

async fn report(services: Arc<BTreeMap<String, Servers>>) {
    loop {
        for server in services.values().flat_map(|servers| &servers.servers) {
            let in_flight = server.in_flight.load(Ordering::Relaxed);
            server.reported.store(in_flight, Ordering::Relaxed);
        }
        sleep(REPORT_INTERVAL).await;
    }
}
