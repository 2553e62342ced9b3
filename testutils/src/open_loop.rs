//! An open-loop load: requests are sent when a Poisson process says so, whether or not
//! earlier ones were answered, and each is timed from the moment at which it was due.
//!
//! A closed loop would send less when answers are slow and so hide the slowness
//! (coordinated omission).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::caller::CallSpec;
use crate::caller::Caller;
use crate::caller::LookUp;
use crate::caller::Told;
use crate::deployment::book;
use crate::deployment::search;
use crate::direct_policy::DirectPolicy;
use crate::machine_clock::now_us;
use crate::service_time::exponential;

/// Share of requests that are actions, in percent.
const ACTION_PERCENT: u32 = 20;
/// Pause before a failed look-up is tried again.
const LOOK_UP_PAUSE: Duration = Duration::from_millis(100);
/// Look-ups are renewed after this share of the time for which they may be cached.
const RENEWAL_SHARE: f64 = 0.8;

/// Describes a load.
#[derive(Clone, Debug)]
pub struct OpenLoopPlan {
    /// Services with their requests a second.
    pub rates: Vec<(String, f64)>,
    /// How long requests are sent.
    pub duration: Duration,
    /// Seed of everything that is drawn.
    pub seed: u64,
}

/// Tells what became of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The service.
    pub service: String,
    /// Whether it was an action.
    pub action: bool,
    /// When it was due, in microseconds of the machine's clock.
    pub due_us: u64,
    /// When its outcome was known.
    pub ended_us: u64,
    /// The outcome; `None` if there was no look-up to send it by.
    pub told: Option<Told>,
}

/// Sends requests to entry VMs, or by a policy of the caller's own to backend servers.
#[derive(Clone, Debug)]
pub enum Target {
    /// To the entry VM of the look-up.
    Entries,
    /// Straight to a backend server.
    Direct(DirectPolicy),
}

/// Sends the load and returns one sample for each request, when all have ended.
///
/// # Panics
///
/// Panics if a task panicked.
pub async fn run(plan: &OpenLoopPlan, callers: Vec<Caller>, target: &Target) -> Vec<Sample> {
    let callers: Vec<_> = callers.into_iter().map(Arc::new).collect();
    let services: Vec<_> = plan.rates.iter().map(|(name, _)| name.clone()).collect();
    let (desks, _renewals) = start_look_ups(&callers, &services, target).await;
    let (samples_tx, mut samples) = mpsc::unbounded_channel();
    let mut generators = JoinSet::new();
    for (stream, (service, rate)) in (0..).zip(&plan.rates) {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        rng.set_stream(stream);
        let generator = Generator {
            service: service.clone(),
            rate: *rate,
            until: Instant::now() + plan.duration,
            callers: callers.clone(),
            desks: desks.clone(),
            target: target.clone(),
            samples: samples_tx.clone(),
            rng,
        };
        generators.spawn(generator.run());
    }
    drop(samples_tx);
    let mut collected = Vec::new();
    while let Some(sample) = samples.recv().await {
        collected.push(sample);
    }
    generators.join_all().await;
    collected
}

type LookUps = BTreeMap<String, LookUp>;

/// Keeps a current look-up of each service for each caller.
async fn start_look_ups(
    callers: &[Arc<Caller>],
    services: &[String],
    target: &Target,
) -> (Vec<watch::Receiver<LookUps>>, JoinSet<()>) {
    let mut desks = Vec::new();
    let mut renewals = JoinSet::new();
    for caller in callers {
        let (tx, mut rx) = watch::channel(LookUps::new());
        if matches!(target, Target::Entries) {
            renewals.spawn(renew(Arc::clone(caller), services.to_vec(), tx));
            let all = rx.wait_for(|look_ups| look_ups.len() == services.len());
            let _ = all.await;
        }
        desks.push(rx);
    }
    (desks, renewals)
}

async fn renew(caller: Arc<Caller>, services: Vec<String>, tx: watch::Sender<LookUps>) {
    loop {
        let mut pause = LOOK_UP_PAUSE;
        for service in &services {
            let entries = caller.entries().to_vec();
            for entry in entries {
                if let Some(look_up) = caller.look_up_at(entry, service).await {
                    let cached = Duration::from_millis(look_up.cache_ms);
                    pause = cached.mul_f64(RENEWAL_SHARE);
                    tx.send_modify(|look_ups| {
                        look_ups.insert(service.clone(), look_up);
                    });
                    break;
                }
            }
        }
        sleep(pause).await;
    }
}

struct Generator {
    service: String,
    rate: f64,
    until: Instant,
    callers: Vec<Arc<Caller>>,
    desks: Vec<watch::Receiver<LookUps>>,
    target: Target,
    samples: mpsc::UnboundedSender<Sample>,
    rng: ChaCha8Rng,
}

impl Generator {
    async fn run(mut self) {
        let mut due = Instant::now();
        let mut serial = 0_u64;
        loop {
            due += Duration::from_secs_f64(exponential(&mut self.rng, 1.0 / self.rate));
            if due >= self.until {
                return;
            }
            sleep_until(due).await;
            serial += 1;
            self.send(serial, due);
        }
    }

    fn send(&mut self, serial: u64, due: Instant) {
        let index = self.rng.random_range(0..self.callers.len());
        let caller = Arc::clone(&self.callers[index]);
        let action = self.rng.random_range(0..100) < ACTION_PERCENT;
        let spec = if action {
            book(&self.service)
        } else {
            search(&self.service)
        };
        let nonce = format!("{}-{serial}-{:08x}", self.service, self.rng.random::<u32>());
        let random: u128 = self.rng.random();
        let look_up = self.desks[index].borrow().get(&self.service).cloned();
        let target = self.target.clone();
        let samples = self.samples.clone();
        let late_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(0);
        let due_us = now_us() - late_us;
        tokio::spawn(async move {
            let told = match &target {
                Target::Entries => send_by(&caller, look_up, &spec, &nonce, random).await,
                Target::Direct(policy) => Some(policy.send(&caller, &spec, &nonce).await),
            };
            let sample = Sample {
                service: spec.service,
                action,
                due_us,
                ended_us: now_us(),
                told,
            };
            let _ = samples.send(sample);
        });
    }
}

async fn send_by(
    caller: &Caller,
    look_up: Option<LookUp>,
    spec: &CallSpec,
    nonce: &str,
    random: u128,
) -> Option<Told> {
    let look_up = look_up?;
    let entry: SocketAddr = look_up.entry.address;
    let ticket = look_up.ticket.unwrap_or_default();
    let key = spec.action.then(|| format!("{ticket}.{random:032x}"));
    Some(caller.send(entry, spec, nonce, key.as_deref()).await.told)
}
