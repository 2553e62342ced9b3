//! Requests and actions under failure, over real processes: what callers were told is
//! joined with what the backend servers' ledgers hold, and checked.
//!
//! `HEATHERRING_CASES=20 cargo test -p heatherring --test test_request_history random`
//! runs that many drawn sequences of faults; seeds are printed.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use heatherring_testutils::deployment::Deployment;
use heatherring_testutils::deployment::book;
use heatherring_testutils::deployment::search;
use heatherring_testutils::deployment_plan::DeploymentPlan;
use heatherring_testutils::fake_backend_server::Behaviour;
use heatherring_testutils::fake_backend_server::LoadReport;
use heatherring_testutils::machine_clock::now_us;
use heatherring_testutils::request_history::ArrivalCap;
use heatherring_testutils::request_history::DrainMark;
use heatherring_testutils::request_history::RequestHistory;
use heatherring_testutils::steady_load::SteadyLoad;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

const ENTRIES: usize = 6;
const CALLERS_PER_PLACE: usize = 5;
const PAUSE: Duration = Duration::from_millis(20);
/// Time after which a leaving backend server receives no new work, in microseconds.
const DRAIN_BOUND_US: u64 = 4_000_000;
/// Longer than any deadline, and shorter than a freeze: callers resend while the entry
/// VM that they asked stands still, and it finds their first attempts when it goes on.
const PATIENCE: Duration = Duration::from_millis(3_500);
/// Longer than a session's lease with its margin, so that a fault outlasts it.
const OUTLASTS_LEASE: Duration = Duration::from_secs(5);
/// Longer than the longest deadline: whatever still runs then has got stuck.
const LAST_DEADLINE: Duration = Duration::from_secs(4);
/// Requests between two events.
const SOME: usize = 40;
/// Faults of a drawn case.
const FAULTS: usize = 3;

/// Names what goes wrong in the middle of the load.
#[derive(Clone, Debug)]
enum Fault {
    /// A process dies and is started again.
    Kill(&'static str),
    /// A process stands still for longer than a lease, and goes on.
    Freeze(&'static str),
    /// Nothing flows between two processes for longer than a lease.
    Cut(&'static str, &'static str),
    /// Nothing flows from the first process to the second one for longer than a lease.
    CutOneWay(&'static str, &'static str),
    /// Nothing flows to or from a process for longer than a lease.
    Isolate(&'static str),
    /// All processes of a failure domain die.
    Lose(&'static [&'static str]),
    /// A backend server is drained by a manifest.
    Drain(&'static str),
    /// A process is asked to stop.
    Stop(&'static str),
}

const HAKATA: &[&str] = &["entry-1", "entry-5", "control-1", "hakata-registry"];
const KUMAMOTO: &[&str] = &[
    "entry-3",
    "entry-4",
    "control-3",
    "kikuyo-registry",
    "kikuyo-certdesk",
];

/// Faults of drawn cases: those after which everything can go on.
const DRAWN: &[Fault] = &[
    Fault::Kill("entry-1"),
    Fault::Kill("entry-4"),
    Fault::Kill("control-1"),
    Fault::Kill("control-2"),
    Fault::Freeze("entry-2"),
    Fault::Freeze("entry-3"),
    Fault::Freeze("control-1"),
    Fault::Cut("entry-1", "entry-2"),
    Fault::Cut("entry-3", "entry-4"),
    Fault::Cut("entry-5", "control-1"),
    Fault::CutOneWay("entry-1", "entry-2"),
    Fault::CutOneWay("entry-2", "entry-1"),
    Fault::CutOneWay("entry-6", "control-1"),
    Fault::Isolate("entry-2"),
    Fault::Isolate("entry-4"),
    Fault::Isolate("control-1"),
    Fault::Drain("registry-fko-kokura-1"),
];

/// Deployments that run at once. More of them take so much of a small machine that
/// leases lapse without any fault.
static RUNNING: Semaphore = Semaphore::const_new(3);

struct Run {
    deployment: Deployment,
    load: SteadyLoad,
    history: RequestHistory,
    manifest_version: u64,
    _running: SemaphorePermit<'static>,
}

impl Run {
    async fn start(seed: u64) -> Self {
        Self::start_with(seed, Behaviour::default()).await
    }

    async fn start_with(seed: u64, behaviour: Behaviour) -> Self {
        let running = RUNNING.acquire().await.unwrap();
        println!("seed {seed}");
        let mut plan = DeploymentPlan::small(ENTRIES, seed);
        plan.cluster.relayed = true;
        plan.patience = PATIENCE;
        plan.behaviour = behaviour;
        let binary = Path::new(env!("CARGO_BIN_EXE_heatherring"));
        let deployment = Deployment::start(plan, binary).await.unwrap();
        let specs = [
            search("registry"),
            book("registry"),
            search("certdesk"),
            book("certdesk"),
        ];
        let callers = deployment.callers(CALLERS_PER_PLACE);
        let mut run = Self {
            load: SteadyLoad::start(callers, &specs, PAUSE, seed),
            deployment,
            history: RequestHistory {
                drain_bound_us: DRAIN_BOUND_US,
                ..RequestHistory::default()
            },
            manifest_version: 1,
            _running: running,
        };
        run.load.wait_for_more(SOME).await;
        run
    }

    async fn suffer(&mut self, fault: &Fault) {
        println!("{} {fault:?}", now_us());
        let cluster = &mut self.deployment.cluster;
        match fault {
            Fault::Kill(name) => {
                cluster.process(name).kill().unwrap();
                self.load.wait_for_more(SOME).await;
                self.deployment.cluster.start_vm(name).unwrap();
            }
            Fault::Freeze(name) => {
                cluster.process(name).freeze().unwrap();
                tokio::time::sleep(OUTLASTS_LEASE).await;
                cluster.process(name).thaw().unwrap();
            }
            Fault::Cut(one, other) => {
                cluster.network.cut(one, other);
                self.until_mended().await;
            }
            Fault::CutOneWay(from, to) => {
                cluster.network.cut_one_way(from, to);
                self.until_mended().await;
            }
            Fault::Isolate(name) => {
                cluster.network.isolate(name);
                self.until_mended().await;
            }
            Fault::Lose(names) => {
                for name in *names {
                    cluster.process(name).kill().unwrap();
                }
            }
            Fault::Drain(backend) => self.drain(backend),
            Fault::Stop(name) => {
                let status = cluster.stop(name).await.unwrap();
                assert!(status.success(), "{name}: {status}");
            }
        }
        self.load.wait_for_more(SOME).await;
    }

    async fn until_mended(&mut self) {
        tokio::time::sleep(OUTLASTS_LEASE).await;
        self.deployment.cluster.network.mend();
    }

    fn drain(&mut self, backend: &str) {
        self.manifest_version += 1;
        let cluster = &self.deployment.cluster;
        let services = self.deployment.plan.services();
        let mut manifest = cluster.manifest(self.manifest_version, &services);
        manifest["drains"] = json!([{"backend_server": backend}]);
        // The command returns when the manifest is in force everywhere.
        cluster.submit(&manifest).unwrap();
        self.history.drains.push(DrainMark {
            backends: BTreeSet::from([backend.to_owned()]),
            from_us: now_us(),
            until_us: None,
        });
    }

    /// Lets everything come to an end and checks the history.
    async fn check(mut self) {
        self.history.calls = self.load.finish().await;
        tokio::time::sleep(LAST_DEADLINE).await;
        self.history.events = self.deployment.cluster.ledgers().unwrap();
        let violations = self.history.check();
        assert!(violations.is_empty(), "{violations:#?}");
        let calls = &self.history.calls;
        let answered = calls.iter().filter(|call| {
            let outcome = call.outcome();
            outcome.is_some_and(heatherring_testutils::caller::Told::is_answer)
        });
        println!("{} of {} calls answered", answered.count(), calls.len());
    }
}

async fn run_case(seed: u64, faults: &[Fault]) {
    let mut run = Run::start(seed).await;
    for fault in faults {
        run.suffer(fault).await;
    }
    run.check().await;
}

macro_rules! fault_cases {
    ($($(#[$comment:meta])* $name:ident: $seed:expr, $faults:expr;)*) => {
        $(
            $(#[$comment])*
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                run_case($seed, &$faults).await;
            }
        )*
    };
}

// Symptom of each: an action in two ledger lines, "not run" with a ledger line, a
// backend server above its slots, or an answer that isn't the caller's own.
fault_cases! {
    // Cause: the primary of tickets dies with actions recorded and in flight; a resend
    // through the backup runs them again, or its new life takes them for new.
    test_request_history_killed_entries: 11, [Fault::Kill("entry-1"), Fault::Kill("entry-4")];
    // Cause: an owner and primary wakes up after its lease is over and another has taken
    // over, and goes on with what it was about to dispatch.
    test_request_history_frozen_entries: 12, [Fault::Freeze("entry-2"), Fault::Freeze("entry-3")];
    // Cause: primary and backup can't talk, and each decides for itself.
    test_request_history_cut_entries: 13, [
        Fault::Cut("entry-1", "entry-2"),
        Fault::CutOneWay("entry-4", "entry-3"),
    ];
    // Cause: an entry VM that nobody reaches goes on as the owner that it was.
    test_request_history_isolated: 14, [Fault::Isolate("entry-3"), Fault::Isolate("control-1")];
    // Cause: all that is left in the region decides without its lost half.
    test_request_history_lost_place: 15, [Fault::Lose(HAKATA)];
    // Cause: the other region takes over at once what the lost one may still run.
    test_request_history_lost_region: 16, [Fault::Lose(KUMAMOTO)];
    // Cause: new work goes on to a drained or leaving backend server.
    test_request_history_drains: 17, [
        Fault::Drain("registry-fko-kokura-1"),
        Fault::Stop("hakata-registry"),
        Fault::Kill("entry-2"),
    ];
}

// Symptom: more arrivals from Fukuoka in Kumamoto within a second than the cap allows.
// Sequence: Fukuoka's own backend servers of the service die, and all its callers' work
// would go to Kumamoto.
// Cause: entry VMs that each take the whole cap for themselves, or a cap that isn't
// shared out again when one of them dies.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_history_cap_after_loss() {
    const PER_SECOND: usize = 100;
    const PERCENT: usize = 20;
    let mut run = Run::start(18).await;
    run.manifest_version += 1;
    let cluster = &run.deployment.cluster;
    let mut services = run.deployment.plan.services();
    services["registry"]["limits"]["kmm-kikuyo"]["max_per_second"] = json!(PER_SECOND);
    let mut manifest = cluster.manifest(run.manifest_version, &services);
    manifest["shift_caps"] = json!([{
        "from": {"region": "fukuoka"},
        "to": {"region": "kumamoto"},
        "percent": PERCENT,
    }]);
    cluster.submit(&manifest).unwrap();
    let capped_from_us = now_us();
    run.suffer(&Fault::Lose(&["hakata-registry", "kokura-registry"]))
        .await;
    run.suffer(&Fault::Kill("entry-5")).await;
    tokio::time::sleep(OUTLASTS_LEASE).await;
    run.load.wait_for_more(SOME).await;
    let cap = ArrivalCap {
        service: "registry".to_owned(),
        origins: ["fko-hakata", "fko-kokura"].map(ToOwned::to_owned).into(),
        places: ["kmm-kikuyo"].map(ToOwned::to_owned).into(),
        max: PER_SECOND * PERCENT / 100,
        from_us: capped_from_us,
    };
    run.history.caps.push(cap);
    run.check().await;
}

// Symptom: a backend server above its slots.
// Sequence: all backend servers report that nothing is in flight, whatever they run, and
// the entry VM that owns some of them is replaced.
// Cause: a report that is believed where it says less than the owner's own count.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_history_lying_reports() {
    let lying = Behaviour {
        load_report: LoadReport::Lying { in_flight: 0 },
        ..Behaviour::default()
    };
    let mut run = Run::start_with(19, lying).await;
    run.suffer(&Fault::Kill("entry-3")).await;
    run.suffer(&Fault::Freeze("entry-1")).await;
    run.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_request_history_random() {
    let cases = std::env::var("HEATHERRING_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok()).unwrap_or(1);
    for seed in 100..100 + cases {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let faults: Vec<_> = (0..FAULTS)
            .map(|_| DRAWN[rng.random_range(0..DRAWN.len())].clone())
            .collect();
        run_case(seed, &faults).await;
    }
}
